/*
 * State of an entry's link to a gate. Pings are sent only while answers are due, so an idle fleet
 * sends none. A dead connection can still look open. So a silent connection is replaced, and one
 * that was unused for long is replaced before it carries a call.
 */
#include "fescuemill/decide/peer.h"

#include "fescuemill/chart/chart.h"

#include <string.h>

#define PEER_PING_AFTER_US	    100000
#define PEER_PING_TIMEOUT_US	    150000
#define PEER_IDLE_MAX_US	    30000000
#define PEER_BYTES_PER_S	    1000000
#define PEER_USEC_PER_SEC	    1000000
#define PEER_SILENT_CONNECTIONS_MAX 2

const struct peer_settings peer_default_settings = {
	.ping_after_us = PEER_PING_AFTER_US,
	.ping_timeout_us = PEER_PING_TIMEOUT_US,
	.bytes_per_s = PEER_BYTES_PER_S,
	.idle_max_us = PEER_IDLE_MAX_US,
};

/* Applies an input to the state machine of the connection. An input that is not defined in the
 * current state, such as a message on a closed connection, is ignored. */
static void peer_move(struct peer *peer, enum connection_input input)
{
	uint32_t next;

	if (chart_next(CHART_CONNECTION, peer->state, input, &next, NULL) == 0)
		peer->state = (uint8_t)next;
}

/* Initializes a link that has not been opened yet. All links of the process share the count of
 * connections. */
void peer_init(struct peer *peer, enum link_kind kind, uint32_t *connections)
{
	memset(peer, 0, sizeof(*peer));
	peer->connections = connections;
	peer->kind = (uint8_t)kind;
	peer->state = PEER_CLOSED;
}

/* Records that a connection was opened, the first one or a replacement. Returns its epoch, which is
 * higher than those of all earlier connections of this process: the gate remembers the highest one
 * that it has received, and refuses calls of lower ones. */
uint32_t peer_opened(struct peer *peer, uint64_t now_us)
{
	peer->epoch = link_epoch((enum link_kind)peer->kind, ++*peer->connections);
	peer_move(peer, CONNECTION_INPUT_OPENED);
	peer->last_received_us = now_us;
	peer->last_sent_us = now_us;
	peer->waiting_since_us = now_us;
	peer->send_blocked_us = 0;
	peer->silent_connections++;
	return peer->epoch;
}

/* Records that the connection was closed and not replaced. */
void peer_closed(struct peer *peer)
{
	peer_move(peer, CONNECTION_INPUT_CLOSED);
}

/* Records a message from the gate on the current connection. */
void peer_message_received(struct peer *peer, uint64_t now_us)
{
	peer->last_received_us = now_us;
	peer->silent_connections = 0;
	peer->send_blocked_us = 0;
	peer->is_unconfirmed = false;
	peer_move(peer, CONNECTION_INPUT_RECEIVED);
}

/* Records that an attempt was sent, so that an answer is due. */
void peer_attempt_sent(struct peer *peer, uint64_t now_us)
{
	if (peer->outstanding == 0)
		peer->waiting_since_us = now_us;
	peer->outstanding++;
	peer->last_sent_us = now_us;
}

/* Records that a body of some bytes is sent or received. Pings and pongs are queued behind it, so
 * the ping timeout is extended by its expected transfer time. */
void peer_add_transfer(struct peer *peer, const struct peer_settings *settings, uint64_t bytes)
{
	peer->transfer_us += bytes * PEER_USEC_PER_SEC / settings->bytes_per_s;
}

/* Records that the answer of an attempt is no longer due. */
void peer_attempt_done(struct peer *peer)
{
	if (peer->outstanding > 0)
		peer->outstanding--;
	if (peer->outstanding == 0)
		peer->transfer_us = 0;
}

/* Returns PEER_REPLACE if a connection must be opened before the next attempt is sent: the link is
 * closed, or was unused for too long. */
