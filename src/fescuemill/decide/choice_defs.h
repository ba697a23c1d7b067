/*
 * Types of the choice of a gate, shared by the choice and its baselines.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_DEFS_H
#define FESCUEMILL_DECIDE_CHOICE_DEFS_H

#include "fescuemill/base/random.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/wire/message_defs.h"

enum choice_policy {
	CHOICE_EXPECTED, /* the product's: expected completion */
	CHOICE_RANDOM,
	CHOICE_ROUND_ROBIN,
	CHOICE_LEAST_IN_FLIGHT, /* of this entry */
	CHOICE_TWO_RANDOM,	/* the less busy of two, by in-flight of this entry */
	CHOICE_POLICY_COUNT,
};

/* How far a gate is from this entry, in steps that cost more each time. */
enum choice_distance {
	DISTANCE_DOMAIN,
	DISTANCE_REGION,
	DISTANCE_OTHER_REGION,
	DISTANCE_COUNT,
};

struct choice_settings {
	enum choice_policy policy;
	uint64_t own_id;			  /* of this node, for the subset */
	uint32_t gates_per_domain;		  /* gates kept per failure domain */
	uint32_t candidates;			  /* gates compared at each distance */
	uint32_t round_trip_us[DISTANCE_COUNT];	  /* before one was measured */
	uint32_t step_us[DISTANCE_COUNT];	  /* by how much a gate there must win */
	uint32_t step_us_per_kib[DISTANCE_COUNT]; /* the same for each KiB of the request's body */
	uint32_t service_time_us;		  /* before one was seen */
	uint32_t load_age_us;			  /* a seen queue this old counts for 1/e */
	uint32_t trial_age_us;			  /* a slow gate is not tried again sooner */
	uint32_t error_trial_age_us;		  /* a failing gate is not tried again sooner */
	uint32_t error_penalty_us;		  /* expected cost of an attempt that fails */
};

#define CHOICE_GATES_MAX 256

/* How long a gate's own word that it drains keeps it out, for the fleet's word to arrive. */
#define CHOICE_DRAINING_HOLD_US 1000000

/* One gate that may be chosen. The shell fills it from the fleet's members. */
struct choice_member {
	struct node_life life;
	uint32_t domain; /* any number that names the failure domain */
	uint32_t slots;
	uint8_t distance; /* enum choice_distance */
	bool usable;	  /* alive, not suspect, leaving or dead; backend server ready */
};

struct choice_query {
	const uint64_t *excluded; /* node ids */
	uint32_t excluded_count;
	uint8_t class_index; /* of the call in its service's list of classes */
	uint32_t body_bytes; /* of the request */
};

enum choice_result_kind {
	CHOICE_RESULT_ANSWERED, /* with a status below 500 */
	CHOICE_RESULT_FAILED,	/* with a status of 500 or more */
	CHOICE_RESULT_NO_ROOM,	/* not run: all slots are taken, as the load beside it says */
	CHOICE_RESULT_REFUSED,	/* not run for another reason */
	CHOICE_RESULT_LOST,	/* unknown, gone or timed out */
	CHOICE_RESULT_CANCELLED,
};

struct choice_result {
	enum choice_result_kind kind;
	uint8_t class_index; /* as in the query */
	bool has_load;
	struct gate_load load;
	uint32_t elapsed_us;	/* from sending to the answer */
	uint32_t gate_queue_us; /* of it waiting at the gate */
	uint32_t server_us;	/* of it at the backend server */
};

struct choice;

#endif
