/*
 * Allotments, entry side.
 *
 * Before the first word of the home an entry has a credit of its own: together the entries have a
 * part of the slack of the bound. Where that is less than a call for each entry, a hash of customer
 * and entry decides which entries have one; the others refuse the call until the home has answered.
 * So calls that come to all entries at once stay within the bound.
 */
#include "fescuemill/decide/allotment_entry.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_REPORT_US	  20000ULL /* collects the first calls of several customers */
#define EARLY_REPORT_US	  20000ULL /* least time between reports when the credit runs short */
#define EARLY_DIVISOR	  4	   /* part of a longer interval that is the least time */
#define ASK_AGAIN_US	  100000ULL
#define IDLE_US		  (60 * USEC_PER_SEC) /* state of customers without calls is dropped */
#define SWEEP_US	  USEC_PER_SEC
#define WORD_MAX_AGE_US	  (2 * USEC_PER_SEC) /* at the least; see word_max_age_us() */
#define WORD_INTERVALS	  6		     /* intervals for which a word counts */
#define CARRY_MAX	  2.0
#define BLIND_SLACK	  0.5 /* part of the slack that all entries may admit unasked */
#define UNKNOWN_RETRY_MS  50
#define RETRY_MS_MIN	  20.0
#define RETRY_MS_MAX	  5000.0
#define SHARE_DIVISOR_MIN 0.05
#define TWO_POWER_32	  4294967296.0
#define CALL_MILLI	  1e-9 /* rate_milli x microseconds -> calls */

/* Opens a table for at most `capacity` customers. Errors: ERROR_MEMORY. */
int allotment_entry_init(struct allotment_entry *entry, uint32_t capacity, uint64_t seed,
			 struct error *err)
{
	memset(entry, 0, sizeof(*entry));
	entry->seed = seed;
	entry->members = 1;
	entry->due_us = UINT64_MAX;
	entry->items = calloc(capacity, sizeof(entry->items[0]));
	if (!entry->items)
		return error_set(err, ERROR_MEMORY, "no memory for %u allotments", capacity);
	if (slot_map_init(&entry->map, capacity, err) != 0) {
		free(entry->items);
		entry->items = NULL;
		return -1;
	}
	return 0;
}

void allotment_entry_release(struct allotment_entry *entry)
{
	if (entry->items)
		slot_map_release(&entry->map);
	free(entry->items);
	entry->items = NULL;
}

/* Returns the state of a customer, or NULL. It is valid until the next sweep. */
struct allotment_item *allotment_entry_find(const struct allotment_entry *entry, uint64_t customer)
{
	uint32_t slot;

	if (!entry->items)
		return NULL;
	slot = slot_map_first(&entry->map, customer);
	while (slot != SLOT_NONE && entry->items[slot].limit.customer != customer)
		slot = slot_map_next(&entry->map, slot);
	return slot == SLOT_NONE ? NULL : &entry->items[slot];
}

static void drop(struct allotment_entry *entry, struct allotment_item *item)
{
	item->in_use = false;
	slot_map_remove(&entry->map, item->limit.customer, (uint32_t)(item - entry->items));
}

/* Returns a number in [0,1) that depends on the customer, this entry and `salt`. */
static double phase_of(const struct allotment_entry *entry, uint64_t customer, uint64_t salt)
{
	uint64_t hash = slot_hash(entry->seed, slot_hash(customer, salt));

	return (double)(uint32_t)(hash >> 16) / TWO_POWER_32;
}

/* Returns the calls that this entry may admit unasked. */
static uint32_t blind_credit(const struct allotment_entry *entry, const struct allotment_item *item)
{
	double part = allotment_slack_calls(&item->limit) * BLIND_SLACK / entry->members;

	return (uint32_t)(part + phase_of(entry, item->limit.customer, item->epoch));
}

/* Makes room by dropping the customer that has been without calls for longest. */
static void evict(struct allotment_entry *entry)
{
	struct allotment_item *oldest = NULL;

	for (uint32_t i = 0; i < entry->map.capacity; i++) {
		struct allotment_item *item = &entry->items[i];

		if (item->in_use && (!oldest || item->used_us < oldest->used_us))
			oldest = item;
	}
	if (oldest)
		drop(entry, oldest);
}

