/*
 * Client guard: enforces the limits on the clients of all HTTP listeners of a process.
 */
#include "fescuemill/http/client_guard.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/http/server_clients.h"

#include <stdlib.h>
#include <sys/resource.h>

#define SWEEP_MS	  250 /* accuracy of the time limits; they are never shorter than set */
#define ENDED_PER_SWEEP	  256
#define LOG_PERIOD_MS	  1000
#define CHECK_MS	  5 /* shortest time between two checks of the memory */
#define SPARE_DIVISOR_MIN 3
#define RESERVED_DIVISOR  6
#define RELEASE_DIVISOR	  64 /* part of the connections that one walk ends for their descriptors */
#define ENDED_AT_ONCE	  32 /* connections ended by one walk */

/* Clients that were ended since the last log line. */
struct ended_counts {
	uint64_t timed_out;
	uint64_t closed;
	uint64_t large_heads;
	uint64_t for_memory;
	uint64_t for_descriptors;
};

struct client_guard {
	uv_timer_t timer; /* runs while there are connections */
	uv_check_t check; /* sums the memory after the loop has read; runs while the timer does */
	uint64_t checked_ms; /* loop time of the latest check */
	struct client_guard_budget budget;
	uint32_t descriptor_limit; /* descriptors_max or RLIMIT_NOFILE, the smaller one */
	uint32_t open_handles;
	struct client_rules rules;
	struct http_server *servers;
	struct ended_counts ended;
	uint64_t logged_ms; /* when the last line was logged */
};

/* A connection that a walk has found and that is ended after the walk. */
struct condemned {
	struct connection *conn;
	h2o_req_t *req;
	enum client_verdict verdict;
};

struct sweep {
	struct client_rules rules; /* of the server whose connections are being judged */
	uint64_t held_bytes;
	uint64_t now_ms;
	uint32_t client_count;
	uint32_t condemned_count;
	struct condemned list[ENDED_PER_SWEEP];
};

/* Judges one connection by the rules. */
static void judge_one(void *user, struct connection *conn, h2o_req_t *req)
{
	struct sweep *sweep = user;
	enum client_verdict verdict = client_judge(&conn->track, &sweep->rules, sweep->now_ms);

	sweep->client_count++;
	sweep->held_bytes += conn->track.last.held_bytes;
	if (verdict != CLIENT_KEEP && sweep->condemned_count < ENDED_PER_SWEEP)
		sweep->list[sweep->condemned_count++] = (struct condemned){conn, req, verdict};
}

/* Ends a connection that broke a rule. After a pause of this process, a client that kept its time
 * is recognized by what it sent meanwhile. */
static void end_one(struct client_guard *guard, const struct condemned *client)
{
	if (client->verdict != CLIENT_HEAD_TOO_LARGE && http_client_has_unread(client->conn))
		return;
	switch (client->verdict) {
	case CLIENT_KEEP:
		break;
	case CLIENT_CLOSE:
		if (!http_client_close(client->conn))
			break;
		guard->ended.closed++;
		counter_add(COUNTER_CLIENTS_CLOSED, 1);
		break;
	case CLIENT_TIMED_OUT:
		guard->ended.timed_out++;
		counter_add(COUNTER_CLIENTS_TIMED_OUT, 1);
		http_client_refuse(client->conn, client->req, 408);
		break;
	case CLIENT_HEAD_TOO_LARGE:
		client_guard_count_large_head(guard);
		http_client_refuse(client->conn, client->req, 431);
		break;
	}
}

/* Logs what was ended, at most one line each LOG_PERIOD_MS. */
static void log_ended(struct client_guard *guard, uint64_t now_ms)
{
	static const struct ended_counts none;
	const struct ended_counts *ended = &guard->ended;

	if (ended->timed_out + ended->large_heads + ended->for_memory + ended->for_descriptors ==
		    0 ||
	    now_ms < guard->logged_ms + LOG_PERIOD_MS)
		return;
	log_write(LOG_INFO, LOG_PART_HTTP,
		  "Clients were ended by the limits or by the budget of the process.",
		  "for_memory=%llu for_descriptors=%llu held_bytes=%llu open=%llu timed_out=%llu "
		  "large_heads=%llu idle_closed=%llu",
		  (unsigned long long)ended->for_memory, (unsigned long long)ended->for_descriptors,
		  (unsigned long long)counter_get(COUNTER_CLIENTS_HELD),
		  (unsigned long long)counter_get(COUNTER_CLIENTS_OPEN),
		  (unsigned long long)ended->timed_out, (unsigned long long)ended->large_heads,
		  (unsigned long long)ended->closed);
	guard->ended = none;
	guard->logged_ms = now_ms;
}

/* Returns the rules for the clients of a server. A time limit that is not configured is the
 * server's own limit for a connection without a request. */
static struct client_rules rules_of(const struct client_guard *guard, const struct http_server *srv)
{
	struct client_rules rules = guard->rules;

	if (rules.idle_timeout_ms == 0)
		rules.idle_timeout_ms = (uint32_t)srv->options.idle_ms;
	if (rules.header_timeout_ms == 0)
		rules.header_timeout_ms = (uint32_t)srv->options.idle_ms;
	return rules;
}

