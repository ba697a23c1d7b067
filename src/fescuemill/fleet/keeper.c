/*
 * Registration: reads all rosters and writes that of this node's own failure domain by conditional
 * updates. A lost or refused write does no harm: the roster is read again, and it is written only
 * if something is still missing.
 */
#include "fescuemill/fleet/keeper.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/follow.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define READ_PERIOD_US		(60 * USEC_PER_SEC)  /* between reads if not watched */
#define WRITER_PERIOD_US	(4 * USEC_PER_SEC)   /* between a writer's checks of the members */
#define JOIN_WAIT_US		(8 * USEC_PER_SEC)   /* for the writers to add a new node */
#define MEMBERS_FOR_GOSSIP_JOIN 3		     /* of a roster; enough for others to join */
#define FIRST_ENTRY_SPREAD_US	(1 * USEC_PER_SEC)   /* of first entries in a short roster */
#define CONFLICT_RETRY_US	(50 * USEC_PER_MSEC) /* a few round trips, as others write too */
#define LEAVE_ATTEMPTS		3

enum registration_stage {
	REGISTRATION_IDLE,
	REGISTRATION_READING,
	REGISTRATION_WRITING,
};

struct keeper {
	struct platform *platform;
	struct member_table *members;
	struct follow *follow;
	struct session_limits limits;
	struct random rng;
	uv_timer_t timer;
	struct member self; /* this node's entry; set if has_self */
	bool has_self;
	bool watching; /* the rosters are watched continuously */
	bool leaving;
	bool closed;
	bool timer_closed;
	enum registration_stage stage;
	uint32_t failures; /* since the last successful write, for the back-off */
	uint32_t leave_attempts;
	uint64_t self_set_at_us;
	uint64_t first_entry_due_us; /* when this node may enter a short roster */
	uint64_t version; /* of the own failure domain's roster as last read or written; 0: none */
	bool is_registered;    /* the roster had this node's entry when last read or written */
	bool has_reread;       /* all rosters were read again before the entry into a short one */
	bool has_listed;       /* the answer to the first list has arrived */
	bool roster_known;     /* `roster` is current; cleared when it may be outdated */
	uint64_t next_read_us; /* until then a writer relies on the roster it read or wrote last */
	struct roster roster;  /* of the own failure domain */
	void (*on_left)(void *user);
	void *on_left_user;
};

static void advance(struct keeper *keeper);

static void free_when_closed(struct keeper *keeper)
{
	if (!keeper->closed || !keeper->timer_closed || keeper->stage != REGISTRATION_IDLE)
		return;
	roster_free(&keeper->roster);
	free(keeper);
}

static void on_timer(uv_timer_t *timer)
{
	advance(timer->data);
}

