/*
 * Registration: reads all rosters and writes that of this node's own failure domain by conditional
 * updates. A lost or refused write does no harm: the roster is read again, and it is written only
 * if something is still missing.
 */
#include "fescuemill/fleet/registration.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/list_watch.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define READ_PERIOD_US		(60 * USEC_PER_SEC) /* between reads if not watched */
#define WRITER_PERIOD_US	(4 * USEC_PER_SEC)  /* between a writer's checks of the members */
#define JOIN_WAIT_US		(8 * USEC_PER_SEC)  /* for the writers to add a new node */
#define MEMBERS_FOR_GOSSIP_JOIN 3		    /* in a roster; enough for others to join */
#define FIRST_ENTRY_SPREAD_US	(1 * USEC_PER_SEC)  /* longest wait to enter a short roster */
#define VERIFY_WAIT_US		(60 * USEC_PER_SEC) /* until a node checks what the writers wrote */
#define CONFLICT_RETRY_US	(50 * USEC_PER_MSEC) /* a few round trips, as others write too */
#define LEAVE_ATTEMPTS		3

enum registration_stage {
	REGISTRATION_IDLE,
	REGISTRATION_READING,
	REGISTRATION_WRITING,
};

struct registration {
	struct platform *platform;
	struct member_table *members;
	struct list_watch *list_watch;
	struct session_limits limits;
	struct random rng;
	uv_timer_t timer;
	struct member self; /* this node's entry; set if has_self */
	bool has_self;
	bool watching;	   /* the rosters are watched continuously */
	bool fleet_is_new; /* at the start all rosters are empty */
	bool leaving;
	bool closed;
	bool timer_closed;
	enum registration_stage stage;
	uint32_t failures; /* since the last successful write, for the back-off */
	uint32_t leave_attempts;
	uint64_t self_set_at_us;
	uint64_t first_entry_due_us; /* when this node may enter a short roster */
	uint64_t verify_due_us;	     /* when this node checks whether it is in the roster */
	uint64_t version; /* of the own failure domain's roster as last read or written; 0: none */
	bool is_registered;    /* the roster had this node's entry when last read or written */
	bool has_reread;       /* all rosters were read again before the first entry */
	bool has_listed;       /* the answer to the first list has arrived */
	bool roster_known;     /* `roster` is current; cleared when it may be outdated */
	bool must_reread;      /* the store was restored since the roster was read */
	uint64_t next_read_us; /* until then a writer relies on the roster it read or wrote last */
	struct roster roster;  /* of the own failure domain */
	void (*on_left)(void *user);
	void *on_left_user;
};

static void advance(struct registration *registration);

static void free_when_closed(struct registration *registration)
{
	if (!registration->closed || !registration->timer_closed ||
	    registration->stage != REGISTRATION_IDLE)
		return;
	roster_free(&registration->roster);
	free(registration);
}

static void on_timer(uv_timer_t *timer)
{
	advance(timer->data);
}

static void advance_after(struct registration *registration, uint64_t wait_us)
{
	if (!registration->closed)
		uv_timer_start(&registration->timer, on_timer, wait_us / USEC_PER_MSEC + 1, 0);
}

/* Counts a failed platform call. A call not sent for lack of byte budget is no failure. */
static void count_failure(enum error_kind kind)
{
	if (kind == ERROR_CONFLICT)
		counter_add(COUNTER_ROSTER_CONFLICTS, 1);
	else if (kind != ERROR_BUDGET)
		counter_add(COUNTER_PLATFORM_FAILURES, 1);
}

/* Continues after a back-off, by reading the roster again. */
static void advance_after_failure(struct registration *registration)
{
	registration->roster_known = false;
	registration->next_read_us = 0;
	advance_after(registration,
		      session_backoff_us(&registration->limits, registration->failures++,
					 &registration->rng));
}

