/*
 * Gate shell types that its parts share: attempts, the shell, where a message came from.
 */
#ifndef FESCUEMILLD_GATE_SHELL_DEFS_H
#define FESCUEMILLD_GATE_SHELL_DEFS_H

#include "fescuemill/decide/attempt_gate.h"
#include "fescuemill/decide/gate.h"
#include "fescuemill/decide/key.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/http/backend.h"
#include "fescuemilld/gate_shell.h"

#include <h2o/linklist.h>
#include <h2o/memory.h>

/* What the shell holds of one attempt, from its offer until the table forgets it. */
struct gate_attempt {
	struct gate_ticket ticket;
	h2o_linklist_t verdict_link; /* linked while admission's verdict is to be carried out */
	struct gate_verdict verdict;
	struct gate_shell *shell;
	struct attempt_id id;
	struct channel_route route; /* of the latest message about it */
	h2o_mem_pool_t request_arena;
	h2o_mem_pool_t answer_arena;
	struct message_call call; /* lies in the request's arena, until the run ends */
	struct message_answer answer;
	uint64_t deadline_us;
	uint64_t offered_us;
	uint64_t started_us;
	struct backend_call *run; /* NULL unless it runs */
	struct key_hash key;
	bool is_keyed;	 /* the home of its key waits for its end */
	bool is_settled; /* has its outcome without running */
	enum call_outcome settled;
	enum call_reason settled_reason;
	uint64_t settled_bytes; /* of the kept answer */
};

struct gate_shell {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct gate_shell_options options;
	struct attempt_gate *table;
	struct key_table *keys;
	struct gate admission;
	h2o_linklist_t verdicts; /* of attempts, in the order of admission */
	bool is_carrying_out;	 /* the verdicts are being worked off further up the stack */
	struct backend_client *client;
	struct announcement backend;
	struct backend_call *probe; /* NULL unless one is on its way */
	struct message_call probe_call;
	uint64_t looked_us;		     /* when a backend server was looked for last */
	char health_path[HEALTH_PATH_BYTES]; /* empty: the backend server cannot be probed */
	bool is_draining;
};

/* Where a message came from while it is being handled; NULL route otherwise. */
struct origin {
	const struct channel_route *route;
	const struct message *msg;
};

/* Starts an event about an attempt. */
struct attempt_gate_event gate_shell_event(enum attempt_gate_event_type type,
					   const struct attempt_id *id);
/* Passes an event to the table and carries out its actions. */
void gate_shell_step(struct gate_shell *shell, const struct attempt_gate_event *event,
		     const struct origin *origin);

#endif
