/*
 * Backend: HTTP/1.1 client towards the backend server beside this node.
 *
 * The h2o client gathers an answer in its connection's own buffer; the answer is handed on from
 * there in one piece. From the moment that the request is given to the socket a call counts as
 * begun, because bytes may have been written whatever the socket reports later.
 */
#include "fescuemill/http/backend.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/http/call_request.h"
#include "fescuemill/http/deferred.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_CAPACITY	  1024
#define IDLE_MS		  4000
#define IO_SILENCE_MS	  (CALL_DEADLINE_US_MAX / USEC_PER_MSEC + 1000)
#define REQUEST_HEAD_ROOM 1024

/* The keep-alive connections to one port. A new one replaces it when the port changes or when a
 * connection went silent; the old one goes when its last call has ended. */
struct connection_pool {
	uv_loop_t *loop;
	h2o_socketpool_t sockets;
	uint32_t calls;
	bool retired;
};

struct backend_client {
	uv_loop_t *loop;
	h2o_http1client_ctx_t context;
	h2o_multithread_receiver_t receiver; /* unused for plain addresses, but must be there */
	h2o_timeout_t io_timeout;
	struct connection_pool *pool; /* NULL while no port is known */
	uint32_t answer_bytes_max;
	uint16_t port;
};

struct backend_call {
	uv_timer_t deadline;
	struct backend_client *client;
	struct connection_pool *pool;
	h2o_http1client_t *http; /* NULL once it ended */
	h2o_mem_pool_t arena;
	h2o_iovec_t request[2];
	bool is_head;
	bool is_chunked;
	bool begun;
	uint64_t begun_us;
	backend_done_fn done;
	void *user;
	struct backend_answer answer;
};

static const char *const end_names[BACKEND_END_COUNT] = {
	"answered", "refused", "not-connected", "lost", "timeout", "expired", "too-large",
};

/* Gives the fixed name of an end, for logs. */
const char *backend_end_name(enum backend_end end)
{
	return (unsigned int)end < BACKEND_END_COUNT ? end_names[end] : "invalid";
}

/* Maps an end to what the caller may be told. */
enum call_outcome backend_end_outcome(enum backend_end end, enum call_reason *reason)
{
	switch (end) {
	case BACKEND_END_ANSWERED:
		*reason = REASON_NONE;
		return OUTCOME_ANSWERED;
	case BACKEND_END_REFUSED:
		*reason = REASON_SHED;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_NOT_CONNECTED:
		*reason = REASON_NO_BACKEND;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_EXPIRED:
		*reason = REASON_EXPIRED;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_TIMEOUT:
		*reason = REASON_EXPIRED;
		return OUTCOME_UNKNOWN;
	case BACKEND_END_TOO_LARGE:
		*reason = REASON_TOO_LARGE;
		return OUTCOME_UNKNOWN;
	default:
		*reason = REASON_CONNECTION_LOST;
		return OUTCOME_UNKNOWN;
	}
}

/* Makes the pool for a port, or NULL without memory. */
static struct connection_pool *pool_new(struct backend_client *client)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct connection_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->loop = client->loop;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	addr.sin_port = htons(client->port);
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&addr, sizeof(addr), 0,
				       POOL_CAPACITY);
	h2o_socketpool_set_timeout(&pool->sockets, client->loop, IDLE_MS);
	return pool;
}

/* Frees a retired pool without calls, with its idle connections. */
static void pool_release(struct connection_pool *pool)
{
	if (!pool->retired || pool->calls > 0)
		return;
	h2o_socketpool_dispose(&pool->sockets);
	deferred_free(pool->loop, pool);
}

/* Takes the present pool out of use. */
static void retire_pool(struct backend_client *client)
{
	struct connection_pool *pool = client->pool;

	client->pool = NULL;
	if (!pool)
		return;
	pool->retired = true;
	pool_release(pool);
}

