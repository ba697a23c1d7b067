/*
 * Backend: HTTP/1.1 client towards the backend server beside this node.
 *
 * A connection carries one call at a time. From the moment that a request is given to the socket
 * its call counts as begun, because bytes may have been written whatever the socket reports later.
 * Bytes that belong to no call end their connection, so that they cannot be taken for an answer.
 */
#include "fescuemill/http/backend.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/http/answer.h"
#include "fescuemill/http/deferred.h"
#include "fescuemill/http/dialect.h"
#include "fescuemill/http/keepalive.h"

#include <arpa/inet.h>
#include <errno.h>
#include <h2o/linklist.h>
#include <h2o/memory.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_US_DEFAULT	  (4 * USEC_PER_SEC) /* of a server that states no keep-alive time */
#define IDLE_MARGIN_US	  (1 * USEC_PER_SEC) /* so that a request does not cross the close */
#define REQUEST_HEAD_ROOM 1024
#define READ_BYTES	  16384
#define FOREIGN_MAX	  4 /* answers to earlier calls that are passed over in one call */

struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	h2o_linklist_t link; /* in the client's list of idle connections, or unlinked */
	struct backend_client *client;
	struct backend_call *call; /* NULL while idle */
	uint64_t usable_to_us;	   /* idle connections: the server closes them soon after */
	uint32_t generation;	   /* of the address */
	bool is_writing;
	bool is_closing;
};

struct backend_client {
	uv_loop_t *loop;
	const struct http_dialect *dialect;
	h2o_linklist_t idle; /* of struct connection, the last used first */
	struct endpoint to;
	uint32_t generation;
	uint32_t answer_bytes_max;
	uint32_t connections;
	uint64_t answered_us; /* when an answer came last */
	bool is_closed;
	char read_buffer[READ_BYTES];
};

struct backend_call {
	uv_timer_t deadline;
	struct backend_client *client;
	struct connection *connection; /* NULL once it is given up */
	h2o_mem_pool_t arena;
	uv_buf_t request[2];
	struct backend_request about; /* what the answer is judged by; borrows from the caller */
	struct answer reading;
	uint32_t foreign; /* answers to earlier calls that were passed over */
	bool begun;
	uint64_t begun_us;
	backend_done_fn done;
	void *user;
	struct backend_answer answer;
};

/* Frees a connection once libuv has let go of its handle. */
static void free_connection(uv_handle_t *handle)
{
	struct connection *conn = (struct connection *)handle;
	struct backend_client *client = conn->client;

	free(conn);
	client->connections--;
	if (client->is_closed && client->connections == 0)
		free(client);
}

/* Closes a connection; whatever it carried is lost to it. */
static void close_connection(struct connection *conn)
{
	if (conn->is_closing)
		return;
	conn->is_closing = true;
	if (h2o_linklist_is_linked(&conn->link))
		h2o_linklist_unlink(&conn->link);
	uv_close((uv_handle_t *)&conn->tcp, free_connection);
}

/* Closes the connections that carry no call. */
static void close_idle(struct backend_client *client)
{
	while (!h2o_linklist_is_empty(&client->idle))
		close_connection(
			H2O_STRUCT_FROM_MEMBER(struct connection, link, client->idle.next));
}

/* Opens a client without an address. Errors: ERROR_MEMORY. */
int backend_client_open(struct backend_client **out, uv_loop_t *loop,
			const struct http_dialect *dialect, uint32_t answer_bytes_max,
			struct error *err)
{
	struct backend_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the backend server's client");
	client->loop = loop;
	client->dialect = dialect;
	client->answer_bytes_max = answer_bytes_max;
	h2o_linklist_init_anchor(&client->idle);
	*out = client;
	return 0;
}

/* Sets the address; port 0 when there is no backend server. */
void backend_client_set_address(struct backend_client *client, const struct endpoint *to)
{
	if (to->port == client->to.port && to->ip == client->to.ip)
		return;
	close_idle(client);
	client->generation++;
	client->to = *to;
}

