/*
 * Client guard: enforces the limits on the clients of all HTTP listeners of a process.
 */
#include "fescuemill/http/client_guard.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/http/server_clients.h"

#include <stdlib.h>

#define SWEEP_MS	250 /* accuracy of the time limits; they are never shorter than set */
#define ENDED_PER_SWEEP 256
#define LOG_PERIOD_MS	1000

/* Clients that were ended since the last log line. */
struct ended_counts {
	uint64_t timed_out;
	uint64_t closed;
	uint64_t large_heads;
};

struct client_guard {
	uv_timer_t timer; /* runs while there are connections */
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
	if (verdict != CLIENT_KEEP && sweep->condemned_count < ENDED_PER_SWEEP)
		sweep->list[sweep->condemned_count++] = (struct condemned){conn, req, verdict};
}

/* Ends a connection that broke a rule. */
static void end_one(struct client_guard *guard, const struct condemned *client)
{
	switch (client->verdict) {
	case CLIENT_KEEP:
		break;
	case CLIENT_CLOSE:
		guard->ended.closed++;
		counter_add(COUNTER_CLIENTS_CLOSED, 1);
		http_client_close(client->conn);
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

	if (ended->timed_out + ended->large_heads == 0 || now_ms < guard->logged_ms + LOG_PERIOD_MS)
		return;
	log_write(LOG_INFO, LOG_PART_HTTP, "Clients broke the limits and were ended.",
		  "timed_out=%llu large_heads=%llu idle_closed=%llu",
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
		http_server_sample_clients(srv, judge_one, &sweep);
	}
	for (uint32_t i = 0; i < sweep.condemned_count; i++)
		end_one(guard, &sweep.list[i]);
	counter_set(COUNTER_CLIENTS_OPEN, sweep.client_count - sweep.condemned_count);
	log_ended(guard, sweep.now_ms);
	if (sweep.client_count == 0)
		uv_timer_stop(timer);
}

/* Starts the sweeps, as there is a connection now. */
void client_guard_accepted(struct client_guard *guard)
{
	if (!uv_is_active((uv_handle_t *)&guard->timer) &&
	    !uv_is_closing((uv_handle_t *)&guard->timer))
		uv_timer_start(&guard->timer, on_sweep, SWEEP_MS, SWEEP_MS);
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
int client_guard_open(struct client_guard **out, uv_loop_t *loop, const struct client_rules *rules,
		      struct error *err)
{
	struct client_guard *guard = calloc(1, sizeof(*guard));

	if (!guard)
		return error_set(err, ERROR_MEMORY, "no memory for the guard of clients");
	guard->rules = *rules;
	uv_timer_init(loop, &guard->timer);
	guard->timer.data = guard;
	uv_unref((uv_handle_t *)&guard->timer);
	*out = guard;
	return 0;
}

static void free_guard(uv_handle_t *handle)
{
	free(handle->data);
}

/* Stops guarding. */
void client_guard_close(struct client_guard *guard)
{
	uv_close((uv_handle_t *)&guard->timer, free_guard);
}