/* Opens a client without a port. Errors: ERROR_MEMORY. */
int backend_client_open(struct backend_client **out, uv_loop_t *loop, uint32_t answer_bytes_max,
			struct error *err)
{
	struct backend_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the backend server's client");
	/* Hosts have no disks: buffers must never spill to files. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	client->loop = loop;
	client->answer_bytes_max = answer_bytes_max;
	h2o_timeout_init(loop, &client->io_timeout, IO_SILENCE_MS);
	client->context.loop = loop;
	client->context.getaddr_receiver = &client->receiver;
	client->context.io_timeout = &client->io_timeout;
	*out = client;
	return 0;
}

/* Sets the port; 0 when there is no backend server. */
void backend_client_set_port(struct backend_client *client, uint16_t port)
{
	if (port == client->port)
		return;
	retire_pool(client);
	client->port = port;
}

/* Closes a client without calls. */
void backend_client_close(struct backend_client *client)
{
	retire_pool(client);
	h2o_timeout_dispose(client->loop, &client->io_timeout);
	deferred_free(client->loop, client);
}

/* Frees a call after libuv has let go of its timer. By then its connection is closed or back in
 * the pool. */
static void free_call(uv_handle_t *handle)
{
	struct backend_call *call = (struct backend_call *)handle;

	call->pool->calls--;
	pool_release(call->pool);
	h2o_mem_clear_pool(&call->arena);
	free(call);
}

/* Ends a call; its memory goes once libuv has closed its timer. */
static void release_call(struct backend_call *call)
{
	call->http = NULL;
	uv_close((uv_handle_t *)&call->deadline, free_call);
}

/* Reports a call's end. The connection must be closed or unused by then, or be closed by the h2o
 * client right after. */
static void finish_call(struct backend_call *call, enum backend_end end)
{
	backend_done_fn done = call->done;
	void *user = call->user;

	call->answer.end = end;
	if (call->begun)
		call->answer.server_us = (uint32_t)(clock_monotonic_us() - call->begun_us);
	release_call(call);
	/* The memory of the call lives until the handle is closed, after this callback. */
	done(user, &call->answer);
}

/* Ends a call whose connection is of no more use. */
static void fail_call(struct backend_call *call, enum backend_end end)
{
	if (call->http)
		h2o_http1client_cancel(call->http);
	finish_call(call, end);
}

/* Ends a call at its deadline. Its connection may have gone silent, and with it the idle ones
 * beside it, so all of them are replaced. */
static void on_deadline(uv_timer_t *timer)
{
	struct backend_call *call = (struct backend_call *)timer;
	struct backend_client *client = call->client;

	if (call->begun && call->pool == client->pool)
		retire_pool(client);
	fail_call(call, call->begun ? BACKEND_END_TIMEOUT : BACKEND_END_EXPIRED);
}

/* Copies the answer's headers to the call's arena, without those of the connection. Returns -1
 * when there are too many. */
static int copy_headers(struct backend_call *call, const h2o_header_t *headers, size_t count)
{
	struct wire_headers *out = &call->answer.headers;

	for (size_t i = 0; i < count; i++) {
		h2o_iovec_t name =
			h2o_strdup(&call->arena, headers[i].name->base, headers[i].name->len);
		h2o_iovec_t value =
			h2o_strdup(&call->arena, headers[i].value.base, headers[i].value.len);
		struct wire_header header = {
			{(const uint8_t *)name.base, (uint32_t)name.len},
			{(const uint8_t *)value.base, (uint32_t)value.len},
		};

		if (header_is_hop_by_hop(header.name))
			continue;
		if (out->count == WIRE_HEADERS_MAX)
			return -1;
		out->list[out->count++] = header;
	}
	return 0;
}

/* Tells whether the backend server says that it did not run the call. */
static bool is_refusal(const struct backend_answer *answer)
{
	if (answer->status != 503)
		return false;
	for (uint32_t i = 0; i < answer->headers.count; i++) {
		const struct wire_header *header = &answer->headers.list[i];

		if (wire_bytes_is(header->name, "x-fescue-not-run"))
			return wire_bytes_is(header->value, "1");
	}
	return false;
}

/* Reports a whole answer. */
static void finish_answer(struct backend_call *call)
{
	finish_call(call, is_refusal(&call->answer) ? BACKEND_END_REFUSED : BACKEND_END_ANSWERED);
}

/* Tells whether a body ended as it should. The h2o client also reports the close of a connection as
 * the end of a chunked body; then its socket has read nothing. */
static bool is_whole(const struct backend_call *call, const char *errstr)
{
	if (errstr != h2o_http1client_error_is_eos)
		return false;
	return !call->is_chunked || call->http->sock->bytes_read > 0;
}

/* Gathers the body in the connection's buffer until it is whole. */
static int on_body(h2o_http1client_t *http, const char *errstr)
{
	struct backend_call *call = http->data;
	h2o_buffer_t *input = http->sock->input;

	if (!call->http)
		return -1;
	if (errstr && !is_whole(call, errstr)) {
		finish_call(call, BACKEND_END_LOST);
		return -1;
	}
	if (input->size > call->client->answer_bytes_max) {
		finish_call(call, BACKEND_END_TOO_LARGE);
		return -1;
	}
	if (!errstr)
		return 0;
	call->answer.body.data = (const uint8_t *)input->bytes;
	call->answer.body.size = (uint32_t)input->size;
	finish_answer(call);
	h2o_buffer_consume(&http->sock->input, http->sock->input->size);
	return 0;
}

/* Notes how the end of the body is stated. Returns -1 when it is not: a body that ends with its
 * connection cannot be told from one that was cut. */
static int note_framing(struct backend_call *call, const h2o_header_t *headers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct wire_bytes name = {(const uint8_t *)headers[i].name->base,
					  (uint32_t)headers[i].name->len};

		if (wire_bytes_is(name, "transfer-encoding"))
			call->is_chunked = true;
		else if (!wire_bytes_is(name, "content-length"))
			continue;
		return 0;
	}
	return -1;
}

