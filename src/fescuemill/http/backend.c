/*
 * Backend: HTTP/1.1 client for the local backend server.
 *
 * A connection carries one call at a time. A call counts as begun once its request was passed to
 * the socket: bytes may have been written, whatever the socket reports later. A connection that
 * receives bytes belonging to no call is closed, so that they cannot be mistaken for an answer.
 */
#include "fescuemill/http/backend.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/http/answer.h"
#include "fescuemill/http/deferred_free.h"
#include "fescuemill/http/dialect.h"
#include "fescuemill/http/keepalive.h"
#include "fescuemill/http/socket_state.h"

#include <arpa/inet.h>
#include <h2o/linklist.h>
#include <h2o/memory.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_US_DEFAULT		 (4 * USEC_PER_SEC) /* if the server states no keep-alive timeout */
#define IDLE_MARGIN_US		 (1 * USEC_PER_SEC) /* avoids sending while the server closes */
#define REQUEST_HEAD_EXTRA_BYTES 1024		    /* for the header lines that the node adds */
#define READ_BYTES		 16384
#define DOUBT_US		 (50 * USEC_PER_MSEC) /* for a process to end and its sockets to close */
#define SKIPPED_ANSWERS_MAX	 4 /* answers to earlier calls skipped during one call */

struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	h2o_linklist_t link; /* in the client's list of idle connections; unlinked while in use */
	struct backend_client *client;
	struct backend_call *call; /* NULL while idle */
	/* Idle: monotonic time until which it may be reused; the server closes it soon after. */
	uint64_t reusable_until_us;
	uint32_t generation; /* value of the client's generation when it was opened */
	bool is_writing;
	bool is_closing;
};

struct backend_client {
	uv_loop_t *loop;
	const struct http_dialect *dialect;
	h2o_linklist_t idle; /* list of struct connection, most recently used first */
	struct endpoint to;
	uint32_t generation; /* rises with each new address; older connections are not reused */
	uint32_t answer_bytes_max; /* limit on the body of an answer */
	uint64_t memory_bytes_max; /* limit on memory_bytes */
	uint64_t memory_bytes;	   /* buffers of the answers that are being received */
	uint32_t connections;	   /* number of connections that are not freed yet */
	uint64_t last_answer_us;   /* monotonic time of the last complete answer */
	uint64_t doubt_until_us;   /* until then calls that may run once use no idle connection */
	bool is_closed;
	bool is_draining; /* the backend server drains: no call is sent on a new connection */
	char read_buffer[READ_BYTES];
};

struct backend_call {
	uv_timer_t deadline;
	struct backend_client *client;
	struct connection *connection; /* NULL before it is assigned and after it is detached */
	h2o_mem_pool_t arena;
	uv_buf_t buffers[2];	       /* head and body of the request */
	struct backend_request params; /* copy for the dialect; its pointers are borrowed */
	struct answer parser;
	uint64_t memory_bytes;	  /* of the parser, as counted in the client */
	uint32_t skipped_answers; /* number of skipped answers to earlier calls */
	bool begun;		  /* the request was passed to the socket */
	uint64_t sent_us;	  /* monotonic time when the request was passed to the socket */
	backend_done_fn done;
	void *user;
	struct backend_answer answer;
};

/* Frees a connection after libuv has closed its handle, and the client with its last connection. */
static void free_connection(uv_handle_t *handle)
{
	struct connection *conn = (struct connection *)handle;
	struct backend_client *client = conn->client;

	free(conn);
	client->connections--;
	if (client->is_closed && client->connections == 0)
		free(client);
}

/* Closes a connection without ending its call; the caller must detach or end that. */
static void close_connection(struct connection *conn)
{
	if (conn->is_closing)
		return;
	conn->is_closing = true;
	if (h2o_linklist_is_linked(&conn->link))
		h2o_linklist_unlink(&conn->link);
	uv_close((uv_handle_t *)&conn->tcp, free_connection);
}

static void close_idle(struct backend_client *client)
{
	while (!h2o_linklist_is_empty(&client->idle))
		close_connection(
			H2O_STRUCT_FROM_MEMBER(struct connection, link, client->idle.next));
}