/* Returns a random wait of 0.5 to 1.5 periods, so that nodes do not act at the same time. */
static uint64_t spread_us(struct registration *registration, uint64_t period_us)
{
	return period_us / 2 + (uint64_t)(random_unit(&registration->rng) * (double)period_us);
}

/* Returns true if this node's member table is still filling, so that the node cannot tell yet who
 * the roster's writers are. Applies only to a roster with enough members for new nodes to join by
 * gossip. */
static bool is_new_in_large_domain(const struct registration *registration)
{
	uint64_t waited_us = clock_monotonic_us() - registration->self_set_at_us;

	return !registration->watching && registration->roster.count >= MEMBERS_FOR_GOSSIP_JOIN &&
	       waited_us < JOIN_WAIT_US;
}

/* Returns true if this node maintains the roster for the other nodes. */
static bool is_writer(const struct registration *registration)
{
	return !is_new_in_large_domain(registration) &&
	       roster_is_writer(registration->members, &registration->self);
}

/* Waits for the next regular read. A writer checks the member table more often, so that new nodes
 * need not add themselves to the roster. */
static void wait_for_next_check(struct registration *registration)
{
	uint64_t now_us = clock_monotonic_us();

	/* The roster may be outdated by the next regular read, unless it is watched. */
	registration->roster_known = registration->watching;
	if (registration->must_reread) {
		advance_after(registration, 0);
		return;
	}
	if (now_us >= registration->next_read_us)
		registration->next_read_us = now_us + spread_us(registration, READ_PERIOD_US);
	advance_after(registration, is_writer(registration)
					    ? spread_us(registration, WRITER_PERIOD_US)
					    : registration->next_read_us - now_us);
}

/* Returns true if the roster must be read before it is updated. The roster that was read last is
 * used until the next regular read: if it is outdated, the platform refuses the update because of
 * its version. */
static bool must_read(const struct registration *registration)
{
	if (registration->must_reread)
		return true;
	return !registration->roster_known && clock_monotonic_us() >= registration->next_read_us;
}

/* Adds the members of a roster to the member table. */
static void add_members(struct registration *registration, const struct roster *roster)
{
	for (uint32_t i = 0; i < roster->count; i++) {
		if (roster->members[i].identity.node_id != registration->self.identity.node_id)
			member_upsert(registration->members, &roster->members[i]);
	}
}

/* Applies a roster that was read: adds its members to the member table. The roster of the own
 * failure domain is kept for the next write. */
static void apply_roster(struct registration *registration, const char *name, uint64_t version,
			 const char *json, size_t size)
{
	struct roster roster;
	struct error err;

	if (roster_parse(json, size, &roster, &err)) {
		counter_add(COUNTER_ROSTER_REJECTED, 1);
		log_failure(LOG_WARNING, LOG_PART_PLATFORM,
			    "Roster object is invalid and was ignored.", &err);
		roster_free(&roster);
		return;
	}
	add_members(registration, &roster);
	if (strcmp(name, registration->self.domain) != 0 || version < registration->version) {
		roster_free(&roster);
		return;
	}
	roster_free(&registration->roster);
	registration->roster = roster;
	registration->version = version;
	registration->roster_known = true;
}

static void clear_roster(struct registration *registration)
{
	roster_free(&registration->roster);
	registration->version = 0;
	registration->roster_known = true;
}

static void apply_item(struct registration *registration, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_t *value = json_object_get(item, "value");
	json_int_t version = json_integer_value(json_object_get(item, "version"));
	char *text;

	if (!name)
		return;
	if (!value) {
		if (strcmp(name, registration->self.domain) == 0 &&
		    (uint64_t)version > registration->version)
			clear_roster(registration);
		return;
	}
	text = json_dumps(value, JSON_COMPACT);
	if (text)
		apply_roster(registration, name, (uint64_t)version, text, strlen(text));
	free(text);
}

