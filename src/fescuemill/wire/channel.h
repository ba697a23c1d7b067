/*
 * Channel: messages between nodes over ZeroMQ in a libuv loop. A process has one channel, which
 * listens (ROUTER socket). A link is one connection to another node (DEALER socket). A link never
 * reconnects and never sends a message twice: if it does not respond, its owner closes it and opens
 * a new one with a higher epoch.
 */
#ifndef FESCUEMILL_WIRE_CHANNEL_H
#define FESCUEMILL_WIRE_CHANNEL_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#include <uv.h>

#define CHANNEL_ROUTE_BYTES 16

/* Connection that a message was received on, for the reply. */
struct channel_route {
	uint8_t size;
	uint8_t id[CHANNEL_ROUTE_BYTES];
};

struct channel;
struct channel_link;

/* Callbacks for a received message, which is valid only until they return. */
typedef void (*channel_request_fn)(void *user, const struct channel_route *from,
				   const struct message *msg);
typedef void (*channel_link_fn)(void *user, const struct message *msg);
/* Called with true before the requests that have arrived are passed on, and with false after the
 * last of them. */
typedef void (*channel_reading_fn)(void *user, bool is_reading);
/* Callback for the loss of a link's connection. Queued messages may be lost, and the link accepts
 * no more. */
typedef void (*channel_lost_fn)(void *user);

/* Listens on ip:port (port 0: any). Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int channel_open(struct channel **out, uv_loop_t *loop, uint32_t ip, uint16_t port,
		 channel_request_fn fn, void *user, struct error *err);
void channel_close(struct channel *ch);
/* Sets a callback, with the user of the request callback, that frames each run of requests that are
 * read one right after the other. */
void channel_set_reading_callback(struct channel *ch, channel_reading_fn reading);
uint16_t channel_port(const struct channel *ch);

/* Errors: ERROR_UNREACHABLE if the connection is gone, ERROR_LIMIT if its queue is full. */
int channel_reply(struct channel *ch, const struct channel_route *to, const struct message *msg,
		  struct error *err);

int channel_link_open(struct channel *ch, uint32_t ip, uint16_t port, channel_link_fn fn,
		      void *user, struct channel_link **out, struct error *err);
/* Sets a callback for the loss of the link's connection. It is called once, from the loop, with the
 * link's user. A loss at the same time as a send may go unnoticed; then sends fail with
 * ERROR_LIMIT, as with a full queue. */
void channel_link_set_lost_callback(struct channel_link *link, channel_lost_fn lost);
/* If an error is returned, the message was not passed to the socket. */
int channel_link_send(struct channel_link *link, const struct message *msg, struct error *err);
/* Drops messages not sent yet. May be called from the link's own callbacks. */
void channel_link_close(struct channel_link *link);

/* Return the bytes of messages sent and received so far over all connections, without headers. */
uint64_t channel_bytes_sent(const struct channel *ch);
uint64_t channel_bytes_received(const struct channel *ch);

#endif
