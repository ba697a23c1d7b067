/*
 * Allotments, home side.
 *
 * The share is what brings the calls admitted to the rate, and the bucket's level to 0 within
 * LEVEL_TIME_S. While the bucket has room for the demand of that time, the share is 1.
 *
 * Entries report seldom while a customer is far below its limit. Until an entry reports, the home
 * takes from the bucket what the entry needs for its demand; its report corrects that.
 *
 * A new home does not know what an earlier one gave. It starts with a full bucket and subtracts
 * what the entries report to have admitted in the last 5 s beyond the rate; if an entry was
 * limited, the bucket was empty.
 */
#include "fescuemill/decide/allotment_home.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RATE_TIME_S	 0.25 /* time over which an entry's demand is averaged */
#define RATE_PERIOD_US	 50000ULL
#define LEVEL_TIME_S	 0.5
#define LEVEL_INTERVALS	 1.5 /* a share that changed is known to all after an interval */
#define SETTLE_US	 (500 * USEC_PER_MSEC)
#define SETTLE_PART	 0.5 /* part of the rate that a new home gives until then */
#define NEAR_DEMAND	 0.5 /* demand, as a part of the rate, from which entries report often */
#define NEAR_LEVEL	 0.5 /* level, as a part of the burst, below which they do */
#define INTERVAL_MIN_US	 (150 * USEC_PER_MSEC)
#define INTERVAL_MAX_US	 (4 * USEC_PER_SEC)
#define FAR_MIN_S	 1.0
#define FAR_MAX_S	 5.0
#define FIRST_S		 0.4 /* intervals of an entry start at this and double */
#define INTERVAL_SPARE	 1.5 /* the credit lasts for this many intervals */
#define INTERVAL_MORE_S	 0.3
#define FAR_PART	 0.25  /* part of a window that entries far below may admit unasked */
#define NEAR_REPORTS_S	 64.0  /* reports a second that a home asks for; 250 bytes each way */
#define REPORTS_BURST	 400.0 /* reports beyond that, after a time of few */
#define CREDIT_SLACK	 0.2   /* part of the slack that is given as credit */
#define REPORTER_IDLE_US (60 * USEC_PER_SEC)
#define SILENT_US	 (400 * USEC_PER_MSEC) /* beyond an interval: the entry has no calls */
#define GAP_MAX_S	 5.0
#define SWEEP_US	 (100 * USEC_PER_MSEC)
#define PROMISE_TIME_S	 0.3
#define PUSHES_S	 8.0   /* words a second that a home sends unasked */
#define PUSHES_BURST	 200.0 /* when customers become limited */
#define PUSH_IDLE_US	 (60 * USEC_PER_SEC)
#define PUSH_DIVISOR	 4 /* a share that differs by more than this part is pushed */
#define DEMAND_MIN	 1e-3
/* Of a large burst only a part is given at once: what many entries admit before their next report
 * comes on top. */
#define BURST_WHOLE   20.0
#define BURST_PART    0.5
#define CALL_MILLI    1e-9 /* rate_milli x microseconds -> calls */
#define REPORTERS_MIN 16

/* Opens the accounts of at most `capacity` customers. Errors: ERROR_MEMORY. */
int allotment_home_init(struct allotment_home *home, uint32_t capacity, struct error *err)
{
	memset(home, 0, sizeof(*home));
	allotment_members_update(&home->members, 1, 0);
	home->report_tokens = REPORTS_BURST;
	home->push_tokens = PUSHES_BURST;
	home->accounts = calloc(capacity, sizeof(home->accounts[0]));
	if (!home->accounts)
		return error_set(err, ERROR_MEMORY, "no memory for %u accounts", capacity);
	if (slot_map_init(&home->map, capacity, err) != 0) {
		free(home->accounts);
		home->accounts = NULL;
		return -1;
	}
	return 0;
}

/* Removes an account, because this node is no longer its home or it has no calls. */
void allotment_home_drop(struct allotment_home *home, struct allotment_account *account)
{
	free(account->reporters);
	account->reporters = NULL;
	account->in_use = false;
	slot_map_remove(&home->map, account->limit.customer, (uint32_t)(account - home->accounts));
}

