/*
 * Limit on the memory of request bodies, including those that are still being received.
 */
#include "fescuemill/http/body_limit.h"

#include "fescuemill/base/clock.h"

#include <string.h>

#define LONE_DIVISOR	16 /* a body is alone while complete ones take this part at most */
#define CHECK_PERIOD_MS 5  /* shortest time between two checks */
#define REFUSALS_MAX	32 /* per check; each refusal visits all connections */

/* Bodies that are being received, found by one pass over all connections. */
struct received_bodies {
	uint64_t bytes;
	uint32_t count;
	h2o_req_t *latest; /* the request whose body began last; NULL if there is none */
};

/* Returns the bytes in the input buffer of a request's connection. */
static uint64_t buffered_bytes(const h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->input->size;
}

/* Returns when the first byte of a request's body was received, in microseconds. */
static int64_t body_started_us(const h2o_req_t *req)
{
	const struct timeval *started = &req->timestamps.request_body_begin_at;

	return (int64_t)started->tv_sec * (int64_t)USEC_PER_SEC + started->tv_usec;
}

/* Adds a request's buffer to the total if its body is being received. */
static int add_request(h2o_req_t *req, void *user)
{
	struct received_bodies *bodies = user;

	if (!http_request_is_receiving(req))
		return 0;
	bodies->bytes += buffered_bytes(req);
	bodies->count++;
	if (!bodies->latest || body_started_us(req) >= body_started_us(bodies->latest))
		bodies->latest = req;
	return 0;
}

/* Stops reading a request whose body is incomplete and runs its handler, which must refuse it. */
static void refuse(struct body_limit *limit, h2o_req_t *req)
{
	h2o_socket_read_stop(req->conn->callbacks->get_socket(req->conn));
	http_server_use_lingering_close(req);
	req->http1_is_persistent = 0;
	limit->refusing = req;
	h2o_process_request(req);
	limit->refusing = NULL;
}

/* Refuses the requests whose bodies began last until the others are within the limit, at most
 * REFUSALS_MAX of them. */
static void enforce_limit(struct body_limit *limit)
{
	const struct body_limit_options *options = &limit->options;

	for (uint32_t i = 0; i < REFUSALS_MAX; i++) {
		struct received_bodies bodies = {0, 0, NULL};
		uint64_t complete_bytes = options->complete_body_bytes(options->user);

		http_server_foreach_request(options->server, add_request, &bodies);
		if (!bodies.latest || complete_bytes + bodies.bytes <= options->bytes_max)
			return;
		/* A legal body that is sent alone is taken, whatever its size. */
		if (bodies.count == 1 && complete_bytes <= options->bytes_max / LONE_DIVISOR)
			return;
		refuse(limit, bodies.latest);
	}
}

/* Enforces the limit after the loop has read from its sockets. Buffers grow only by such reads, so
 * no timer is needed. */
static void on_check(uv_check_t *check)
{
	struct body_limit *limit = check->data;
	uint64_t now_ms = uv_now(check->loop);

	if (now_ms < limit->last_check_ms + CHECK_PERIOD_MS)
		return;
	limit->last_check_ms = now_ms;
	enforce_limit(limit);
}

/* Starts to enforce the limit on the connections of a server. */
void body_limit_open(struct body_limit *limit, uv_loop_t *loop,
		     const struct body_limit_options *options)
{
	memset(limit, 0, sizeof(*limit));
	limit->options = *options;
	uv_check_init(loop, &limit->check);
	limit->check.data = limit;
	uv_check_start(&limit->check, on_check);
	uv_unref((uv_handle_t *)&limit->check);
}

void body_limit_close(struct body_limit *limit)
{
	uv_close((uv_handle_t *)&limit->check, NULL);
}

/* Returns true if a request's handler is being run only to refuse the request. */
bool body_limit_is_refusing(const struct body_limit *limit, const h2o_req_t *req)
{
	return limit->refusing == req;
}
