/*
 * Gate types. The owner of a gate provides all memory: one struct gate, and one struct gate_ticket
 * for each attempt, which must stay in place until the ticket is refused, finished or cancelled.
 */
#ifndef FESCUEMILL_DECIDE_GATE_DEFS_H
#define FESCUEMILL_DECIDE_GATE_DEFS_H

#include "fescuemill/decide/burn.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/floor.h"
#include "fescuemill/decide/limit.h"
#include "fescuemill/decide/load_defs.h"
#include "fescuemill/decide/pace.h"
#include "fescuemill/decide/profile.h"
#include "fescuemill/fleet/member_defs.h"

#define GATE_SLOTS_MAX	      256
#define GATE_CLASS_QUEUE_MAX  64	     /* places of one class */
#define GATE_QUEUE_MAX	      256	     /* places of all classes together */
#define GATE_ACTIONS_MAX      GATE_QUEUE_MAX /* one operation decides at most all that waits */
#define GATE_TICK_INTERVAL_US 5000
#define GATE_DUE_MARGIN	      2	 /* service times that answering in time takes */
#define GATE_SHORT_DIVISOR    4	 /* calls this many times shorter than the mean are short */
#define GATE_USUAL_KNOWN      16 /* samples that make a usual service time known */
#define GATE_USUAL_SAMPLES    256
#define GATE_PENALTY_HALF_US  500000 /* a failure counts half as much after this time */

enum ticket_state {
	TICKET_IDLE, /* not held by the gate: new, refused, finished or cancelled */
	TICKET_WAITING,
	TICKET_RUNNING,
};

/* One attempt at the gate. The owner sets only owner and refuse_to_wait; the gate sets the rest. */
struct gate_ticket {
	void *owner;
	struct gate_ticket *prev;
	struct gate_ticket *next;
	uint64_t arrival_us;
	uint64_t deadline_us; /* the caller's */
	uint64_t due_us;      /* arrival and latency target, never later than the deadline */
	uint64_t start_us;
	uint32_t beside; /* attempts that ran when it started, itself included */
	uint8_t class_index;
	uint8_t generation;  /* of the class's place */
	uint8_t state;	     /* enum ticket_state */
	bool refuse_to_wait; /* set by the owner: refused unless a slot is free at once */
	bool in_profile;
	bool ahead_of_rank; /* started for its floor while more urgent work in profile waited */
};

enum gate_verdict_kind {
	GATE_START,  /* send the attempt to the backend server now */
	GATE_WAIT,   /* a later action decides */
	GATE_REFUSE, /* not run; the ticket is idle again */
};

struct gate_verdict {
	enum gate_verdict_kind kind;
	enum call_reason reason; /* of a refusal, else REASON_NONE */
};

/* A decision about a ticket other than the one an operation was called for. */
struct gate_action {
	struct gate_ticket *ticket;
	struct gate_verdict verdict; /* GATE_START or GATE_REFUSE */
};

/* What an operation asks its caller to carry out. */
struct gate_actions {
	uint32_t count;
	struct gate_action list[GATE_ACTIONS_MAX];
};

/* How an attempt ended at the backend server. */
enum gate_result {
	GATE_RESULT_OK,
	GATE_RESULT_ERROR,   /* answered with a server error, or broke off */
	GATE_RESULT_SHED,    /* refused unrun by the backend server */
	GATE_RESULT_TIMEOUT, /* no answer by the deadline */
};

struct gate_list {
	struct gate_ticket *head;
	struct gate_ticket *tail;
	uint32_t count;
};

/* Service times of a class, from answered attempts; 0 while unknown. */
struct gate_service {
	uint64_t recent_us; /* mean over the last few */
	uint64_t steady_us; /* mean over some dozens */
	uint64_t usual_us;  /* mean over the last GATE_USUAL_SAMPLES with few attempts at once */
	uint32_t usual_count;
};

struct gate_class {
	struct class_target target;
	bool active;
	uint8_t generation; /* raised when the place is given to another class */
	uint32_t running;
	uint64_t offered; /* since the class was added; the demand to share by */
	struct gate_service service;
	struct profile profile;
	struct floor_account floor;
	struct gate_list in_profile;	 /* by due time */
	struct gate_list out_of_profile; /* by arrival */
	uint64_t surplus_us;		 /* virtual time of its share of the surplus */
	uint64_t busy_micro;		 /* mean slots that it runs on, in millionths */
	bool leaves_headroom;		 /* its calls are long; see headroom.c */
};

struct gate {
	char service[SERVICE_NAME_BYTES];
	uint64_t config_version;
	struct gate_class classes[CLASSES_PER_SERVICE_MAX];
	enum backend_state state;
	struct limit limit;
	struct pace pace;
	uint32_t slots_used_percent; /* the owner may set it; 0: the limit is measured */
	uint32_t in_use;
	uint32_t queued;
	uint32_t headroom;	  /* slots kept from classes of long calls */
	uint32_t ahead_in_use;	  /* slots that hold work started ahead of its rank */
	uint64_t advanced_us;	  /* slot time is accounted up to here */
	uint64_t shared_us;	  /* floors were last shared out */
	uint64_t surplus_us;	  /* virtual time of the surplus */
	uint64_t service_us;	  /* smoothed service time of answered attempts */
	uint64_t penalty_us;	  /* what failures add to the cost of an attempt */
	uint64_t decayed_us;	  /* the penalty has decayed up to here */
	struct burn_tables tally; /* of attempts; the owner may set it, else nothing is counted */
};

#endif
