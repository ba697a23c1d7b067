/*
 * Backend: HTTP/1.1 client towards the backend server beside this node, over keep-alive
 * connections. It says exactly how a call ended; it never sends a request twice.
 */
#ifndef FESCUEMILL_HTTP_BACKEND_H
#define FESCUEMILL_HTTP_BACKEND_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/announcement.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/wire/message_defs.h"

#include <stdbool.h>
#include <uv.h>

enum backend_end {
	BACKEND_END_ANSWERED,	   /* a whole answer is here */
	BACKEND_END_REFUSED,	   /* the backend server said that it did not run the call */
	BACKEND_END_NOT_CONNECTED, /* no byte of the request was written */
	BACKEND_END_LOST,	   /* the connection broke after the request was begun */
	BACKEND_END_TIMEOUT,	   /* the deadline passed after the request was begun */
	BACKEND_END_EXPIRED,	   /* the deadline passed before the request was begun */
	BACKEND_END_TOO_LARGE,	   /* it ran, but its answer is over a cap */
	BACKEND_END_COUNT,
};

/* What a backend server says of its own load. */
struct backend_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowdown_percent;	    /* how long work takes now, 100 as usual */
	char instance[INSTANCE_NAME_BYTES]; /* the start that tells it; empty: not stated */
};

/* Everything is valid only during the callback. */
struct backend_answer {
	enum backend_end end;
	bool has_load;
	struct backend_load load;
	uint32_t status;
	uint32_t server_us; /* from the first byte written to the whole answer */
	struct wire_headers headers;
	struct wire_bytes body;
};

/* What goes to the backend server. The head is copied; the body must live until the call ended. */
struct backend_request {
	struct attempt_id id;
	const struct message_call *call;
	uint64_t time_left_us;
	bool is_probe;	      /* a health check of the node's own, not a call */
	const char *instance; /* the start of the backend server that is meant; NULL: any */
	struct endpoint to;   /* set by the client */
};

struct http_dialect;
struct backend_client;
struct backend_call;

/* Called exactly once for each call that was not cancelled. */
typedef void (*backend_done_fn)(void *user, const struct backend_answer *answer);

int backend_client_open(struct backend_client **out, uv_loop_t *loop,
			const struct http_dialect *dialect, uint32_t answer_bytes_max,
			struct error *err);
/* Sets the address, with port 0 for none; connections to the old one end with their calls. */
void backend_client_set_address(struct backend_client *client, const struct endpoint *to);
/* Every call must have ended. The loop must run on for the memory to be freed. */
void backend_client_close(struct backend_client *client);

/* Starts a call; done never runs before this returns. Errors: ERROR_STATE (no port), ERROR_MEMORY.
 */
int backend_call_start(struct backend_client *client, const struct backend_request *req,
		       backend_done_fn done, void *user, struct backend_call **out,
		       struct error *err);
/* Closes the call's connection; done will not run. Returns whether the request was begun. */
bool backend_call_cancel(struct backend_call *call);

const char *backend_end_name(enum backend_end end);
/* What an end means for the caller; also gives the reason. */
enum call_outcome backend_end_outcome(enum backend_end end, enum call_reason *reason);

#endif
