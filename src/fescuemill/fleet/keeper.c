/*
 * Keeper: reads the rosters, writes that of its own failure domain by conditional updates. A lost
 * or refused write does no harm: the roster is read again and only what is missing is written.
 */
#include "fescuemill/fleet/keeper.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/follow.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PERIOD_US	(60 * USEC_PER_SEC)  /* between two readings when rosters are not watched */
#define WRITER_TICK_US	(4 * USEC_PER_SEC)   /* between two looks of a writer at the members */
#define JOIN_WAIT_US	(8 * USEC_PER_SEC)   /* for the writers to enter a new node */
#define ENOUGH_MEMBERS	3		     /* of a domain that a new node can join by gossip */
#define ENTRY_SPREAD_US (1 * USEC_PER_SEC)   /* of first entries into a short roster */
#define CONFLICT_US	(50 * USEC_PER_MSEC) /* some answers of the store: others write too */
#define LEAVE_ATTEMPTS	3

enum keeper_stage {
	KEEPER_IDLE,
	KEEPER_READING,
	KEEPER_WRITING,
};

struct keeper {
	struct platform *platform;
	struct member_table *members;
	struct follow *follow;
	struct session_limits limits;
	struct random rng;
	uv_timer_t timer;
	struct member self;
	bool has_self;
	bool watching;
	bool leaving;
	bool closed;
	bool timer_gone;
	enum keeper_stage stage;
	uint32_t failures;
	uint32_t leave_attempts;
	uint64_t self_since_us;
	uint64_t entry_due_us; /* of this node's look whether a short roster still lacks it */
	uint64_t version;      /* of the own domain's roster as last read; 0: there is none */
	bool entered;	       /* whether this node stood in it once */
	bool has_looked_again; /* at a short roster, before entering it */
	bool has_heard;	       /* whether the first list has come */
	bool known;	       /* whether it was read at all since the last doubt */
	uint64_t read_due_us;  /* until then a writer goes by what it read or wrote last */
	struct roster roster;
	void (*left)(void *user);
	void *left_user;
};

static void check(struct keeper *keeper);

static void free_when_done(struct keeper *keeper)
{
	if (!keeper->closed || !keeper->timer_gone || keeper->stage != KEEPER_IDLE)
		return;
	roster_free(&keeper->roster);
	free(keeper);
}

static void on_timer(uv_timer_t *timer)
{
	check(timer->data);
}

static void check_after(struct keeper *keeper, uint64_t wait_us)
{
	if (!keeper->closed)
		uv_timer_start(&keeper->timer, on_timer, wait_us / USEC_PER_MSEC + 1, 0);
}

/* Counts what failed at the platform; a call that waits for the byte budget did not. */
static void count_failure(enum error_kind kind)
{
	if (kind == ERROR_CONFLICT)
		counter_add(COUNTER_ROSTER_CONFLICTS, 1);
	else if (kind != ERROR_BUDGET)
		counter_add(COUNTER_PLATFORM_FAILURES, 1);
}

/* Checks again after a back-off, reading the roster first. */
static void check_after_failure(struct keeper *keeper)
{
	keeper->known = false;
	keeper->read_due_us = 0;
	check_after(keeper, session_backoff_us(&keeper->limits, keeper->failures++, &keeper->rng));
}

/* Gives a wait around a period, from half of it to half more, so that nodes do not act together. */
static uint64_t spread_us(struct keeper *keeper, uint64_t period_us)
{
	return period_us / 2 + (uint64_t)(random_unit(&keeper->rng) * (double)period_us);
}

/* Tells whether this node is too new to judge who writes the roster, where that has enough members
 * for the others to join by gossip: its table fills only now. */
static bool is_new_in_large_domain(const struct keeper *keeper)
{
	uint64_t waited_us = clock_monotonic_us() - keeper->self_since_us;

	return !keeper->watching && keeper->roster.count >= ENOUGH_MEMBERS &&
	       waited_us < JOIN_WAIT_US;
}