void allotment_home_release(struct allotment_home *home)
{
	if (!home->accounts)
		return;
	for (uint32_t i = 0; i < home->map.capacity; i++)
		free(home->accounts[i].reporters);
	slot_map_release(&home->map);
	free(home->accounts);
	home->accounts = NULL;
}

/* Returns the account of a customer, or NULL. */
struct allotment_account *allotment_home_find(const struct allotment_home *home, uint64_t customer)
{
	uint32_t slot;

	if (!home->accounts)
		return NULL;
	slot = slot_map_first(&home->map, customer);
	while (slot != SLOT_NONE && home->accounts[slot].limit.customer != customer)
		slot = slot_map_next(&home->map, slot);
	return slot == SLOT_NONE ? NULL : &home->accounts[slot];
}

/* Returns the part of the limit that this home gives out. Members that are cut off keep theirs. */
static double part_of(const struct allotment_home *home)
{
	return (double)home->members.live / home->members.known;
}

/* Returns the rate that this home gives out, in calls a second. */
static double rate_of(const struct allotment_home *home, const struct allotment_account *account)
{
	return account->limit.rate_milli * 1e-3 * part_of(home);
}

/* Returns the most calls that this home gives at once. */
static double burst_of(const struct allotment_home *home, const struct allotment_account *account)
{
	double burst = account->limit.burst;

	return fmin(burst, fmax(BURST_WHOLE, BURST_PART * burst)) * part_of(home);
}

/* Adds the calls of the rate to the bucket and takes those that the entries are assumed to admit
 * until they report. */
static void refill(const struct allotment_home *home, struct allotment_account *account,
		   uint64_t now_us)
{
	double most = burst_of(home, account);
	double passed_s = (double)(now_us - account->refill_us) / USEC_PER_SEC;

	account->level += (rate_of(home, account) - account->use) * passed_s;
	if (account->level > most)
		account->level = most;
	/* What was admitted longer ago than a window must not stop the customer: reports of calls
	 * from before a limit was lowered would do so for minutes. */
	if (account->level < -allotment_window_calls(&account->limit))
		account->level = -allotment_window_calls(&account->limit);
	account->refill_us = now_us;
}

/* Returns the time between two reports of an entry near the limit. The reports that this node asks
 * for are spread over time if they are many, but not at once: a change of load is followed fast. */
static double near_interval_s(const struct allotment_home *home, bool is_limited)
{
	double least_s = (double)INTERVAL_MIN_US / USEC_PER_SEC;
	double most_s = (double)INTERVAL_MAX_US / USEC_PER_SEC;

	double scarce = is_limited ? fmin(1, 2 - 2 * home->report_tokens / REPORTS_BURST) : 1;

	return fmin(most_s, fmax(least_s, home->active / NEAR_REPORTS_S * scarce));
}

/* Computes the share of the offered calls that the entries may admit. */
static void update_share(const struct allotment_home *home, struct allotment_account *account,
			 uint64_t now_us)
{
	double rate = rate_of(home, account);
	double time_s =
		fmax(LEVEL_TIME_S, LEVEL_INTERVALS * near_interval_s(home, account->share < 1));
	double spare = fmax(0, account->level - NEAR_LEVEL * burst_of(home, account));
	double target = rate + (account->level - spare) / time_s + spare / LEVEL_TIME_S;

	if (now_us < account->settled_us && account->was_limited && target > rate * SETTLE_PART)
		target = rate * SETTLE_PART;
	if (target < 0)
		target = 0;
	account->share = account->demand > target ? target / account->demand : 1;
}