static struct allotment_item *add(struct allotment_entry *entry,
				  const struct allotment_limit *limit)
{
	struct allotment_item *item;
	uint32_t slot;

	if (entry->map.count == entry->map.capacity)
		evict(entry);
	slot = slot_map_insert(&entry->map, limit->customer);
	item = &entry->items[slot];
	memset(item, 0, sizeof(*item));
	item->in_use = true;
	item->limit = *limit;
	item->epoch = (uint32_t)slot_hash(entry->seed, ++entry->epochs);
	item->share = 1;
	item->carry = phase_of(entry, limit->customer, 0);
	item->word_rate_milli = limit->rate_milli;
	item->basis = ALLOTMENT_BLIND;
	item->credit = blind_credit(entry, item);
	return item;
}

/* Applies a changed limit. The credit and the share were given for the limit of the last word. */
static void set_limit(struct allotment_item *item, const struct allotment_limit *limit)
{
	if (limit->rate_milli == item->limit.rate_milli && limit->burst == item->limit.burst)
		return;
	if (limit->rate_milli < item->limit.rate_milli)
		item->credit = (uint32_t)((uint64_t)item->credit * limit->rate_milli /
					  item->limit.rate_milli);
	item->limit = *limit;
}

/* Returns the share for the limit in force, which may differ from that of the last word. */
static double share_of(const struct allotment_item *item)
{
	double share = item->share;

	if (item->word_rate_milli && item->word_rate_milli != item->limit.rate_milli)
		share *= (double)item->limit.rate_milli / item->word_rate_milli;
	return share < 1 ? share : 1;
}

/* Returns the calls admitted that the home has not counted, as far as this entry knows. */
static int32_t unknown_calls(const struct allotment_item *item)
{
	return (int32_t)(item->admitted - item->given_back - item->acked);
}

/* Returns the age up to which the word of the home counts. */
static uint64_t word_max_age_us(const struct allotment_item *item)
{
	uint64_t age_us = item->interval_us * WORD_INTERVALS;

	return age_us > WORD_MAX_AGE_US ? age_us : WORD_MAX_AGE_US;
}

/* Starts an equal part of the rate, at a phase of its own: entries that are cut off at the same
 * time must not admit a call each at once. */
static void start_equal(struct allotment_entry *entry, struct allotment_item *item, uint64_t now_us)
{
	item->basis = ALLOTMENT_EQUAL;
	item->tokens = phase_of(entry, item->limit.customer, now_us / USEC_PER_SEC);
	item->token_us = now_us;
}

static void refill_equal(const struct allotment_entry *entry, struct allotment_item *item,
			 uint64_t now_us)
{
	double most = 1 + item->limit.burst / (double)entry->members / 2;

	item->tokens += item->limit.rate_milli * CALL_MILLI * (double)(now_us - item->token_us) /
			entry->members;
	if (item->tokens > most)
		item->tokens = most;
	item->token_us = now_us;
}

/* Determines what the decision is based on. */
static void update_basis(struct allotment_entry *entry, struct allotment_item *item,
			 uint64_t now_us)
{
	bool is_lapsed = item->asked_us && now_us > item->asked_us + ALLOTMENT_LAPSE_US;

	/* One lost report long ago does not show that the home is silent. */
	if (is_lapsed && item->basis == ALLOTMENT_BY_SHARE &&
	    now_us > item->sent_us + ALLOTMENT_LAPSE_US) {
		item->asked_us = 0;
		is_lapsed = false;
	}
	if (is_lapsed && item->basis != ALLOTMENT_EQUAL)
		start_equal(entry, item, now_us);
	if (item->basis == ALLOTMENT_BY_SHARE && now_us > item->word_us + word_max_age_us(item)) {
		/* The credit of an old word may have been given to another entry. */
		item->basis = ALLOTMENT_BLIND;
		item->share = 1;
		item->credit = 0;
	}
}

/* Moves the counts of recent calls on to the current second. */
static void advance_recent(struct allotment_item *item, uint64_t now_us)
{
	uint64_t second = now_us / USEC_PER_SEC;
	uint64_t passed = second - item->second;

	if (passed > ALLOTMENT_RECENT_SLOTS)
		passed = ALLOTMENT_RECENT_SLOTS;
	for (uint64_t i = 0; i < passed; i++)
		item->recent[(second - i) % ALLOTMENT_RECENT_SLOTS] = 0;
	item->second = second;
}

static void set_due(struct allotment_entry *entry, struct allotment_item *item, uint64_t due_us)
{
	if (!item->due_us || due_us < item->due_us)
		item->due_us = due_us;
	if (item->due_us < entry->due_us)
		entry->due_us = item->due_us;
}

