/*
 * Ready: answers requests for /ready with 200 while callers should send new calls, and with 503
 * otherwise.
 */
#include "fescuemilld/node/ready.h"

#include "fescuemill/http/server.h"

#include <stdlib.h>

#define BODY_BYTES_MAX 1024
#define IDLE_MS	       30000

struct ready {
	struct http_server *server;
	bool (*is_ready)(void *user);
	void *user;
};

static void handle_request(void *user, h2o_req_t *req)
{
	const struct ready *ready = user;

	if (!h2o_memis(req->input.path.base, req->input.path.len, H2O_STRLIT("/ready")))
		http_respond_json(req, 404, "{}");
	else if (ready->is_ready(ready->user))
		http_respond_json(req, 200, "{\"ready\":true}");
	else
		http_respond_json(req, 503, "{\"ready\":false}");
}

/* Opens the listener; *out is NULL if the port is 0. Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int ready_open(struct ready **out, uv_loop_t *loop, const struct endpoint *at,
	       struct client_guard *guard, bool (*is_ready)(void *user), void *user,
	       struct error *err)
{
	struct http_server_options options = {
		.ip = at->ip,
		.port = at->port,
		.body_bytes_max = BODY_BYTES_MAX,
		.idle_ms = IDLE_MS,
		.on_request = handle_request,
		.guard = guard,
		.is_reserved = true,
	};
	struct ready *ready;

	*out = NULL;
	if (at->port == 0)
		return 0;
	ready = calloc(1, sizeof(*ready));
	if (!ready)
		return error_set(err, ERROR_MEMORY, "no memory for the ready listener");
	ready->is_ready = is_ready;
	ready->user = user;
	options.user = ready;
	if (http_server_open(&ready->server, loop, &options, err) != 0) {
		free(ready);
		return -1;
	}
	*out = ready;
	return 0;
}

/* Closes the listener. `ready` may be NULL. */
void ready_close(struct ready *ready)
{
	if (ready)
		http_server_detach(ready->server);
}
