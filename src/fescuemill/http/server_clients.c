/*
 * The connections of an HTTP server as its guard sees them.
 */
#include "fescuemill/http/server_clients.h"

#include <linux/sockios.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define CONNECTION_BYTES 8192 /* of h2o and libuv, without the input buffer */

/* What a walk over the connections of a server needs. */
struct sampling {
	void (*fn)(void *user, struct connection *conn, h2o_req_t *req);
	void *user;
	uint64_t now_ms;
	bool counts_unread;
};

/* Returns the bytes of an answer that the client has not acknowledged. */
static uint64_t unsent_bytes(const struct connection *conn)
{
	int queued = 0;

	if (ioctl(h2o_socket_get_fd(conn->sock), SIOCOUTQ, &queued) != 0)
		queued = 0;
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) + (uint64_t)queued;
}

/* Returns the bytes that the kernel holds of a connection that is not being read: of requests sent
 * ahead. They count towards the memory of a process where it is limited. */
static uint64_t unread_bytes(const struct connection *conn, enum client_phase phase)
{
	int bytes = 0;

	if (phase != CLIENT_RUNNING && phase != CLIENT_ANSWER)
		return 0;
	return ioctl(h2o_socket_get_fd(conn->sock), FIONREAD, &bytes) == 0 ? (uint64_t)bytes : 0;
}

static enum client_phase phase_of(const struct connection *conn, const h2o_req_t *req)
{
	if (conn->is_handled)
		return CLIENT_RUNNING;
	if (http_request_is_receiving(req))
		return CLIENT_BODY;
	if (h2o_socket_is_writing(conn->sock))
		return CLIENT_ANSWER;
	return conn->sock->input->size > 0 ? CLIENT_HEAD : CLIENT_IDLE;
}

/* Samples one connection. */
static int sample_one(h2o_req_t *req, void *user)
{
	const struct sampling *walk = user;
	struct connection *conn = http_connection_of(req);
	struct client_sample sample = {.requests = conn->requests};

	if (!conn->sock)
		return 0;
	sample.phase = phase_of(conn, req);
	if (walk->counts_unread)
		conn->unread_bytes = unread_bytes(conn, sample.phase);
	sample.held_bytes = CONNECTION_BYTES + conn->sock->input->capacity + conn->unread_bytes;
	/* h2o's bytes_read is only the size of the latest read. */
	sample.moved_bytes = conn->sock->input->size;
	if (sample.phase == CLIENT_ANSWER) {
		sample.moved_bytes = unsent_bytes(conn);
		if (req->res.content_length != SIZE_MAX)
			sample.held_bytes += req->res.content_length;
	}
	if (sample.phase == CLIENT_HEAD)
		sample.head_bytes = conn->sock->input->size;
	client_track_update(&conn->track, &sample, walk->now_ms);
	walk->fn(walk->user, conn, req);
	return 0;
}

/* Samples every connection and calls fn with it. */
void http_server_sample_clients(struct http_server *srv, bool counts_unread,
				void (*fn)(void *user, struct connection *conn, h2o_req_t *req),
				void *user)
{
	struct sampling walk = {fn, user, uv_now(srv->listener.loop), counts_unread};

	http_server_foreach_request(srv, sample_one, &walk);
}

/* Returns the bytes of a request's head as far as h2o keeps it. */
static size_t head_bytes(const h2o_req_t *req)
{
	size_t bytes = req->input.method.len + req->input.path.len + sizeof("  HTTP/1.1\r\n\r\n");

	for (size_t i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len + req->headers.entries[i].value.len +
			 sizeof(":\r\n") - 1;
	return bytes;
}

static const char *reason_phrase(int status)
{
	switch (status) {
	case 408:
		return "Request Timeout";
	case 431:
		return "Request Header Fields Too Large";
	default:
		return "Service Unavailable";
	}
}

/* Answers a request that is being refused, or whose head is larger than allowed. h2o keeps the
 * connection of such an answer open for lingering where a part of the body may still come. */
bool http_refuse_request(struct connection *conn, h2o_req_t *req)
{
	const struct client_guard *guard = conn->server->options.guard;
	uint32_t header_bytes_max = guard ? client_guard_header_bytes_max(guard) : 0;

	if (conn->refusal == 0 && header_bytes_max > 0 && head_bytes(req) > header_bytes_max) {
		conn->refusal = 431;
		client_guard_count_large_head(conn->server->options.guard);
		http_server_use_lingering_close(req);
	}
	if (conn->refusal == 0)
		return false;
	req->http1_is_persistent = 0;
	http_respond(req, conn->refusal, NULL, 0);
	return true;
}

/* Sends an answer to a head that is not whole. If it does not fit into the socket's buffer, the
 * client does not read, and the connection is closed without it. */
static void answer_head(struct connection *conn, h2o_req_t *req, int status)
{
	char text[128];
	int size = snprintf(text, sizeof(text),
			    "HTTP/1.1 %d %s\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
			    status, reason_phrase(status));
	uv_buf_t buf = uv_buf_init(text, (unsigned int)size);

	http_server_use_lingering_close(req);
	uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
}

/* Makes h2o close a connection that it reads from, as after the end of its stream. */
static void end_reading(struct connection *conn)
{
	h2o_socket_t *sock = conn->sock;

	sock->_cb.read(sock, "closed by the server");
}

/* Refuses the request that a connection has received in part. */
void http_client_refuse(struct connection *conn, h2o_req_t *req, int status)
{
	if (!conn->sock || !conn->sock->_cb.read)
		return;
	if (conn->track.last.phase == CLIENT_HEAD) {
		answer_head(conn, req, status);
		end_reading(conn);
		return;
	}
	h2o_socket_read_stop(conn->sock);
	http_server_use_lingering_close(req);
	conn->refusal = status;
	h2o_process_request(req);
}

/* Returns true if bytes have arrived on a connection that is being read, but were not read yet. */
bool http_client_has_unread(const struct connection *conn)
{
	int bytes = 0;

	return conn->sock && conn->sock->_cb.read &&
	       ioctl(h2o_socket_get_fd(conn->sock), FIONREAD, &bytes) == 0 && bytes > 0;
}

/* Resets a connection whose client does not read its answer: h2o's write fails, and it closes the
 * socket. */
static void reset(struct connection *conn)
{
	struct linger now = {1, 0};
	int fd = h2o_socket_get_fd(conn->sock);

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RDWR);
}

/* Closes a connection without an answer. HTTP allows that between requests only, so one that has
 * carried a request is kept while bytes of it are unread. */
bool http_client_close(struct connection *conn)
{
	if (!conn->sock)
		return false;
	if (conn->track.last.phase == CLIENT_ANSWER) {
		reset(conn);
		return true;
	}
	if (!conn->sock->_cb.read)
		return false;
	if (conn->track.last.phase == CLIENT_IDLE && conn->requests > 0 &&
	    http_client_has_unread(conn))
		return false;
	end_reading(conn);
	return true;
}
