/*
 * Announce: sends one short POST at a time, once a second and at each change.
 */
#include "standin/backend/announce.h"

#include "fescue_load/client.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PERIOD_MS     1000
#define BODY_BYTES    256
#define REQUEST_BYTES 512

static struct {
	struct client client;
	h2o_socketpool_t pool;
	struct client_call call;
	uv_timer_t timer;
	const char *node_name;
	announce_body write_body;
	char request[REQUEST_BYTES];
	char answer[BODY_BYTES];
	size_t answer_bytes;
	bool is_pending; /* something changed while an announcement was in progress */
	int64_t in_use;	 /* slots in use, from the node's latest answer; -1: not known */
} announce = {.in_use = -1};

/* Collects a received part of the node's answer. */
static void on_data(struct client_call *call, const char *data, size_t bytes)
{
	size_t room = BODY_BYTES - 1 - announce.answer_bytes;

	(void)call;
	bytes = bytes < room ? bytes : room;
	memcpy(announce.answer + announce.answer_bytes, data, bytes);
	announce.answer_bytes += bytes;
}

/* Parses the slots in use from the answer, and sends the pending announcement if there is one. */
static void on_end(struct client_call *call, enum client_end end)
{
	const char *at = strstr(announce.answer, "\"in_use\":");

	(void)call;
	announce.in_use = -1;
	if (end == CLIENT_END_COMPLETE && at)
		announce.in_use = strtoll(at + strlen("\"in_use\":"), NULL, 10);
	if (announce.is_pending)
		announce_now();
}

/* Sends an announcement now, or as soon as the one in progress has ended. */
void announce_now(void)
{
	char body[BODY_BYTES];

	announce.is_pending = announce.call.exchange != NULL;
	if (!announce.write_body || announce.is_pending)
		return;
	announce.write_body(body, sizeof(body));
	snprintf(announce.request, sizeof(announce.request),
		 "POST /announce HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\n"
		 "content-length: %zu\r\n\r\n%s",
		 announce.node_name, strlen(body), body);
	memset(announce.answer, 0, sizeof(announce.answer));
	announce.answer_bytes = 0;
	announce.call.request[0] = h2o_iovec_init(announce.request, strlen(announce.request));
	announce.call.on_data = on_data;
	announce.call.on_end = on_end;
	client_start(&announce.client, &announce.pool, &announce.call);
}

/* Sends the periodic announcement, and cancels the previous one if it was not answered yet. */
static void on_period(uv_timer_t *timer)
{
	(void)timer;
	client_cancel(&announce.call);
	announce_now();
}

/*
 * Starts announcing to the node at IP:PORT. Returns 0, or -1 if the address cannot be parsed. The
 * address text must stay valid.
 */
int announce_start(uv_loop_t *loop, const char *node, announce_body write_body)
{
	struct sockaddr_in address;
	char ip[64] = "";
	unsigned int port = 0;

	if (sscanf(node, "%63[^:]:%u", ip, &port) != 2 || port > UINT16_MAX ||
	    uv_ip4_addr(ip, (int)port, &address) != 0)
		return -1;
	client_init(&announce.client, loop);
	client_pool_init(&announce.pool, &address, loop);
	announce.node_name = node;
	announce.write_body = write_body;
	uv_timer_init(loop, &announce.timer);
	return uv_timer_start(&announce.timer, on_period, 0, PERIOD_MS);
}

/* Returns the number of slots in use that the node reported last, or -1 if it is not known. */
int64_t announce_in_use(void)
{
	return announce.in_use;
}
