/*
 * Gate types. The owner of a gate provides all memory: one struct gate, and one struct gate_ticket
 * for each attempt, which must stay in place until the ticket is refused, finished or cancelled.
 */
#ifndef FESCUEMILL_DECIDE_GATE_DEFS_H
#define FESCUEMILL_DECIDE_GATE_DEFS_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/load_defs.h"
#include "fescuemill/fleet/member_defs.h"

#define GATE_SLOTS_MAX	      256
#define GATE_CLASS_QUEUE_MAX  64  /* places of one class */
#define GATE_QUEUE_MAX	      256 /* places of all classes together */
#define GATE_ACTIONS_MAX      32
#define GATE_TICK_INTERVAL_US 5000

enum ticket_state {
	TICKET_IDLE, /* not held by the gate: new, refused, finished or cancelled */
	TICKET_WAITING,
	TICKET_RUNNING,
};

/* One attempt at the gate. The owner sets only owner; the gate sets the rest. */
struct gate_ticket {
	void *owner;
	struct gate_ticket *prev;
	struct gate_ticket *next;
	uint64_t arrival_us;
	uint64_t deadline_us; /* the caller's */
	uint64_t due_us;      /* arrival and latency target, never later than the deadline */
	uint64_t start_us;
	uint8_t class_index;
	uint8_t state; /* enum ticket_state */
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
	bool more; /* the list was full: call gate_tick again at once */
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

struct gate_class {
	struct class_target target;
	uint64_t rate_milli; /* this gate's part of calls_per_s, in thousandths */
	struct gate_list waiting;
};

struct gate {
	char service[SERVICE_NAME_BYTES];
	uint64_t config_version;
	uint32_t class_count;
	struct gate_class classes[CLASSES_PER_SERVICE_MAX];
	enum backend_state state;
	uint32_t slots;
	uint32_t limit;
	uint32_t in_use;
	uint32_t queued;
	uint64_t service_time_us;
};

#endif