static void advance_after(struct keeper *keeper, uint64_t wait_us)
{
	if (!keeper->closed)
		uv_timer_start(&keeper->timer, on_timer, wait_us / USEC_PER_MSEC + 1, 0);
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
static void advance_after_failure(struct keeper *keeper)
{
	keeper->roster_known = false;
	keeper->next_read_us = 0;
	advance_after(keeper,
		      session_backoff_us(&keeper->limits, keeper->failures++, &keeper->rng));
}

/* Returns a random wait of 0.5 to 1.5 periods, so that nodes do not act at the same time. */
static uint64_t spread_us(struct keeper *keeper, uint64_t period_us)
{
	return period_us / 2 + (uint64_t)(random_unit(&keeper->rng) * (double)period_us);
}

/* Returns true if this node's member table is still filling, so that the node cannot tell yet who
 * the roster's writers are. Applies only to a roster with enough members for new nodes to join by
 * gossip. */
static bool is_new_in_large_domain(const struct keeper *keeper)
{
	uint64_t waited_us = clock_monotonic_us() - keeper->self_set_at_us;

	return !keeper->watching && keeper->roster.count >= MEMBERS_FOR_GOSSIP_JOIN &&
	       waited_us < JOIN_WAIT_US;
}

/* Returns true if this node maintains the roster for the other nodes. */
static bool is_writer(const struct keeper *keeper)
{
	return !is_new_in_large_domain(keeper) && roster_is_writer(keeper->members, &keeper->self);
}

/* Waits for the next regular read. A writer checks the member table more often, so that new nodes
 * need not add themselves to the roster. */
static void wait_for_next_check(struct keeper *keeper)
{
	uint64_t now_us = clock_monotonic_us();

	/* The roster may be outdated by the next regular read, unless it is watched. */
	keeper->roster_known = keeper->watching;
	if (now_us >= keeper->next_read_us)
		keeper->next_read_us = now_us + spread_us(keeper, READ_PERIOD_US);
	advance_after(keeper, is_writer(keeper) ? spread_us(keeper, WRITER_PERIOD_US)
						: keeper->next_read_us - now_us);
}

/* Returns true if the roster must be read before it is updated. The roster that was read last is
 * used until the next regular read: if it is outdated, the platform refuses the update because of
 * its version. */
static bool must_read(const struct keeper *keeper)
{
	return !keeper->roster_known && clock_monotonic_us() >= keeper->next_read_us;
}

/* Adds the members of a roster to the member table. */
static void add_members(struct keeper *keeper, const struct roster *roster)
{
	for (uint32_t i = 0; i < roster->count; i++) {
		if (roster->members[i].identity.node_id != keeper->self.identity.node_id)
			member_upsert(keeper->members, &roster->members[i]);
	}
}

/* Applies a roster that was read: adds its members to the member table. The roster of the own
 * failure domain is kept for the next write. */
static void apply_roster(struct keeper *keeper, const char *name, uint64_t version,
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
	add_members(keeper, &roster);
	if (strcmp(name, keeper->self.domain) != 0 || version < keeper->version) {
		roster_free(&roster);
		return;
	}
	roster_free(&keeper->roster);
	keeper->roster = roster;
	keeper->version = version;
	keeper->roster_known = true;
}

static void clear_roster(struct keeper *keeper)
{
	roster_free(&keeper->roster);
	keeper->version = 0;
	keeper->roster_known = true;
}

static void apply_item(struct keeper *keeper, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_t *value = json_object_get(item, "value");
	json_int_t version = json_integer_value(json_object_get(item, "version"));
	char *text;

	if (!name)
		return;
	if (!value) {
		if (strcmp(name, keeper->self.domain) == 0 && (uint64_t)version > keeper->version)
			clear_roster(keeper);
		return;
	}
	text = json_dumps(value, JSON_COMPACT);
	if (text)
		apply_roster(keeper, name, (uint64_t)version, text, strlen(text));
	free(text);
}

/* Handles a batch of the list-and-watch: all rosters if `from` is 0, else those that changed. */
static void on_batch(void *user, uint64_t from, const char *json, size_t size)
{
	struct keeper *keeper = user;
	json_t *root = json_loadb(json, size, 0, NULL);
	size_t index;
	json_t *item;

	keeper->has_listed = true;
	if (from == 0 && keeper->stage == REGISTRATION_IDLE)
		clear_roster(keeper);
	json_array_foreach(json_object_get(root, "items"), index, item)
	{
		apply_item(keeper, item);
	}
	json_decref(root);
	if (!keeper->watching)
		follow_set_on(keeper->follow, false);
	advance(keeper);
}

/* Updates the kept roster. Returns true if it changed and must be written. */
static bool update_roster(struct keeper *keeper)
{
	bool changed = false;

	memcpy(keeper->roster.domain, keeper->self.domain, sizeof(keeper->roster.domain));
	if (keeper->leaving)
		return roster_remove(&keeper->roster, keeper->self.identity.node_id);
	/* The writers add several new nodes in one write. */
	if (!is_new_in_large_domain(keeper))
		changed = roster_put(&keeper->roster, &keeper->self);
	if (is_writer(keeper))
		changed |= roster_reconcile(&keeper->roster, keeper->members);
	return changed;
}

static void finish_leave(struct keeper *keeper)
{
	void (*left)(void *user) = keeper->on_left;

	keeper->on_left = NULL;
	uv_timer_stop(&keeper->timer);
	if (left)
		left(keeper->on_left_user);
}

/* Applies the roster that another writer has written meanwhile. The platform sends it when it
 * refuses this node's write, so it need not be read; what it still lacks is written soon. */
static void apply_conflict(struct keeper *keeper, const struct platform_result *result)
{
	keeper->roster_known = false;
	apply_roster(keeper, keeper->self.domain, result->version, result->body, result->body_size);
	if (keeper->roster_known)
		advance_after(keeper, spread_us(keeper, CONFLICT_RETRY_US));
	else
		advance_after_failure(keeper);
}

static void on_written(void *user, const struct platform_result *result)
{
	struct keeper *keeper = user;

	keeper->stage = REGISTRATION_IDLE;
	if (keeper->closed) {
		free_when_closed(keeper);
		return;
	}
	if (result->err.kind) {
		count_failure(result->err.kind);
		if (result->err.kind == ERROR_CONFLICT && result->has_current)
			apply_conflict(keeper, result);
		else
			advance_after_failure(keeper);
		return;
	}
	counter_add(COUNTER_ROSTER_WRITES, 1);
	keeper->failures = 0;
	keeper->is_registered = true;
	if (result->version > keeper->version)
		keeper->version = result->version;
	if (keeper->leaving)
		advance_after(keeper, 0);
	else
		wait_for_next_check(keeper);
}

static void write_roster(struct keeper *keeper)
{
	struct platform_request request = {
		.type = keeper->version ? PLATFORM_UPDATE : PLATFORM_CREATE,
		.kind = ROSTER_KIND,
		.name = keeper->self.domain,
		.version = keeper->version,
		.can_wait = true,
	};
	struct error err;
	char *json;

	if (roster_write(&keeper->roster, &json, &request.value_size, &err)) {
		log_failure(LOG_ERROR, LOG_PART_PLATFORM,
			    "Roster could not be serialized; the write will be retried.", &err);
		advance_after_failure(keeper);
		return;
	}
	request.value = json;
	keeper->stage = REGISTRATION_WRITING;
	platform_start(keeper->platform, &request, on_written, keeper);
	free(json);
}

static void on_read(void *user, const struct platform_result *result)
{
	struct keeper *keeper = user;

	keeper->stage = REGISTRATION_IDLE;
	if (keeper->closed) {
		free_when_closed(keeper);
		return;
	}
	if (result->err.kind && result->err.kind != ERROR_NOT_FOUND) {
		count_failure(result->err.kind);
		advance_after_failure(keeper);
		return;
	}
	keeper->version = 0;
	if (result->err.kind)
		clear_roster(keeper);
	else
		apply_roster(keeper, keeper->self.domain, result->version, result->body,
			     result->body_size);
	if (!keeper->roster_known) {
		advance_after_failure(keeper); /* never overwrite a roster that does not parse */
		return;
	}
	advance(keeper);
}

static void read_roster(struct keeper *keeper)
{
	struct platform_request request = {
		.type = PLATFORM_GET,
		.kind = ROSTER_KIND,
		.name = keeper->self.domain,
		.can_wait = true,
	};

	keeper->stage = REGISTRATION_READING;
	platform_start(keeper->platform, &request, on_read, keeper);
}

/* Returns true if this node must wait before it adds its first entry. If a whole failure domain
 * starts at once, its roster is short and all but one of the simultaneous writes are refused. A few
 * early entries are enough for the other nodes to join by gossip. */
static bool must_delay_first_entry(const struct keeper *keeper)
{
	return !keeper->watching && !keeper->leaving && !keeper->has_reread &&
	       keeper->roster.count < MEMBERS_FOR_GOSSIP_JOIN &&
	       !roster_has(&keeper->roster, keeper->self.identity.node_id);
}

/* Waits until the first entry of this node is due, then reads all rosters a second time: at the
 * first read, those of the other failure domains may have been empty too. */
static void reread_when_due(struct keeper *keeper)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us < keeper->first_entry_due_us) {
		advance_after(keeper, keeper->first_entry_due_us - now_us);
		return;
	}
	keeper->has_reread = true;
	keeper_refresh(keeper);
}

