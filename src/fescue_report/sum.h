/*
 * Sum: the burn reports of nodes added up by service and class.
 */
#ifndef FESCUE_REPORT_SUM_H
#define FESCUE_REPORT_SUM_H

#include "fescuemill/decide/call_defs.h"

#include <jansson.h>

#define SUM_CLASSES_MAX 4096
#define SUM_WINDOWS	2

/* Attempts that the gates were offered, by what became of them. */
struct sum_attempts {
	uint64_t answered;
	uint64_t in_time;
	uint64_t not_run;
	uint64_t unknown;
};

/* One window of one class over all nodes. The calls are counted at entries. */
struct sum_window {
	uint32_t seconds;
	uint64_t counted_s; /* how much of it any node has counted; set by sum_finish */
	uint64_t answered;
	uint64_t in_time;
	uint64_t not_run;
	uint64_t unknown;
	struct sum_attempts in_profile;
	struct sum_attempts out_of_profile;
};

struct sum_class {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	bool has_target;
	uint32_t rank;
	double latency_ms;
	double percentile;
	double calls_per_s;
	struct sum_window windows[SUM_WINDOWS];
	uint64_t reasons[REASON_COUNT];
};

/* What follows from one window. */
struct sum_rates {
	double offered_per_s;
	double achieved_percent; /* of the calls that ended: answered in time */
	double burn;		 /* bad share over allowed share; 1 uses up the budget exactly */
	double budget_left;	 /* share of this window's allowed bad calls; below 0: overdrawn */
	double kept_percent;	 /* of the calls that ended: answered at all */
	double excess_percent;	 /* of the offered calls: above the stated amount */
};

/* What follows from attempts; the shares are of all that were offered. */
struct sum_shares {
	double offered_per_s;
	double answered_percent;
	double late_percent; /* answered, but late or with a status of 500 or more */
	double refused_percent;
};

/* What some classes together kept in one window. */
struct sum_kept {
	uint32_t classes;
	double offered_per_s;
	double kept_percent; /* of the calls that ended: answered at all */
};

struct sum {
	uint32_t count;
	uint32_t nodes;
	uint32_t nodes_without_profile; /* older nodes, which do not count by profile */
	uint64_t youngest_s;		/* the shortest time that any node has counted */
	uint64_t oldest_s;		/* the longest */
	struct sum_class classes[SUM_CLASSES_MAX];
};

/* Adds one node's report. Returns false when a part of it was not understood and is left out. */
bool sum_add(struct sum *sum, const json_t *report);
/* Ends the adding: orders the classes by service and rank, and cuts the windows to what was
 * counted. */
void sum_finish(struct sum *sum);
struct sum_rates sum_rates_of(const struct sum_class *cls, const struct sum_window *window);
struct sum_shares sum_shares_of(const struct sum_attempts *attempts, uint64_t counted_s);
/* Adds up the classes that were offered above what is stated for them, or all the others. */
struct sum_kept sum_kept_by(const struct sum *sum, int window, bool flooded);

#endif