/* Opens a client without an address. Errors: ERROR_MEMORY. */
int backend_client_open(struct backend_client **out, uv_loop_t *loop,
			const struct http_dialect *dialect, uint32_t answer_bytes_max,
			uint64_t memory_bytes_max, struct error *err)
{
	struct backend_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the backend client");
	client->loop = loop;
	client->dialect = dialect;
	client->answer_bytes_max = answer_bytes_max;
	client->memory_bytes_max = memory_bytes_max;
	h2o_linklist_init_anchor(&client->idle);
	*out = client;
	return 0;
}

/* Sets the address. Port 0: there is no backend server; ip 0: the loopback address. Connections to
 * the old address are closed when their calls end. */
void backend_client_set_address(struct backend_client *client, const struct endpoint *to)
{
	if (to->port == client->to.port && to->ip == client->to.ip)
		return;
	close_idle(client);
	client->generation++;
	client->to = *to;
}

/* Sets whether the backend server drains. */
void backend_client_set_draining(struct backend_client *client, bool is_draining)
{
	client->is_draining = is_draining;
}

/* Closes a client, which must have no calls. Its memory is freed after its last connection. */
void backend_client_close(struct backend_client *client)
{
	close_idle(client);
	client->is_closed = true;
	if (client->connections == 0)
		deferred_free(client->loop, client);
}

/* Counts the buffers of a call's parser among those of the client. */
static void count_memory(struct backend_call *call, uint64_t bytes)
{
	call->client->memory_bytes += bytes - call->memory_bytes;
	call->memory_bytes = bytes;
}

/* Frees a call after libuv has closed its timer. */
static void free_call(uv_handle_t *handle)
{
	struct backend_call *call = (struct backend_call *)handle;

	answer_free(&call->parser);
	h2o_mem_clear_pool(&call->arena);
	free(call);
}

/* Separates a call from its connection, and returns the connection, or NULL if it has none. */
static struct connection *detach(struct backend_call *call)
{
	struct connection *conn = call->connection;

	call->connection = NULL;
	if (conn)
		conn->call = NULL;
	return conn;
}

/* Reports the end of a call; its memory is freed once libuv has closed its timer. */
static void finish_call(struct backend_call *call, enum backend_end end)
{
	backend_done_fn done = call->done;
	void *user = call->user;

	call->answer.end = end;
	count_memory(call, 0);
	if (call->begun)
		call->answer.server_us = (uint32_t)(clock_monotonic_us() - call->sent_us);
	uv_close((uv_handle_t *)&call->deadline, free_call);
	/* The call lives until the handle is closed, after this callback. */
	done(user, &call->answer);
}

/* Ends a call and closes its connection, which cannot be used again. */
static void fail_call(struct backend_call *call, enum backend_end end)
{
	struct connection *conn = detach(call);

	if (conn)
		close_connection(conn);
	finish_call(call, end);
}

/* Ends a call at its deadline. If no answer was received on any connection since the request was
 * sent, the call's connection may have gone silent and the idle ones with it, so the idle ones are
 * closed, too. */
static void on_deadline(uv_timer_t *timer)
{
	struct backend_call *call = (struct backend_call *)timer;
	struct backend_client *client = call->client;

	if (call->begun && client->last_answer_us < call->sent_us)
		close_idle(client);
	fail_call(call, call->begun ? BACKEND_END_TIMEOUT : BACKEND_END_EXPIRED);
}

/* Returns for how many microseconds an idle connection may be reused: the server's keep-alive
 * timeout less a margin, so that no request is sent while the server closes the connection. */
static uint64_t idle_time_us(const struct answer *parser)
{
	uint64_t stated_us = parser->keep_alive_timeout_s * USEC_PER_SEC;

	if (stated_us == 0)
		return IDLE_US_DEFAULT;
	return stated_us > 2 * IDLE_MARGIN_US ? stated_us - IDLE_MARGIN_US : stated_us / 2;
}