/* Closes a client without calls. */
void backend_client_close(struct backend_client *client)
{
	close_idle(client);
	client->is_closed = true;
	if (client->connections == 0)
		deferred_free(client->loop, client);
}

/* Frees a call after libuv has let go of its timer. */
static void free_call(uv_handle_t *handle)
{
	struct backend_call *call = (struct backend_call *)handle;

	answer_free(&call->reading);
	h2o_mem_clear_pool(&call->arena);
	free(call);
}

/* Parts a call from its connection, which is then of no more use to it. */
static struct connection *detach(struct backend_call *call)
{
	struct connection *conn = call->connection;

	call->connection = NULL;
	if (conn)
		conn->call = NULL;
	return conn;
}

/* Reports a call's end; its memory goes once libuv has closed its timer. */
static void finish_call(struct backend_call *call, enum backend_end end)
{
	backend_done_fn done = call->done;
	void *user = call->user;

	call->answer.end = end;
	if (call->begun)
		call->answer.server_us = (uint32_t)(clock_monotonic_us() - call->begun_us);
	uv_close((uv_handle_t *)&call->deadline, free_call);
	/* The call lives until the handle is closed, after this callback. */
	done(user, &call->answer);
}

/* Ends a call whose connection is of no more use. */
static void fail_call(struct backend_call *call, enum backend_end end)
{
	struct connection *conn = detach(call);

	if (conn)
		close_connection(conn);
	finish_call(call, end);
}

/* Ends a call at its deadline. If nothing has come from the backend server meanwhile, its
 * connection may have gone silent, and with it the idle ones beside it, so all are replaced. */
static void on_deadline(uv_timer_t *timer)
{
	struct backend_call *call = (struct backend_call *)timer;
	struct backend_client *client = call->client;

	if (call->begun && client->answered_us < call->begun_us)
		close_idle(client);
	fail_call(call, call->begun ? BACKEND_END_TIMEOUT : BACKEND_END_EXPIRED);
}

/* Gives how long an idle connection may be used again. */
static uint64_t idle_time_us(const struct answer *reading)
{
	uint64_t stated_us = reading->keep_alive_s * USEC_PER_SEC;

	if (stated_us == 0)
		return IDLE_US_DEFAULT;
	return stated_us > 2 * IDLE_MARGIN_US ? stated_us - IDLE_MARGIN_US : stated_us / 2;
}

/* Puts a connection back among the idle ones, or closes it. */
static void release_connection(struct connection *conn, const struct answer *reading,
			       bool has_more_bytes)
{
	struct backend_client *client = conn->client;

	if (!reading->keeps_connection || has_more_bytes || conn->is_writing ||
	    conn->generation != client->generation || client->is_closed) {
		close_connection(conn);
		return;
	}
	conn->usable_to_us = clock_monotonic_us() + idle_time_us(reading);
	h2o_linklist_insert(client->idle.next, &conn->link);
}

/* Copies the headers that go on to the client, without those of the connection. */
static void copy_headers(struct backend_call *call)
{
	struct wire_headers *out = &call->answer.headers;

	for (uint32_t i = 0; i < call->reading.headers.count; i++) {
		const struct wire_header *header = &call->reading.headers.list[i];

		if (!header_is_hop_by_hop(header->name))
			out->list[out->count++] = *header;
	}
}

/* Hands a whole answer on, as what it says of the call. */
static void finish_answer(struct backend_call *call, enum answer_verdict verdict,
			  bool has_more_bytes)
{
	struct backend_client *client = call->client;
	struct connection *conn = detach(call);

	client->answered_us = clock_monotonic_us();
	if (verdict == ANSWER_INVALID) {
		close_connection(conn);
		finish_call(call, BACKEND_END_LOST);
		return;
	}
	release_connection(conn, &call->reading, has_more_bytes);
	call->answer.status = call->reading.status;
	call->answer.body = answer_body(&call->reading);
	call->answer.has_load =
		client->dialect->read_load(&call->reading.headers, &call->answer.load);
	copy_headers(call);
	finish_call(call, verdict == ANSWER_NOT_RUN ? BACKEND_END_REFUSED : BACKEND_END_ANSWERED);
}