/* Handles a batch of the list-and-watch: all rosters if `from` is 0, else those that changed. */
static void on_batch(void *user, uint64_t from, json_t *root)
{
	struct registration *registration = user;
	size_t index;
	json_t *item;

	registration->has_listed = true;
	if (from == 0 && registration->stage == REGISTRATION_IDLE)
		clear_roster(registration);
	json_array_foreach(json_object_get(root, "items"), index, item)
	{
		apply_item(registration, item);
	}
	if (!registration->watching)
		list_watch_set_enabled(registration->list_watch, false);
	advance(registration);
}

/* Updates the kept roster. Returns true if it changed and must be written. */
static bool update_roster(struct registration *registration)
{
	bool changed = false;

	memcpy(registration->roster.domain, registration->self.domain,
	       sizeof(registration->roster.domain));
	if (registration->leaving)
		return roster_remove(&registration->roster, registration->self.identity.node_id);
	/* The writers add several new nodes in one write. */
	if (!is_new_in_large_domain(registration))
		changed = roster_put(&registration->roster, &registration->self);
	if (is_writer(registration))
		changed |= roster_reconcile(&registration->roster, registration->members);
	return changed;
}

static void finish_leave(struct registration *registration)
{
	void (*left)(void *user) = registration->on_left;

	registration->on_left = NULL;
	uv_timer_stop(&registration->timer);
	if (left)
		left(registration->on_left_user);
}

/* Applies the roster that another writer has written meanwhile. The platform sends it when it
 * refuses this node's write, so it need not be read; what it still lacks is written soon. */
static void apply_conflict(struct registration *registration, const struct platform_result *result)
{
	registration->roster_known = false;
	apply_roster(registration, registration->self.domain, result->version, result->body,
		     result->body_size);
	if (registration->roster_known)
		advance_after(registration, spread_us(registration, CONFLICT_RETRY_US));
	else
		advance_after_failure(registration);
}

static void on_written(void *user, const struct platform_result *result)
{
	struct registration *registration = user;

	registration->stage = REGISTRATION_IDLE;
	if (registration->closed) {
		free_when_closed(registration);
		return;
	}
	if (result->err.kind) {
		count_failure(result->err.kind);
		if (result->err.kind == ERROR_CONFLICT && result->has_current)
			apply_conflict(registration, result);
		else
			advance_after_failure(registration);
		return;
	}
	counter_add(COUNTER_ROSTER_WRITES, 1);
	registration->failures = 0;
	registration->is_registered = true;
	if (result->version > registration->version)
		registration->version = result->version;
	if (registration->leaving)
		advance_after(registration, 0);
	else
		wait_for_next_check(registration);
}

static void write_roster(struct registration *registration)
{
	struct platform_request request = {
		.type = registration->version ? PLATFORM_UPDATE : PLATFORM_CREATE,
		.kind = ROSTER_KIND,
		.name = registration->self.domain,
		.version = registration->version,
		.can_wait = true,
	};
	struct error err;
	char *json;

	if (roster_write(&registration->roster, &json, &request.value_size, &err)) {
		log_failure(LOG_ERROR, LOG_PART_PLATFORM,
			    "Roster could not be serialized; the write will be retried.", &err);
		advance_after_failure(registration);
		return;
	}
	request.value = json;
	registration->stage = REGISTRATION_WRITING;
	platform_start(registration->platform, &request, on_written, registration);
	free(json);
}

static void on_read(void *user, const struct platform_result *result)
{
	struct registration *registration = user;

	registration->stage = REGISTRATION_IDLE;
	if (registration->closed) {
		free_when_closed(registration);
		return;
	}
	if (result->err.kind && result->err.kind != ERROR_NOT_FOUND) {
		count_failure(result->err.kind);
		registration->must_reread = true;
		advance_after_failure(registration);
		return;
	}
	registration->version = 0;
	if (result->err.kind)
		clear_roster(registration);
	else
		apply_roster(registration, registration->self.domain, result->version, result->body,
			     result->body_size);
	if (!registration->roster_known) {
		advance_after_failure(
			registration); /* never overwrite a roster that does not parse */
		return;
	}
	advance(registration);
}