/* Judges all connections; stops when there are none. */
static void on_sweep(uv_timer_t *timer)
{
	struct client_guard *guard = timer->data;
	struct sweep sweep = {.now_ms = uv_now(timer->loop)};

	for (struct http_server *srv = guard->servers; srv; srv = srv->next_guarded) {
		sweep.rules = rules_of(guard, srv);
		http_server_sample_clients(srv, true, judge_one, &sweep);
	}
	for (uint32_t i = 0; i < sweep.condemned_count; i++)
		end_one(guard, &sweep.list[i]);
	counter_set(COUNTER_CLIENTS_OPEN, sweep.client_count - sweep.condemned_count);
	counter_set(COUNTER_CLIENTS_HELD, sweep.held_bytes);
	log_ended(guard, sweep.now_ms);
	if (sweep.client_count == 0) {
		uv_timer_stop(timer);
		uv_check_stop(&guard->check);
	}
}

/* The connections to end first, found by one walk; the worst is first. */
struct shortage {
	uint64_t now_ms;
	struct client_totals totals;
	bool is_for_memory;
	uint32_t count;
	struct condemned worst[ENDED_AT_ONCE];
};

/* Adds the memory of one connection. */
static void add_held(void *user, struct connection *conn, h2o_req_t *req)
{
	struct client_totals *totals = user;

	(void)req;
	totals->held_bytes += conn->track.last.held_bytes;
}

/* Returns true if a connection may be ended in this shortage. */
static bool may_end(const struct shortage *shortage, const struct client_track *track)
{
	return shortage->is_for_memory
		       ? client_may_release(track, &shortage->totals, shortage->now_ms)
		       : client_may_disconnect(track, shortage->now_ms);
}

static bool is_worse(const struct shortage *shortage, const struct client_track *a,
		     const struct client_track *b)
{
	return shortage->is_for_memory ? client_is_worse_holder(a, b, shortage->now_ms)
				       : client_is_worse_connection(a, b);
}

/* Inserts a connection into the sorted list of the worst, if it is one of them. */
static void rank_one(void *user, struct connection *conn, h2o_req_t *req)
{
	struct shortage *shortage = user;
	uint32_t at = shortage->count;

	if (!may_end(shortage, &conn->track))
		return;
	while (at > 0 && is_worse(shortage, &conn->track, &shortage->worst[at - 1].conn->track))
		at--;
	if (at == ENDED_AT_ONCE)
		return;
	if (shortage->count < ENDED_AT_ONCE)
		shortage->count++;
	for (uint32_t i = shortage->count - 1; i > at; i--)
		shortage->worst[i] = shortage->worst[i - 1];
	shortage->worst[at] = (struct condemned){conn, req, CLIENT_CLOSE};
}

static void walk_servers(const struct client_guard *guard,
			 void (*fn)(void *user, struct connection *conn, h2o_req_t *req),
			 void *user)
{
	for (struct http_server *srv = guard->servers; srv; srv = srv->next_guarded)
		http_server_sample_clients(srv, false, fn, user);
}

/* Ends a connection in a shortage. A body is refused, as its request does not run. */
static bool release_one(struct client_guard *guard, const struct condemned *client,
			bool is_for_memory)
{
	if (client->conn->track.last.phase == CLIENT_BODY)
		http_client_refuse(client->conn, client->req, 503);
	else if (!http_client_close(client->conn))
		return false;
	if (is_for_memory) {
		guard->ended.for_memory++;
		counter_add(COUNTER_CLIENTS_ENDED_FOR_MEMORY, 1);
	} else {
		guard->ended.for_descriptors++;
		counter_add(COUNTER_CLIENTS_ENDED_FOR_DESCRIPTORS, 1);
	}
	return true;
}

/* Ends connections while all of them hold more memory than they may. */
static void check_memory(struct client_guard *guard, uint64_t now_ms)
{
	struct shortage shortage = {.now_ms = now_ms, .is_for_memory = true};
	struct client_totals *totals = &shortage.totals;

	totals->held_bytes_max = guard->budget.memory_bytes_max;
	walk_servers(guard, add_held, totals);
	if (totals->held_bytes <= totals->held_bytes_max)
		return;
	walk_servers(guard, rank_one, &shortage);
	for (uint32_t i = 0; i < shortage.count && totals->held_bytes > totals->held_bytes_max;
	     i++) {
		const struct client_track *track = &shortage.worst[i].conn->track;
		uint64_t held_bytes = track->last.held_bytes;

		if (!client_may_release(track, totals, now_ms))
			continue;
		if (release_one(guard, &shortage.worst[i], true))
			totals->held_bytes -= held_bytes;
	}
}

/* Checks the memory after the loop has read from its sockets: buffers grow only by such reads. */
static void on_check(uv_check_t *check)
{
	struct client_guard *guard = check->data;
	uint64_t now_ms = uv_now(check->loop);

	if (now_ms < guard->checked_ms + CHECK_MS || guard->budget.memory_bytes_max == 0)
		return;
	guard->checked_ms = now_ms;
	check_memory(guard, now_ms);
}