static struct allotment_account *add_account(struct allotment_home *home,
					     const struct allotment_limit *limit, uint64_t now_us)
{
	uint32_t slot = slot_map_insert(&home->map, limit->customer);
	struct allotment_account *account;

	if (slot == SLOT_NONE)
		return NULL;
	account = &home->accounts[slot];
	memset(account, 0, sizeof(*account));
	account->in_use = true;
	account->limit = *limit;
	account->refill_us = now_us;
	account->swept_us = now_us;
	account->settled_us = now_us + SETTLE_US;
	account->level = burst_of(home, account);
	account->past = rate_of(home, account) * (double)ALLOTMENT_WINDOW_US / USEC_PER_SEC;
	account->share = 1;
	return account;
}

/* Applies the limit in force. The level of a lowered limit is scaled down with the burst; a raised
 * burst is free at once. */
static void set_limit(const struct allotment_home *home, struct allotment_account *account,
		      const struct allotment_limit *limit, uint64_t now_us)
{
	uint32_t old_burst = account->limit.burst;

	if (limit->rate_milli == account->limit.rate_milli && limit->burst == old_burst)
		return;
	refill(home, account, now_us);
	account->limit = *limit;
	if (limit->burst > old_burst)
		account->level += (limit->burst - old_burst) * part_of(home);
	else if (account->level > 0 && old_burst)
		account->level *= (double)limit->burst / old_burst;
	refill(home, account, now_us);
	update_share(home, account, now_us);
}

/* Applies a changed configuration to the account of a customer, if there is one. */
void allotment_home_set_limit(struct allotment_home *home, const struct allotment_limit *limit,
			      uint64_t now_us)
{
	struct allotment_account *account = allotment_home_find(home, limit->customer);

	if (account)
		set_limit(home, account, limit, now_us);
}

/* Returns the slot of a reporter, or the free slot where it would be inserted. */
static struct allotment_reporter *probe(struct allotment_reporter *reporters, uint32_t capacity,
					uint64_t node_id)
{
	uint32_t slot = (uint32_t)slot_hash(node_id, 1) & (capacity - 1);

	while (reporters[slot].in_use && reporters[slot].node_id != node_id)
		slot = (slot + 1) & (capacity - 1);
	return &reporters[slot];
}

/* Moves the reporters that are not idle to a table of a capacity that fits them. */
static bool rebuild(struct allotment_account *account, uint64_t now_us)
{
	struct allotment_reporter *old = account->reporters;
	uint32_t old_capacity = account->reporter_capacity;
	uint32_t capacity = REPORTERS_MIN;
	struct allotment_reporter *grown;

	while (capacity < 4 * account->reporter_count)
		capacity *= 2;
	grown = calloc(capacity, sizeof(grown[0]));
	if (!grown)
		return false;
	account->reporter_count = 0;
	for (uint32_t i = 0; i < old_capacity; i++) {
		if (!old[i].in_use || now_us > old[i].reported_us + REPORTER_IDLE_US)
			continue;
		*probe(grown, capacity, old[i].node_id) = old[i];
		account->reporter_count++;
	}
	free(old);
	account->reporters = grown;
	account->reporter_capacity = capacity;
	return true;
}

/* Returns the reporter of a node, which may be new; NULL without memory. */
static struct allotment_reporter *reporter_of(struct allotment_account *account, uint64_t node_id,
					      uint64_t now_us)
{
	struct allotment_reporter *reporter;

	if (2 * (account->reporter_count + 1) > account->reporter_capacity &&
	    !rebuild(account, now_us))
		return NULL;
	reporter = probe(account->reporters, account->reporter_capacity, node_id);
	if (!reporter->in_use) {
		memset(reporter, 0, sizeof(*reporter));
		reporter->node_id = node_id;
		reporter->in_use = true;
		account->reporter_count++;
	}
	return reporter;
}

/* Sets a reporter's demand and adds the difference to the customer's. */
static void set_rate(struct allotment_account *account, struct allotment_reporter *reporter,
		     double rate, bool counts)
{
	if (reporter->counts)
		account->demand -= reporter->rate;
	reporter->rate = rate;
	reporter->counts = counts;
	if (counts)
		account->demand += rate;
	if (account->demand < 0)
		account->demand = 0;
}

