/*
 * Limit on the memory of request bodies, including those that are still being received.
 *
 * h2o collects a body in the buffer of its connection and calls the handler only when the body is
 * complete. So the sizes of these buffers are summed while the loop is active; while the sum is
 * over the limit, the requests whose bodies began last are refused.
 */
#ifndef FESCUEMILL_HTTP_BODY_LIMIT_H
#define FESCUEMILL_HTTP_BODY_LIMIT_H

#include "fescuemill/http/server.h"

struct body_limit_options {
	struct http_server *server;
	uint64_t bytes_max; /* for complete bodies and those that are being received */
	/* Returns the bytes of the complete bodies in memory. */
	uint64_t (*complete_body_bytes)(void *user);
	void *user;
};

/* Embedded in its owner, which allocates and frees it. */
struct body_limit {
	uv_check_t check;
	struct body_limit_options options;
	uint64_t last_check_ms;	   /* loop time when the buffers were last summed */
	const h2o_req_t *refusing; /* the request that is being refused right now, else NULL */
};

void body_limit_open(struct body_limit *limit, uv_loop_t *loop,
		     const struct body_limit_options *options);
/* Stops enforcing the limit. The loop must run on until libuv has closed the check handle. */
void body_limit_close(struct body_limit *limit);
/* Returns true if the handler was called for an incomplete body and must refuse the request. */
bool body_limit_is_refusing(const struct body_limit *limit, const h2o_req_t *req);

#endif
