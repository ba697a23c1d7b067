/*
 * Types shared by the gate's source files: attempts, the shell, the origin of a message.
 */
#ifndef FESCUEMILLD_GATE_GATE_SHELL_DEFS_H
#define FESCUEMILLD_GATE_GATE_SHELL_DEFS_H

#include "fescuemill/decide/attempt_gate.h"
#include "fescuemill/decide/gate.h"
#include "fescuemill/decide/key.h"
#include "fescuemill/decide/notice_defs.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/http/backend.h"
#include "fescuemilld/gate/gate_crash.h"
#include "fescuemilld/gate/gate_shell.h"

#include <h2o/linklist.h>
#include <h2o/memory.h>

/* One attempt, from its arrival until the attempt table removes it. */
struct gate_attempt {
	struct gate_ticket ticket;
	h2o_linklist_t verdict_link; /* linked while a verdict is queued */
	struct gate_verdict verdict;
	struct gate_shell *shell;
	struct attempt_id id;
	struct channel_route route; /* connection of the latest message about it */
	h2o_mem_pool_t request_arena;
	h2o_mem_pool_t answer_arena;
	struct message_call call; /* its bytes are in request_arena, until the run ends */
	uint8_t *gathered;	  /* its body, if that came in pieces; else NULL */
	struct message_answer answer;
	uint64_t deadline_us;
	uint64_t offered_us;	  /* when its call arrived */
	uint64_t started_us;	  /* when its run started; 0 before */
	struct backend_call *run; /* NULL unless it is running */
	struct key_hash key;
	bool is_apart;		/* no other attempt that may end the server runs beside it */
	bool is_keyed;		/* gate_key_finished() must still record its outcome */
	bool has_known_outcome; /* outcome is known without running it */
	enum call_outcome known_outcome;
	enum call_reason known_reason;
	uint64_t known_answer_bytes; /* size of the stored answer */
};

struct gate_shell {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct gate_shell_options options;
	struct attempt_gate *table;
	struct key_table *keys;
	struct gate admission;
	h2o_linklist_t verdicts;   /* of struct gate_attempt, in the order of admission */
	bool is_applying_verdicts; /* a caller on the stack is carrying out the verdicts */
	bool is_reading;	   /* verdicts wait until the messages that arrived are read */
	struct backend_client *client;
	struct crash_shell *crashes; /* requests that ran when servers ended; NULL: not known */
	uint32_t apart_count;	     /* attempts with is_apart set */
	struct gate_crash *crash;    /* finds out whether the backend server has ended */
	struct endpoint server_to;   /* address of the backend server; port 0: not known */
	struct announcement backend;
	struct backend_call *probe;	/* NULL unless one is in progress */
	struct message_call probe_call; /* request of the probe in progress */
	uint64_t probe_sent_us;		/* when the latest probe was sent */
	uint64_t last_discovery_us;	/* when an unannounced backend server was last probed for */
	struct server_notice notice;	/* latest word of the backend server, for entries to keep */
	bool has_heard_server;		/* this start of it has answered a call of this process */
	bool has_logged_bad_rate;
	char *health_path;	       /* NULL: the backend server cannot be probed */
	uint64_t saturation_logged_us; /* time of the latest verdict that was logged */
	bool has_logged_cold;	       /* the latest line about it says that the server is cold */
	bool is_draining;
	bool is_evacuated; /* the failure domain is being evacuated */
};

/* The message being handled and the connection it arrived on; both NULL when there is none. */
struct origin {
	const struct channel_route *route;
	const struct message *msg;
};

/* Returns an event about an attempt with its other fields zeroed. */
struct attempt_gate_event gate_shell_event(enum attempt_gate_event_type type,
					   const struct attempt_id *id);
/* Passes an event to the table and carries out its actions. */
void gate_shell_step(struct gate_shell *shell, const struct attempt_gate_event *event,
		     const struct origin *origin);

#endif
