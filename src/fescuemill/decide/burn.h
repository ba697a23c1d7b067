/*
 * Burn tables: counts of the outcomes of the calls of each class over the last hour, to show how
 * well a class meets its target. A node has one table for the calls that its entry accepted and two
 * for the attempts at its gate, in profile and out of profile. The counts are lost when the process
 * ends, so reports state the time since which they count.
 */
#ifndef FESCUEMILL_DECIDE_BURN_H
#define FESCUEMILL_DECIDE_BURN_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <stddef.h>

#define BURN_SLOT_US	 (10ULL * 1000 * 1000) /* duration of a time slot */
#define BURN_SLOTS	 360		       /* one hour of slots */
#define BURN_CLASSES_MAX 4096

/* Counts of calls by outcome. */
struct burn_counts {
	uint32_t answered;
	uint32_t in_time; /* answered with a status below 500 within the class's latency target */
	uint32_t not_run;
	uint32_t unknown;
};

struct burn_class {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	uint64_t reasons[REASON_COUNT];	   /* calls not run or unknown by reason, since the start */
	uint64_t slot_numbers[BURN_SLOTS]; /* time of each slot, in units of BURN_SLOT_US */
	struct burn_counts slots[BURN_SLOTS];
};

/* A call, or an attempt at a gate, that has ended. */
struct burn_call {
	const char *service;
	const char *class_name;
	enum call_outcome outcome;
	enum call_reason reason;
	bool failed; /* answered with a status of 500 or more */
	uint64_t latency_us;
	uint64_t target_us; /* latency target of the class */
};

struct burn;

/* Burn tables of a node. */
struct burn_tables {
	struct burn *calls;	 /* calls accepted by this entry */
	struct burn *in_profile; /* attempts at this gate within its share of the class's rate */
	struct burn *out_of_profile; /* attempts at this gate beyond that share */
};

int burn_open(struct burn **out, uint64_t now_us, struct error *err);
void burn_close(struct burn *burn);
void burn_record(struct burn *burn, const struct burn_call *call, uint64_t now_us);
size_t burn_class_count(const struct burn *burn);
const struct burn_class *burn_class_at(const struct burn *burn, size_t index);
const struct burn_class *burn_find(const struct burn *burn, const char *service,
				   const char *class_name);
struct burn_counts burn_sum(const struct burn_class *cls, uint64_t window_us, uint64_t now_us);
uint64_t burn_started_us(const struct burn *burn);

#endif
