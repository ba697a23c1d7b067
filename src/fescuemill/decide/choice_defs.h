/*
 * Types for the selection of a gate, shared with the baseline policies.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_DEFS_H
#define FESCUEMILL_DECIDE_CHOICE_DEFS_H

#include "fescuemill/base/random.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/region_set.h"
#include "fescuemill/wire/message_defs.h"

enum choice_policy {
	CHOICE_EXPECTED_COMPLETION, /* lowest expected completion time; the default */
	CHOICE_RANDOM,
	CHOICE_ROUND_ROBIN,
	CHOICE_LEAST_IN_FLIGHT, /* fewest in-flight attempts of this entry */
	CHOICE_TWO_RANDOM,	/* of two random gates, the one with fewer such attempts */
	CHOICE_POLICY_COUNT,
};

/* Distance of a gate from this entry, in order of rising cost. */
enum choice_distance {
	DISTANCE_SAME_DOMAIN, /* same failure domain */
	DISTANCE_SAME_REGION, /* same region, other failure domain */
	DISTANCE_OTHER_REGION,
	DISTANCE_COUNT,
};

struct choice_settings {
	enum choice_policy policy;
	uint64_t own_id;			/* id of this node; selects its subset of gates */
	uint32_t gates_per_domain;		/* maximum gates tracked per failure domain */
	uint32_t candidates;			/* gates compared per distance in each pick */
	uint32_t round_trip_us[DISTANCE_COUNT]; /* initial estimate, by distance */
	uint32_t distance_cost_us[DISTANCE_COUNT]; /* cost of the distance, added to each gate */
	uint32_t distance_cost_us_per_kib[DISTANCE_COUNT]; /* more cost per KiB of request body */
	uint32_t service_time_us;	  /* initial estimate of the service time */
	uint32_t load_decay_us;		  /* age at which the weight of an observed load is 1/e */
	uint32_t trial_interval_us;	  /* minimum time between trials of a slow gate */
	uint32_t error_trial_interval_us; /* minimum time between trials of a failing gate */
	uint32_t error_penalty_us;	  /* cost added for an attempt that fails */
	bool has_spillover;		  /* spillover.h decides what leaves the failure domain */
};

#define CHOICE_GATES_MAX 256 /* maximum gates tracked in all failure domains together */

/* How long a gate that reports draining is excluded, so that gossip has time to report it too. */
#define CHOICE_DRAINING_EXCLUSION_US 1000000

/* The same for a gate that refuses a call as it has no backend server. Shorter, as a server that
 * was started again is announced within moments. */
#define CHOICE_NO_BACKEND_EXCLUSION_US 200000

/* A gate that can be selected. The caller fills it from the fleet's member list. */
struct choice_member {
	struct node_incarnation identity;
	uint32_t domain;  /* number that identifies the failure domain */
	uint32_t slots;	  /* initial limit, until the gate reports its own; 0 counts as 1 */
	uint8_t distance; /* enum choice_distance */
	bool usable;	  /* alive, not suspect, leaving or dead, and its backend server is ready */
	uint32_t region;  /* region_id_of() its region */
	bool is_evacuated; /* its failure domain is being evacuated */
};

struct choice_query {
	const uint64_t *excluded; /* ids of the nodes that must not be selected */
	uint32_t excluded_count;
	uint8_t class_index; /* index of the call's class in the service's class list */
	uint32_t body_bytes; /* size of the request body */
	const struct region_set *regions; /* in which the call may be served; NULL: any */
	uint32_t objective_us; /* what is left of the latency objective; 0: none is known */
};

/* The selected gate. */
struct choice_selection {
	struct node_incarnation gate;
	/* How long the call may be expected to wait there before it is better to try another gate;
	 * UINT32_MAX if there is no other. */
	uint32_t wait_max_us;
};

enum choice_result_kind {
	CHOICE_RESULT_ANSWERED,	    /* answered with an HTTP status below 500 */
	CHOICE_RESULT_FAILED,	    /* answered with an HTTP status of 500 or more */
	CHOICE_RESULT_NO_FREE_SLOT, /* not run: all slots in use, as the load in the result shows */
	CHOICE_RESULT_NO_BACKEND,   /* not run: the gate has no backend server */
	CHOICE_RESULT_EVACUATED,    /* not run: the gate's failure domain is being evacuated */
	CHOICE_RESULT_REFUSED,	    /* not run, for another reason */
	CHOICE_RESULT_LOST,	    /* outcome unknown, connection lost or timed out */
	CHOICE_RESULT_CANCELLED,
};

struct choice_result {
	enum choice_result_kind kind;
	uint8_t class_index; /* as in the query; ignored unless answered */
	bool has_load;
	struct gate_load load;
	uint32_t elapsed_us;	/* time from sending the attempt to its answer */
	uint32_t gate_queue_us; /* part of elapsed_us spent queued at the gate */
	uint32_t server_us;	/* part of elapsed_us spent at the backend server */
	uint32_t answer_bytes;	/* size of the answer's body */
};

struct choice;

#endif