/* Returns a connection to the idle list, or closes it if it cannot be reused. */
static void release_connection(struct connection *conn, const struct answer *parser,
			       bool has_more_bytes)
{
	struct backend_client *client = conn->client;

	if (!parser->is_persistent || has_more_bytes || conn->is_writing ||
	    conn->generation != client->generation || client->is_closed) {
		close_connection(conn);
		return;
	}
	conn->reusable_until_us = clock_monotonic_us() + idle_time_us(parser);
	h2o_linklist_insert(client->idle.next, &conn->link);
}

/* Copies the headers of the answer, without the hop-by-hop ones. */
static void copy_headers(struct backend_call *call)
{
	struct wire_headers *out = &call->answer.headers;

	for (uint32_t i = 0; i < call->parser.headers.count; i++) {
		const struct wire_header *header = &call->parser.headers.list[i];

		if (!header_is_hop_by_hop(header->name))
			out->list[out->count++] = *header;
	}
}

/* Ends a call according to the verdict on its complete answer. */
static void finish_answer(struct backend_call *call, enum answer_verdict verdict,
			  bool has_more_bytes)
{
	struct backend_client *client = call->client;
	struct connection *conn = detach(call);

	client->last_answer_us = clock_monotonic_us();
	if (verdict == ANSWER_INVALID) {
		close_connection(conn);
		finish_call(call, BACKEND_END_LOST);
		return;
	}
	release_connection(conn, &call->parser, has_more_bytes);
	call->answer.status = call->parser.status;
	call->answer.body = answer_body(&call->parser);
	call->answer.has_load =
		client->dialect->read_load(&call->parser.headers, &call->answer.load);
	client->dialect->read_notice(&call->parser.headers, &call->answer.notice);
	copy_headers(call);
	finish_call(call, verdict == ANSWER_NOT_RUN ? BACKEND_END_REFUSED : BACKEND_END_ANSWERED);
}

/* Handles a complete answer. Returns false if it belonged to an earlier call and was skipped, so
 * that reading goes on. */
static bool handle_answer(struct backend_call *call, bool has_more_bytes)
{
	const struct answer *parser = &call->parser;
	enum answer_verdict verdict = call->client->dialect->judge_answer(
		&call->params, parser->status, &parser->headers);

	if (verdict == ANSWER_EARLIER_CALL && ++call->skipped_answers <= SKIPPED_ANSWERS_MAX &&
	    parser->framing != ANSWER_FRAMING_CLOSE) {
		answer_free(&call->parser);
		answer_init(&call->parser, call->client->answer_bytes_max,
			    wire_bytes_equal_nocase(call->params.call->method, "HEAD"));
		return false;
	}
	if (verdict == ANSWER_EARLIER_CALL)
		verdict = ANSWER_INVALID;
	finish_answer(call, verdict, has_more_bytes);
	return true;
}

/* Parses bytes that were read for a call, and ends the call at a complete or invalid answer. */
static void handle_bytes(struct backend_call *call, const uint8_t *data, size_t size)
{
	while (size > 0) {
		size_t used;
		enum answer_state state = answer_feed(&call->parser, data, size, &used);

		data += used;
		size -= used;
		count_memory(call, call->parser.head_capacity + call->parser.body_capacity);
		switch (state) {
		case ANSWER_READING:
			if (call->client->memory_bytes > call->client->memory_bytes_max)
				fail_call(call, BACKEND_END_TOO_LARGE);
			return;
		case ANSWER_MALFORMED:
			fail_call(call, BACKEND_END_LOST);
			return;
		case ANSWER_TOO_LARGE:
			fail_call(call, BACKEND_END_TOO_LARGE);
			return;
		case ANSWER_COMPLETE:
			if (handle_answer(call, size > 0))
				return;
			break;
		}
	}
}

/* Has calls that may run only once avoid the idle connections for a while, if a call's connection
 * ended without a byte of an answer: the server's process may have ended, and a call sent on one
 * that the kernel closes a moment later has an unknown outcome. A new connection is refused if the
 * kernel has closed the listener. */
static void doubt_idle_connections(const struct backend_call *call)
{
	if (call->begun && call->memory_bytes == 0)
		call->client->doubt_until_us = clock_monotonic_us() + DOUBT_US;
}

