/*
 * Saturation: whether a backend server slows down when nearly all of its slots are in use. Some do,
 * so that leaving a few slots free answers more calls; others do not, and every slot that is left
 * free is lost when calls wait. No I/O and no clock of its own.
 */
#ifndef FESCUEMILL_DECIDE_SATURATION_H
#define FESCUEMILL_DECIDE_SATURATION_H

#include <stdbool.h>
#include <stdint.h>

#define SATURATION_SAMPLES	40	 /* answers on each side after which there is a verdict */
#define SATURATION_TURN_ANSWERS 8	 /* answers after which the other side has its turn */
#define SATURATION_SLOW_PERCENT 125	 /* of the service time with free slots; more is slow */
#define SATURATION_CLIP_PERCENT 300	 /* a longer service time counts as this */
#define SATURATION_TURN_US_MAX	2000000	 /* a turn without enough answers ends the comparison */
#define SATURATION_VALID_US	60000000 /* after that a verdict is checked when slots are short */

enum saturation_verdict {
	SATURATION_UNKNOWN,
	SATURATION_STEADY, /* no slower with all slots in use */
	SATURATION_SLOWS,
};

/* Service times of one side of the comparison, in percent of the mean of their class. */
struct saturation_side {
	uint32_t count;
	uint64_t percent_sum;
};

struct saturation {
	enum saturation_verdict verdict;
	uint64_t judged_us;	 /* time of the verdict */
	uint64_t judged_percent; /* mean service time then, in percent of that with free slots */
	bool is_comparing;
	bool uses_all; /* all slots may be used: by the verdict, or in this turn */
	uint32_t turn_answers;
	uint64_t turn_start_us;
	struct saturation_side all;  /* started when few slots or none were free */
	struct saturation_side rest; /* started with the slots free that are left free otherwise */
};

const char *saturation_verdict_name(enum saturation_verdict verdict);
void saturation_start(struct saturation *sat);
void saturation_slots_are_short(struct saturation *sat, uint64_t now_us);
void saturation_record(struct saturation *sat, bool started_full, uint64_t percent,
		       uint64_t now_us);
void saturation_tick(struct saturation *sat, uint64_t now_us);

#endif
