/*
 * Burn: what became of the calls of each class, in windows of memory: those that this entry took,
 * and, in tables of their own, those attempts that this gate was offered in profile and out of it.
 * Nothing outlives the process: a report says since when it counts.
 */
#ifndef FESCUEMILL_DECIDE_BURN_H
#define FESCUEMILL_DECIDE_BURN_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <stddef.h>

#define BURN_SLOT_US	 (10ULL * 1000 * 1000)
#define BURN_SLOTS	 360 /* one hour */
#define BURN_CLASSES_MAX 4096

/* Counts of calls. In time: answered below 500 within the class's latency target. */
struct burn_counts {
	uint32_t answered;
	uint32_t in_time;
	uint32_t not_run;
	uint32_t unknown;
};

struct burn_class {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	uint64_t reasons[REASON_COUNT]; /* of calls not run or unknown, since the start */
	uint64_t slot_numbers[BURN_SLOTS];
	struct burn_counts slots[BURN_SLOTS];
};

/* One call that ended. */
struct burn_call {
	const char *service;
	const char *class_name;
	enum call_outcome outcome;
	enum call_reason reason;
	bool failed; /* answered with a status of 500 or more */
	uint64_t latency_us;
	uint64_t target_us;
};

struct burn;

/* The tables of a node. */
struct burn_tables {
	struct burn *calls;	 /* at this entry */
	struct burn *in_profile; /* attempts at this gate */
	struct burn *out_of_profile;
};

int burn_open(struct burn **out, uint64_t now_us, struct error *err);
void burn_close(struct burn *burn);
/* Counts a call. A class beyond BURN_CLASSES_MAX, or without memory, is not counted. */
void burn_record(struct burn *burn, const struct burn_call *call, uint64_t now_us);
size_t burn_class_count(const struct burn *burn);
const struct burn_class *burn_class_at(const struct burn *burn, size_t index);
/* Gives a class, or NULL when no call of it was counted. */
const struct burn_class *burn_find(const struct burn *burn, const char *service,
				   const char *class_name);
/* Adds up the last window_us, at most an hour. */
struct burn_counts burn_sum(const struct burn_class *cls, uint64_t window_us, uint64_t now_us);
uint64_t burn_started_us(const struct burn *burn);

#endif
