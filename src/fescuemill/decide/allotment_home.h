/*
 * Allotments, home side: one token bucket for each customer, filled at the customer's rate and
 * drawn by what the entries report, and the share of the offered calls that the entries may admit.
 * Pure: the caller passes in the time, finds the limits and sends the words.
 */
#ifndef FESCUEMILL_DECIDE_ALLOTMENT_HOME_H
#define FESCUEMILL_DECIDE_ALLOTMENT_HOME_H

#include "fescuemill/decide/allotment.h"
#include "fescuemill/decide/allotment_wire.h"
#include "fescuemill/decide/slot_map.h"

/* What an entry has reported about one customer. */
struct allotment_reporter {
	uint64_t node_id;
	uint32_t epoch;
	uint32_t offered;
	uint32_t used;	      /* admitted less given back */
	uint64_t reported_us; /* time of the last report */
	uint64_t counted_us;  /* when `rate` was last computed */
	uint32_t uncounted;   /* calls offered since then */
	double rate;	      /* calls offered a second */
	double use;	      /* calls a second that it is assumed to admit */
	double assumed;	      /* calls taken from the level since its last report */
	uint64_t assumed_us;  /* time up to which `assumed` counts */
	uint16_t told_share;  /* of the last word */
	double told_s;	      /* time to the next report, of the last word */
	bool counts;	      /* `rate` is part of the customer's demand */
	bool in_use;
};

struct allotment_account {
	struct allotment_limit limit;
	double level;	 /* calls in the bucket; below 0: admitted too much */
	double demand;	 /* calls offered a second by all entries */
	double dither;	 /* part of a call of credit that was not given yet */
	double share;	 /* of the offered calls to admit */
	double past;	 /* calls of the last 5 s that an earlier home may have counted */
	double promised; /* calls of the level that waiting entries were given */
	uint64_t promised_us;
	double use; /* calls a second that the entries are assumed to admit */
	uint64_t refill_us;
	uint64_t settled_us; /* until then the past is being reported */
	uint64_t used_us;    /* time of the last report */
	uint64_t swept_us;
	uint32_t reporter_count;
	uint32_t reporter_capacity;
	uint32_t push_cursor;
	struct allotment_reporter *reporters; /* a hash table by node id */
	bool was_limited; /* an entry was told a share below 1 by another home */
	bool in_use;
};

struct allotment_home {
	struct allotment_members members;
	double report_tokens; /* reports that may be asked for at once */
	double push_tokens;   /* words that may be sent unasked */
	double active;	      /* reporters that report often, of all customers */
	uint64_t swept_us;
	struct slot_map map;
	struct allotment_account *accounts;
};

int allotment_home_init(struct allotment_home *home, uint32_t capacity, struct error *err);
void allotment_home_release(struct allotment_home *home);
bool allotment_home_take_report(struct allotment_home *home, const struct allotment_limit *limit,
				uint64_t node_id, const struct allotment_report *report,
				uint64_t now_us, struct allotment_word *word);
void allotment_home_set_limit(struct allotment_home *home, const struct allotment_limit *limit,
			      uint64_t now_us);
struct allotment_account *allotment_home_find(const struct allotment_home *home, uint64_t customer);
void allotment_home_drop(struct allotment_home *home, struct allotment_account *account);
bool allotment_home_next_push(struct allotment_home *home, struct allotment_account *account,
			      uint64_t now_us, uint64_t *node_id, struct allotment_word *word);
void allotment_home_tick(struct allotment_home *home, uint64_t now_us);

#endif
