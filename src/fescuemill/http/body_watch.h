/*
 * Body watch: bounds the memory of the bodies that callers are still sending.
 *
 * h2o gathers a body in its connection's buffer and tells nobody before it is whole. So the buffers
 * are summed while the loop is active, and over the bound the bodies that began last are refused.
 */
#ifndef FESCUEMILL_HTTP_BODY_WATCH_H
#define FESCUEMILL_HTTP_BODY_WATCH_H

#include "fescuemill/http/server.h"

struct body_watch_options {
	struct http_server *server;
	uint64_t bytes_max; /* for whole bodies and those that are being received */
	/* Gives the bytes of whole bodies. */
	uint64_t (*held_bytes)(void *user);
	void *user;
};

/* Memory is the owner's. */
struct body_watch {
	uv_check_t check;
	struct body_watch_options options;
	uint64_t summed_ms;	   /* when the buffers were summed last */
	const h2o_req_t *refusing; /* NULL except while a request is being refused */
};

void body_watch_open(struct body_watch *watch, uv_loop_t *loop,
		     const struct body_watch_options *options);
/* The loop must run on before the memory is freed. */
void body_watch_close(struct body_watch *watch);
/* Tells the request's handler that the body is not whole and the request must be refused. */
bool body_watch_is_refusing(const struct body_watch *watch, const h2o_req_t *req);

#endif