/* Handles the end of a connection. An orderly end completes an answer without a stated length, if
 * the dialect permits such answers; otherwise the call is lost. While the request is still being
 * written no end is known to be orderly: a server that stops reading resets the connection, maybe
 * after this node has seen it end. */
static void handle_connection_end(struct connection *conn, bool is_orderly)
{
	struct backend_call *call = conn->call;

	if (!call) {
		close_connection(conn);
		return;
	}
	if (is_orderly && !conn->is_writing && conn->client->dialect->allows_close_delimited_body &&
	    answer_end_of_stream(&call->parser) == ANSWER_COMPLETE) {
		handle_answer(call, false);
	} else {
		doubt_idle_connections(call);
		fail_call(call, BACKEND_END_LOST);
	}
}

/* Provides the client's shared read buffer: on_read() consumes all bytes before the next read. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *conn = (struct connection *)handle;

	(void)suggested;
	*buf = uv_buf_init(conn->client->read_buffer, READ_BYTES);
}

/* Handles bytes or the end of a connection. Bytes on an idle connection belong to no call, so it is
 * closed. */
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct connection *conn = (struct connection *)stream;

	if (size == 0 || conn->is_closing)
		return;
	if (size < 0)
		handle_connection_end(
			conn,
			size == UV_EOF && socket_ended_in_order((const uv_handle_t *)&conn->tcp));
	else if (conn->call)
		handle_bytes(conn->call, (const uint8_t *)buf->base, (size_t)size);
	else
		close_connection(conn);
}

/* Handles a finished write. A failure ends the call, as a failed read does. */
static void on_write_done(uv_write_t *write, int status)
{
	struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, write, write);

	conn->is_writing = false;
	if (status != 0 && !conn->is_closing)
		handle_connection_end(conn, false);
}

/* Ends a call whose write failed at once; a timer keeps `done` out of backend_call_start(). */
static void on_write_failed(uv_timer_t *timer)
{
	fail_call((struct backend_call *)timer, BACKEND_END_LOST);
}

/* Writes the request. From here on the call may have run at the backend server. */
static void send_request(struct backend_call *call)
{
	struct connection *conn = call->connection;
	unsigned int count = call->buffers[1].len > 0 ? 2 : 1;

	call->begun = true;
	call->sent_us = clock_monotonic_us();
	conn->is_writing = true;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, call->buffers, count,
		     on_write_done) != 0) {
		conn->is_writing = false;
		uv_timer_start(&call->deadline, on_write_failed, 0, 0);
	}
}

/* Ends a call whose connection could not be opened; runs from a timer as well. */
static void on_not_connected(uv_timer_t *timer)
{
	fail_call((struct backend_call *)timer, BACKEND_END_NOT_CONNECTED);
}

/* Disables Nagle's algorithm, and has the kernel probe the connection while it is idle. */
static void set_tcp_options(struct connection *conn)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		keepalive_start(fd);
}

/* Sends the request on a new connection, or ends the call if connecting failed. */
static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, connect, connect);

	if (conn->is_closing)
		return;
	if (!conn->call) {
		close_connection(conn);
		return;
	}
	if (status != 0) {
		fail_call(conn->call, BACKEND_END_NOT_CONNECTED);
		return;
	}
	if (conn->client->is_draining && !conn->call->params.is_probe) {
		fail_call(conn->call, BACKEND_END_DRAINING);
		return;
	}
	set_tcp_options(conn);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(conn->call);
}

/* Opens a connection for a call. Returns -1 when it cannot be opened. */
static int open_connection(struct backend_call *call)
{
	struct backend_client *client = call->client;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct connection *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return -1;
	conn->client = client;
	conn->generation = client->generation;
	uv_tcp_init(client->loop, &conn->tcp);
	client->connections++;
	conn->call = call;
	call->connection = conn;
	counter_add(COUNTER_BACKEND_CONNECTIONS, 1);
	addr.sin_addr.s_addr = htonl(client->to.ip ? client->to.ip : INADDR_LOOPBACK);
	addr.sin_port = htons(client->to.port);
	if (uv_tcp_connect(&conn->connect, &conn->tcp, (const struct sockaddr *)&addr,
			   on_connected) == 0)
		return 0;
	detach(call);
	close_connection(conn);
	return -1;
}

