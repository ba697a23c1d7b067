/*
 * Announce: one short POST at a time, once a second and at each change.
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
	bool is_due;	/* something changed while an announcement was on its way */
	int64_t in_use; /* what the node said last, -1 when it said nothing */
} announce = {.in_use = -1};

/* Gathers the node's answer. */
static void on_data(struct client_call *call, const char *data, size_t bytes)
{
	size_t room = BODY_BYTES - 1 - announce.answer_bytes;

	(void)call;
	bytes = bytes < room ? bytes : room;
	memcpy(announce.answer + announce.answer_bytes, data, bytes);
	announce.answer_bytes += bytes;
}

/* Reads how many slots the node has in use, and announces again if that is due. */
static void on_end(struct client_call *call, enum client_end end)
{
	const char *at = strstr(announce.answer, "\"in_use\":");

	(void)call;
	announce.in_use = -1;
	if (end == CLIENT_END_WHOLE && at)
		announce.in_use = strtoll(at + strlen("\"in_use\":"), NULL, 10);
	if (announce.is_due)
		announce_now();
}

/* Announces at once, or as soon as the announcement on its way has ended. */
void announce_now(void)
{
	char body[BODY_BYTES];

	announce.is_due = announce.call.exchange != NULL;
	if (!announce.write_body || announce.is_due)
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

/* Announces once more; what was not answered within the period is given up. */
static void on_period(uv_timer_t *timer)
{
	(void)timer;
	client_cancel(&announce.call);
	announce_now();
}

/* Announces to IP:PORT from now on. Gives -1 for an address that cannot be read. */
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

/* Gives how many slots the node said to be in use; -1 when it is not known. */
int64_t announce_in_use(void)
{
	return announce.in_use;
}
