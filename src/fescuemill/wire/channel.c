/*
 * Channel: ZeroMQ sockets in a libuv loop. The descriptor of a ZeroMQ socket is edge-triggered, so
 * a socket is read until it is empty after every event and also after every send.
 */
#include "fescuemill/wire/channel.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/wire/codec.h"
#include "fescuemill/wire/endpoint_text.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define SOCKETS_MAX	      8192 /* one for each link, and one that listens */
#define ROUTER_QUEUE_MESSAGES 256  /* per connection and direction */
#define LINK_QUEUE_MESSAGES   64   /* per direction */
#define HANDSHAKE_MS_MAX      3000 /* until a connection that does not greet is closed */
#define READS_PER_DRAIN	      128  /* messages read before the loop serves other handles */

/* One ZeroMQ socket watched by the loop. The handle is the first member, so that its callbacks can
 * cast it to the whole struct. */
struct watched_socket {
	uv_poll_t poll;
	void *socket;
	struct channel *channel;
	bool unread; /* may hold messages for which no event will come */
	bool closed;
	int (*read_one)(struct watched_socket *ws); /* reads one message; -1: none is waiting */
};

struct channel_link {
	struct watched_socket ws;
	struct channel_link *next;
	struct channel_link *prev;
	channel_link_fn fn;
	channel_lost_fn lost; /* NULL: none, or already called */
	void *user;
};

struct channel {
	struct watched_socket router;
	uv_loop_t *loop;
	uv_prepare_t prepare; /* reads sockets marked as unread before the loop waits */
	uv_idle_t idle;	      /* keeps the loop from waiting while a socket is marked */
	void *context;
	struct channel_link *links;
	bool has_unread; /* at least one socket may be marked as unread */
	channel_request_fn fn;
	channel_reading_fn reading; /* NULL: none */
	void *user;
	uint16_t port;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint32_t open_handles;
	bool closing;
};

/* Frees an encoded message; called by ZeroMQ once it has sent or dropped it. */
static void free_encoded(void *data, void *hint)
{
	(void)hint;
	free(data);
}