/* Adds to `assumed` what an entry is assumed to have admitted up to now. */
static void assume_until(struct allotment_reporter *reporter, uint64_t now_us)
{
	double passed_s = (double)(now_us - reporter->assumed_us) / USEC_PER_SEC;

	reporter->assumed += reporter->use * passed_s;
	reporter->assumed_us = now_us;
}

/* Sets what an entry is assumed to admit from now on. The account must have been refilled. */
static void set_use(struct allotment_account *account, struct allotment_reporter *reporter,
		    double use, uint64_t now_us)
{
	assume_until(reporter, now_us);
	account->use += use - reporter->use;
	if (account->use < 0)
		account->use = 0;
	reporter->use = use;
}

/* Puts back what was assumed, because the entry has reported or is silent. */
static void end_assumption(struct allotment_account *account, struct allotment_reporter *reporter,
			   uint64_t now_us)
{
	set_use(account, reporter, 0, now_us);
	account->level += reporter->assumed;
	reporter->assumed = 0;
}

/* Counts calls offered at an entry towards its demand. */
static void count_offered(struct allotment_account *account, struct allotment_reporter *reporter,
			  uint32_t offered, uint64_t now_us)
{
	double passed_s = (double)(now_us - reporter->counted_us) / USEC_PER_SEC;
	double rate;

	reporter->uncounted += offered;
	if (now_us < reporter->counted_us + RATE_PERIOD_US)
		return;
	rate = reporter->uncounted / passed_s;
	rate = reporter->rate + (rate - reporter->rate) * (1 - exp(-passed_s / RATE_TIME_S));
	reporter->uncounted = 0;
	reporter->counted_us = now_us;
	set_rate(account, reporter, rate, true);
}

/* Returns the demand of an entry that reports for the first time. A new entry reports a short time
 * after its first call: the calls since then show its demand, weighted like those of later reports.
 */
static double first_rate(const struct allotment_report *report)
{
	double window_s = (double)ALLOTMENT_WINDOW_US / USEC_PER_SEC;

	if (report->was_told || !report->offered)
		return report->recent / window_s;
	return (report->offered - 1) / RATE_TIME_S;
}

/* Counts the first report of an entry. What it admitted earlier than 5 s ago is past; the rest may
 * have been counted by another home, which makes this one give less. */
static void count_first(struct allotment_account *account, struct allotment_reporter *reporter,
			const struct allotment_report *report, uint64_t now_us)
{
	/* What the rate gave in the last 5 s did not come out of the burst. */
	double past = report->was_told ? fmin(report->recent, account->past) : 0;

	account->past -= past;
	account->level -= report->recent - past;
	account->was_limited |= report->is_limited;
	if (report->is_limited && now_us < account->settled_us && account->level > 0)
		account->level = 0;
	end_assumption(account, reporter, now_us);
	reporter->epoch = report->epoch;
	reporter->counted_us = now_us;
	reporter->uncounted = 0;
	set_rate(account, reporter, first_rate(report), true);
}

/* Counts what an entry did since its last report. An older report that was overtaken counts
 * nothing. */
static void count_report(struct allotment_account *account, struct allotment_reporter *reporter,
			 const struct allotment_report *report, uint64_t now_us)
{
	uint32_t used = report->admitted - report->given_back;
	uint32_t offered = report->offered - reporter->offered;

	if (!reporter->reported_us || reporter->epoch != report->epoch) {
		count_first(account, reporter, report, now_us);
	} else if ((int32_t)offered >= 0) {
		end_assumption(account, reporter, now_us);
		account->level -= (int32_t)(used - reporter->used);
		count_offered(account, reporter, offered, now_us);
	} else {
		return;
	}
	reporter->offered = report->offered;
	reporter->used = used;
	reporter->reported_us = now_us;
}

/* Returns true if the customer is so near its limit that its entries must report often. */
static bool is_near(const struct allotment_home *home, const struct allotment_account *account)
{
	return account->share < 1 || account->demand > NEAR_DEMAND * rate_of(home, account) ||
	       account->level < NEAR_LEVEL * burst_of(home, account);
}

