/*
 * Sum: adds up the burn reports of nodes by service and class.
 */
#ifndef FESCUE_REPORT_SUM_H
#define FESCUE_REPORT_SUM_H

#include "fescuemill/decide/call_defs.h"

#include <jansson.h>

#define SUM_CLASSES_MAX 4096
#define SUM_WINDOWS	2

/* Attempts that the gates were offered, by outcome. */
struct sum_attempts {
	uint64_t answered;
	uint64_t in_time; /* answered with a status below 500 within the latency target */
	uint64_t not_run;
	uint64_t unknown;
};

/* Calls of a class in a window, over all nodes. Each is counted at its entry. */
struct sum_window {
	uint32_t seconds;   /* length of the window */
	uint64_t counted_s; /* longest part of the window that a node counted; set by sum_finish */
	uint64_t answered;
	uint64_t in_time; /* answered with a status below 500 within the latency target */
	uint64_t not_run;
	uint64_t unknown;
	struct sum_attempts in_profile;	    /* within the gate's share of the class's rate */
	struct sum_attempts out_of_profile; /* above the gate's share of the class's rate */
};

struct sum_class {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	bool has_target;
	uint32_t rank;	    /* 0 is the most urgent */
	double latency_ms;  /* latency target */
	double percentile;  /* percent of calls that must meet it */
	double calls_per_s; /* stated rate, over the whole fleet */
	struct sum_window windows[SUM_WINDOWS];
	uint64_t reasons[REASON_COUNT]; /* calls not run or unknown since the nodes started */
};

/*
 * Rates of a class in a window. A call is bad if it was not answered in time. The error budget is
 * the share of calls that may be bad: 100 percent less the percentile.
 */
struct sum_rates {
	double offered_per_s;
	double achieved_percent; /* share of the ended calls that were answered in time */
	double burn;		 /* share of bad calls / error budget; 1 uses it up exactly */
	double budget_left;	 /* unused share of the error budget; below 0: overdrawn */
	double kept_percent;	 /* share of the ended calls that were answered */
	double excess_percent;	 /* share of the offered calls above the stated rate */
};

/* Rate of attempts, and shares of all offered attempts. */
struct sum_shares {
	double offered_per_s;
	double answered_percent;
	double late_percent;	/* answered, but late or with a status of 500 or more */
	double refused_percent; /* not run */
};

/* Calls of several classes together in a window. */
struct sum_kept {
	uint32_t classes;
	double offered_per_s;
	double kept_percent; /* share of the ended calls that were answered */
};

struct sum {
	uint32_t count;			/* length of classes */
	uint32_t nodes;			/* number of nodes whose reports were added */
	uint32_t nodes_without_profile; /* nodes of older versions, which do not count by profile */
	uint64_t min_counted_s;		/* shortest time that any node has counted */
	uint64_t max_counted_s;		/* longest time that any node has counted */
	struct sum_class classes[SUM_CLASSES_MAX];
};

/* Adds one node's report. Returns false if a part of it is not valid, which is left out. */
bool sum_add(struct sum *sum, const json_t *report);
/*
 * Must be called after the last report: sorts the classes by service and rank, and limits the
 * windows to the time that was counted.
 */
void sum_finish(struct sum *sum);
struct sum_rates sum_compute_rates(const struct sum_class *cls, const struct sum_window *window);
struct sum_shares sum_compute_shares(const struct sum_attempts *attempts, uint64_t counted_s);
/* Adds up the classes that were offered above their stated rate (flooded), or all others. */
struct sum_kept sum_compute_kept(const struct sum *sum, int window, bool flooded);

#endif
