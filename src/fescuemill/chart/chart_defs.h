/*
 * State charts: the states and inputs of each chart, in the order of their enum values.
 * charts/NAME.json defines the transitions between them and uses the same names.
 */
#ifndef FESCUEMILL_CHART_CHART_DEFS_H
#define FESCUEMILL_CHART_CHART_DEFS_H

#define ATTEMPT_ENTRY_STATES(X)                                                                    \
	X(ENTRY_CHOOSING, "choosing") /* waits until a gate is chosen */                           \
	X(ENTRY_SENT, "sent")	      /* sent to the gate */                                       \
	X(ENTRY_ASKING, "asking")     /* asked the gate again over a new connection */             \
	X(ENTRY_FETCHING, "fetching") /* fetches a large answer over the bulk link */              \
	X(ENTRY_DONE, "done")	      /* the outcome was reported */

#define ATTEMPT_ENTRY_INPUTS(X)                                                                    \
	X(ENTRY_INPUT_CHOSEN, "chosen")                                                            \
	X(ENTRY_INPUT_RETRY, "retry")                                                              \
	X(ENTRY_INPUT_LINK_REPLACED, "link_replaced") /* the link to the gate was replaced */      \
	X(ENTRY_INPUT_PENDING, "pending") /* the gate reports that the attempt waits or runs */    \
	X(ENTRY_INPUT_HELD, "held")	  /* the gate holds a large answer to be fetched */        \
	X(ENTRY_INPUT_FINISH, "finish")

#define ATTEMPT_GATE_STATES(X)                                                                     \
	X(GATE_ATTEMPT_NEW, "new")                                                                 \
	X(GATE_ATTEMPT_WAITING, "waiting")     /* offered to the gate's admission control */       \
	X(GATE_ATTEMPT_RUNNING, "running")     /* at the backend server */                         \
	X(GATE_ATTEMPT_STOPPING, "stopping")   /* being cancelled at the backend server */         \
	X(GATE_ATTEMPT_FINISHED, "finished")   /* the run has ended; the outcome is stored */      \
	X(GATE_ATTEMPT_REFUSED, "refused")     /* has not run and never will */                    \
	X(GATE_ATTEMPT_FORGOTTEN, "forgotten") /* the record is dropped */

#define ATTEMPT_GATE_INPUTS(X)                                                                     \
	X(GATE_INPUT_CALL, "call")                                                                 \
	X(GATE_INPUT_ASK, "ask")                                                                   \
	X(GATE_INPUT_CANCEL, "cancel")                                                             \
	X(GATE_INPUT_ACK, "ack")                                                                   \
	X(GATE_INPUT_ADMITTED, "admitted")                                                         \
	X(GATE_INPUT_REFUSED, "refused")                                                           \
	X(GATE_INPUT_FINISHED, "finished")                                                         \
	X(GATE_INPUT_DEADLINE, "deadline")                                                         \
	X(GATE_INPUT_EXPIRE, "expire") /* the retention time of the record is over */

#define BACKEND_SERVER_STATES(X)                                                                   \
	X(BACKEND_CHART_NONE, "none")                                                              \
	X(BACKEND_CHART_STARTING, "starting")                                                      \
	X(BACKEND_CHART_READY, "ready")                                                            \
	X(BACKEND_CHART_DRAINING, "draining")                                                      \
	X(BACKEND_CHART_LEAVING, "leaving")

#define BACKEND_SERVER_INPUTS(X)                                                                   \
	X(BACKEND_INPUT_STARTING, "announced_starting")                                            \
	X(BACKEND_INPUT_READY, "announced_ready")                                                  \
	X(BACKEND_INPUT_DRAINING, "announced_draining")                                            \
	X(BACKEND_INPUT_LEAVING, "announced_leaving")                                              \
	X(BACKEND_INPUT_LEASE_EXPIRED, "lease_expired")

#define CONNECTION_STATES(X)                                                                       \
	X(PEER_CLOSED, "closed")                                                                   \
	X(PEER_OPEN, "open")                                                                       \
	X(PEER_PINGED, "pinged") /* a ping was sent, and nothing was received since */

