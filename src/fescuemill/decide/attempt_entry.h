/*
 * State machine of one call at the entry. It sends one attempt at a time and reports exactly one
 * outcome to the caller, at the deadline at the latest. It does no I/O: each step takes an event
 * and the time and returns actions. struct attempt_entry is the whole state; the shell embeds one
 * in each call and finds it by the sequence number of the current attempt.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_ENTRY_H
#define FESCUEMILL_DECIDE_ATTEMPT_ENTRY_H

#include "fescuemill/base/error.h"
#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/attempt_defs.h"
#include "fescuemill/decide/retry.h"

#define ENTRY_EXCLUDED_MAX (RETRY_TREE_MAX + 1)

/* A call whose route bounds the number of backend servers (servers_max) tries another gate after up
 * to this many refusals by gates. The next refusal lets it wait in a gate's queue, or fails it if
 * it could wait already. Each refusal costs a round trip, and after this many the service is
 * full. */
#define ENTRY_REFUSALS_MAX 4

/* Gates that may say that they cannot serve a call before its deadline, until it is refused. */
#define ENTRY_EXPIRED_MAX 2

/* Time that must be left before the deadline to send another attempt. With less it cannot be
 * answered: this covers a round trip within a region and the shortest calls. */
#define ENTRY_RETRY_TIME_US_MIN 5000

struct attempt_entry_settings {
	uint64_t deadline_us;	   /* on this node's clock */
	uint64_t answer_margin_us; /* time before the deadline reserved for the answer's way back */
	bool idempotent;
	bool keyed; /* only the owner of the key may run it, so it is not retried at other gates */
	bool has_retry_budget; /* the request's header has a retry budget */
	uint32_t retry_budget; /* retries, from the header; unused unless has_retry_budget */
	bool may_wait;	       /* may wait in the first gate's queue, as it is costly to resend */
	uint32_t servers_max; /* bound on backend servers tried; 0: only the retry budget applies */
	uint32_t repeat_permille; /* chance that the run that makes the call is a repeat */
};

/* Destination and identity of one attempt. */
struct attempt_target {
	struct node_incarnation gate;
	struct attempt_id id; /* with a new sequence number, assigned when it is sent */
	uint32_t epoch;	      /* of the connection that it is sent over */
};

struct attempt_entry {
	uint64_t deadline_us;
	uint64_t answer_margin_us;
	uint64_t now_us;	      /* time of the event being handled */
	uint64_t sent_us;	      /* when the current attempt was sent */
	struct attempt_target target; /* the current attempt */
	struct retry_tree retries;
	uint64_t excluded[ENTRY_EXCLUDED_MAX]; /* ids of gates that refused or failed the call */
	/* Bit i: excluded[i] may have run the call, or its backend server failed or refused it. */
	uint32_t excluded_permanently;
	uint32_t excluded_full; /* bit i: excluded[i] had no free slot */
	uint8_t excluded_count;
	uint8_t attempts;    /* attempts sent */
	uint8_t servers_max; /* see attempt_entry_settings */
	uint8_t servers;     /* backend servers that refused, failed or may have run the call */
	bool may_wait;	     /* may wait in a gate's queue; set once no gate has a free slot */
	uint8_t expired_refusals; /* of these, by gates that cannot serve it before its deadline */
	uint8_t refusals;	  /* refusals by gates, before a backend server received the call */
	uint8_t state;		  /* enum attempt_entry_state */
	uint8_t last_reason; /* enum call_reason of the last attempt that was refused or lost */
	bool idempotent;
	bool keyed;
	bool may_have_run;	 /* an abandoned attempt may have run */
	bool has_reached_server; /* an earlier attempt has reached, or may have, a backend server */
	uint16_t repeat_permille; /* see attempt_entry_settings */
};

enum attempt_entry_event_type {
	ENTRY_EVENT_START,	 /* the call was received from the caller */
	ENTRY_EVENT_CHOSEN,	 /* a gate was chosen */
	ENTRY_EVENT_NO_GATE,	 /* no gate can be chosen */
	ENTRY_EVENT_SEND_FAILED, /* no part of the call message was written to the socket */
	ENTRY_EVENT_ANSWER,	 /* an answer message was received */
	ENTRY_EVENT_PENDING,	 /* a pending message was received: the attempt waits or runs */
	ENTRY_EVENT_HELD, /* a held message was received: fetch the large answer by bulk link */
	ENTRY_EVENT_LINK_REPLACED,  /* the connection was lost or timed out; a new one is open */
	ENTRY_EVENT_GATE_GONE,	    /* the gate is dead, was restarted, or is unreachable */
	ENTRY_EVENT_GATE_RESTARTED, /* a later incarnation of the gate replied */
	ENTRY_EVENT_CALLER_GONE,    /* the caller disconnected */
	ENTRY_EVENT_NODE_STOPPING,  /* this node ends before the call can be answered */
	ENTRY_EVENT_TICK,	    /* time passed */
};

struct attempt_entry_event {
	enum attempt_entry_event_type type;
	union {
		struct attempt_target chosen;
		struct {
			enum call_reason reason;
		} no_gate;
		struct {
			struct attempt_id id;
			enum call_outcome outcome;
			enum call_reason reason;
			bool failed; /* the backend server answered with an error of its own */
		} answer;
		struct {
			struct attempt_id id;
		} about; /* for PENDING and HELD */
		struct {
			uint32_t epoch; /* of the new connection, of the same kind */
		} link_replaced;
		struct {
			uint32_t epoch; /* of the connection that the later incarnation uses */
		} gate_restarted;
	};
};

enum attempt_entry_action_type {
	ENTRY_ACTION_CHOOSE, /* choose a gate that is not excluded; step with CHOSEN or NO_GATE */
	ENTRY_ACTION_SEND_CALL, /* send the call; step with SEND_FAILED if that fails */
	ENTRY_ACTION_SEND_ASK,	/* ask for the attempt's state over the connection target.epoch */
	ENTRY_ACTION_ASK_BULK,	/* ask for the answer over the bulk link */
	ENTRY_ACTION_SEND_ACK,	/* acknowledge target.id over the connection its message came by */
	ENTRY_ACTION_SEND_CANCEL, /* cancel over the connection target.epoch, if it is still open */
	ENTRY_ACTION_FINISH, /* report the outcome to the caller; later events only send acks */
};

struct attempt_entry_action {
	enum attempt_entry_action_type type;
	struct attempt_target target; /* for SEND_* and ASK_BULK */
	uint64_t time_left_us;	      /* for SEND_CALL */
	bool has_wait_limit;	 /* for SEND_CALL: it may wait only while no other gate is better */
	uint32_t retries_passed; /* for SEND_CALL: retry budget for the header */
	uint32_t repeat_permille;  /* for SEND_CALL: chance that the attempt repeats earlier work */
	enum call_outcome outcome; /* for FINISH */
	enum call_reason reason;   /* for FINISH */
};

#define ENTRY_ACTIONS_MAX 4

struct attempt_entry_actions {
	uint32_t count;
	struct attempt_entry_action list[ENTRY_ACTIONS_MAX];
};

uint32_t attempt_entry_excluded(const struct attempt_entry *call, uint64_t *list);
bool attempt_entry_gate_was_full(const struct attempt_entry *call, uint64_t node_id);
void attempt_entry_init(struct attempt_entry *call, const struct attempt_entry_settings *settings);
int attempt_entry_step(struct attempt_entry *call, const struct attempt_entry_event *event,
		       struct retry_bucket *bucket, uint64_t now_us,
		       struct attempt_entry_actions *out, struct error *err);

#endif