enum peer_action peer_before_use(const struct peer *peer, const struct peer_settings *settings,
				 uint64_t now_us)
{
	if (peer->state == PEER_CLOSED)
		return PEER_REPLACE;
	if (peer->outstanding == 0 && now_us >= peer->last_sent_us + settings->idle_max_us)
		return PEER_REPLACE;
	return PEER_NOTHING;
}

/* Returns the start of the current silence: the last message received, or the time from which
 * answers have been due if that is later. */
static uint64_t silence_start_us(const struct peer *peer)
{
	return peer->last_received_us > peer->waiting_since_us ? peer->last_received_us
							       : peer->waiting_since_us;
}

/* Returns true if this process seems to have been paused while it waited for the pong. The pong may
 * have arrived without having been read yet. */
static bool was_paused_during_ping(const struct peer *peer, const struct peer_settings *settings,
				   uint64_t now_us)
{
	return now_us >= peer->pinged_us + peer->transfer_us + 2 * settings->ping_timeout_us;
}

/* Returns the action that is due now: a ping after a silence, or a replacement of the connection
 * after an unanswered ping. The caller must send the ping, which is recorded as sent. */
enum peer_action peer_tick(struct peer *peer, const struct peer_settings *settings, uint64_t now_us)
{
	if (now_us < peer_next_due_us(peer, settings))
		return PEER_NOTHING;
	if (peer->state == PEER_PINGED && !was_paused_during_ping(peer, settings, now_us))
		return PEER_REPLACE;
	peer_move(peer, CONNECTION_INPUT_QUIET);
	peer->pinged_us = now_us;
	peer->last_sent_us = now_us;
	return PEER_PING;
}

/* Records that the socket did not accept a message. */
void peer_send_blocked(struct peer *peer, uint64_t now_us)
{
	if (peer->send_blocked_us == 0)
		peer->send_blocked_us = now_us;
}

/* Returns true if another connection should be opened. This is the case if the socket has accepted
 * no message, and none arrived from the gate, for longer than a full queue explains. It is also the
 * case if nothing was received in time on a connection that was reopened after a loss. No attempt
 * is sent on such a connection, so only a regular reconnect can find that the gate is back. */
bool peer_needs_reconnect(const struct peer *peer, const struct peer_settings *settings,
			  uint64_t now_us)
{
	if (peer->state == PEER_CLOSED)
		return false;
	if (peer->is_unconfirmed &&
	    now_us >= peer->last_received_us + settings->ping_after_us + settings->ping_timeout_us)
		return true;
	return peer->send_blocked_us > 0 &&
	       now_us >= peer->send_blocked_us + settings->ping_after_us;
}

/* Records that the connection was lost. Returns PEER_REPLACE if something was received on it: then
 * it was reset on the way, or the gate has ended, and a new connection shows which. If that one is
 * lost too before anything is received, returns PEER_NOTHING and leaves the rest to the silence
 * timeouts, so that the entry does not reconnect in a loop to a gate that has ended. */
enum peer_action peer_connection_lost(struct peer *peer)
{
	if (peer->state == PEER_CLOSED)
		return PEER_NOTHING;
	peer->is_unconfirmed = true;
	return peer->silent_connections == 0 ? PEER_REPLACE : PEER_NOTHING;
}

/* Returns true if the connection was lost and the gate has not answered since. Attempts should go
 * to another gate meanwhile. */
bool peer_is_unconfirmed(const struct peer *peer)
{
	return peer->is_unconfirmed;
}

/* Returns true if nothing was received on the latest connections, so that another one is unlikely
 * to help. */
bool peer_is_unreachable(const struct peer *peer)
{
	return peer->silent_connections > PEER_SILENT_CONNECTIONS_MAX;
}

/* Returns the time of the next action in microseconds, or UINT64_MAX if none is due. */
uint64_t peer_next_due_us(const struct peer *peer, const struct peer_settings *settings)
{
	if (peer->state == PEER_CLOSED || peer->outstanding == 0)
		return UINT64_MAX;
	if (peer->state == PEER_PINGED)
		return peer->pinged_us + settings->ping_timeout_us + peer->transfer_us;
	return silence_start_us(peer) + settings->ping_after_us;
}