#define CONNECTION_INPUTS(X)                                                                       \
	X(CONNECTION_INPUT_OPENED, "opened")                                                       \
	X(CONNECTION_INPUT_RECEIVED, "heard") /* something was received */                         \
	X(CONNECTION_INPUT_QUIET, "quiet")    /* a ping is sent after a silence */                 \
	X(CONNECTION_INPUT_CLOSED, "closed")

#define NODE_STATES(X)                                                                             \
	X(NODE_STARTING, "starting")                                                               \
	X(NODE_CATCHING_UP, "catching_up") /* waits until it has the accepted configuration */     \
	X(NODE_READY, "ready")                                                                     \
	X(NODE_DRAINING, "draining") /* finishes work in progress, accepts no new work */          \
	X(NODE_STOPPED, "stopped")

#define NODE_INPUTS(X)                                                                             \
	X(NODE_INPUT_LISTENING, "listening")                                                       \
	X(NODE_INPUT_CAUGHT_UP, "caught_up")                                                       \
	X(NODE_INPUT_TIME_SKIPPED, "time_skipped") /* the process was paused */                    \
	X(NODE_INPUT_STOP, "stop")                                                                 \
	X(NODE_INPUT_IDLE, "idle")

#define PLATFORM_SESSION_STATES(X)                                                                 \
	X(PLATFORM_SESSION_UNKNOWN, "unknown") /* sends requests that return at once */            \
	X(PLATFORM_SESSION_CURRENT, "current") /* watches from the known version on */             \
	X(PLATFORM_SESSION_BACKING_OFF, "backing_off")

#define PLATFORM_SESSION_INPUTS(X)                                                                 \
	X(PLATFORM_SESSION_INPUT_ANSWERED, "answered")                                             \
	X(PLATFORM_SESSION_INPUT_FAILED, "failed")                                                 \
	X(PLATFORM_SESSION_INPUT_OUTDATED, "outdated") /* the known objects may be outdated */     \
	X(PLATFORM_SESSION_INPUT_RETRY, "retry_due")

/* All charts: symbol, and name of the chart and of its file. */
#define CHART_LIST(X)                                                                              \
	X(ATTEMPT_ENTRY, attempt_entry)                                                            \
	X(ATTEMPT_GATE, attempt_gate)                                                              \
	X(BACKEND_SERVER, backend_server)                                                          \
	X(CONNECTION, connection)                                                                  \
	X(NODE, node)                                                                              \
	X(PLATFORM_SESSION, platform_session)

#define CHART_SYMBOL(symbol, name) symbol,
enum attempt_entry_state {
	ATTEMPT_ENTRY_STATES(CHART_SYMBOL) ENTRY_STATE_COUNT
};
enum attempt_entry_input {
	ATTEMPT_ENTRY_INPUTS(CHART_SYMBOL) ENTRY_INPUT_COUNT
};
enum attempt_gate_state {
	ATTEMPT_GATE_STATES(CHART_SYMBOL) GATE_ATTEMPT_STATE_COUNT
};
enum attempt_gate_input {
	ATTEMPT_GATE_INPUTS(CHART_SYMBOL) GATE_INPUT_COUNT
};
enum backend_chart_state {
	BACKEND_SERVER_STATES(CHART_SYMBOL) BACKEND_CHART_STATE_COUNT
};
enum backend_input {
	BACKEND_SERVER_INPUTS(CHART_SYMBOL) BACKEND_INPUT_COUNT
};
enum peer_state {
	CONNECTION_STATES(CHART_SYMBOL) PEER_STATE_COUNT
};
enum connection_input {
	CONNECTION_INPUTS(CHART_SYMBOL) CONNECTION_INPUT_COUNT
};
enum node_state {
	NODE_STATES(CHART_SYMBOL) NODE_STATE_COUNT
};
enum node_input {
	NODE_INPUTS(CHART_SYMBOL) NODE_INPUT_COUNT
};
enum platform_session_state {
	PLATFORM_SESSION_STATES(CHART_SYMBOL) PLATFORM_SESSION_STATE_COUNT
};
enum platform_session_input {
	PLATFORM_SESSION_INPUTS(CHART_SYMBOL) PLATFORM_SESSION_INPUT_COUNT
};
#undef CHART_SYMBOL

enum chart_id {
#define CHART_ID(symbol, name) CHART_##symbol,
	CHART_LIST(CHART_ID)
#undef CHART_ID
	CHART_COUNT,
};

#endif
