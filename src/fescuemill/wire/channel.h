/*
 * Channel: node messages over ZeroMQ in a libuv loop. A process has one channel, which listens
 * (ROUTER); a link is one connection to another node (a DEALER). A link never reconnects and
 * never sends twice: whoever finds it silent closes it and opens a new one with a higher epoch.
 */
#ifndef FESCUEMILL_WIRE_CHANNEL_H
#define FESCUEMILL_WIRE_CHANNEL_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#include <uv.h>

#define CHANNEL_ROUTE_BYTES 16

/* Where a message came from, so that a reply goes back over the same connection. */
struct channel_route {
	uint8_t size;
	uint8_t id[CHANNEL_ROUTE_BYTES];
};

struct channel;
struct channel_link;

/* The message is valid only during the call. */
typedef void (*channel_request_fn)(void *user, const struct channel_route *from,
				   const struct message *msg);
typedef void (*channel_link_fn)(void *user, const struct message *msg);
/* The connection of a link is gone: what it queued may be lost, and it takes no more. */
typedef void (*channel_lost_fn)(void *user);

/* Listens on ip:port (port 0: any). Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int channel_open(struct channel **out, uv_loop_t *loop, uint32_t ip, uint16_t port,
		 channel_request_fn fn, void *user, struct error *err);
void channel_close(struct channel *ch);
uint16_t channel_port(const struct channel *ch);

/* Errors: ERROR_UNREACHABLE when the connection is gone, ERROR_LIMIT when its queue is full. */
int channel_reply(struct channel *ch, const struct channel_route *to, const struct message *msg,
		  struct error *err);

int channel_link_open(struct channel *ch, uint32_t ip, uint16_t port, channel_link_fn fn,
		      void *user, struct channel_link **out, struct error *err);
/* Has the loss of the link's connection told once, with the link's user, from the loop. It may go
 * unnoticed where it coincides with a send; then sends fail with ERROR_LIMIT, as on a full queue.
 */
void channel_link_watch(struct channel_link *link, channel_lost_fn lost);
/* After an error the message was certainly not handed to the socket. */
int channel_link_send(struct channel_link *link, const struct message *msg, struct error *err);
/* Drops what was not yet sent. Safe inside the link's own callback. */
void channel_link_close(struct channel_link *link);

/* Bytes of messages sent and received so far over all connections, without headers. */
uint64_t channel_bytes_sent(const struct channel *ch);
uint64_t channel_bytes_received(const struct channel *ch);

#endif