/* Takes the head of the answer. */
static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *errstr,
				       int minor_version, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t count, int head_size)
{
	struct backend_call *call = http->data;

	(void)minor_version;
	(void)msg;
	(void)head_size;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_call(call, BACKEND_END_LOST);
		return NULL;
	}
	call->answer.status = (uint32_t)status;
	if (copy_headers(call, headers, count) != 0) {
		finish_call(call, BACKEND_END_TOO_LARGE);
		return NULL;
	}
	if (errstr) {
		finish_answer(call);
		return NULL;
	}
	if (note_framing(call, headers, count) != 0) {
		finish_call(call, BACKEND_END_LOST);
		return NULL;
	}
	return on_body;
}

/* Reports a connection that could not be made. */
static void on_not_connected(uv_timer_t *timer)
{
	finish_call((struct backend_call *)timer, BACKEND_END_NOT_CONNECTED);
}

/* Writes the request once a connection is there. From here on the call may have run. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *http, const char *errstr,
					  h2o_iovec_t **bufs, size_t *count, int *is_head)
{
	struct backend_call *call = http->data;

	if (errstr) {
		/* This may run inside backend_call_start, which must return first. */
		call->http = NULL;
		uv_timer_start(&call->deadline, on_not_connected, 0, 0);
		return NULL;
	}
	call->begun = true;
	call->begun_us = clock_monotonic_us();
	*bufs = call->request;
	*count = call->request[1].len > 0 ? 2 : 1;
	*is_head = call->is_head;
	return on_head;
}