/* Receives one part of a message. Returns false if none is waiting. */
static bool receive_part(void *socket, zmq_msg_t *part)
{
	zmq_msg_init(part);
	if (zmq_msg_recv(part, socket, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(part);
	return false;
}

/* Receives and drops the remaining parts of a message. Returns their number. */
static uint32_t drop_parts(void *socket, zmq_msg_t *last)
{
	uint32_t dropped = 0;
	bool more = zmq_msg_more(last);

	while (more) {
		zmq_msg_t part;

		if (!receive_part(socket, &part))
			break;
		more = zmq_msg_more(&part);
		zmq_msg_close(&part);
		dropped++;
	}
	return dropped;
}

/* Decodes a payload. Counts and logs an invalid one and returns false. */
static bool decode_payload(struct channel *ch, zmq_msg_t *part, struct message *msg)
{
	struct error err;

	ch->bytes_received += zmq_msg_size(part);
	if (codec_decode(zmq_msg_data(part), zmq_msg_size(part), msg, &err) == 0)
		return true;
	counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
	log_failure(LOG_DEBUG, LOG_PART_CHANNEL, "Received message is invalid and was dropped.",
		    &err);
	return false;
}

/* Reads one message of a link. Returns 0, or -1 if none is waiting. */
static int link_read_one(struct watched_socket *ws)
{
	struct channel_link *link = (struct channel_link *)ws;
	struct message msg;
	zmq_msg_t part;

	if (!receive_part(ws->socket, &part))
		return -1;
	if (drop_parts(ws->socket, &part) > 0)
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
	else if (decode_payload(ws->channel, &part, &msg))
		link->fn(link->user, &msg);
	zmq_msg_close(&part);
	return 0;
}

/* Passes a request to the owner. A request with an oversized route or an invalid payload is dropped
 * and counted. */
static void deliver_request(struct channel *ch, zmq_msg_t *route_part, zmq_msg_t *payload)
{
	struct channel_route route;
	struct message msg;

	if (zmq_msg_size(route_part) > CHANNEL_ROUTE_BYTES) {
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
		return;
	}
	route.size = (uint8_t)zmq_msg_size(route_part);
	memcpy(route.id, zmq_msg_data(route_part), route.size);
	if (decode_payload(ch, payload, &msg))
		ch->fn(ch->user, &route, &msg);
}

/* Reads one message of the listening socket. Returns 0, or -1 if none is waiting. */
static int router_read_one(struct watched_socket *ws)
{
	zmq_msg_t route_part;
	zmq_msg_t payload;

	if (!receive_part(ws->socket, &route_part))
		return -1;
	if (!zmq_msg_more(&route_part) || !receive_part(ws->socket, &payload)) {
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
		zmq_msg_close(&route_part);
		return 0;
	}
	if (drop_parts(ws->socket, &payload) > 0)
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
	else
		deliver_request(ws->channel, &route_part, &payload);
	zmq_msg_close(&route_part);
	zmq_msg_close(&payload);
	return 0;
}

/* Marks a socket that may hold messages for which no event will come. */
static void socket_mark_unread(struct watched_socket *ws)
{
	ws->unread = true;
	ws->channel->has_unread = true;
}

/* Returns true if a socket has no message to read and accepts none to send: its connection is gone,
 * or its send queue is full. A lost connection stays lost, since ZeroMQ is set not to reconnect. */
static bool socket_is_lost(const struct watched_socket *ws)
{
	int events = 0;
	size_t size = sizeof(events);

	if (zmq_getsockopt(ws->socket, ZMQ_EVENTS, &events, &size) != 0)
		return false;
	return (events & (ZMQ_POLLOUT | ZMQ_POLLIN)) == 0;
}

/* Calls the lost callback of a link if its connection is gone, once. */
static void notify_lost(struct watched_socket *ws)
{
	struct channel_link *link = (struct channel_link *)ws;
	channel_lost_fn lost;

	if (ws->closed || !link->lost || !socket_is_lost(ws))
		return;
	lost = link->lost;
	link->lost = NULL;
	lost(link->user);
}

/* Reads up to READS_PER_DRAIN messages. A socket that may hold more is marked as unread. Returns
 * true if there was a message. */
static bool socket_drain(struct watched_socket *ws)
{
	ws->unread = false;
	for (int i = 0; i < READS_PER_DRAIN; i++) {
		if (ws->closed || ws->read_one(ws) < 0)
			return i > 0;
	}
	socket_mark_unread(ws);
	return true;
}

/* Drains the listening socket, with the reading callback before and after. */
static bool router_drain(struct channel *ch)
{
	bool has_read;

	if (ch->reading)
		ch->reading(ch->user, true);
	has_read = socket_drain(&ch->router);
	if (ch->reading)
		ch->reading(ch->user, false);
	return has_read;
}

/* Drains a socket whose descriptor became readable. If there is no message, the event means that
 * the send queue has room again or that the connection is gone. */
static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct watched_socket *ws = (struct watched_socket *)poll;

	(void)status;
	(void)events;
	if (ws == &ws->channel->router)
		router_drain(ws->channel);
	else if (!socket_drain(ws))
		notify_lost(ws);
}

/* Does nothing: an active idle handle alone keeps the loop from waiting. */
static void on_idle(uv_idle_t *idle)
{
	(void)idle;
}

/* Drains all marked sockets once. Keeps the loop from waiting while some stay marked. */
static void on_prepare(uv_prepare_t *prepare)
{
	struct channel *ch = prepare->data;
	struct channel_link *next;
	bool has_unread = ch->has_unread;

	ch->has_unread = false;
	if (has_unread && ch->router.unread)
		router_drain(ch);
	for (struct channel_link *link = ch->links; has_unread && link; link = next) {
		next = link->next;
		if (link->ws.unread)
			socket_drain(&link->ws);
	}
	if (ch->has_unread)
		uv_idle_start(&ch->idle, on_idle);
	else
		uv_idle_stop(&ch->idle);
}

static void set_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/* Creates a socket with the options that all sockets share. It never reconnects, and drops unsent
 * messages when it is closed. */
static void *socket_make(struct channel *ch, int type, int queue_messages)
{
	void *socket = zmq_socket(ch->context, type);
	int64_t message_bytes_max = WIRE_MESSAGE_BYTES;

	if (!socket)
		return NULL;
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &message_bytes_max, sizeof(message_bytes_max));
	set_option(socket, ZMQ_LINGER, 0);
	set_option(socket, ZMQ_SNDHWM, queue_messages);
	set_option(socket, ZMQ_RCVHWM, queue_messages);
	set_option(socket, ZMQ_RECONNECT_IVL, -1);
	return socket;
}

/* Starts watching the descriptor of a socket in the loop. */
static int socket_watch(struct channel *ch, struct watched_socket *ws, struct error *err)
{
	int descriptor;
	size_t size = sizeof(descriptor);
	int status;

	ws->channel = ch;
	if (zmq_getsockopt(ws->socket, ZMQ_FD, &descriptor, &size))
		return error_set_errno(err, errno, "cannot get the descriptor of a ZeroMQ socket");
	status = uv_poll_init(ch->loop, &ws->poll, descriptor);
	if (status)
		return error_set_errno(err, -status,
				       "cannot watch the descriptor of a ZeroMQ socket");
	ch->open_handles++;
	uv_poll_start(&ws->poll, UV_READABLE, on_poll);
	socket_mark_unread(ws);
	return 0;
}

