/*
 * Attempts at the gate: which are known, which wait, run or have finished, and what a call, a
 * question or a cancellation about one is answered. Pure: events and time in, actions out.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_GATE_H
#define FESCUEMILL_DECIDE_ATTEMPT_GATE_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/attempt_defs.h"

struct attempt_gate_settings {
	uint64_t incarnation;	 /* of this node */
	uint32_t records_max;	 /* attempts of every state, refused ones included */
	uint32_t live_max;	 /* attempts that wait or run; below records_max */
	uint32_t entries_max;	 /* entry nodes that are remembered */
	uint64_t bytes_max;	 /* requests and kept answers together */
	uint64_t keep_margin_us; /* how long an attempt is kept after its deadline */
};

enum attempt_gate_event_type {
	GATE_EVENT_CALL,     /* a call message came */
	GATE_EVENT_ASK,	     /* an ask message came */
	GATE_EVENT_CANCEL,   /* a cancel message came */
	GATE_EVENT_ACK,	     /* an ack message came */
	GATE_EVENT_ADMITTED, /* admission gave the attempt a slot */
	GATE_EVENT_REFUSED,  /* admission refused or dropped the attempt */
	GATE_EVENT_FINISHED, /* the run ended */
	GATE_EVENT_TICK,     /* time passed */
};

struct attempt_gate_event {
	enum attempt_gate_event_type type;
	struct attempt_id id; /* unused by a tick */
	uint32_t epoch;	      /* of the message; unused by the gate's own events */
	union {
		struct {
			uint64_t gate_incarnation;
			uint64_t time_left_us;
			uint64_t bytes;		  /* of the request */
			enum call_reason refusal; /* why a new call is not taken, or REASON_NONE */
		} call;
		struct {
			uint64_t gate_incarnation;
		} ask;
		struct {
			enum call_reason reason;
		} refused;
		struct {
			enum call_outcome outcome; /* NOT_RUN if the backend server shed it */
			enum call_reason reason;
			uint64_t bytes; /* of the answer */
		} finished;
	};
};

enum attempt_gate_action_type {
	GATE_ACTION_OFFER,	    /* keep the request, set_user, offer to admission */
	GATE_ACTION_START,	    /* send the request to the backend server */
	GATE_ACTION_WITHDRAW,	    /* take the attempt out of admission's queue */
	GATE_ACTION_CANCEL_RUN,	    /* cancel at the backend server; FINISHED must follow */
	GATE_ACTION_REPLY_ANSWER,   /* send the kept answer (or HELD when it is large) */
	GATE_ACTION_REPLY_OUTCOME,  /* send an answer without a body: outcome and reason */
	GATE_ACTION_REPLY_PENDING,  /* it waits or runs */
	GATE_ACTION_RELEASE_ANSWER, /* free the answer's bytes; the attempt stays known */
	GATE_ACTION_FREE,	    /* the attempt is forgotten: free all that user holds */
	GATE_ACTION_DROP,	    /* the message is not answered; reason for the counters */
};

struct attempt_gate_action {
	enum attempt_gate_action_type type;
	struct attempt_id id;
	uint32_t epoch; /* of the latest message about the attempt: where a reply goes */
	enum call_outcome outcome;
	enum call_reason reason;
	bool duplicate;	      /* a repeat of a known attempt, for the counters */
	uint64_t deadline_us; /* of the attempt, on this node's clock */
	void *user;	      /* as set by attempt_gate_set_user, NULL before */
};

#define ATTEMPT_GATE_ACTIONS_MAX 16

struct attempt_gate_actions {
	uint32_t count;
	bool more; /* a tick has more to do: tick again */
	struct attempt_gate_action list[ATTEMPT_GATE_ACTIONS_MAX];
};

struct attempt_gate;

int attempt_gate_create(struct attempt_gate **out, const struct attempt_gate_settings *settings,
			struct error *err);
void attempt_gate_destroy(struct attempt_gate *gate);
int attempt_gate_step(struct attempt_gate *gate, const struct attempt_gate_event *event,
		      uint64_t now_us, struct attempt_gate_actions *out, struct error *err);
void attempt_gate_set_incarnation(struct attempt_gate *gate, uint64_t incarnation);
void attempt_gate_set_user(struct attempt_gate *gate, const struct attempt_id *id, void *user);
void *attempt_gate_user(struct attempt_gate *gate, const struct attempt_id *id);
uint64_t attempt_gate_next_due_us(const struct attempt_gate *gate);
uint32_t attempt_gate_live(const struct attempt_gate *gate);
uint32_t attempt_gate_records(const struct attempt_gate *gate);
uint64_t attempt_gate_bytes(const struct attempt_gate *gate);

#endif