/* Tells whether this node writes the roster for others. */
static bool is_writer(const struct keeper *keeper)
{
	return !is_new_in_large_domain(keeper) && roster_is_writer(keeper->members, &keeper->self);
}

/* Waits for the next regular reading; a writer looks at the members more often, so that those who
 * join need not enter themselves. */
static void rest(struct keeper *keeper)
{
	uint64_t now_us = clock_monotonic_us();

	/* What is known may be old by the next regular reading, unless it is watched. */
	keeper->known = keeper->watching;
	if (now_us >= keeper->read_due_us)
		keeper->read_due_us = now_us + spread_us(keeper, PERIOD_US);
	check_after(keeper, is_writer(keeper) ? spread_us(keeper, WRITER_TICK_US)
					      : keeper->read_due_us - now_us);
}

/* Tells whether the roster must be read before it is revised. What was read last serves until the
 * next regular reading: if it is old, the update fails on its version. */
static bool must_read(const struct keeper *keeper)
{
	return !keeper->known && clock_monotonic_us() >= keeper->read_due_us;
}

/* Puts the members of a roster into the table. */
static void learn(struct keeper *keeper, const struct roster *roster)
{
	for (uint32_t i = 0; i < roster->count; i++) {
		if (roster->members[i].identity.node_id != keeper->self.identity.node_id)
			member_upsert(keeper->members, &roster->members[i]);
	}
}

/* Takes a roster that was read. The own domain's is kept for the next write. */
static void take_roster(struct keeper *keeper, const char *name, uint64_t version, const char *json,
			size_t size)
{
	struct roster roster;
	struct error err;

	if (roster_parse(json, size, &roster, &err)) {
		counter_add(COUNTER_ROSTER_REJECTED, 1);
		log_failure(LOG_WARNING, LOG_PART_PLATFORM, "Roster not understood.", &err);
		roster_free(&roster);
		return;
	}
	learn(keeper, &roster);
	if (strcmp(name, keeper->self.domain) != 0 || version < keeper->version) {
		roster_free(&roster);
		return;
	}
	roster_free(&keeper->roster);
	keeper->roster = roster;
	keeper->version = version;
	keeper->known = true;
}

static void forget_roster(struct keeper *keeper)
{
	roster_free(&keeper->roster);
	keeper->version = 0;
	keeper->known = true;
}

static void take_item(struct keeper *keeper, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_t *value = json_object_get(item, "value");
	json_int_t version = json_integer_value(json_object_get(item, "version"));
	char *text;

	if (!name)
		return;
	if (!value) {
		if (strcmp(name, keeper->self.domain) == 0 && (uint64_t)version > keeper->version)
			forget_roster(keeper);
		return;
	}
	text = json_dumps(value, JSON_COMPACT);
	if (text)
		take_roster(keeper, name, (uint64_t)version, text, strlen(text));
	free(text);
}

/* Takes an answer of the follow: all rosters, or those that changed. */
static void on_batch(void *user, uint64_t from, const char *json, size_t size)
{
	struct keeper *keeper = user;
	json_t *root = json_loadb(json, size, 0, NULL);
	size_t index;
	json_t *item;

	keeper->has_heard = true;
	if (from == 0 && keeper->stage == KEEPER_IDLE)
		forget_roster(keeper);
	json_array_foreach(json_object_get(root, "items"), index, item)
	{
		take_item(keeper, item);
	}
	json_decref(root);
	if (!keeper->watching)
		follow_set_on(keeper->follow, false);
	check(keeper);
}

