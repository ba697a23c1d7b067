/*
 * Allotments: what the entry side and the home side of a customer's fleet-wide limit share. A
 * customer may make `burst` calls at once and `rate_milli` calls per 1000 s, over all nodes.
 */
#ifndef FESCUEMILL_DECIDE_ALLOTMENT_H
#define FESCUEMILL_DECIDE_ALLOTMENT_H

#include "fescuemill/base/clock.h"

#include <stdbool.h>
#include <stdint.h>

#define ALLOTMENT_WINDOW_US  (5 * USEC_PER_SEC) /* time over which the bound is judged */
#define ALLOTMENT_SLACK	     0.1		/* judged: (rate x 5 s + burst) x 1.1 + 20 */
#define ALLOTMENT_SLACK_MORE 20.0

/* Time after which an entry that has asked the home in vain uses an equal part. */
#define ALLOTMENT_LAPSE_US USEC_PER_SEC

/* Time for which members that are lost keep their part. A member that is cut off may admit that
 * part; without the store it loses the proof of its customers' keys after 5 s, and serves no more
 * keyed calls. */
#define ALLOTMENT_LOST_US (20 * USEC_PER_SEC)

/* The limit of a customer, and the members that share it. */
struct allotment_limit {
	uint64_t customer;
	uint32_t rate_milli;
	uint32_t burst;
};

/* Counts the members among which a limit is divided. */
struct allotment_members {
	uint32_t live;	   /* members that are alive or suspect, this node included */
	uint32_t known;	   /* those, and members lost within ALLOTMENT_LOST_US */
	uint64_t below_us; /* since when `live` is below `known`; 0: it is not */
};

void allotment_members_update(struct allotment_members *members, uint32_t live, uint64_t now_us);
double allotment_window_calls(const struct allotment_limit *limit);
double allotment_slack_calls(const struct allotment_limit *limit);

#endif
