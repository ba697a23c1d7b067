/*
 * The gates that one choice knows, shared by the choice and its baselines only.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_TABLE_H
#define FESCUEMILL_DECIDE_CHOICE_TABLE_H

#include "fescuemill/decide/choice_defs.h"

/* What this entry knows of one gate. Times are on this node's clock. */
struct choice_gate {
	struct choice_member member;
	uint64_t load_us;      /* when the load was seen; 0: never */
	uint64_t tried_us;     /* last result, for the next trial of a slow or failing gate */
	uint64_t progress_us;  /* last answer, or first attempt after none was in flight */
	uint64_t held_to_us;   /* the gate said that it drains, and is not chosen before */
	uint32_t in_flight;    /* attempts of this entry */
	uint32_t sent_since;   /* of them sent since the load was seen */
	uint32_t pace_percent; /* of its host, as it said last; 0: unknown */
	uint32_t occupancy;    /* slots in use and attempts queued, as seen */
	uint32_t limit;	       /* slots that the gate uses, as seen */
	bool is_timed;	       /* an answer has set slowness */
	float slowness;	       /* service time in relation to the typical one of the same class */
	float round_trip_us;
	float error_rate; /* 0 to 1 */
};

struct choice {
	struct choice_settings settings;
	float typical_us; /* service time of the answers to this entry */
	float typical_error_rate;
	float typical_fill; /* attempts for each slot at the gates that told their load lately */
	uint64_t fill_us;   /* when one told it last; 0: never */
	float class_typical_us[CLASSES_PER_SERVICE_MAX];
	uint32_t class_answers[CLASSES_PER_SERVICE_MAX]; /* up to TYPICAL_ANSWERS_MAX */
	uint32_t trial_tokens;				 /* in thousandths of a trial */
	uint32_t cursor;				 /* of round robin */
	uint32_t count;
	uint32_t starts[DISTANCE_COUNT + 1];	    /* where each distance begins in order */
	uint16_t order[CHOICE_GATES_MAX];	    /* gates grouped by distance */
	struct choice_gate gates[CHOICE_GATES_MAX]; /* sorted by distance, then domain */
};

bool choice_may_pick(const struct choice_gate *gate, const struct choice_query *query,
		     uint64_t now_us);
int choice_pick_baseline(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us);

#endif