/* Removes the most recently used connection from the idle list and returns it, or NULL if there is
 * none. Closes the expired ones, and those before it that the peer has closed or sent bytes on. */
static struct connection *take_idle_connection(struct backend_client *client)
{
	uint64_t now_us = clock_monotonic_us();
	h2o_linklist_t *at = client->idle.next;
	struct connection *found = NULL;

	while (at != &client->idle) {
		struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, link, at);

		at = at->next;
		if (now_us >= conn->reusable_until_us ||
		    (!found && !socket_is_quiet((const uv_handle_t *)&conn->tcp)))
			close_connection(conn);
		else if (!found)
			found = conn;
	}
	if (found)
		h2o_linklist_unlink(&found->link);
	return found;
}

/* Returns the bytes to allocate for a request head: those from the caller and room for the rest. */
static size_t request_head_capacity(const struct message_call *msg)
{
	size_t room = REQUEST_HEAD_EXTRA_BYTES + msg->method.size + msg->path.size + msg->key.size;

	for (uint32_t i = 0; i < msg->headers.count; i++)
		room += msg->headers.list[i].name.size + msg->headers.list[i].value.size + 4;
	return room;
}

/* Builds the request head in the call's arena; the body is sent from the caller's memory. */
static void build_request(struct backend_call *call)
{
	const struct message_call *msg = call->params.call;
	struct text_buffer head = {.room = request_head_capacity(msg)};

	head.data = h2o_mem_alloc_pool(&call->arena, head.room);
	text_buffer_append(&head, "%.*s %.*s HTTP/1.1\r\n", (int)msg->method.size,
			   (const char *)msg->method.data, (int)msg->path.size,
			   (const char *)msg->path.data);
	call->client->dialect->write_call(&call->params, &head);
	text_buffer_append(&head, "content-length: %u\r\n\r\n", msg->body.size);
	call->buffers[0] = uv_buf_init(head.data, (unsigned int)head.size);
	call->buffers[1] = uv_buf_init((char *)msg->body.data, msg->body.size);
}

/* Assigns an idle or a new connection to a call. A failure to connect is reported later, from the
 * loop. */
static void assign_connection(struct backend_call *call)
{
	bool avoids_idle = !call->params.call->idempotent &&
			   clock_monotonic_us() < call->client->doubt_until_us;
	struct connection *conn = avoids_idle ? NULL : take_idle_connection(call->client);

	if (conn) {
		conn->call = call;
		call->connection = conn;
		call->params.is_connection_reused = true;
		send_request(call);
	} else if (open_connection(call) != 0) {
		uv_timer_start(&call->deadline, on_not_connected, 0, 0);
	}
}

/* Starts a call; `done` never runs before this returns. Errors: ERROR_STATE (no address),
 * ERROR_MEMORY. */
int backend_call_start(struct backend_client *client, const struct backend_request *req,
		       backend_done_fn done, void *user, struct backend_call **out,
		       struct error *err)
{
	struct backend_call *call;

	if (client->to.port == 0)
		return error_set(err, ERROR_STATE, "no backend server is known");
	call = calloc(1, sizeof(*call));
	if (!call)
		return error_set(err, ERROR_MEMORY, "no memory for a call");
	call->client = client;
	call->params = *req;
	call->params.to = client->to;
	call->params.is_connection_reused = false;
	call->done = done;
	call->user = user;
	h2o_mem_init_pool(&call->arena);
	answer_init(&call->parser, client->answer_bytes_max,
		    wire_bytes_equal_nocase(req->call->method, "HEAD"));
	build_request(call);
	uv_timer_init(client->loop, &call->deadline);
	uv_timer_start(&call->deadline, on_deadline, req->time_left_us / USEC_PER_MSEC + 1, 0);
	*out = call;
	assign_connection(call);
	return 0;
}

/* Cancels a call and closes its connection. Returns true if sending of the request had begun. */
bool backend_call_cancel(struct backend_call *call)
{
	struct connection *conn = detach(call);

	if (conn)
		close_connection(conn);
	count_memory(call, 0);
	uv_close((uv_handle_t *)&call->deadline, free_call);
	return call->begun;
}