static void read_roster(struct registration *registration)
{
	struct platform_request request = {
		.type = PLATFORM_GET,
		.kind = ROSTER_KIND,
		.name = registration->self.domain,
		.can_wait = true,
	};

	registration->stage = REGISTRATION_READING;
	registration->must_reread = false;
	platform_start(registration->platform, &request, on_read, registration);
}

/* Returns true if this node must wait before it adds its first entry. If a whole failure domain
 * starts at once, its roster is short and all but one of the simultaneous writes are refused. A few
 * early entries are enough for the other nodes to join by gossip. */
static bool must_delay_first_entry(const struct registration *registration)
{
	return !registration->watching && !registration->leaving && !registration->has_reread &&
	       !registration->fleet_is_new &&
	       registration->roster.count < MEMBERS_FOR_GOSSIP_JOIN &&
	       !roster_has(&registration->roster, registration->self.identity.node_id);
}

/* Waits until the first entry of this node is due, then reads all rosters a second time: at the
 * first read, those of the other failure domains may have been empty too. */
static void reread_when_due(struct registration *registration)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us < registration->first_entry_due_us) {
		advance_after(registration, registration->first_entry_due_us - now_us);
		return;
	}
	registration->has_reread = true;
	registration_refresh(registration);
}

/* Returns true if this node has nothing to do: if the rosters are not watched, the writers maintain
 * the entries of the others. A node that is not known to be in the roster checks that once, later:
 * if each read the roster soon after its start, a start would cost a call for each node. */
static bool is_maintained_by_writers(const struct registration *registration)
{
	bool is_left_to_writers =
		registration->is_registered ||
		(!registration->leaving && registration->roster.count >= MEMBERS_FOR_GOSSIP_JOIN &&
		 clock_monotonic_us() < registration->verify_due_us);

	return !registration->watching && is_left_to_writers && !is_writer(registration);
}

/* Waits until this node may have something to do although the writers maintain its entry: until it
 * can tell whether it is a writer itself, or until it checks its entry. */
static void wait_for_writers(struct registration *registration)
{
	uint64_t now_us = clock_monotonic_us();
	uint64_t settled_us = registration->self_set_at_us + JOIN_WAIT_US;

	if (now_us < settled_us)
		advance_after(registration, settled_us - now_us);
	else if (!registration->is_registered)
		advance_after(registration, registration->verify_due_us - now_us);
	else
		advance_after(registration, spread_us(registration, READ_PERIOD_US));
}

/* Starts to read the rosters. If the fleet is new, its nodes read them one after the other, so that
 * most find the entries of the first ones. */
static void read_all_when_due(struct registration *registration)
{
	uint64_t now_us = clock_monotonic_us();

	if (registration->fleet_is_new && now_us < registration->first_entry_due_us)
		advance_after(registration, registration->first_entry_due_us - now_us);
	else
		list_watch_set_enabled(registration->list_watch, true);
}

/* Takes the next step: reads the roster if it is not current, writes it if it must change, ends a
 * leave that is complete, or waits for the next check. */
static void advance(struct registration *registration)
{
	if (registration->closed || !registration->has_self ||
	    registration->stage != REGISTRATION_IDLE)
		return;
	if (!registration->has_listed && !registration->leaving) {
		read_all_when_due(registration);
		return;
	}
	if (registration->leaving &&
	    (!registration->on_left || registration->leave_attempts++ >= LEAVE_ATTEMPTS)) {
		finish_leave(registration);
		return;
	}
	if (is_maintained_by_writers(registration)) {
		if (registration->leaving)
			finish_leave(registration);
		else
			wait_for_writers(registration);
		return;
	}
	if (must_read(registration)) {
		read_roster(registration);
		return;
	}
	if (must_delay_first_entry(registration)) {
		reread_when_due(registration);
		return;
	}
	if (update_roster(registration)) {
		write_roster(registration);
		return;
	}
	if (registration->leaving) {
		finish_leave(registration);
		return;
	}
	registration->is_registered =
		roster_has(&registration->roster, registration->self.identity.node_id);
	wait_for_next_check(registration);
}

