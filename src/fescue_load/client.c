/*
 * Client: a thin layer over h2o's HTTP/1 client that reports the end of each exchange once.
 */
#include "fescue_load/client.h"

#define IO_TIMEOUT_MS (11ULL * 60 * 1000) /* longer than any deadline; each call has a timer */
#define KEEP_ALIVE_MS 5000
#define POOL_CAPACITY 16384

/* No messages are sent between threads, but h2o's client requires a receiver. */
static void ignore_messages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
	(void)receiver;
	(void)messages;
}

/* Initializes a client on a loop. The client must not be moved afterwards. */
void client_init(struct client *client, h2o_loop_t *loop)
{
	h2o_multithread_queue_t *queue = h2o_multithread_create_queue(loop);

	memset(client, 0, sizeof(*client));
	h2o_multithread_register_receiver(queue, &client->receiver, ignore_messages);
	h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
	client->ctx.loop = loop;
	client->ctx.getaddr_receiver = &client->receiver;
	client->ctx.io_timeout = &client->io_timeout;
}

/* Initializes the pool of connections to one address. */
void client_pool_init(h2o_socketpool_t *pool, const struct sockaddr_in *address, h2o_loop_t *loop)
{
	struct sockaddr_in copy = *address;

	h2o_socketpool_init_by_address(pool, (struct sockaddr *)&copy, sizeof(copy), 0,
				       POOL_CAPACITY);
	h2o_socketpool_set_timeout(pool, loop, KEEP_ALIVE_MS);
}

/* Reports the end of an exchange. The owner may free the call in on_end. */
static void report_end(struct client_call *call, enum client_end end)
{
	call->exchange = NULL;
	call->on_end(call, end);
}

/* Passes the received part of the body to on_data. */
static void forward_data(struct client_call *call)
{
	h2o_buffer_t **input = &call->exchange->sock->input;

	if ((*input)->size == 0)
		return;
	if (call->on_data)
		call->on_data(call, (*input)->bytes, (*input)->size);
	h2o_buffer_consume(input, (*input)->size);
}

/* Handles a received part of the body, the end of the body, or a connection error. */
static int on_body(h2o_http1client_t *exchange, const char *errstr)
{
	struct client_call *call = exchange->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		report_end(call, CLIENT_END_TRUNCATED);
		return -1;
	}
	forward_data(call);
	if (errstr == h2o_http1client_error_is_eos)
		report_end(call, CLIENT_END_COMPLETE);
	return 0;
}

/* Handles the status line and headers of the answer, or a connection error before them. */
static h2o_http1client_body_cb on_head(h2o_http1client_t *exchange, const char *errstr,
				       int minor_version, int status, h2o_iovec_t message,
				       struct st_h2o_header_t *headers, size_t count, int bytes)
{
	struct client_call *call = exchange->data;

	(void)minor_version;
	(void)message;
	(void)bytes;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		report_end(call, CLIENT_END_NO_ANSWER);
		return NULL;
	}
	if (call->on_head)
		call->on_head(call, status, headers, count);
	if (errstr == h2o_http1client_error_is_eos) {
		report_end(call, CLIENT_END_COMPLETE);
		return NULL;
	}
	return on_body;
}

/* Sends the request when the connection is established. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *exchange, const char *errstr,
					  h2o_iovec_t **request, size_t *count, int *is_head)
{
	struct client_call *call = exchange->data;

	if (errstr) {
		report_end(call, CLIENT_END_NOT_CONNECTED);
		return NULL;
	}
	*request = call->request;
	*count = call->request[1].len > 0 ? 2 : 1;
	*is_head = call->is_head;
	return on_head;
}

/* Starts an exchange over a kept-alive or a new connection of the pool. */
void client_start(struct client *client, h2o_socketpool_t *pool, struct client_call *call)
{
	h2o_http1client_connect_with_pool(&call->exchange, call, &client->ctx, pool, on_connect);
}

/* Cancels an exchange by closing its connection. on_end is not called. */
void client_cancel(struct client_call *call)
{
	if (call->exchange)
		h2o_http1client_cancel(call->exchange);
	call->exchange = NULL;
}
