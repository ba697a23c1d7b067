/*
 * Announce: one short POST over a connection of its own, once a second and at each change.
 */
#include "standin/backend/announce.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PERIOD_MS    1000
#define ANSWER_BYTES 1024
#define BODY_BYTES   256

/* One announcement on its way. */
struct post {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	char request[BODY_BYTES + 256];
	char answer[ANSWER_BYTES];
	size_t answer_bytes;
};

static struct {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct sockaddr_in node;
	const char *node_name;
	announce_body write_body;
	int64_t in_use; /* what the node said last, -1 when it said nothing */
} announce = {.in_use = -1};

/* Frees a post after its connection is closed. */
static void free_post(uv_handle_t *handle)
{
	free(handle->data);
}

/* Ends a post; what the node answered counts, else nothing is known. */
static void post_end(struct post *post)
{
	const char *at = strstr(post->answer, "\"in_use\":");

	announce.in_use = at ? strtoll(at + strlen("\"in_use\":"), NULL, 10) : -1;
	if (!uv_is_closing((uv_handle_t *)&post->tcp))
		uv_close((uv_handle_t *)&post->tcp, free_post);
}

/* Lends the rest of the answer's buffer. */
static void lend_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct post *post = handle->data;

	(void)suggested;
	*buf = uv_buf_init(post->answer + post->answer_bytes,
			   (unsigned int)(ANSWER_BYTES - 1 - post->answer_bytes));
}

/* Gathers the answer until the node closes the connection. */
static void on_read(uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buf)
{
	struct post *post = stream->data;

	(void)buf;
	if (bytes < 0)
		post_end(post);
	else
		post->answer_bytes += (size_t)bytes;
}

/* Reads the answer once the request is written. */
static void on_write(uv_write_t *write, int status)
{
	struct post *post = write->data;

	if (status != 0 || uv_read_start((uv_stream_t *)&post->tcp, lend_buffer, on_read) != 0)
		post_end(post);
}

/* Writes the request once the connection is there. */
static void on_connect(uv_connect_t *connect, int status)
{
	struct post *post = connect->data;
	uv_buf_t buf = uv_buf_init(post->request, (unsigned int)strlen(post->request));

	post->write.data = post;
	if (status != 0 ||
	    uv_write(&post->write, (uv_stream_t *)&post->tcp, &buf, 1, on_write) != 0)
		post_end(post);
}

/* Announces at once, besides the once a second. */
void announce_now(void)
{
	struct post *post;
	char body[BODY_BYTES];

	if (!announce.loop)
		return;
	post = calloc(1, sizeof(*post));
	announce.write_body(body, sizeof(body));
	snprintf(post->request, sizeof(post->request),
		 "POST /announce HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n"
		 "content-type: application/json\r\ncontent-length: %zu\r\n\r\n%s",
		 announce.node_name, strlen(body), body);
	uv_tcp_init(announce.loop, &post->tcp);
	post->tcp.data = post;
	post->connect.data = post;
	if (uv_tcp_connect(&post->connect, &post->tcp, (struct sockaddr *)&announce.node,
			   on_connect) != 0)
		post_end(post);
}

/* Announces once more. */
static void on_period(uv_timer_t *timer)
{
	(void)timer;
	announce_now();
}

/* Announces to IP:PORT from now on. Gives -1 for an address that cannot be read. */
int announce_start(uv_loop_t *loop, const char *node, announce_body write_body)
{
	char ip[64] = "";
	unsigned int port = 0;

	if (sscanf(node, "%63[^:]:%u", ip, &port) != 2 || port > UINT16_MAX ||
	    uv_ip4_addr(ip, (int)port, &announce.node) != 0)
		return -1;
	announce.loop = loop;
	announce.node_name = node;
	announce.write_body = write_body;
	uv_timer_init(loop, &announce.timer);
	return uv_timer_start(&announce.timer, on_period, 0, PERIOD_MS);
}

/* Gives how many slots the node said to be in use; -1 when it is not known. */
int64_t announce_in_use(void)
{
	return announce.in_use;
}