/* Returns true if this node has nothing to do: if the rosters are not watched, the writers maintain
 * the entry of a node that is already in the roster. */
static bool is_maintained_by_writers(const struct keeper *keeper)
{
	return !keeper->watching && keeper->is_registered && !is_writer(keeper);
}

/* Takes the next step: reads the roster if it is not current, writes it if it must change, ends a
 * leave that is complete, or waits for the next check. */
static void advance(struct keeper *keeper)
{
	if (keeper->closed || !keeper->has_self || keeper->stage != REGISTRATION_IDLE)
		return;
	if (!keeper->has_listed && !keeper->leaving)
		return;
	if (keeper->leaving && (!keeper->on_left || keeper->leave_attempts++ >= LEAVE_ATTEMPTS)) {
		finish_leave(keeper);
		return;
	}
	if (is_maintained_by_writers(keeper)) {
		if (keeper->leaving)
			finish_leave(keeper);
		else
			advance_after(keeper, spread_us(keeper, READ_PERIOD_US));
		return;
	}
	if (must_read(keeper)) {
		read_roster(keeper);
		return;
	}
	if (must_delay_first_entry(keeper)) {
		reread_when_due(keeper);
		return;
	}
	if (update_roster(keeper)) {
		write_roster(keeper);
		return;
	}
	if (keeper->leaving) {
		finish_leave(keeper);
		return;
	}
	keeper->is_registered = roster_has(&keeper->roster, keeper->self.identity.node_id);
	wait_for_next_check(keeper);
	if (is_new_in_large_domain(keeper)) {
		keeper->next_read_us = 0; /* to see whether the writers have added this node */
		advance_after(keeper, spread_us(keeper, 2 * JOIN_WAIT_US));
	}
}

