/*
 * Backend: HTTP/1.1 client for the local backend server, over keep-alive connections. It reports
 * exactly how a call ended, and never sends a request twice.
 */
#ifndef FESCUEMILL_HTTP_BACKEND_H
#define FESCUEMILL_HTTP_BACKEND_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/announcement.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/wire/message_defs.h"

#include <stdbool.h>
#include <uv.h>

/* How a call ended. */
enum backend_end {
	BACKEND_END_ANSWERED,	   /* a complete answer was received */
	BACKEND_END_REFUSED,	   /* the backend server answered that it did not run the call */
	BACKEND_END_NOT_CONNECTED, /* no byte of the request was written */
	BACKEND_END_LOST,	   /* the connection broke after sending of the request began */
	BACKEND_END_TIMEOUT,	   /* the deadline passed after sending of the request began */
	BACKEND_END_EXPIRED,	   /* the deadline passed before sending of the request began */
	BACKEND_END_TOO_LARGE,	   /* the call ran, but its answer is over the size limit */
	BACKEND_END_DRAINING,	   /* the backend server drains; no byte was written */
	BACKEND_END_COUNT,
};

/* The load that a backend server reports about itself. */
struct backend_load {
	uint32_t running;		    /* calls that it is running */
	uint32_t waiting;		    /* calls in its queue */
	uint32_t slots;			    /* calls that it can run at once */
	uint32_t slowdown_percent;	    /* service time in percent of the normal one */
	char instance[INSTANCE_NAME_BYTES]; /* instance that reports it; empty: not stated */
};

/* Whether an answer states a limit on the rate of calls. */
enum backend_rate {
	BACKEND_RATE_NONE,    /* it states none: there is no limit, or no longer one */
	BACKEND_RATE_STATED,  /* it states one */
	BACKEND_RATE_INVALID, /* what it states is not a rate */
};

/* What the backend server says of itself in an answer, besides its load. */
struct backend_notice {
	enum backend_rate rate;
	uint32_t rate_milli; /* calls per 1000 s, for BACKEND_RATE_STATED */
	bool is_leaving;     /* it is about to stop, and is to get no new calls */
};

/* The end of a call. Valid only during the callback. */
struct backend_answer {
	enum backend_end end;
	bool has_load;
	struct backend_load load;
	struct backend_notice notice; /* of BACKEND_END_ANSWERED and BACKEND_END_REFUSED */
	uint32_t status;
	uint32_t server_us; /* time from sending the request to the end of the call; 0: not sent */
	struct wire_headers headers;
	struct wire_bytes body;
};

/* A request to the backend server. The head is copied; the body must live until the call has ended.
 */
struct backend_request {
	struct attempt_id id;
	const struct message_call *call;
	uint64_t time_left_us; /* until the deadline */
	bool is_probe;	       /* a health check by this node, not a call */
	const char *instance;  /* instance of the backend server that is addressed; NULL: any */
	/* Set by backend_call_start(): */
	struct endpoint to;
	bool is_connection_reused; /* its connection has carried earlier calls */
};

struct http_dialect;
struct backend_client;
struct backend_call;

/* Called exactly once for each call that was not cancelled. */
typedef void (*backend_done_fn)(void *user, const struct backend_answer *answer);

/* answer_bytes_max limits the body of one answer, memory_bytes_max the memory of all answers that
 * are being received. */
int backend_client_open(struct backend_client **out, uv_loop_t *loop,
			const struct http_dialect *dialect, uint32_t answer_bytes_max,
			uint64_t memory_bytes_max, struct error *err);
/* Sets the address. Port 0: there is no backend server; ip 0: the loopback address. Connections to
 * the old address are closed when their calls end. */
void backend_client_set_address(struct backend_client *client, const struct endpoint *to);
/* While the backend server drains, calls whose connection is not open yet are not sent any more:
 * they end when it opens, in BACKEND_END_DRAINING. */
void backend_client_set_draining(struct backend_client *client, bool is_draining);
/* Closes the client; every call must have ended. The memory is freed while the loop runs on. */
void backend_client_close(struct backend_client *client);

/* Starts a call; `done` never runs before this returns. Errors: ERROR_STATE (port 0), ERROR_MEMORY.
 */
int backend_call_start(struct backend_client *client, const struct backend_request *req,
		       backend_done_fn done, void *user, struct backend_call **out,
		       struct error *err);
/* Cancels a call and closes its connection; `done` is not called. Returns true if sending of the
 * request had begun, so that the call may have run. */
bool backend_call_cancel(struct backend_call *call);

const char *backend_end_name(enum backend_end end);
/* Returns the outcome that the caller gets for an end, and stores the reason. */
enum call_outcome backend_end_outcome(enum backend_end end, enum call_reason *reason);

#endif
