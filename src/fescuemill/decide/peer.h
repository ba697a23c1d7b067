/*
 * State of an entry's link to a gate: decides when to ping the gate and when to replace the
 * connection. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_PEER_H
#define FESCUEMILL_DECIDE_PEER_H

#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/attempt_defs.h"

#include <stdbool.h>

struct peer_settings {
	uint64_t ping_after_us;	  /* ping after this silence while answers are due */
	uint64_t ping_timeout_us; /* replace the connection if no pong arrives within this time */
	uint64_t idle_max_us; /* replace a connection unused for this long before its next use */
	uint64_t bytes_per_s; /* minimum expected transfer rate of large bodies */
};

/* PEER_REPLACE: close the connection, open a new one, call peer_opened() and ask the gate again
 * about every attempt. */
enum peer_action {
	PEER_NOTHING,
	PEER_PING, /* send a ping */
	PEER_REPLACE,
};

struct peer {
	/* Connections that this process has opened, over all links and kinds: a new connection's
	 * epoch is higher than any before it, also to a gate whose link was removed meanwhile. */
	uint32_t *connections;
	uint64_t last_received_us; /* last message from the gate, or time of opening */
	uint64_t last_sent_us; /* last message to the gate, pings included, or time of opening */
	uint64_t waiting_since_us; /* start of the wait for answers, or time of opening */
	uint64_t pinged_us;	   /* time of the last ping */
	uint64_t send_blocked_us; /* since when the socket accepts no message; 0: it accepts them */
	uint64_t transfer_us;	  /* expected transfer time of the large bodies in progress */
	uint32_t epoch;		  /* epoch of the current connection; 0 before the first */
	uint32_t outstanding;	  /* attempts whose answer is due */
	uint32_t silent_connections; /* consecutive connections on which nothing was received */
	uint8_t kind;		     /* enum link_kind */
	uint8_t state;		     /* enum peer_state */
	bool is_unconfirmed;	     /* the connection was lost, and nothing was received since */
};

extern const struct peer_settings peer_default_settings;

void peer_init(struct peer *peer, enum link_kind kind, uint32_t *connections);
uint32_t peer_opened(struct peer *peer, uint64_t now_us);
void peer_closed(struct peer *peer);
void peer_message_received(struct peer *peer, uint64_t now_us);
void peer_attempt_sent(struct peer *peer, uint64_t now_us);
void peer_add_transfer(struct peer *peer, const struct peer_settings *settings, uint64_t bytes);
void peer_attempt_done(struct peer *peer);
enum peer_action peer_before_use(const struct peer *peer, const struct peer_settings *settings,
				 uint64_t now_us);
enum peer_action peer_tick(struct peer *peer, const struct peer_settings *settings,
			   uint64_t now_us);
void peer_send_blocked(struct peer *peer, uint64_t now_us);
bool peer_needs_reconnect(const struct peer *peer, const struct peer_settings *settings,
			  uint64_t now_us);
enum peer_action peer_connection_lost(struct peer *peer);
bool peer_is_unconfirmed(const struct peer *peer);
bool peer_is_unreachable(const struct peer *peer);
uint64_t peer_next_due_us(const struct peer *peer, const struct peer_settings *settings);

#endif