/* Opens a registration that watches the rosters. It makes no calls until registration_set_self().
 * Errors: ERROR_MEMORY. */
int registration_open(struct registration **out, uv_loop_t *loop, struct platform *platform,
		      struct member_table *members, const struct session_limits *limits,
		      uint64_t seed, struct error *err)
{
	struct registration *registration = calloc(1, sizeof(*registration));

	if (!registration)
		return error_set(err, ERROR_MEMORY, "no memory for the roster registration");
	if (list_watch_open(&registration->list_watch, loop, platform, ROSTER_KIND, limits, seed,
			    on_batch, registration, err)) {
		free(registration);
		return -1;
	}
	registration->platform = platform;
	registration->members = members;
	registration->limits = *limits;
	registration->watching = true;
	random_seed(&registration->rng, seed + 1);
	uv_timer_init(loop, &registration->timer);
	registration->timer.data = registration;
	*out = registration;
	return 0;
}

/* Sets this node's own member entry, which is kept in the roster from then on. */
void registration_set_self(struct registration *registration, const struct member *self)
{
	if (!registration->has_self) {
		registration->self_set_at_us = clock_monotonic_us();
		registration->first_entry_due_us =
			registration->self_set_at_us +
			(uint64_t)(random_unit(&registration->rng) * (double)FIRST_ENTRY_SPREAD_US);
		registration->verify_due_us = registration->self_set_at_us + JOIN_WAIT_US +
					      spread_us(registration, VERIFY_WAIT_US);
	}
	registration->self = *self;
	registration->has_self = true;
	advance(registration);
}

/* Switches between watching the rosters and reading them once. */
void registration_set_watching(struct registration *registration, bool on)
{
	registration->watching = on;
	if (on && registration->has_self)
		list_watch_set_enabled(registration->list_watch, true);
}

/* Sets whether the whole fleet starts for the first time. */
void registration_set_fleet_is_new(struct registration *registration, bool is_new)
{
	registration->fleet_is_new = is_new;
}

/* Reads all rosters again, for instance to rejoin after the connection between regions was lost. */
void registration_refresh(struct registration *registration)
{
	if (!registration->has_self || registration->leaving)
		return;
	list_watch_set_enabled(registration->list_watch, true);
	list_watch_refresh(registration->list_watch);
}

/* Reads the own roster again: at once if this node maintains it, otherwise at the check of its own
 * entry. */
void registration_store_restored(struct registration *registration)
{
	registration->must_reread = true;
	registration->failures = 0;
	registration->is_registered = false;
	registration->verify_due_us =
		clock_monotonic_us() + spread_us(registration, VERIFY_WAIT_US);
	advance(registration);
}

/* Removes this node from the roster. Calls `done` once, also if the removal failed. */
void registration_leave(struct registration *registration, void (*done)(void *user), void *user)
{
	registration->leaving = true;
	registration->on_left = done;
	registration->on_left_user = user;
	list_watch_set_enabled(registration->list_watch, false);
	advance_after(registration, 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct registration *registration = handle->data;

	registration->timer_closed = true;
	free_when_closed(registration);
}

/* Closes a registration. Its memory is freed after the loop has closed the timer and the platform
 * call in flight has ended. */
void registration_close(struct registration *registration)
{
	if (!registration)
		return;
	registration->closed = true;
	list_watch_close(registration->list_watch);
	uv_close((uv_handle_t *)&registration->timer, on_timer_closed);
}
