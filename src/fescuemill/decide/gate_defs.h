/*
 * Gate types. The owner of a gate provides all memory: one struct gate, and one struct gate_ticket
 * for each attempt. A ticket must stay at its address until it is refused, finished or cancelled.
 */
#ifndef FESCUEMILL_DECIDE_GATE_DEFS_H
#define FESCUEMILL_DECIDE_GATE_DEFS_H

#include "fescuemill/decide/burn.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/cold.h"
#include "fescuemill/decide/floor.h"
#include "fescuemill/decide/limit.h"
#include "fescuemill/decide/load_defs.h"
#include "fescuemill/decide/profile.h"
#include "fescuemill/decide/rate_limit.h"
#include "fescuemill/decide/retry.h"
#include "fescuemill/decide/saturation.h"
#include "fescuemill/decide/slowdown.h"
#include "fescuemill/fleet/member_defs.h"

#define GATE_SLOTS_MAX		  256
#define GATE_CLASS_QUEUE_MAX	  64		 /* waiting attempts of one class */
#define GATE_QUEUE_MAX		  256		 /* waiting attempts of all classes together */
#define GATE_ACTIONS_MAX	  GATE_QUEUE_MAX /* each waiting attempt is decided at most once */
#define GATE_TICK_INTERVAL_US	  5000
#define GATE_DUE_MARGIN		  2	 /* in service times; a ticket due sooner is late */
#define GATE_SHORT_DIVISOR	  4	 /* short calls: mean service time <= the gate's / this */
#define GATE_BASELINE_SAMPLES_MIN 16	 /* samples after which the baseline is valid */
#define GATE_BASELINE_SAMPLES_MAX 256	 /* the mean covers about as many samples */
#define GATE_PENALTY_HALF_LIFE_US 500000 /* after this time a failure counts half as much */

enum ticket_state {
	TICKET_IDLE, /* unknown to the gate: new, refused, finished or cancelled */
	TICKET_WAITING,
	TICKET_RUNNING,
};

/* One attempt at the gate. The owner sets owner, repeat_permille, has_wait_limit and wait_max_us;
 * the gate sets the rest. */
struct gate_ticket {
	void *owner;
	struct gate_ticket *prev;
	struct gate_ticket *next;
	uint64_t arrival_us;
	uint64_t deadline_us; /* the caller's deadline */
	uint64_t due_us;      /* arrival time plus latency target, capped at the deadline */
	uint64_t start_us;
	uint32_t running_at_start; /* running attempts when this one started, itself included */
	uint32_t repeat_permille;  /* chance that it repeats work of an earlier attempt */
	uint32_t wait_max_us;	   /* longest expected wait that is accepted, if has_wait_limit */
	uint8_t class_index;
	uint8_t generation;  /* generation of the class's entry in gate.classes */
	uint8_t state;	     /* enum ticket_state */
	bool has_wait_limit; /* refuse rather than let it wait longer than wait_max_us */
	bool in_profile;
	bool bypassed_urgent; /* started for its floor, before more urgent in-profile work */
};

enum gate_verdict_kind {
	GATE_START,  /* send the attempt to the backend server now */
	GATE_WAIT,   /* queued; a later action decides */
	GATE_REFUSE, /* not run; the ticket is idle again */
};

struct gate_verdict {
	enum gate_verdict_kind kind;
	enum call_reason reason; /* reason of a refusal, else REASON_NONE */
};

/* A decision on a ticket other than the one that was passed to the operation. */
struct gate_action {
	struct gate_ticket *ticket;
	struct gate_verdict verdict; /* GATE_START or GATE_REFUSE */
};

/* Decisions that the caller of an operation must carry out. */
struct gate_actions {
	uint32_t count;
	struct gate_action list[GATE_ACTIONS_MAX];
};

/* How an attempt ended at the backend server. */
enum gate_result {
	GATE_RESULT_OK,
	GATE_RESULT_ERROR,   /* answered with a server error, or connection broken */
	GATE_RESULT_SHED,    /* refused by the backend server without running it */
	GATE_RESULT_TIMEOUT, /* no answer by the deadline */
};

struct gate_list {
	struct gate_ticket *head;
	struct gate_ticket *tail;
	uint32_t count;
};

/* Mean service times of a class's answered attempts; 0 while unknown. */
struct gate_service {
	uint64_t recent_mean_us;   /* moving mean over about 8 attempts */
	uint64_t steady_mean_us;   /* moving mean over about 64 attempts */
	uint64_t baseline_us;	   /* mean of attempts that started at low concurrency */
	uint32_t baseline_samples; /* samples in baseline_us, at most GATE_BASELINE_SAMPLES_MAX */
};

struct gate_class {
	struct class_target target;
	bool active;
	uint8_t generation; /* incremented when the class is removed */
	uint32_t running;
	uint64_t offered; /* attempts since the class was added; reported as demand */
	struct gate_service service;
	struct profile profile;
	struct floor_account floor;
	struct gate_list in_profile;	 /* ordered by due time */
	struct gate_list out_of_profile; /* ordered by arrival */
	uint64_t surplus_virtual_us; /* virtual time in the fair queueing of out-of-profile work */
	uint64_t mean_running_micro; /* smoothed count of running attempts, in millionths */
	bool leaves_headroom;	     /* its calls are long; see headroom.c */
};

struct gate {
	char service[SERVICE_NAME_BYTES];
	uint64_t config_version;
	struct gate_class classes[CLASSES_PER_SERVICE_MAX];
	enum backend_state state;
	uint64_t end_us; /* running attempts are cut off then, as the node stops; 0: not known */
	struct limit limit;
	struct rate_limit rate; /* that the backend server states */
	struct cold cold;	/* what a cold backend server bears */
	bool was_cold;		/* its calls were limited as it is cold, when last looked at */
	struct saturation saturation; /* lifts a fixed limit where that slows nothing down */
	struct slowdown slowdown;
	struct retry_runs runs;	     /* the running attempts, for the calls that they make */
	uint32_t slots_used_percent; /* fixed limit, if the owner sets it, until it is measured
					that all slots may be used; 0: the limit adapts */
	uint32_t in_use;	     /* running attempts, one slot each */
	uint32_t queued;	     /* waiting attempts of all classes */
	uint32_t headroom;	     /* slots that classes of long calls may not use */
	uint32_t bypass_in_use;	     /* running attempts with bypassed_urgent set */
	uint64_t accounted_until_us; /* time of the latest operation and its accounting */
	uint64_t shared_us;	     /* unused */
	uint64_t surplus_virtual_us; /* virtual time of the fair queueing of out-of-profile work */
	uint64_t service_us;	     /* moving mean of the service times of answered attempts */
	uint64_t penalty_us;	     /* mean cost of failures per attempt */
	uint64_t penalty_decayed_us; /* time up to which the penalty's decay is applied */
	struct burn_tables tally;    /* set by the owner; attempts are not counted without it */
};

#endif
