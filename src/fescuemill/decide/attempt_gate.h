/*
 * Attempts at the gate: a table of known attempts and their states, which decides the reply to each
 * call, ask, cancel and ack message. It does no I/O: each step takes an event and the time and
 * returns actions.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_GATE_H
#define FESCUEMILL_DECIDE_ATTEMPT_GATE_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/attempt_defs.h"

struct attempt_gate_settings {
	uint64_t incarnation;	 /* of this node */
	uint32_t records_max;	 /* attempts of every state, including refused ones */
	uint32_t live_max;	 /* attempts that wait or run; at most records_max */
	uint32_t entries_max;	 /* entry nodes with stored epochs and sequences */
	uint64_t bytes_max;	 /* total size of requests and stored answers */
	uint64_t keep_margin_us; /* time that a record is kept after the deadline */
};

enum attempt_gate_event_type {
	GATE_EVENT_CALL,     /* a call message was received */
	GATE_EVENT_ASK,	     /* an ask message was received */
	GATE_EVENT_CANCEL,   /* a cancel message was received */
	GATE_EVENT_ACK,	     /* an ack message was received */
	GATE_EVENT_ADMITTED, /* admission granted the attempt a slot */
	GATE_EVENT_REFUSED,  /* admission refused or dropped the attempt */
	GATE_EVENT_FINISHED, /* the attempt ended at the backend server */
	GATE_EVENT_TICK,     /* time passed */
};

struct attempt_gate_event {
	enum attempt_gate_event_type type;
	struct attempt_id id; /* unused by a tick */
	uint32_t epoch;	      /* of the message's connection; unused by other events */
	union {
		struct {
			uint64_t gate_incarnation;
			uint64_t time_left_us;
			uint64_t bytes;		  /* size of the request */
			enum call_reason refusal; /* why a new call is refused, or REASON_NONE */
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
			uint64_t bytes; /* size of the answer */
		} finished;
	};
};

enum attempt_gate_action_type {
	GATE_ACTION_OFFER,	   /* store the request, set user, submit to admission */
	GATE_ACTION_START,	   /* send the request to the backend server */
	GATE_ACTION_WITHDRAW,	   /* remove the attempt from the admission queue */
	GATE_ACTION_CANCEL_RUN,	   /* cancel at the backend server; step with FINISHED at its end */
	GATE_ACTION_REPLY_ANSWER,  /* send the stored answer, or a held message if it is large */
	GATE_ACTION_REPLY_OUTCOME, /* send an answer message with outcome and reason only */
	GATE_ACTION_REPLY_PENDING, /* send a pending message: the attempt waits or runs */
	GATE_ACTION_RELEASE_ANSWER, /* free the stored answer; the record stays */
	GATE_ACTION_FREE,	    /* the record was removed: free all that user points to */
	GATE_ACTION_DROP,	    /* ignore the event: no reply, no run; reason is for counters */
};

struct attempt_gate_action {
	enum attempt_gate_action_type type;
	struct attempt_id id;
	uint32_t epoch; /* of the latest message about the attempt; replies go there */
	enum call_outcome outcome;
	enum call_reason reason;
	bool duplicate;	      /* the message repeats a known attempt; for counters */
	uint64_t deadline_us; /* deadline of the attempt, on this node's clock */
	void *user;	      /* as set by attempt_gate_set_user(); NULL before */
};

#define ATTEMPT_GATE_ACTIONS_MAX 16

struct attempt_gate_actions {
	uint32_t count;
	bool more; /* list was too short for this tick: step with another tick */
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
void *attempt_gate_take_user(struct attempt_gate *gate);
uint64_t attempt_gate_next_due_us(const struct attempt_gate *gate);
uint32_t attempt_gate_live_count(const struct attempt_gate *gate);
uint32_t attempt_gate_record_count(const struct attempt_gate *gate);
uint64_t attempt_gate_bytes(const struct attempt_gate *gate);

#endif