/* Sets the time of the next report after a call. */
static void schedule(struct allotment_entry *entry, struct allotment_item *item,
		     enum allotment_verdict verdict, uint64_t now_us)
{
	uint64_t early_us = item->interval_us / EARLY_DIVISOR;

	/* While the customer isn't limited, a credit that runs short shows that its load rises. */
	if (early_us < EARLY_REPORT_US || item->share >= 1)
		early_us = EARLY_REPORT_US;
	if (item->asked_us) /* a report or its answer was lost, or the answer is on its way */
		early_us = ASK_AGAIN_US;
	if (!item->sent_us)
		set_due(entry, item,
			verdict == ALLOTMENT_REFUSE_UNKNOWN ? now_us : now_us + FIRST_REPORT_US);
	else if (item->basis != ALLOTMENT_BY_SHARE ||
		 item->word_rate_milli != item->limit.rate_milli ||
		 verdict == ALLOTMENT_REFUSE_UNKNOWN ||
		 2 * unknown_calls(item) > (int32_t)item->credit)
		set_due(entry, item, item->sent_us + early_us);
	else
		set_due(entry, item, item->sent_us + item->interval_us);
}

/* Decides about one call by the state of its customer. */
static enum allotment_verdict decide(struct allotment_entry *entry, struct allotment_item *item,
				     uint64_t now_us)
{
	double share = share_of(item);

	if (item->basis == ALLOTMENT_EQUAL) {
		refill_equal(entry, item, now_us);
		if (item->tokens < 1)
			return ALLOTMENT_REFUSE;
		item->tokens -= 1;
		return ALLOTMENT_ADMIT;
	}
	item->carry += share;
	if (item->carry > CARRY_MAX)
		item->carry = CARRY_MAX;
	if (item->carry < 1)
		return ALLOTMENT_REFUSE;
	if (unknown_calls(item) >= (int32_t)item->credit) {
		if (share < 1)
			return ALLOTMENT_REFUSE;
		item->carry -= share;
		item->is_waiting = true;
		return ALLOTMENT_REFUSE_UNKNOWN;
	}
	item->carry -= 1;
	return ALLOTMENT_ADMIT;
}

/* Decides whether a call of a customer with a limit may run. */
enum allotment_verdict allotment_entry_take(struct allotment_entry *entry,
					    const struct allotment_limit *limit, uint64_t now_us,
					    struct allotment_item **taken)
{
	struct allotment_item *item = allotment_entry_find(entry, limit->customer);
	enum allotment_verdict verdict;

	if (!item)
		item = add(entry, limit);
	set_limit(item, limit);
	update_basis(entry, item, now_us);
	advance_recent(item, now_us);
	item->offered++;
	item->used_us = now_us;
	verdict = decide(entry, item, now_us);
	if (verdict == ALLOTMENT_ADMIT) {
		item->admitted++;
		item->recent[item->second % ALLOTMENT_RECENT_SLOTS]++;
	} else {
		item->refused++;
	}
	schedule(entry, item, verdict, now_us);
	*taken = item;
	return verdict;
}

/* Decides again about a call that was refused as unknown, after the home has answered. */
enum allotment_verdict allotment_entry_take_again(struct allotment_entry *entry,
						  const struct allotment_limit *limit,
						  uint64_t now_us, struct allotment_item **taken)
{
	struct allotment_item *item = allotment_entry_find(entry, limit->customer);

	if (item && item->refused) {
		item->offered--;
		item->refused--;
	}
	return allotment_entry_take(entry, limit, now_us, taken);
}

/* Gives back what a call took that was not run. */
void allotment_entry_give_back(struct allotment_entry *entry, uint64_t customer, uint64_t now_us)
{
	struct allotment_item *item = allotment_entry_find(entry, customer);
	uint32_t *slot;

	/* The state may have been dropped and created again after the call was admitted. */
	if (!item || item->given_back == item->admitted)
		return;
	advance_recent(item, now_us);
	slot = &item->recent[item->second % ALLOTMENT_RECENT_SLOTS];
	if (*slot)
		--*slot;
	item->given_back++;
	item->used_us = now_us;
	if (item->basis == ALLOTMENT_EQUAL)
		item->tokens += 1;
	schedule(entry, item, ALLOTMENT_ADMIT, now_us);
}

/* Returns the delay in milliseconds after which a refused call may find room. jitter is a random
 * number in [0,1). */
