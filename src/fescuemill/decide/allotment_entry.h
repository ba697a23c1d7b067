/*
 * Allotments, entry side: decides whether a customer's call may run, and what to report to the
 * customer's home. Pure: the caller passes in the time and sends the reports.
 *
 * An entry admits calls by the share that the home told it, and at most a credit of calls that the
 * home has not counted yet.
 */
#ifndef FESCUEMILL_DECIDE_ALLOTMENT_ENTRY_H
#define FESCUEMILL_DECIDE_ALLOTMENT_ENTRY_H

#include "fescuemill/decide/allotment.h"
#include "fescuemill/decide/allotment_wire.h"
#include "fescuemill/decide/slot_map.h"

#define ALLOTMENT_RECENT_SLOTS 5 /* of a second each */

enum allotment_verdict {
	ALLOTMENT_ADMIT,
	ALLOTMENT_REFUSE,
	/* Refused because the home has not said yet whether there is room; its answer is due
	 * within a round trip. */
	ALLOTMENT_REFUSE_UNKNOWN,
};

enum allotment_basis {
	ALLOTMENT_BY_SHARE, /* the home's word */
	ALLOTMENT_BLIND,    /* no word yet */
	ALLOTMENT_EQUAL,    /* the home does not answer */
};

/* State of one customer at an entry. */
struct allotment_item {
	struct allotment_limit limit;
	uint64_t home; /* node id; 0: not looked up yet */
	uint64_t home_revision;
	uint32_t epoch;
	uint32_t offered;
	uint32_t admitted;
	uint32_t given_back;
	uint32_t refused;
	uint32_t acked;	   /* `used` of the home's last word */
	uint32_t credit;   /* calls that may be admitted beyond `acked` */
	double share;	   /* of the home's last word */
	double carry;	   /* error diffusion: calls that the shares so far allow */
	double tokens;	   /* for ALLOTMENT_EQUAL */
	uint64_t token_us; /* time of the last refill of `tokens` */
	enum allotment_basis basis;
	uint32_t word_rate_milli;
	uint64_t word_us;     /* time of the last word; 0: none */
	uint64_t wait_us;     /* of the last word */
	uint64_t interval_us; /* of the last word */
	uint64_t asked_us;    /* time of the first report without an answer; 0: none */
	uint64_t sent_us;     /* time of the last report; 0: none */
	uint64_t due_us;      /* time of the next report; 0: none */
	uint64_t used_us;     /* time of the last call */
	uint64_t second;      /* of the latest slot of `recent` */
	uint32_t recent[ALLOTMENT_RECENT_SLOTS]; /* calls admitted in the last seconds */
	bool is_waiting; /* a call was refused only because the home has not answered */
	bool in_use;
};

struct allotment_entry {
	uint64_t seed;
	uint32_t members; /* among which an equal part is divided */
	uint32_t epochs;
	uint64_t due_us;   /* no report is due before */
	uint64_t swept_us; /* when idle customers were last dropped */
	struct slot_map map;
	struct allotment_item *items;
};

int allotment_entry_init(struct allotment_entry *entry, uint32_t capacity, uint64_t seed,
			 struct error *err);
void allotment_entry_release(struct allotment_entry *entry);
enum allotment_verdict allotment_entry_take(struct allotment_entry *entry,
					    const struct allotment_limit *limit, uint64_t now_us,
					    struct allotment_item **taken);
enum allotment_verdict allotment_entry_take_again(struct allotment_entry *entry,
						  const struct allotment_limit *limit,
						  uint64_t now_us, struct allotment_item **taken);
void allotment_entry_give_back(struct allotment_entry *entry, uint64_t customer, uint64_t now_us);
struct allotment_item *allotment_entry_find(const struct allotment_entry *entry, uint64_t customer);
uint32_t allotment_entry_retry_ms(const struct allotment_entry *entry,
				  const struct allotment_item *item, enum allotment_verdict verdict,
				  double jitter);
struct allotment_item *allotment_entry_next_due(struct allotment_entry *entry, uint32_t *cursor,
						uint64_t now_us);
void allotment_entry_report(struct allotment_item *item, struct allotment_report *report,
			    uint64_t now_us);
bool allotment_entry_hear(struct allotment_entry *entry, const struct allotment_word *word,
			  uint64_t now_us);
void allotment_entry_sweep(struct allotment_entry *entry, uint64_t now_us);

#endif
