/*
 * HTTP listener for callers. It checks requests and passes them to the entry, notifies the entry
 * when a caller disconnects, and sends complete answers with the outcome headers.
 */
#ifndef FESCUEMILL_HTTP_CALLER_H
#define FESCUEMILL_HTTP_CALLER_H

#include "fescuemill/http/dialect.h"

#include <h2o/memory.h>
#include <uv.h>

/* The listener with all its connections. */
struct caller;
struct client_guard;

/* One request of a caller. It stays valid until it is answered, even if the caller disconnects. */
struct caller_call;

struct caller_options {
	uint32_t ip;		    /* host byte order */
	uint16_t port;		    /* 0: any free port */
	uint32_t body_bytes_max;    /* larger request bodies are answered with 413 */
	struct client_guard *guard; /* judges the connections; NULL: none */
	const struct http_dialect *dialect;
	uint64_t memory_bytes_max; /* limit on the total of all request and answer bodies */
	/* Called with a request that passed the checks; req is valid until the call is answered. */
	void (*on_call)(void *user, struct caller_call *call, const struct call_request *req);
	/* Called when the caller closed its connection. The call must still be answered. */
	void (*on_disconnect)(void *user, struct caller_call *call);
	void *user;
};

int caller_open(struct caller **out, uv_loop_t *loop, const struct caller_options *opt,
		struct error *err);
/* Sets the largest request body that is taken from now on. */
void caller_set_body_bytes_max(struct caller *caller, uint32_t bytes);
uint16_t caller_port(const struct caller *caller);
/* Closes each connection after its current answer. */
void caller_drain(struct caller *caller);
/* Accepts no new connections except those whose TCP handshake has begun. To be called some round
 * trips before caller_stop_listening(). */
void caller_stop_accepting(struct caller *caller);
/* Closes the listening socket. Calls in progress continue. */
void caller_stop_listening(struct caller *caller);
void caller_close(struct caller *caller);
void caller_free(struct caller *caller);
/* Returns the number of calls that are not answered yet. */
uint32_t caller_call_count(const struct caller *caller);
uint32_t caller_connection_count(const struct caller *caller);
/* Returns the number of connections that have received part of a request. */
uint32_t caller_receiving_count(const struct caller *caller);

/* Sends a complete answer; copies all of it. The call must not be used afterwards. */
void caller_answer(struct caller_call *call, const struct caller_answer *answer);
/* Returns the memory pool of a call, freed after its answer was sent. */
h2o_mem_pool_t *caller_call_pool(struct caller_call *call);
void caller_call_set_data(struct caller_call *call, void *data);
void *caller_call_data(const struct caller_call *call);

#endif
