/*
 * Client: a thin layer over h2o's HTTP/1 client that reports one end for each exchange.
 */
#include "fescue_load/client.h"

#define IO_TIMEOUT_MS (11ULL * 60 * 1000) /* above every deadline: callers keep their own time */
#define KEEP_ALIVE_MS 5000
#define POOL_CAPACITY 16384

/* Nothing is ever sent between threads; h2o's client needs a receiver all the same. */
static void ignore_messages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
	(void)receiver;
	(void)messages;
}

/* Prepares a client on a loop. It must not move afterwards. */
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

/* Prepares the pool of connections to one address. */
void client_pool_init(h2o_socketpool_t *pool, const struct sockaddr_in *address, h2o_loop_t *loop)
{
	struct sockaddr_in copy = *address;

	h2o_socketpool_init_by_address(pool, (struct sockaddr *)&copy, sizeof(copy), 0,
				       POOL_CAPACITY);
	h2o_socketpool_set_timeout(pool, loop, KEEP_ALIVE_MS);
}

/* Ends an exchange; the call's owner may free it in on_end. */
static void call_end(struct client_call *call, enum client_end end)
{
	call->exchange = NULL;
	call->on_end(call, end);
}

/* Passes on what has arrived of the body. */
static void pass_data(struct client_call *call)
{
	h2o_buffer_t **input = &call->exchange->sock->input;

	if ((*input)->size == 0)
		return;
	if (call->on_data)
		call->on_data(call, (*input)->bytes, (*input)->size);
	h2o_buffer_consume(input, (*input)->size);
}

/* Takes a part of the body, its end, or the connection's end. */
static int on_body(h2o_http1client_t *exchange, const char *errstr)
{
	struct client_call *call = exchange->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call_end(call, CLIENT_END_CUT);
		return -1;
	}
	pass_data(call);
	if (errstr == h2o_http1client_error_is_eos)
		call_end(call, CLIENT_END_WHOLE);
	return 0;
}

/* Takes the answer's head, or the connection's end before it. */
static h2o_http1client_body_cb on_head(h2o_http1client_t *exchange, const char *errstr,
				       int minor_version, int status, h2o_iovec_t message,
				       struct st_h2o_header_t *headers, size_t count, int bytes)
{
	struct client_call *call = exchange->data;

	(void)minor_version;
	(void)message;
	(void)bytes;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call_end(call, CLIENT_END_NO_ANSWER);
		return NULL;
	}
	if (call->on_head)
		call->on_head(call, status, headers, count);
	if (errstr == h2o_http1client_error_is_eos) {
		call_end(call, CLIENT_END_WHOLE);
		return NULL;
	}
	return on_body;
}

/* Sends the request once there is a connection. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *exchange, const char *errstr,
					  h2o_iovec_t **request, size_t *count, int *is_head)
{
	struct client_call *call = exchange->data;

	if (errstr) {
		call_end(call, CLIENT_END_UNSENT);
		return NULL;
	}
	*request = call->request;
	*count = call->request[1].len > 0 ? 2 : 1;
	*is_head = call->is_head;
	return on_head;
}

/* Starts an exchange over a kept-alive or a new connection. */
void client_start(struct client *client, h2o_socketpool_t *pool, struct client_call *call)
{
	h2o_http1client_connect_with_pool(&call->exchange, call, &client->ctx, pool, on_connect);
}

/* Ends an exchange at once by closing its connection; on_end is not called. */
void client_cancel(struct client_call *call)
{
	if (call->exchange)
		h2o_http1client_cancel(call->exchange);
	call->exchange = NULL;
}
