/*
 * Caller: the HTTP side towards callers. It hands checked requests to the entry, tells it when a
 * caller went away, and sends whole answers with the outcome headers.
 */
#ifndef FESCUEMILL_HTTP_CALLER_H
#define FESCUEMILL_HTTP_CALLER_H

#include "fescuemill/http/dialect.h"

#include <h2o/memory.h>
#include <uv.h>

struct caller;

/* One request of a caller. It stays valid until it is answered, also when the caller is gone. */
struct caller_call;

struct caller_options {
	uint32_t ip; /* host byte order */
	uint16_t port;
	uint32_t body_bytes_max;
	const struct http_dialect *dialect;
	uint64_t memory_bytes_max; /* for the bodies of all calls in progress */
	/* A request that passed the checks; it is valid until it is answered. */
	void (*on_call)(void *user, struct caller_call *call, const struct call_request *req);
	/* The caller closed its connection; the call must still be answered. */
	void (*on_gone)(void *user, struct caller_call *call);
	void *user;
};

int caller_open(struct caller **out, uv_loop_t *loop, const struct caller_options *opt,
		struct error *err);
uint16_t caller_port(const struct caller *caller);
/* Closes each connection after its answer. */
void caller_drain(struct caller *caller);
/* Takes no new connections but those whose handshake is under way; to be called some round trips
 * before caller_stop_listening. */
void caller_stop_accepting(struct caller *caller);
/* Stops listening; calls in progress go on. */
void caller_stop_listening(struct caller *caller);
void caller_close(struct caller *caller);
void caller_free(struct caller *caller);
uint32_t caller_calls(const struct caller *caller);
uint32_t caller_connections(const struct caller *caller);
/* Connections of which a part of a request has come in. */
uint32_t caller_receiving(const struct caller *caller);

/* Sends a whole answer, of which everything is copied. The call may not be used afterwards. */
void caller_answer(struct caller_call *call, const struct caller_answer *answer);
/* The arena of a call, freed after its answer was sent. */
h2o_mem_pool_t *caller_call_pool(struct caller_call *call);
void caller_call_set_data(struct caller_call *call, void *data);
void *caller_call_data(const struct caller_call *call);

#endif