/* Returns the number from which on descriptors are not for clients of a server. */
static uint32_t descriptors_max(const struct client_guard *guard, bool is_reserved)
{
	uint32_t spare = guard->budget.descriptors_spare;

	if (spare > guard->descriptor_limit / SPARE_DIVISOR_MIN)
		spare = guard->descriptor_limit / SPARE_DIVISOR_MIN;
	if (is_reserved)
		spare -= spare / RESERVED_DIVISOR;
	return guard->descriptor_limit - spare;
}

/* Returns the open connections of all servers. */
static uint32_t connection_count(const struct client_guard *guard)
{
	uint32_t count = 0;

	for (const struct http_server *srv = guard->servers; srv; srv = srv->next_guarded)
		count += srv->connection_count;
	return count;
}

/* Ends the worst connections to get descriptors back. Returns false if there was none to end. */
static bool release_descriptors(struct client_guard *guard, uint64_t now_ms)
{
	struct shortage shortage = {.now_ms = now_ms};
	uint32_t ended_max = connection_count(guard) / RELEASE_DIVISOR + 1;
	uint32_t ended = 0;

	walk_servers(guard, rank_one, &shortage);
	for (uint32_t i = 0; i < shortage.count && ended < ended_max; i++)
		ended += release_one(guard, &shortage.worst[i], false);
	return ended > 0;
}

/* Starts the sweeps, as there is a connection now. Makes room for the connection if it is one too
 * many. The kernel gives out the lowest free descriptor, so its number tells how many are open. */
bool client_guard_accepted(struct client_guard *guard, const struct http_server *srv, int fd)
{
	uint32_t connections_max = guard->budget.connections_max;
	uint32_t descriptors = descriptors_max(guard, srv->options.is_reserved);

	if (connections_max == 0 || connections_max > descriptors)
		connections_max = descriptors;
	if (uv_is_closing((uv_handle_t *)&guard->timer))
		return true;
	if (!uv_is_active((uv_handle_t *)&guard->timer)) {
		uv_timer_start(&guard->timer, on_sweep, SWEEP_MS, SWEEP_MS);
		uv_check_start(&guard->check, on_check);
	}
	if ((uint32_t)fd < descriptors && connection_count(guard) <= connections_max)
		return true;
	return release_descriptors(guard, uv_now(guard->timer.loop));
}

/* Returns true if a descriptor of this number may be kept for a lingering close. */
bool client_guard_allows_lingering(const struct client_guard *guard, int fd)
{
	return (uint32_t)fd < descriptors_max(guard, false);
}

/* Adds a server whose connections are guarded from now on. */
void client_guard_add(struct client_guard *guard, struct http_server *srv)
{
	srv->next_guarded = guard->servers;
	guard->servers = srv;
}

/* Removes a server. */
void client_guard_remove(struct client_guard *guard, struct http_server *srv)
{
	for (struct http_server **at = &guard->servers; *at; at = &(*at)->next_guarded) {
		if (*at == srv) {
			*at = srv->next_guarded;
			return;
		}
	}
}

/* Returns the largest size of a head; 0: only the parser limits it. */
uint32_t client_guard_header_bytes_max(const struct client_guard *guard)
{
	return guard->rules.header_bytes_max;
}

/* Counts a head that was larger than allowed. */
void client_guard_count_large_head(struct client_guard *guard)
{
	guard->ended.large_heads++;
	counter_add(COUNTER_CLIENTS_LARGE_HEADS, 1);
}

/* Sets the rules that apply from now on. */
void client_guard_set_rules(struct client_guard *guard, const struct client_rules *rules)
{
	guard->rules = *rules;
}

/* Opens the guard. Errors: ERROR_MEMORY. */
int client_guard_open(struct client_guard **out, uv_loop_t *loop,
		      const struct client_guard_budget *budget, struct error *err)
{
	struct client_guard *guard = calloc(1, sizeof(*guard));
	struct rlimit limit;

	if (!guard)
		return error_set(err, ERROR_MEMORY, "no memory for the guard of clients");
	guard->budget = *budget;
	guard->descriptor_limit = budget->descriptors_max > 0 ? budget->descriptors_max : INT32_MAX;
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < guard->descriptor_limit)
		guard->descriptor_limit = (uint32_t)limit.rlim_cur;
	uv_timer_init(loop, &guard->timer);
	guard->timer.data = guard;
	uv_unref((uv_handle_t *)&guard->timer);
	uv_check_init(loop, &guard->check);
	guard->check.data = guard;
	uv_unref((uv_handle_t *)&guard->check);
	guard->open_handles = 2;
	*out = guard;
	return 0;
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct client_guard *guard = handle->data;

	if (--guard->open_handles == 0)
		free(guard);
}

/* Stops guarding. */
void client_guard_close(struct client_guard *guard)
{
	uv_close((uv_handle_t *)&guard->timer, on_handle_closed);
	uv_close((uv_handle_t *)&guard->check, on_handle_closed);
}
