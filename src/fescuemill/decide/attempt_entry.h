/*
 * One call at the entry: its attempts, one after the other, until exactly one outcome is told by
 * the deadline. Pure: events and time in, actions out. The struct is the whole state; the shell
 * embeds one in each call and finds it by the sequence of its present attempt.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_ENTRY_H
#define FESCUEMILL_DECIDE_ATTEMPT_ENTRY_H

#include "fescuemill/base/error.h"
#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/attempt_defs.h"
#include "fescuemill/decide/retry.h"

#define ENTRY_EXCLUDED_MAX (RETRY_TREE_MAX + 1)

/* Gates that may refuse one call, where its backend servers are bounded. Each costs a round trip;
 * past a handful the service is full. */
#define ENTRY_REFUSALS_MAX 4

/* A further attempt with less time than this cannot be answered: it takes a round trip within a
 * region and the shortest of calls. */
#define ENTRY_RETRY_TIME_US_MIN 5000

struct attempt_entry_settings {
	uint64_t deadline_us;	   /* on this node's clock */
	uint64_t answer_margin_us; /* of the time left, kept for the answer's way back */
	bool idempotent;
	bool keyed; /* goes to the key's home gate only, so it is not retried elsewhere */
	bool retries_stated;
	uint32_t retry_budget; /* from the header, if stated */
	bool is_patient;       /* may wait at the first gate, where asking others costs too much */
	uint32_t servers_max;  /* backend servers it may be handed to; 0: only the tree's budget */
};

/* Where one attempt goes. */
struct attempt_target {
	struct node_life gate;
	struct attempt_id id; /* a fresh sequence, drawn at the moment of sending */
	uint32_t epoch;	      /* of the link that it is sent on */
};

struct attempt_entry {
	uint64_t deadline_us;
	uint64_t answer_margin_us;
	uint64_t now_us;	      /* of the event that is being handled */
	struct attempt_target target; /* the present attempt */
	struct retry_tree retries;
	uint64_t excluded[ENTRY_EXCLUDED_MAX]; /* node ids not to choose again */
	uint32_t excluded_for_good;	       /* bits of those that lost or failed it */
	uint32_t excluded_full;		       /* bits of those that had no room */
	uint8_t excluded_count;
	uint8_t attempts;
	uint8_t servers_max;
	uint8_t servers;     /* that it was, or may have been, handed to */
	bool is_patient;     /* every gate was asked: from now on it may wait at one */
	uint8_t refusals;    /* by gates, before a backend server saw it */
	uint8_t state;	     /* enum attempt_entry_state */
	uint8_t last_reason; /* enum call_reason of the last attempt that was not run */
	bool idempotent;
	bool keyed;
	bool may_have_run; /* an earlier, abandoned attempt may have run */
};

enum attempt_entry_event_type {
	ENTRY_EVENT_START,	    /* the call came from its caller */
	ENTRY_EVENT_CHOSEN,	    /* a gate was chosen */
	ENTRY_EVENT_NO_GATE,	    /* none can be chosen */
	ENTRY_EVENT_SEND_FAILED,    /* the call message was certainly not handed to the socket */
	ENTRY_EVENT_ANSWER,	    /* an answer message came */
	ENTRY_EVENT_PENDING,	    /* a pending message came */
	ENTRY_EVENT_HELD,	    /* a held message came: the answer waits for the bulk link */
	ENTRY_EVENT_LINK_REPLACED,  /* the attempt's link went silent or broke; a new one is open */
	ENTRY_EVENT_GATE_GONE,	    /* the gate is dead, restarted, or cannot be connected to */
	ENTRY_EVENT_GATE_RESTARTED, /* the link in use leads to a later process of the gate */
	ENTRY_EVENT_CALLER_GONE,
	ENTRY_EVENT_TICK,
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
			bool failed; /* answered, with a server error */
		} answer;
		struct {
			struct attempt_id id;
		} about; /* PENDING and HELD */
		struct {
			uint32_t epoch; /* of the new link, of the same kind */
		} link_replaced;
		struct {
			uint32_t epoch; /* of the link that the gate's later process answered on */
		} gate_restarted;
	};
};

enum attempt_entry_action_type {
	ENTRY_ACTION_CHOOSE,	  /* choose a gate outside excluded; answer CHOSEN or NO_GATE */
	ENTRY_ACTION_SEND_CALL,	  /* SEND_FAILED if the link refuses it */
	ENTRY_ACTION_SEND_ASK,	  /* over the link of target.epoch */
	ENTRY_ACTION_ASK_BULK,	  /* send the ask over the bulk link */
	ENTRY_ACTION_SEND_ACK,	  /* of target.id, over the link that its message came by */
	ENTRY_ACTION_SEND_CANCEL, /* over the link of target.epoch, if it is still open */
	ENTRY_ACTION_FINISH,	  /* tell the caller; nothing more happens in this call */
};

struct attempt_entry_action {
	enum attempt_entry_action_type type;
	struct attempt_target target; /* of sends */
	uint64_t time_left_us;	      /* of SEND_CALL */
	bool refuse_to_wait;	      /* of SEND_CALL: the gate refuses it rather than queue it */
	uint32_t retries_passed;      /* of SEND_CALL: the header's value */
	enum call_outcome outcome;    /* of FINISH */
	enum call_reason reason;
};

#define ENTRY_ACTIONS_MAX 4

struct attempt_entry_actions {
	uint32_t count;
	struct attempt_entry_action list[ENTRY_ACTIONS_MAX];
};

/* Lists the gates that must not be chosen next; the list has room for ENTRY_EXCLUDED_MAX. */
uint32_t attempt_entry_excluded(const struct attempt_entry *call, uint64_t *list);
/* Tells whether a gate had no room for the call: if it is the best all the same, the call had
 * better wait there than be sent around (ENTRY_EVENT_NO_GATE). */
bool attempt_entry_was_full(const struct attempt_entry *call, uint64_t node_id);
void attempt_entry_init(struct attempt_entry *call, const struct attempt_entry_settings *settings);
int attempt_entry_step(struct attempt_entry *call, const struct attempt_entry_event *event,
		       struct retry_bucket *bucket, uint64_t now_us,
		       struct attempt_entry_actions *out, struct error *err);

#endif
