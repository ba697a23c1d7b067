/*
 * Stream: each connection has a side towards who opened it and one towards the target. Bytes read
 * on one side go through the pipe and are written on the other.
 */
#include "standin/link/stream.h"

#include "standin/link/pipe.h"

#include <stdbool.h>
#include <stdlib.h>

#define READ_BYTES	  65536
#define IN_PIPE_BYTES_MAX 262144 /* above it a side is not read from: the sender must wait */

struct stream;

struct side {
	uv_tcp_t tcp;
	struct stream *stream;
	struct side *other;
	size_t in_pipe_bytes; /* read here, not yet written on the other side */
	int direction;	      /* of what is read here */
	bool is_reading;
	bool is_closed;
};

struct stream {
	struct stream *next;
	struct side opener;
	struct side target;
	uv_connect_t connect;
	uint32_t parcels; /* on their way; they refer to this stream */
	bool is_connected;
	bool is_silent;
};

struct written {
	uv_write_t write;
	struct side *from;
	char *data;
	size_t bytes;
};

static struct stream *streams;

/* Frees a stream once both sides are closed and nothing on its way refers to it. */
static void free_if_done(struct stream *stream)
{
	struct stream **link = &streams;

	if (!stream->opener.is_closed || !stream->target.is_closed || stream->parcels > 0)
		return;
	while (*link != stream)
		link = &(*link)->next;
	*link = stream->next;
	free(stream);
}

/* A side's handle is closed. */
static void on_closed(uv_handle_t *handle)
{
	struct side *side = handle->data;

	side->is_closed = true;
	free_if_done(side->stream);
}

/* Closes one side. */
static void close_side(struct side *side)
{
	side->is_reading = false;
	if (!uv_is_closing((uv_handle_t *)&side->tcp))
		uv_close((uv_handle_t *)&side->tcp, on_closed);
}

/* Lends a buffer that travels with the bytes. */
static void lend_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(malloc(READ_BYTES), READ_BYTES);
}

static void on_read(uv_stream_t *tcp, ssize_t bytes, const uv_buf_t *buf);

/* Reads from a side, or not, as the link and the pipe allow. */
static void update_reading(struct side *side)
{
	bool may_read = side->stream->is_silent || (side->stream->is_connected && !pipe_is_cut() &&
						    side->in_pipe_bytes < IN_PIPE_BYTES_MAX);

	if (uv_is_closing((uv_handle_t *)&side->tcp) || may_read == side->is_reading)
		return;
	side->is_reading = may_read;
	if (may_read)
		uv_read_start((uv_stream_t *)&side->tcp, lend_buffer, on_read);
	else
		uv_read_stop((uv_stream_t *)&side->tcp);
}

/* Bytes are written: their sender may be read from again. */
static void on_written(uv_write_t *write, int status)
{
	struct written *written = (struct written *)write;
	struct stream *stream = written->from->stream;

	(void)status;
	written->from->in_pipe_bytes -= written->bytes;
	update_reading(written->from);
	stream->parcels--;
	free(written->data);
	free(written);
	free_if_done(stream);
}

/* A parcel has come through the pipe. */
static void deliver(void *receiver, char *data, size_t bytes)
{
	struct side *from = receiver;
	struct stream *stream = from->stream;
	struct side *to = from->other;
	struct written *written;
	uv_buf_t buf = uv_buf_init(data, (unsigned int)bytes);

	if (!data || stream->is_silent || uv_is_closing((uv_handle_t *)&to->tcp)) {
		if (!data && !stream->is_silent)
			close_side(to);
		from->in_pipe_bytes -= bytes;
		stream->parcels--;
		free(data);
		free_if_done(stream);
		return;
	}
	written = calloc(1, sizeof(*written));
	written->from = from;
	written->data = data;
	written->bytes = bytes;
	if (uv_write(&written->write, (uv_stream_t *)&to->tcp, &buf, 1, on_written) != 0)
		on_written(&written->write, UV_EPIPE);
}

/* Takes bytes, or the end of the stream, from one side. */
static void on_read(uv_stream_t *tcp, ssize_t bytes, const uv_buf_t *buf)
{
	struct side *side = tcp->data;
	struct stream *stream = side->stream;
	char *data = buf->base;

	if (bytes == 0 || bytes < 0 || stream->is_silent) {
		free(data);
		data = NULL;
	}
	if (bytes < 0)
		close_side(side);
	if (bytes == 0 || stream->is_silent)
		return;
	stream->parcels++;
	side->in_pipe_bytes += bytes > 0 ? (size_t)bytes : 0;
	pipe_send(side->direction, PIPE_TCP, data, bytes > 0 ? (size_t)bytes : 0, deliver, side);
	update_reading(side);
}

/* The target took the connection, or refused it. */
static void on_connect(uv_connect_t *connect, int status)
{
	struct stream *stream = connect->data;

	if (status != 0) {
		close_side(&stream->opener);
		close_side(&stream->target);
		return;
	}
	stream->is_connected = true;
	update_reading(&stream->opener);
	update_reading(&stream->target);
}

/* Prepares one side. */
static void side_init(struct side *side, struct stream *stream, struct side *other, int direction,
		      uv_loop_t *loop)
{
	side->stream = stream;
	side->other = other;
	side->direction = direction;
	uv_tcp_init(loop, &side->tcp);
	side->tcp.data = side;
	uv_tcp_nodelay(&side->tcp, 1);
}

/* Accepts a connection and opens one to the target on 127.0.0.1. direction is that of what the
 * opener sends. */
void stream_accept(uv_stream_t *listener, uint16_t target_port, int direction)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	struct sockaddr_in addr;

	stream->next = streams;
	streams = stream;
	side_init(&stream->opener, stream, &stream->target, direction, listener->loop);
	side_init(&stream->target, stream, &stream->opener, 1 - direction, listener->loop);
	stream->connect.data = stream;
	uv_ip4_addr("127.0.0.1", target_port, &addr);
	if (uv_accept(listener, (uv_stream_t *)&stream->opener.tcp) != 0 ||
	    uv_tcp_connect(&stream->connect, &stream->target.tcp, (struct sockaddr *)&addr,
			   on_connect) != 0) {
		close_side(&stream->opener);
		close_side(&stream->target);
	}
}

/* Lets every connection that is open now go silent for good: its bytes and its end vanish. */
void stream_silence_all(void)
{
	for (struct stream *stream = streams; stream; stream = stream->next)
		stream->is_silent = true;
	stream_resume_all();
}

/* Reads from every side that the state of the link allows. */
void stream_resume_all(void)
{
	for (struct stream *stream = streams; stream; stream = stream->next) {
		update_reading(&stream->opener);
		update_reading(&stream->target);
	}
}

/* Gives how many connections are open. */
unsigned int stream_count(void)
{
	unsigned int count = 0;

	for (struct stream *stream = streams; stream; stream = stream->next)
		count++;
	return count;
}