uint32_t allotment_entry_retry_ms(const struct allotment_entry *entry,
				  const struct allotment_item *item, enum allotment_verdict verdict,
				  double jitter)
{
	double call_ms = item->limit.rate_milli ? 1e6 / item->limit.rate_milli : RETRY_MS_MAX;
	double share = share_of(item);
	double wait_ms;

	if (verdict == ALLOTMENT_REFUSE_UNKNOWN)
		wait_ms = UNKNOWN_RETRY_MS;
	else if (item->basis == ALLOTMENT_EQUAL)
		wait_ms = (1 - item->tokens) * call_ms * entry->members;
	else /* the room comes back at the rate, and this caller gets it with the odds of the share
	      */
		wait_ms = (double)item->wait_us / 1e3 +
			  call_ms / (share > SHARE_DIVISOR_MIN ? share : SHARE_DIVISOR_MIN);
	if (wait_ms < RETRY_MS_MIN)
		wait_ms = RETRY_MS_MIN;
	if (wait_ms > RETRY_MS_MAX)
		wait_ms = RETRY_MS_MAX;
	return (uint32_t)(wait_ms * (1 + jitter));
}

/* Returns a customer whose report is due, or NULL. Start with a cursor of 0. */
struct allotment_item *allotment_entry_next_due(struct allotment_entry *entry, uint32_t *cursor,
						uint64_t now_us)
{
	if (*cursor == 0) {
		if (!entry->items || now_us < entry->due_us)
			return NULL;
		entry->due_us = UINT64_MAX;
	}
	while (*cursor < entry->map.capacity) {
		struct allotment_item *item = &entry->items[(*cursor)++];

		if (!item->in_use || !item->due_us)
			continue;
		if (item->due_us <= now_us)
			return item;
		if (item->due_us < entry->due_us)
			entry->due_us = item->due_us;
	}
	return NULL;
}

/* Fills in the report of a customer. It counts as sent, even if the budget does not allow it: the
 * next call makes it due again, and without an answer the entry uses its equal part. */
void allotment_entry_report(struct allotment_item *item, struct allotment_report *report,
			    uint64_t now_us)
{
	uint32_t recent = 0;

	advance_recent(item, now_us);
	for (uint32_t i = 0; i < ALLOTMENT_RECENT_SLOTS; i++)
		recent += item->recent[i];
	report->customer = item->limit.customer;
	report->epoch = item->epoch;
	report->offered = item->offered;
	report->admitted = item->admitted;
	report->given_back = item->given_back;
	report->recent = (uint16_t)(recent < UINT16_MAX ? recent : UINT16_MAX);
	report->is_limited = item->word_us && item->share < 1;
	report->was_told = item->word_us && now_us < item->word_us + ALLOTMENT_WINDOW_US;
	report->is_waiting = item->is_waiting;
	item->is_waiting = false;
	item->due_us = 0;
	item->sent_us = now_us;
	if (!item->asked_us)
		item->asked_us = now_us;
}

/* Takes a word of the home. Returns false if it is not for the state held here. */
bool allotment_entry_hear(struct allotment_entry *entry, const struct allotment_word *word,
			  uint64_t now_us)
{
	struct allotment_item *item = allotment_entry_find(entry, word->customer);

	if (!item || item->epoch != word->epoch)
		return false;
	/* An earlier word that was overtaken. A home that did not hear of calls given back may
	 * count more than there are. */
	if (item->word_us && (int32_t)(word->used - item->acked) < -(int32_t)item->given_back)
		return false;
	item->acked = word->used;
	item->share = word->share / (double)ALLOTMENT_SHARE_ONE;
	item->credit = word->credit;
	item->word_rate_milli = word->rate_milli;
	item->interval_us = word->interval * ALLOTMENT_TIME_UNIT_US;
	item->wait_us = word->wait * ALLOTMENT_TIME_UNIT_US;
	item->word_us = now_us;
	item->asked_us = 0;
	item->basis = ALLOTMENT_BY_SHARE;
	return true;
}

/* Drops the state of customers without calls. */
void allotment_entry_sweep(struct allotment_entry *entry, uint64_t now_us)
{
	if (!entry->items || now_us < entry->swept_us + SWEEP_US)
		return;
	entry->swept_us = now_us;
	for (uint32_t i = 0; i < entry->map.capacity; i++) {
		struct allotment_item *item = &entry->items[i];

		if (item->in_use && now_us > item->used_us + IDLE_US)
			drop(entry, item);
	}
}