/* Records that a handle is closed. Frees a closing channel and its context after the last one. */
static void channel_release(struct channel *ch)
{
	ch->open_handles--;
	if (ch->open_handles > 0 || !ch->closing)
		return;
	zmq_ctx_term(ch->context);
	free(ch);
}

/* Frees a link whose handle is closed. */
static void on_link_closed(uv_handle_t *handle)
{
	struct channel_link *link = (struct channel_link *)handle;
	struct channel *ch = link->ws.channel;

	free(link);
	channel_release(ch);
}

/* Counts a closed handle that is part of the channel itself. */
static void on_channel_handle_closed(uv_handle_t *handle)
{
	channel_release(handle->data);
}

/* Stops watching a socket, then closes it. The order matters: the loop must drop the descriptor
 * before the system can reuse its number. */
static void socket_close(struct watched_socket *ws, uv_close_cb on_closed)
{
	ws->closed = true;
	uv_close((uv_handle_t *)&ws->poll, on_closed);
	zmq_close(ws->socket);
}

/* Returns the port that the listening socket is bound to, or 0 on failure. */
static uint16_t bound_port(void *socket)
{
	char endpoint[ENDPOINT_TEXT_BYTES * 2];
	size_t size = sizeof(endpoint);
	const char *colon;

	if (zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, endpoint, &size))
		return 0;
	colon = strrchr(endpoint, ':');
	return colon ? (uint16_t)strtoul(colon + 1, NULL, 10) : 0;
}

/* Creates and binds the listening socket. */
static int router_open(struct channel *ch, uint32_t ip, uint16_t port, struct error *err)
{
	char endpoint[ENDPOINT_TEXT_BYTES];

	ch->router.read_one = router_read_one;
	ch->router.socket = socket_make(ch, ZMQ_ROUTER, ROUTER_QUEUE_MESSAGES);
	if (!ch->router.socket)
		return error_set_errno(err, errno, "cannot create the listening socket");
	set_option(ch->router.socket, ZMQ_ROUTER_MANDATORY, 1);
	set_option(ch->router.socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS_MAX);
	endpoint_text(endpoint, ip, port);
	if (zmq_bind(ch->router.socket, endpoint) || !(ch->port = bound_port(ch->router.socket))) {
		error_set_errno(err, errno, "cannot listen on %s: %s", endpoint,
				zmq_strerror(errno));
		zmq_close(ch->router.socket);
		return -1;
	}
	if (socket_watch(ch, &ch->router, err)) {
		zmq_close(ch->router.socket);
		return -1;
	}
	ch->router.poll.data = ch;
	return 0;
}

/* Starts the handles that read messages for which no event comes. */
static void start_loop_handles(struct channel *ch)
{
	uv_prepare_init(ch->loop, &ch->prepare);
	ch->prepare.data = ch;
	uv_prepare_start(&ch->prepare, on_prepare);
	uv_unref((uv_handle_t *)&ch->prepare);
	uv_idle_init(ch->loop, &ch->idle);
	ch->idle.data = ch;
	ch->open_handles += 2;
}

/* Opens a channel that listens on ip:port (port 0: any) and passes every request to fn. Errors:
 * ERROR_SYSTEM, ERROR_MEMORY. */
