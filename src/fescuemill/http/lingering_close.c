/*
 * Lingering close: before a socket is closed, reads and discards what the peer still sends.
 */
#include "fescuemill/http/lingering_close.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define DISCARD_BYTES 65536

struct lingering_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uint64_t bytes; /* bytes discarded so far */
	void (*done)(void *user);
	void *user;
};

static char discard_buffer[DISCARD_BYTES];

/* Frees the connection and reports the end to its owner. */
static void on_socket_closed(uv_handle_t *handle)
{
	struct lingering_conn *conn = (struct lingering_conn *)handle;
	void (*done)(void *user) = conn->done;
	void *user = conn->user;

	free(conn);
	done(user);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct lingering_conn *conn = handle->data;

	uv_close((uv_handle_t *)&conn->tcp, on_socket_closed);
}

/* Stops reading and closes the timer, then the socket. */
static void stop(struct lingering_conn *conn)
{
	if (uv_is_closing((uv_handle_t *)&conn->timer))
		return;
	uv_read_stop((uv_stream_t *)&conn->tcp);
	uv_close((uv_handle_t *)&conn->timer, on_timer_closed);
}

/* Closes the connection when the peer has not closed it in LINGERING_CLOSE_MS_MAX. */
static void on_timer(uv_timer_t *timer)
{
	stop(timer->data);
}

/* Reads of all connections share one buffer, as the bytes are never looked at. */
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(discard_buffer, sizeof(discard_buffer));
}

/* Counts what was read and stops at the end of the stream, on an error or over the byte limit. */
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct lingering_conn *conn = (struct lingering_conn *)stream;

	(void)buf;
	if (size > 0)
		conn->bytes += (uint64_t)size;
	if (size < 0 || conn->bytes > LINGERING_CLOSE_BYTES_MAX)
		stop(conn);
}

/* Starts the lingering close of a socket. Returns -1 if out of memory; fd is closed then. */
int lingering_close_start(uv_loop_t *loop, int fd, void (*done)(void *user), void *user)
{
	struct lingering_conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		close(fd);
		return -1;
	}
	conn->done = done;
	conn->user = user;
	shutdown(fd, SHUT_WR);
	uv_tcp_init(loop, &conn->tcp);
	uv_timer_init(loop, &conn->timer);
	conn->timer.data = conn;
	uv_timer_start(&conn->timer, on_timer, LINGERING_CLOSE_MS_MAX, 0);
	if (uv_tcp_open(&conn->tcp, fd) != 0) {
		close(fd);
		stop(conn);
		return 0;
	}
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0)
		stop(conn);
	return 0;
}