/* Judges a whole answer. Returns false when it was an earlier call's and reading goes on. */
static bool take_answer(struct backend_call *call, bool has_more_bytes)
{
	const struct answer *reading = &call->reading;
	enum answer_verdict verdict = call->client->dialect->judge_answer(
		&call->about, reading->status, &reading->headers);

	if (verdict == ANSWER_FOREIGN && ++call->foreign <= FOREIGN_MAX &&
	    reading->framing != ANSWER_FRAMING_CLOSE) {
		answer_free(&call->reading);
		answer_init(&call->reading, call->client->answer_bytes_max,
			    wire_bytes_is(call->about.call->method, "HEAD"));
		return false;
	}
	if (verdict == ANSWER_FOREIGN)
		verdict = ANSWER_INVALID;
	finish_answer(call, verdict, has_more_bytes);
	return true;
}

/* Takes what a connection has read for its call. */
static void take_bytes(struct backend_call *call, const uint8_t *data, size_t size)
{
	while (size > 0) {
		size_t used;
		enum answer_state state = answer_feed(&call->reading, data, size, &used);

		data += used;
		size -= used;
		switch (state) {
		case ANSWER_READING:
			return;
		case ANSWER_BROKEN:
			fail_call(call, BACKEND_END_LOST);
			return;
		case ANSWER_TOO_LARGE:
			fail_call(call, BACKEND_END_TOO_LARGE);
			return;
		case ANSWER_WHOLE:
			if (take_answer(call, size > 0))
				return;
			break;
		}
	}
}

/* Takes the end of a connection, orderly or not. */
static void take_end(struct connection *conn, bool is_orderly)
{
	struct backend_call *call = conn->call;

	if (!call) {
		close_connection(conn);
		return;
	}
	if (is_orderly && conn->client->dialect->takes_unframed_answers &&
	    answer_end(&call->reading) == ANSWER_WHOLE)
		take_answer(call, false);
	else
		fail_call(call, BACKEND_END_LOST);
}

/* Lends the client's buffer: what is read is taken before the next read. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *conn = (struct connection *)handle;

	(void)suggested;
	*buf = uv_buf_init(conn->client->read_buffer, READ_BYTES);
}

/* Tells whether a connection that has nothing more to read was closed in order. libuv reports a
 * reset that comes right behind the last bytes as an end, so the socket itself is asked. */
static bool was_closed_in_order(const struct connection *conn)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Takes what was read. Bytes on an idle connection belong to no call. */
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct connection *conn = (struct connection *)stream;

	if (size == 0 || conn->is_closing)
		return;
	if (size < 0)
		take_end(conn, size == UV_EOF && was_closed_in_order(conn));
	else if (conn->call)
		take_bytes(conn->call, (const uint8_t *)buf->base, (size_t)size);
	else
		close_connection(conn);
}

/* Notes that a request is written; a failure shows when reading as well. */
static void on_written(uv_write_t *write, int status)
{
	struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, write, write);

	conn->is_writing = false;
	if (status != 0 && !conn->is_closing)
		take_end(conn, false);
}

/* Reports a request that the socket did not take; never from inside backend_call_start. */
static void on_lost(uv_timer_t *timer)
{
	fail_call((struct backend_call *)timer, BACKEND_END_LOST);
}

/* Writes the request. From here on the call may have run. */
static void send_request(struct backend_call *call)
{
	struct connection *conn = call->connection;
	unsigned int count = call->request[1].len > 0 ? 2 : 1;

	call->begun = true;
	call->begun_us = clock_monotonic_us();
	conn->is_writing = true;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, call->request, count, on_written) !=
	    0) {
		conn->is_writing = false;
		uv_timer_start(&call->deadline, on_lost, 0, 0);
	}
}