/* Brings the roster to what it should say; returns whether it must be written. */
static bool revise(struct keeper *keeper)
{
	bool changed = false;

	memcpy(keeper->roster.domain, keeper->self.domain, sizeof(keeper->roster.domain));
	if (keeper->leaving)
		return roster_remove(&keeper->roster, keeper->self.identity.node_id);
	/* The writers enter all that are new at once. */
	if (!is_new_in_large_domain(keeper))
		changed = roster_put(&keeper->roster, &keeper->self);
	if (is_writer(keeper))
		changed |= roster_prune(&keeper->roster, keeper->members);
	return changed;
}

static void finish_leave(struct keeper *keeper)
{
	void (*left)(void *user) = keeper->left;

	keeper->left = NULL;
	uv_timer_stop(&keeper->timer);
	if (left)
		left(keeper->left_user);
}

/* Takes what another writer wrote meanwhile, which came with the refusal of this node's write. Its
 * roster need not be read, and what is still missing in it is written soon. */
static void take_conflict(struct keeper *keeper, const struct platform_result *result)
{
	keeper->known = false;
	take_roster(keeper, keeper->self.domain, result->version, result->body, result->body_size);
	if (keeper->known)
		check_after(keeper, spread_us(keeper, CONFLICT_US));
	else
		check_after_failure(keeper);
}

static void on_written(void *user, const struct platform_result *result)
{
	struct keeper *keeper = user;

	keeper->stage = KEEPER_IDLE;
	if (keeper->closed) {
		free_when_done(keeper);
		return;
	}
	if (result->err.kind) {
		count_failure(result->err.kind);
		if (result->err.kind == ERROR_CONFLICT && result->has_current)
			take_conflict(keeper, result);
		else
			check_after_failure(keeper);
		return;
	}
	counter_add(COUNTER_ROSTER_WRITES, 1);
	keeper->failures = 0;
	keeper->entered = true;
	if (result->version > keeper->version)
		keeper->version = result->version;
	if (keeper->leaving)
		check_after(keeper, 0);
	else
		rest(keeper);
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
		log_failure(LOG_ERROR, LOG_PART_PLATFORM, "Roster not written.", &err);
		check_after_failure(keeper);
		return;
	}
	request.value = json;
	keeper->stage = KEEPER_WRITING;
	platform_start(keeper->platform, &request, on_written, keeper);
	free(json);
}

static void on_read(void *user, const struct platform_result *result)
{
	struct keeper *keeper = user;

	keeper->stage = KEEPER_IDLE;
	if (keeper->closed) {
		free_when_done(keeper);
		return;
	}
	if (result->err.kind && result->err.kind != ERROR_NOT_FOUND) {
		count_failure(result->err.kind);
		check_after_failure(keeper);
		return;
	}
	keeper->version = 0;
	if (result->err.kind)
		forget_roster(keeper);
	else
		take_roster(keeper, keeper->self.domain, result->version, result->body,
			    result->body_size);
	if (!keeper->known) {
		check_after_failure(keeper); /* never overwrite what is not understood */
		return;
	}
	check(keeper);
}

static void read_roster(struct keeper *keeper)
{
	struct platform_request request = {
		.type = PLATFORM_GET,
		.kind = ROSTER_KIND,
		.name = keeper->self.domain,
		.can_wait = true,
	};

	keeper->stage = KEEPER_READING;
	platform_start(keeper->platform, &request, on_read, keeper);
}

/* Tells whether this node's first entry has to wait. Where a whole failure domain starts at once
 * its roster is short, and each write but one is refused: a few that come early are enough for the
 * others to join by gossip. */
static bool holds_entry_back(const struct keeper *keeper)
{
	return !keeper->watching && !keeper->leaving && !keeper->has_looked_again &&
	       keeper->roster.count < ENOUGH_MEMBERS &&
	       !roster_has(&keeper->roster, keeper->self.identity.node_id);
}

/* Reads all rosters a second time when this node's turn to enter comes: those of the other failure
 * domains were as empty. */
static void look_again(struct keeper *keeper)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us < keeper->entry_due_us) {
		check_after(keeper, keeper->entry_due_us - now_us);
		return;
	}
	keeper->has_looked_again = true;
	keeper_refresh(keeper);
}