/* Returns the time after which entries are to report. Entries far below the limit may admit a part
 * of a window unasked. */
static double interval_s(const struct allotment_home *home, const struct allotment_account *account)
{
	double calls = FAR_PART * allotment_window_calls(&account->limit);
	double seconds = calls / (account->demand + DEMAND_MIN) / INTERVAL_SPARE;

	if (is_near(home, account))
		return near_interval_s(home, account->share < 1);
	return fmin(FAR_MAX_S, fmax(FAR_MIN_S, seconds));
}

/* Returns the calls that an entry may admit beyond those that it reported: what it needs for its
 * demand until its next report, and an equal part of the level and of the slack. */
static uint32_t credit_of(struct allotment_account *account,
			  const struct allotment_reporter *reporter, double seconds, double part)
{
	double spare =
		account->level + allotment_slack_calls(&account->limit) * CREDIT_SLACK * part;
	double calls =
		fmax(spare, 0) / account->reporter_count +
		reporter->rate * account->share * (seconds * INTERVAL_SPARE + INTERVAL_MORE_S);
	double whole = floor(calls);

	if (account->share <= 0)
		return 0;
	/* The parts of a call are collected and given to one entry after the other. */
	account->dither += calls - whole;
	if (account->dither >= 1) {
		account->dither -= 1;
		whole += 1;
	}
	return whole < UINT16_MAX ? (uint32_t)whole : UINT16_MAX;
}

/* Reserves a call of the level for an entry where a call waits. Returns false if there is none. The
 * reservation lapses, since the call is then reported or gone. */
static bool promise(struct allotment_account *account, uint64_t now_us)
{
	double passed_s = (double)(now_us - account->promised_us) / USEC_PER_SEC;

	account->promised *= exp(-passed_s / PROMISE_TIME_S);
	account->promised_us = now_us;
	if (account->level - account->promised < 1)
		return false;
	account->promised += 1;
	return true;
}

/* Fills in what an entry is told. */
static void fill_word(const struct allotment_home *home, struct allotment_account *account,
		      struct allotment_reporter *reporter, struct allotment_word *word,
		      uint64_t now_us)
{
	double seconds = fmin(interval_s(home, account), 2 * reporter->told_s + FIRST_S);
	double rate = rate_of(home, account);
	double wait_s = account->level < 1 && rate > 0 ? (1 - account->level) / rate : 0;
	double units = 1e6 / ALLOTMENT_TIME_UNIT_US;

	word->customer = account->limit.customer;
	word->epoch = reporter->epoch;
	word->used = reporter->used;
	word->rate_milli = account->limit.rate_milli;
	word->share = (uint16_t)(account->share * ALLOTMENT_SHARE_ONE);
	word->credit = (uint16_t)credit_of(account, reporter, seconds, part_of(home));
	word->interval = (uint16_t)(seconds * units);
	word->wait = (uint16_t)(wait_s * units < UINT16_MAX ? wait_s * units : UINT16_MAX);
	reporter->told_share = word->share;
	reporter->told_s = seconds;
	set_use(account, reporter, reporter->counts ? reporter->rate * account->share : 0, now_us);
}

/* Takes a report and fills in the answer. Returns false if there is no room for the customer: its
 * entries then use their equal parts. */
bool allotment_home_take_report(struct allotment_home *home, const struct allotment_limit *limit,
				uint64_t node_id, const struct allotment_report *report,
				uint64_t now_us, struct allotment_word *word)
{
	struct allotment_account *account = allotment_home_find(home, report->customer);
	struct allotment_reporter *reporter;

	if (!account)
		account = add_account(home, limit, now_us);
	if (!account)
		return false;
	set_limit(home, account, limit, now_us);
	reporter = reporter_of(account, node_id, now_us);
	if (!reporter)
		return false;
	refill(home, account, now_us);
	count_report(account, reporter, report, now_us);
	refill(home, account, now_us);
	account->used_us = now_us;
	update_share(home, account, now_us);
	if (account->share < 1)
		home->report_tokens = fmax(0, home->report_tokens - 1);
	fill_word(home, account, reporter, word, now_us);
	if (report->is_waiting && !word->credit && promise(account, now_us))
		word->credit = 1;
	return true;
}