/* Reports a connection that could not be made; never from inside backend_call_start. */
static void on_not_connected(uv_timer_t *timer)
{
	fail_call((struct backend_call *)timer, BACKEND_END_NOT_CONNECTED);
}

/* Has the kernel probe a connection that is quiet. */
static void probe_when_quiet(struct connection *conn)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		keepalive_start(fd);
}

/* Sends the request of the call for which a connection was opened. */
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
	probe_when_quiet(conn);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(conn->call);
}

/* Opens a connection for a call. Returns -1 when it cannot be opened. */
static int connect_for(struct backend_call *call)
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

/* Tells whether an idle connection can still be used: its far end has neither closed it nor sent
 * bytes. The loop may not have come to read that yet. */
static bool is_open_and_quiet(const struct connection *conn)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/* Takes the idle connection that was used last, and closes those whose time is up. */
static struct connection *take_idle(struct backend_client *client)
{
	uint64_t now_us = clock_monotonic_us();
	h2o_linklist_t *at = client->idle.next;
	struct connection *found = NULL;

	while (at != &client->idle) {
		struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, link, at);

		at = at->next;
		if (now_us >= conn->usable_to_us || (!found && !is_open_and_quiet(conn)))
			close_connection(conn);
		else if (!found)
			found = conn;
	}
	if (found)
		h2o_linklist_unlink(&found->link);
	return found;
}

/* Sums the bytes of the caller's part of a request head. */
static size_t head_room(const struct message_call *msg)
{
	size_t room = REQUEST_HEAD_ROOM + msg->method.size + msg->path.size + msg->key.size;

	for (uint32_t i = 0; i < msg->headers.count; i++)
		room += msg->headers.list[i].name.size + msg->headers.list[i].value.size + 4;
	return room;
}

/* Builds the whole request in the call's arena. */
static void build_request(struct backend_call *call)
{
	const struct message_call *msg = call->about.call;
	struct head_text head = {.room = head_room(msg)};

	head.data = h2o_mem_alloc_pool(&call->arena, head.room);
	head_append(&head, "%.*s %.*s HTTP/1.1\r\n", (int)msg->method.size,
		    (const char *)msg->method.data, (int)msg->path.size,
		    (const char *)msg->path.data);
	call->client->dialect->write_call(&call->about, &head);
	head_append(&head, "content-length: %u\r\n\r\n", msg->body.size);
	call->request[0] = uv_buf_init(head.data, (unsigned int)head.size);
	call->request[1] = uv_buf_init((char *)msg->body.data, msg->body.size);
}

/* Gives a call a connection: an idle one, or a new one. A failure is reported from the loop. */
static void find_connection(struct backend_call *call)
{
	struct connection *conn = take_idle(call->client);

	if (conn) {
		conn->call = call;
		call->connection = conn;
		send_request(call);
	} else if (connect_for(call) != 0) {
		uv_timer_start(&call->deadline, on_not_connected, 0, 0);
	}
}

/* Starts a call. */
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
	call->about = *req;
	call->about.to = client->to;
	call->done = done;
	call->user = user;
	h2o_mem_init_pool(&call->arena);
	answer_init(&call->reading, client->answer_bytes_max,
		    wire_bytes_is(req->call->method, "HEAD"));
	build_request(call);
	uv_timer_init(client->loop, &call->deadline);
	uv_timer_start(&call->deadline, on_deadline, req->time_left_us / USEC_PER_MSEC + 1, 0);
	*out = call;
	find_connection(call);
	return 0;
}

/* Cancels a call. */
bool backend_call_cancel(struct backend_call *call)
{
	struct connection *conn = detach(call);

	if (conn)
		close_connection(conn);
	uv_close((uv_handle_t *)&call->deadline, free_call);
	return call->begun;
}