int channel_open(struct channel **out, uv_loop_t *loop, uint32_t ip, uint16_t port,
		 channel_request_fn fn, void *user, struct error *err)
{
	struct channel *ch = calloc(1, sizeof(*ch));

	if (!ch)
		return error_set(err, ERROR_MEMORY, "no memory for the channel");
	ch->loop = loop;
	ch->fn = fn;
	ch->user = user;
	ch->context = zmq_ctx_new();
	if (!ch->context) {
		free(ch);
		return error_set(err, ERROR_MEMORY, "no memory for the ZeroMQ context");
	}
	zmq_ctx_set(ch->context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	if (router_open(ch, ip, port, err)) {
		zmq_ctx_term(ch->context);
		free(ch);
		return -1;
	}
	start_loop_handles(ch);
	*out = ch;
	return 0;
}

/* Sets the callback that frames the reading of requests. */
void channel_set_reading_callback(struct channel *ch, channel_reading_fn reading)
{
	ch->reading = reading;
}

/* Closes all links and the listening socket. The memory is freed once the loop has closed the
 * handles. */
void channel_close(struct channel *ch)
{
	while (ch->links)
		channel_link_close(ch->links);
	ch->closing = true;
	socket_close(&ch->router, on_channel_handle_closed);
	uv_close((uv_handle_t *)&ch->prepare, on_channel_handle_closed);
	uv_close((uv_handle_t *)&ch->idle, on_channel_handle_closed);
}

/* Returns the port that the channel listens on. */
uint16_t channel_port(const struct channel *ch)
{
	return ch->port;
}

/* Sets the error for a failed send. Returns -1. */
static int set_send_error(int number, struct error *err)
{
	if (number == EAGAIN)
		return error_set(err, ERROR_LIMIT, "the send queue of the connection is full");
	if (number == EHOSTUNREACH)
		return error_set(err, ERROR_UNREACHABLE, "the connection is gone");
	return error_set_errno(err, number, "cannot send: %s", zmq_strerror(number));
}

/* Encodes a message into a ZeroMQ part that owns the bytes. */
static int encode_part(const struct message *msg, zmq_msg_t *part, struct error *err)
{
	uint8_t *data;
	size_t size;

	if (codec_encode(msg, &data, &size, err))
		return -1;
	if (zmq_msg_init_data(part, data, size, free_encoded, NULL)) {
		free(data);
		return error_set(err, ERROR_MEMORY, "no memory for a message part");
	}
	return 0;
}

/* Sends one part and counts its bytes. The part is closed also on failure. */
static int send_part(struct watched_socket *ws, zmq_msg_t *part, struct error *err)
{
	size_t size = zmq_msg_size(part);
	int number;

	if (zmq_msg_send(part, ws->socket, ZMQ_DONTWAIT) < 0) {
		number = errno;
		zmq_msg_close(part);
		return set_send_error(number, err);
	}
	ws->channel->bytes_sent += size;
	socket_mark_unread(ws);
	return 0;
}

/* Sends a message over the connection that a request was received on. Errors: ERROR_UNREACHABLE if
 * the connection is gone, ERROR_LIMIT if its queue is full. */
int channel_reply(struct channel *ch, const struct channel_route *to, const struct message *msg,
		  struct error *err)
{
	zmq_msg_t part;
	int number;

	if (encode_part(msg, &part, err))
		return -1;
	if (zmq_send(ch->router.socket, to->id, to->size, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) {
		number = errno;
		zmq_msg_close(&part);
		return set_send_error(number, err);
	}
	return send_part(&ch->router, &part, err);
}

/* Inserts a link at the head of the channel's list. */
static void link_insert(struct channel *ch, struct channel_link *link)
{
	link->next = ch->links;
	if (ch->links)
		ch->links->prev = link;
	ch->links = link;
}

/* Removes a link from the channel's list. */
static void link_remove(struct channel *ch, struct channel_link *link)
{
	if (link->prev)
		link->prev->next = link->next;
	else
		ch->links = link->next;
	if (link->next)
		link->next->prev = link->prev;
}

/* Opens a link to another node. It connects in the background; until then messages are queued. */
int channel_link_open(struct channel *ch, uint32_t ip, uint16_t port, channel_link_fn fn,
		      void *user, struct channel_link **out, struct error *err)
{
	struct channel_link *link = calloc(1, sizeof(*link));
	char endpoint[ENDPOINT_TEXT_BYTES];

	if (!link)
		return error_set(err, ERROR_MEMORY, "no memory for a link");
	link->fn = fn;
	link->user = user;
	link->ws.read_one = link_read_one;
	link->ws.socket = socket_make(ch, ZMQ_DEALER, LINK_QUEUE_MESSAGES);
	if (!link->ws.socket) {
		free(link);
		return error_set_errno(err, errno, "cannot create the socket of a link");
	}
	endpoint_text(endpoint, ip, port);
	if (zmq_connect(link->ws.socket, endpoint)) {
		error_set_errno(err, errno, "cannot connect to %s: %s", endpoint,
				zmq_strerror(errno));
	} else if (socket_watch(ch, &link->ws, err) == 0) {
		link_insert(ch, link);
		*out = link;
		return 0;
	}
	zmq_close(link->ws.socket);
	free(link);
	return -1;
}

/* Sets the callback for the loss of a link's connection; it is called once. */
void channel_link_set_lost_callback(struct channel_link *link, channel_lost_fn lost)
{
	link->lost = lost;
}

/* Queues a message on a link. If an error is returned, the message was not queued. */
int channel_link_send(struct channel_link *link, const struct message *msg, struct error *err)
{
	zmq_msg_t part;

	if (link->ws.closed)
		return error_set(err, ERROR_STATE, "the link is closed");
	if (encode_part(msg, &part, err))
		return -1;
	return send_part(&link->ws, &part, err);
}

/* Closes a link. Messages that it has not sent are dropped. */
void channel_link_close(struct channel_link *link)
{
	if (link->ws.closed)
		return;
	link_remove(link->ws.channel, link);
	socket_close(&link->ws, on_link_closed);
}

/* Returns the bytes of all messages sent so far, without headers. */
uint64_t channel_bytes_sent(const struct channel *ch)
{
	return ch->bytes_sent;
}

/* Returns the bytes of all messages received so far, without headers. */
uint64_t channel_bytes_received(const struct channel *ch)
{
	return ch->bytes_received;
}
