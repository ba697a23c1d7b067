/*
 * Linger: reads and discards what a peer still sends after its answer.
 */
#include "fescuemill/http/linger.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define DISCARD_BYTES 65536

struct linger_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uint64_t bytes;
	void (*done)(void *user);
	void *user;
};

static char discarded[DISCARD_BYTES];

/* Frees the connection once its socket is closed too. */
static void on_socket_closed(uv_handle_t *handle)
{
	struct linger_conn *conn = (struct linger_conn *)handle;
	void (*done)(void *user) = conn->done;
	void *user = conn->user;

	free(conn);
	done(user);
}

/* Closes the socket after the timer. */
static void on_timer_closed(uv_handle_t *handle)
{
	struct linger_conn *conn = handle->data;

	uv_close((uv_handle_t *)&conn->tcp, on_socket_closed);
}

/* Ends the wait for the peer. */
static void end(struct linger_conn *conn)
{
	if (uv_is_closing((uv_handle_t *)&conn->timer))
		return;
	uv_read_stop((uv_stream_t *)&conn->tcp);
	uv_close((uv_handle_t *)&conn->timer, on_timer_closed);
}

/* Ends the wait when the peer goes on for too long. */
static void on_timer(uv_timer_t *timer)
{
	end(timer->data);
}

/* Gives the memory that all bytes are read to. */
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(discarded, sizeof(discarded));
}

/* Discards what was read. */
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct linger_conn *conn = (struct linger_conn *)stream;

	(void)buf;
	if (size > 0)
		conn->bytes += (uint64_t)size;
	if (size < 0 || conn->bytes > LINGER_BYTES_MAX)
		end(conn);
}

/* Starts to linger. */
int linger_start(uv_loop_t *loop, int fd, void (*done)(void *user), void *user)
{
	struct linger_conn *conn = calloc(1, sizeof(*conn));

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
	uv_timer_start(&conn->timer, on_timer, LINGER_MS, 0);
	if (uv_tcp_open(&conn->tcp, fd) != 0) {
		close(fd);
		end(conn);
		return 0;
	}
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0)
		end(conn);
	return 0;
}
