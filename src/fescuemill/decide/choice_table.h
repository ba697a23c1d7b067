/*
 * Internal state of the gate selection, shared only with the baseline policies.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_TABLE_H
#define FESCUEMILL_DECIDE_CHOICE_TABLE_H

#include "fescuemill/decide/choice_defs.h"
#include "fescuemill/decide/spillover.h"

#define CHOICE_SLOW_FACTOR 2.0F /* slowness above which a gate counts as slow */

/* A trial costs 1000 tokens and each pick adds 3, so at most 0.3% of the picks are trials that
 * do not find the gate back to normal. */
#define CHOICE_TRIAL_TOKEN_COST	     1000U
#define CHOICE_TRIAL_TOKENS_PER_PICK 3U
#define CHOICE_TRIAL_TOKENS_MAX	     CHOICE_TRIAL_TOKEN_COST

/* State that this entry keeps for one gate. Times are on this node's clock. */
struct choice_gate {
	struct choice_member member;
	uint64_t load_observed_us;  /* time of the last load report; 0 if there was none */
	uint64_t last_result_us;    /* last answer or failure; 0 allows the next trial at once */
	uint64_t progress_us;	    /* last answer, or later attempt sent with none in flight */
	uint64_t excluded_until_us; /* end of its exclusion, by its own word; 0 if none */
	uint32_t in_flight;	    /* attempts of this entry that have no result yet */
	uint32_t sent_since_load;   /* attempts of this entry sent since the last load report */
	uint32_t slowdown_percent;  /* last reported slowdown of its host, 100 is normal; 0 if
				       unknown */
	uint32_t occupancy;	    /* slots in use plus attempts queued, as last reported */
	uint32_t limit;		    /* most slots that it allows in use, as last reported */
	uint32_t rate_limit_milli;  /* calls per 1000 s that it may start; 0: any number */
	uint32_t wait_us;	    /* wait of a call that arrived when the load was reported */
	bool has_cold_room;	    /* its backend server is cold, as last reported */
	uint32_t cold_room;	    /* calls that it takes then */
	uint32_t cold_hold_us;	    /* how long a report that it takes no more holds */
	bool has_slowness;	    /* slowness was measured by at least one answer */
	float slowness;		    /* service time divided by the typical one of the same class */
	float round_trip_us;	    /* moving average; network time only */
	uint64_t round_trip_observed_us; /* time of its last sample; 0 if there was none */
	float error_rate;		 /* moving average, 0 to 1 */
};

struct choice {
	struct choice_settings settings;
	float typical_us; /* typical service time, over all classes */
	float typical_error_rate;
	float typical_utilization;	  /* attempts per slot, from recent load reports */
	uint64_t utilization_observed_us; /* last load report of any gate; 0 if none */
	float class_typical_us[CLASSES_PER_SERVICE_MAX];      /* typical service time */
	uint32_t class_answer_count[CLASSES_PER_SERVICE_MAX]; /* at most TYPICAL_ANSWERS_MAX */
	float class_answer_bytes[CLASSES_PER_SERVICE_MAX];    /* typical size of an answer */
	struct spillover spillover; /* unused without settings.has_spillover */
	uint32_t measured_count;    /* gates with has_slowness */
	uint32_t trial_tokens;	    /* trials allowed now, in thousandths */
	uint32_t round_robin_next;  /* counter of the round robin policy */
	uint32_t count;
	uint32_t distance_start[DISTANCE_COUNT + 1]; /* first gate of each distance */
	uint16_t draw_order[CHOICE_GATES_MAX];	     /* gate indexes, grouped by distance */
	struct choice_gate gates[CHOICE_GATES_MAX];  /* sorted by distance, then domain */
};

enum call_reason choice_place(const struct choice_gate *gate, const struct region_set *regions);
void choice_exclude_domain(struct choice *choice, uint32_t domain, uint64_t now_us);
bool choice_is_eligible(const struct choice_gate *gate, const struct choice_query *query,
			uint64_t now_us);
bool choice_is_slow(const struct choice_gate *gate);
float choice_error_excess(const struct choice *choice, const struct choice_gate *gate);
float choice_round_trip_us(const struct choice *choice, const struct choice_gate *gate,
			   uint64_t now_us);
int choice_pick_baseline(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us);

#endif