/* Opens a registration that watches the rosters. It makes no calls until registration_set_self().
 * Errors: ERROR_MEMORY. */
int keeper_open(struct keeper **out, uv_loop_t *loop, struct platform *platform,
		struct member_table *members, const struct session_limits *limits, uint64_t seed,
		struct error *err)
{
	struct keeper *keeper = calloc(1, sizeof(*keeper));

	if (!keeper)
		return error_set(err, ERROR_MEMORY, "no memory for the roster registration");
	if (follow_open(&keeper->follow, loop, platform, ROSTER_KIND, limits, seed, on_batch,
			keeper, err)) {
		free(keeper);
		return -1;
	}
	keeper->platform = platform;
	keeper->members = members;
	keeper->limits = *limits;
	keeper->watching = true;
	random_seed(&keeper->rng, seed + 1);
	uv_timer_init(loop, &keeper->timer);
	keeper->timer.data = keeper;
	*out = keeper;
	return 0;
}

/* Sets this node's own member entry, which is kept in the roster from then on. */
void keeper_set_self(struct keeper *keeper, const struct member *self)
{
	if (!keeper->has_self) {
		keeper->self_set_at_us = clock_monotonic_us();
		keeper->first_entry_due_us =
			keeper->self_set_at_us +
			(uint64_t)(random_unit(&keeper->rng) * (double)FIRST_ENTRY_SPREAD_US);
		follow_set_on(keeper->follow, true);
	}
	keeper->self = *self;
	keeper->has_self = true;
	advance(keeper);
}

/* Switches between watching the rosters and reading them once. */
void keeper_set_watching(struct keeper *keeper, bool on)
{
	keeper->watching = on;
	if (on && keeper->has_self)
		follow_set_on(keeper->follow, true);
}

/* Reads all rosters again, for instance to rejoin after the connection between regions was lost. */
void keeper_refresh(struct keeper *keeper)
{
	if (!keeper->has_self || keeper->leaving)
		return;
	follow_set_on(keeper->follow, true);
	follow_refresh(keeper->follow);
}

/* Removes this node from the roster. Calls `done` once, also if the removal failed. */
void keeper_leave(struct keeper *keeper, void (*done)(void *user), void *user)
{
	keeper->leaving = true;
	keeper->on_left = done;
	keeper->on_left_user = user;
	follow_set_on(keeper->follow, false);
	advance_after(keeper, 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct keeper *keeper = handle->data;

	keeper->timer_closed = true;
	free_when_closed(keeper);
}

/* Closes a registration. Its memory is freed after the loop has closed the timer and the platform
 * call in flight has ended. */
void keeper_close(struct keeper *keeper)
{
	if (!keeper)
		return;
	keeper->closed = true;
	follow_close(keeper->follow);
	uv_close((uv_handle_t *)&keeper->timer, on_timer_closed);
}
