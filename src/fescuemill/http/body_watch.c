/*
 * Body watch: bounds the memory of the bodies that callers are still sending.
 */
#include "fescuemill/http/body_watch.h"

#include "fescuemill/base/clock.h"

#include <string.h>

#define SUM_PERIOD_MS 5
#define REFUSALS_MAX  32 /* at once; each walks all connections */

/* What one walk over all connections finds. */
struct reception {
	uint64_t bytes;
	h2o_req_t *newest; /* the body that began last; NULL when none is being received */
};

/* Gives the bytes that a connection holds. */
static uint64_t buffered_bytes(const h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->input->size;
}

/* Gives when a request's body began. */
static int64_t begun_us(const h2o_req_t *req)
{
	const struct timeval *begun = &req->timestamps.request_body_begin_at;

	return (int64_t)begun->tv_sec * (int64_t)USEC_PER_SEC + begun->tv_usec;
}

/* Adds a request to the sum when its body is being received. */
static int add_request(h2o_req_t *req, void *user)
{
	struct reception *sum = user;

	if (!http_is_receiving(req))
		return 0;
	sum->bytes += buffered_bytes(req);
	if (!sum->newest || begun_us(req) >= begun_us(sum->newest))
		sum->newest = req;
	return 0;
}

/* Ends a request whose body is not whole. Its handler is run and must refuse it. */
static void refuse(struct body_watch *watch, h2o_req_t *req)
{
	h2o_socket_read_stop(req->conn->callbacks->get_socket(req->conn));
	http_server_linger(req);
	req->http1_is_persistent = 0;
	watch->refusing = req;
	h2o_process_request(req);
	watch->refusing = NULL;
}

/* Refuses bodies until the rest is within the bound. */
static void enforce_bound(struct body_watch *watch)
{
	const struct body_watch_options *options = &watch->options;

	for (uint32_t i = 0; i < REFUSALS_MAX; i++) {
		struct reception sum = {0, NULL};

		http_server_each_request(options->server, add_request, &sum);
		if (!sum.newest ||
		    options->held_bytes(options->user) + sum.bytes <= options->bytes_max)
			return;
		refuse(watch, sum.newest);
	}
}

/* Sums the buffers after the loop has read from its sockets. Nothing can grow without waking it. */
static void on_check(uv_check_t *check)
{
	struct body_watch *watch = check->data;
	uint64_t now_ms = uv_now(check->loop);

	if (now_ms < watch->summed_ms + SUM_PERIOD_MS)
		return;
	watch->summed_ms = now_ms;
	enforce_bound(watch);
}

/* Starts to watch a listener. */
void body_watch_open(struct body_watch *watch, uv_loop_t *loop,
		     const struct body_watch_options *options)
{
	memset(watch, 0, sizeof(*watch));
	watch->options = *options;
	uv_check_init(loop, &watch->check);
	watch->check.data = watch;
	uv_check_start(&watch->check, on_check);
	uv_unref((uv_handle_t *)&watch->check);
}

/* Ends the watch. */
void body_watch_close(struct body_watch *watch)
{
	uv_close((uv_handle_t *)&watch->check, NULL);
}

/* Tells whether a request's handler was run to refuse it. */
bool body_watch_is_refusing(const struct body_watch *watch, const h2o_req_t *req)
{
	return watch->refusing == req;
}
