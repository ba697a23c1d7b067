/*
 * Stream: each connection has one side towards its initiator and one towards the target. Bytes read
 * on one side pass through the pipe and are written to the other.
 */
#include "standin/link/stream.h"

#include "standin/link/pipe.h"

#include <stdbool.h>
#include <stdlib.h>

#define READ_BYTES	  65536
#define IN_PIPE_BYTES_MAX 262144 /* no reading from a side above this; its sender must wait */

struct stream;

struct side {
	uv_tcp_t tcp;
	struct stream *stream;
	struct side *other;
	size_t in_pipe_bytes; /* read on this side, not yet written to the other */
	int direction;	      /* direction of the bytes read on this side, 0 or 1 */
	bool is_reading;
	bool is_closed;
};

struct stream {
	struct stream *next;
	struct side initiator;
	struct side target;
	uv_connect_t connect;
	uint32_t packets_in_pipe; /* in the pipe or being written; they refer to this stream */
	bool is_connected;
	bool is_silent;
};

struct pending_write {
	uv_write_t write;
	struct side *from;
	char *data;
	size_t bytes;
};

static struct stream *streams;

/* Frees a stream if both sides are closed and no packet refers to it. */
static void free_if_done(struct stream *stream)
{
	struct stream **link = &streams;

	if (!stream->initiator.is_closed || !stream->target.is_closed ||
	    stream->packets_in_pipe > 0)
		return;
	while (*link != stream)
		link = &(*link)->next;
	*link = stream->next;
	free(stream);
}

/* Marks a side as closed when libuv has closed its handle. */
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

/* Allocates a buffer, which is freed when its bytes are written or dropped. */
static void alloc_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(malloc(READ_BYTES), READ_BYTES);
}

static void on_read(uv_stream_t *tcp, ssize_t bytes, const uv_buf_t *buf);

/*
 * Starts or stops reading from a side. A silent stream is read to discard its bytes. Others are
 * read while connected, unless the link is cut or the side has too many bytes in the pipe.
 */
static void update_reading(struct side *side)
{
	bool may_read = side->stream->is_silent || (side->stream->is_connected && !pipe_is_cut() &&
						    side->in_pipe_bytes < IN_PIPE_BYTES_MAX);

	if (uv_is_closing((uv_handle_t *)&side->tcp) || may_read == side->is_reading)
		return;
	side->is_reading = may_read;
	if (may_read)
		uv_read_start((uv_stream_t *)&side->tcp, alloc_buffer, on_read);
	else
		uv_read_stop((uv_stream_t *)&side->tcp);
}

/* Updates the reading of the sender's side when its bytes have been written. */
static void on_written(uv_write_t *write, int status)
{
	struct pending_write *pending_write = (struct pending_write *)write;
	struct stream *stream = pending_write->from->stream;

	(void)status;
	pending_write->from->in_pipe_bytes -= pending_write->bytes;
	update_reading(pending_write->from);
	stream->packets_in_pipe--;
	free(pending_write->data);
	free(pending_write);
	free_if_done(stream);
}

/* Writes a packet that has passed the pipe to the other side, or closes that side at the end. */
static void deliver(void *receiver, char *data, size_t bytes)
{
	struct side *from = receiver;
	struct stream *stream = from->stream;
	struct side *to = from->other;
	struct pending_write *pending_write;
	uv_buf_t buf = uv_buf_init(data, (unsigned int)bytes);

	if (!data || stream->is_silent || uv_is_closing((uv_handle_t *)&to->tcp)) {
		if (!data && !stream->is_silent)
			close_side(to);
		from->in_pipe_bytes -= bytes;
		stream->packets_in_pipe--;
		free(data);
		free_if_done(stream);
		return;
	}
	pending_write = calloc(1, sizeof(*pending_write));
	pending_write->from = from;
	pending_write->data = data;
	pending_write->bytes = bytes;
	if (uv_write(&pending_write->write, (uv_stream_t *)&to->tcp, &buf, 1, on_written) != 0)
		on_written(&pending_write->write, UV_EPIPE);
}

/* Sends bytes read from a side, or the end of the stream, through the pipe. */
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
	stream->packets_in_pipe++;
	side->in_pipe_bytes += bytes > 0 ? (size_t)bytes : 0;
	pipe_send(side->direction, PIPE_TCP, data, bytes > 0 ? (size_t)bytes : 0, deliver, side);
	update_reading(side);
}

/* Starts reading from both sides when the target is connected, or closes them if that failed. */
static void on_connect(uv_connect_t *connect, int status)
{
	struct stream *stream = connect->data;

	if (status != 0) {
		close_side(&stream->initiator);
		close_side(&stream->target);
		return;
	}
	stream->is_connected = true;
	update_reading(&stream->initiator);
	update_reading(&stream->target);
}

/* Initializes one side of a stream. */
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

/*
 * Accepts a connection and opens one to the target on 127.0.0.1. direction is that of the bytes
 * that the initiator sends.
 */
void stream_accept(uv_stream_t *listener, uint16_t target_port, int direction)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	struct sockaddr_in addr;

	stream->next = streams;
	streams = stream;
	side_init(&stream->initiator, stream, &stream->target, direction, listener->loop);
	side_init(&stream->target, stream, &stream->initiator, 1 - direction, listener->loop);
	stream->connect.data = stream;
	uv_ip4_addr("127.0.0.1", target_port, &addr);
	if (uv_accept(listener, (uv_stream_t *)&stream->initiator.tcp) != 0 ||
	    uv_tcp_connect(&stream->connect, &stream->target.tcp, (struct sockaddr *)&addr,
			   on_connect) != 0) {
		close_side(&stream->initiator);
		close_side(&stream->target);
	}
}

/* Makes all open connections silent for good: their bytes and their end are discarded. */
void stream_silence_all(void)
{
	for (struct stream *stream = streams; stream; stream = stream->next)
		stream->is_silent = true;
	stream_update_reading();
}

/* Updates the reading of all sides after a change of the link. */
void stream_update_reading(void)
{
	for (struct stream *stream = streams; stream; stream = stream->next) {
		update_reading(&stream->initiator);
		update_reading(&stream->target);
	}
}

/* Returns the number of connections that are not freed yet. */
unsigned int stream_count(void)
{
	unsigned int count = 0;

	for (struct stream *stream = streams; stream; stream = stream->next)
		count++;
	return count;
}