/* Tells whether nothing is left to do here: the writers keep the entry of a node that stands in the
 * roster, as far as it is not watched. */
static bool is_kept_by_writers(const struct keeper *keeper)
{
	return !keeper->watching && keeper->entered && !is_writer(keeper);
}

/* Does the next thing: reads the roster when it is not known, writes it when it must change. */
static void check(struct keeper *keeper)
{
	if (keeper->closed || !keeper->has_self || keeper->stage != KEEPER_IDLE)
		return;
	if (!keeper->has_heard && !keeper->leaving)
		return;
	if (keeper->leaving && (!keeper->left || keeper->leave_attempts++ >= LEAVE_ATTEMPTS)) {
		finish_leave(keeper);
		return;
	}
	if (is_kept_by_writers(keeper)) {
		if (keeper->leaving)
			finish_leave(keeper);
		else
			check_after(keeper, spread_us(keeper, PERIOD_US));
		return;
	}
	if (must_read(keeper)) {
		read_roster(keeper);
		return;
	}
	if (holds_entry_back(keeper)) {
		look_again(keeper);
		return;
	}
	if (revise(keeper)) {
		write_roster(keeper);
		return;
	}
	if (keeper->leaving) {
		finish_leave(keeper);
		return;
	}
	keeper->entered = roster_has(&keeper->roster, keeper->self.identity.node_id);
	rest(keeper);
	if (is_new_in_large_domain(keeper)) {
		keeper->read_due_us = 0; /* to see whether the writers have entered it */
		check_after(keeper, spread_us(keeper, 2 * JOIN_WAIT_US));
	}
}

/* Opens a keeper that watches the rosters. Errors: ERROR_MEMORY. */
int keeper_open(struct keeper **out, uv_loop_t *loop, struct platform *platform,
		struct member_table *members, const struct session_limits *limits, uint64_t seed,
		struct error *err)
{
	struct keeper *keeper = calloc(1, sizeof(*keeper));

	if (!keeper)
		return error_set(err, ERROR_MEMORY, "no memory for the roster keeper");
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

/* States this node's own member. */
void keeper_set_self(struct keeper *keeper, const struct member *self)
{
	if (!keeper->has_self) {
		keeper->self_since_us = clock_monotonic_us();
		keeper->entry_due_us =
			keeper->self_since_us +
			(uint64_t)(random_unit(&keeper->rng) * (double)ENTRY_SPREAD_US);
		follow_set_on(keeper->follow, true);
	}
	keeper->self = *self;
	keeper->has_self = true;
	check(keeper);
}

/* Switches between watching the rosters and reading them once. */
void keeper_set_watching(struct keeper *keeper, bool on)
{
	keeper->watching = on;
	if (on && keeper->has_self)
		follow_set_on(keeper->follow, true);
}

/* Reads all rosters again, for instance to rejoin after regions lost each other. */
void keeper_refresh(struct keeper *keeper)
{
	if (!keeper->has_self || keeper->leaving)
		return;
	follow_set_on(keeper->follow, true);
	follow_refresh(keeper->follow);
}

/* Takes this node out of the roster; calls done once, also when that failed. */
void keeper_leave(struct keeper *keeper, void (*done)(void *user), void *user)
{
	keeper->leaving = true;
	keeper->left = done;
	keeper->left_user = user;
	follow_set_on(keeper->follow, false);
	check_after(keeper, 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct keeper *keeper = handle->data;

	keeper->timer_gone = true;
	free_when_done(keeper);
}

/* Ends a keeper; its memory is freed once the loop ran and its call ended. */
void keeper_close(struct keeper *keeper)
{
	if (!keeper)
		return;
	keeper->closed = true;
	follow_close(keeper->follow);
	uv_close((uv_handle_t *)&keeper->timer, on_timer_closed);
}