/* Returns true if a reporter is to be told a changed share before it reports again. */
static bool needs_push(const struct allotment_account *account,
		       const struct allotment_reporter *reporter, uint64_t now_us)
{
	uint32_t share = (uint32_t)(account->share * ALLOTMENT_SHARE_ONE);
	uint32_t told = reporter->told_share;
	bool is_active = reporter->counts;

	if (!reporter->in_use || now_us > reporter->reported_us + PUSH_IDLE_US)
		return false;
	/* An entry without calls is told only that the customer has become limited. */
	if (!is_active)
		return told == ALLOTMENT_SHARE_ONE && share < told;
	return share + share / PUSH_DIVISOR < told || told + told / PUSH_DIVISOR < share ||
	       (told < ALLOTMENT_SHARE_ONE && share == ALLOTMENT_SHARE_ONE);
}

/* Finds the next entry that is to be told a changed share, and fills in the word. */
bool allotment_home_next_push(struct allotment_home *home, struct allotment_account *account,
			      uint64_t now_us, uint64_t *node_id, struct allotment_word *word)
{
	for (uint32_t i = 0; i < account->reporter_capacity && home->push_tokens >= 1; i++) {
		uint32_t slot = account->push_cursor++ & (account->reporter_capacity - 1);
		struct allotment_reporter *reporter = &account->reporters[slot];

		if (!needs_push(account, reporter, now_us))
			continue;
		refill(home, account, now_us);
		fill_word(home, account, reporter, word, now_us);
		*node_id = reporter->node_id;
		home->push_tokens -= 1;
		return true;
	}
	return false;
}

/* Returns true if an entry has not reported for longer than its interval and the time of two calls:
 * it reports only with a call. */
static bool is_silent(const struct allotment_reporter *reporter, uint64_t now_us)
{
	double seconds = reporter->told_s + fmin(2 / (reporter->rate + DEMAND_MIN), GAP_MAX_S);

	return now_us > reporter->reported_us + SILENT_US + (uint64_t)(seconds * USEC_PER_SEC);
}

/* Stops counting the demand of entries that no longer report; returns the number of those that do
 * and that are asked to report often. */
static uint32_t sweep_account(const struct allotment_home *home, struct allotment_account *account,
			      uint64_t now_us)
{
	uint32_t active = 0;

	refill(home, account, now_us);
	for (uint32_t i = 0; i < account->reporter_capacity; i++) {
		struct allotment_reporter *reporter = &account->reporters[i];

		if (!reporter->in_use || !reporter->counts)
			continue;
		if (is_silent(reporter, now_us)) {
			end_assumption(account, reporter, now_us);
			set_rate(account, reporter, reporter->rate, false);
		} else
			active++;
	}
	refill(home, account, now_us);
	update_share(home, account, now_us);
	return is_near(home, account) ? active : 0;
}

/* Runs the periodic work: brings the shares up to date and drops accounts without calls. */
void allotment_home_tick(struct allotment_home *home, uint64_t now_us)
{
	uint32_t active = 0;

	if (!home->accounts || now_us < home->swept_us + SWEEP_US)
		return;
	home->report_tokens =
		fmin(REPORTS_BURST,
		     home->report_tokens +
			     NEAR_REPORTS_S * (double)(now_us - home->swept_us) / USEC_PER_SEC);
	home->push_tokens = fmin(PUSHES_BURST,
				 home->push_tokens + PUSHES_S * (double)(now_us - home->swept_us) /
							     USEC_PER_SEC);
	home->swept_us = now_us;
	for (uint32_t i = 0; i < home->map.capacity; i++) {
		struct allotment_account *account = &home->accounts[i];

		if (!account->in_use)
			continue;
		if (now_us > account->used_us + REPORTER_IDLE_US)
			allotment_home_drop(home, account);
		else
			active += sweep_account(home, account, now_us);
	}
	home->active = active;
}