/* Appends formatted text to a request head that is known to have room. */
static void append(h2o_iovec_t *head, size_t room, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

static void append(h2o_iovec_t *head, size_t room, const char *format, ...)
{
	va_list args;
	int size;

	va_start(args, format);
	size = vsnprintf(head->base + head->len, room - head->len, format, args);
	va_end(args);
	if (size > 0 && (size_t)size < room - head->len)
		head->len += (size_t)size;
}

/* Sums the bytes of the caller's part of a request head. */
static size_t head_room(const struct message_call *msg)
{
	size_t room = REQUEST_HEAD_ROOM + msg->method.size + msg->path.size + msg->key.size;

	for (uint32_t i = 0; i < msg->headers.count; i++)
		room += msg->headers.list[i].name.size + msg->headers.list[i].value.size + 4;
	return room;
}

/* Writes the lines that the node itself adds to a request. */
static void append_own_lines(h2o_iovec_t *head, size_t room, const struct backend_request *req)
{
	const struct message_call *msg = req->call;

	append(head, room, "x-fescue-call-id: %016" PRIx64 "-%016" PRIx64 "-%" PRIu64 "\r\n",
	       req->id.entry.node_id, req->id.entry.incarnation, req->id.sequence);
	append(head, room, "x-fescue-class: %s\r\n", msg->class_name);
	append(head, room, "x-fescue-deadline-ms: %" PRIu64 "\r\n",
	       (uint64_t)(req->time_left_us / USEC_PER_MSEC));
	append(head, room, "x-fescue-depth: %u\r\n", msg->depth + 1);
	append(head, room, "x-fescue-retry-budget: %u\r\n", msg->retries_left);
	if (msg->key.size > 0)
		append(head, room, "idempotency-key: %.*s\r\n", (int)msg->key.size,
		       (const char *)msg->key.data);
}

/* Builds the whole request in the call's arena. */
static void build_request(struct backend_call *call, const struct backend_request *req)
{
	const struct message_call *msg = req->call;
	size_t room = head_room(msg);
	h2o_iovec_t head = h2o_iovec_init(h2o_mem_alloc_pool(&call->arena, room), 0);

	append(&head, room, "%.*s %.*s HTTP/1.1\r\nhost: 127.0.0.1:%u\r\n", (int)msg->method.size,
	       (const char *)msg->method.data, (int)msg->path.size, (const char *)msg->path.data,
	       call->client->port);
	append_own_lines(&head, room, req);
	for (uint32_t i = 0; i < msg->headers.count; i++) {
		const struct wire_header *line = &msg->headers.list[i];

		append(&head, room, "%.*s: %.*s\r\n", (int)line->name.size,
		       (const char *)line->name.data, (int)line->value.size,
		       (const char *)line->value.data);
	}
	append(&head, room, "content-length: %u\r\n\r\n", msg->body.size);
	call->request[0] = head;
	call->request[1] = h2o_iovec_init(msg->body.data, msg->body.size);
	call->is_head = wire_bytes_is(msg->method, "HEAD");
}

/* Starts a call. */
int backend_call_start(struct backend_client *client, const struct backend_request *req,
		       backend_done_fn done, void *user, struct backend_call **out,
		       struct error *err)
{
	struct backend_call *call;

	if (client->port == 0)
		return error_set(err, ERROR_STATE, "no backend server is known");
	if (!client->pool)
		client->pool = pool_new(client);
	call = calloc(1, sizeof(*call));
	if (!call || !client->pool) {
		free(call);
		return error_set(err, ERROR_MEMORY, "no memory for a call");
	}
	call->client = client;
	call->pool = client->pool;
	call->pool->calls++;
	call->done = done;
	call->user = user;
	h2o_mem_init_pool(&call->arena);
	build_request(call, req);
	uv_timer_init(client->loop, &call->deadline);
	uv_timer_start(&call->deadline, on_deadline, req->time_left_us / USEC_PER_MSEC + 1, 0);
	*out = call;
	h2o_http1client_connect_with_pool(&call->http, call, &client->context, &call->pool->sockets,
					  on_connect);
	return 0;
}

/* Cancels a call. */
bool backend_call_cancel(struct backend_call *call)
{
	if (call->http)
		h2o_http1client_cancel(call->http);
	release_call(call);
	return call->begun;
}
