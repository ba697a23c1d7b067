/*
 * Link state. A heartbeat is sent only while answers are due, so an idle fleet sends none. A
 * connection can be dead for good while it looks open, so silence replaces it, and one that was
 * long unused is replaced before it carries a call.
 */
#include "fescuemill/decide/peer.h"

#include "fescuemill/chart/chart.h"

#include <string.h>

#define PEER_QUIET_US	  100000
#define PEER_PING_WAIT_US 150000
#define PEER_IDLE_MAX_US  30000000
#define PEER_BYTES_PER_S  1000000
#define PEER_USEC_PER_SEC 1000000
#define PEER_UNHEARD_MAX  2

const struct peer_settings peer_default_settings = {
	.quiet_us = PEER_QUIET_US,
	.ping_wait_us = PEER_PING_WAIT_US,
	.bytes_per_s = PEER_BYTES_PER_S,
	.idle_max_us = PEER_IDLE_MAX_US,
};

/* Moves the link along its chart. An event that the chart does not define in the present state, as
 * a message from a closed connection, changes nothing. */
static void peer_move(struct peer *peer, enum connection_input input)
{
	uint32_t next;

	if (chart_next(CHART_CONNECTION, peer->state, input, &next, NULL) == 0)
		peer->state = (uint8_t)next;
}

/* Starts a link of a kind that has never been open. */
void peer_init(struct peer *peer, enum link_kind kind)
{
	memset(peer, 0, sizeof(*peer));
	peer->kind = (uint8_t)kind;
	peer->state = PEER_CLOSED;
}

/* Notes that a connection was opened, anew or in place of one; returns its epoch, which is higher
 * than that of every earlier one. */
uint32_t peer_opened(struct peer *peer, uint64_t now_us)
{
	uint32_t nth = peer->epoch / LINK_KIND_COUNT + 1;

	peer->epoch = link_epoch((enum link_kind)peer->kind, nth);
	peer_move(peer, CONNECTION_INPUT_OPENED);
	peer->heard_us = now_us;
	peer->used_us = now_us;
	peer->waits_us = now_us;
	peer->refused_us = 0;
	peer->unheard++;
	return peer->epoch;
}

/* Notes that the connection was closed and not replaced. */
void peer_closed(struct peer *peer)
{
	peer_move(peer, CONNECTION_INPUT_CLOSED);
}

/* Notes a message from the gate over the present connection. */
void peer_heard(struct peer *peer, uint64_t now_us)
{
	peer->heard_us = now_us;
	peer->unheard = 0;
	peer->refused_us = 0;
	peer->is_doubtful = false;
	peer_move(peer, CONNECTION_INPUT_HEARD);
}

/* Notes that an attempt was sent; an answer is due. */
void peer_attempt_sent(struct peer *peer, uint64_t now_us)
{
	if (peer->outstanding == 0)
		peer->waits_us = now_us;
	peer->outstanding++;
	peer->used_us = now_us;
}

/* Notes a large body that passes over the link either way. A ping waits behind it, so that silence
 * may last longer by the time that the body takes. */
void peer_transfer(struct peer *peer, const struct peer_settings *settings, uint64_t bytes)
{
	peer->transfer_us += bytes * PEER_USEC_PER_SEC / settings->bytes_per_s;
}

/* Notes that an attempt's answer is no longer due. */
void peer_attempt_done(struct peer *peer)
{
	if (peer->outstanding > 0)
		peer->outstanding--;
	if (peer->outstanding == 0)
		peer->transfer_us = 0;
}

/* Tells whether the link must be replaced (or first opened) before it carries an attempt. */
enum peer_action peer_before_use(const struct peer *peer, const struct peer_settings *settings,
				 uint64_t now_us)
{
	if (peer->state == PEER_CLOSED)
		return PEER_REPLACE;
	if (peer->outstanding == 0 && now_us >= peer->used_us + settings->idle_max_us)
		return PEER_REPLACE;
	return PEER_NOTHING;
}

/* Gives the time from which the present silence counts, in microseconds. */
static uint64_t peer_silent_since_us(const struct peer *peer)
{
	return peer->heard_us > peer->waits_us ? peer->heard_us : peer->waits_us;
}

/* Tells whether this process slept through the wait for the answer to its ping, which may then
 * have been answered without being read yet. */
static bool peer_overslept(const struct peer *peer, const struct peer_settings *settings,
			   uint64_t now_us)
{
	return now_us >= peer->pinged_us + peer->transfer_us + 2 * settings->ping_wait_us;
}

/* Tells what is due now: a ping after silence, a replacement after an unanswered ping. */
enum peer_action peer_tick(struct peer *peer, const struct peer_settings *settings, uint64_t now_us)
{
	if (now_us < peer_next_due_us(peer, settings))
		return PEER_NOTHING;
	if (peer->state == PEER_PINGED && !peer_overslept(peer, settings, now_us))
		return PEER_REPLACE;
	peer_move(peer, CONNECTION_INPUT_QUIET);
	peer->pinged_us = now_us;
	peer->used_us = now_us;
	return PEER_PING;
}

/* Notes that the socket took no message. */
void peer_refused(struct peer *peer, uint64_t now_us)
{
	if (peer->refused_us == 0)
		peer->refused_us = now_us;
}

/* Tells whether the connection must be gone. A doubtful one is tried anew now and then, since no
 * attempt goes out on it that would. */
bool peer_seems_lost(const struct peer *peer, const struct peer_settings *settings, uint64_t now_us)
{
	if (peer->state == PEER_CLOSED)
		return false;
	if (peer->is_doubtful &&
	    now_us >= peer->heard_us + settings->quiet_us + settings->ping_wait_us)
		return true;
	return peer->refused_us > 0 && now_us >= peer->refused_us + settings->quiet_us;
}

/* Tells what to do when the connection turns out to be gone. One that carried an answer was reset
 * on the way, or its gate has ended: another one tells which. If that is lost too before anything
 * came over it, silence takes its time, so that a gate that is gone is not called in a loop. */
enum peer_action peer_lost(struct peer *peer)
{
	if (peer->state == PEER_CLOSED)
		return PEER_NOTHING;
	peer->is_doubtful = true;
	return peer->unheard == 0 ? PEER_REPLACE : PEER_NOTHING;
}

/* Tells whether an attempt had better go elsewhere. */
bool peer_is_doubtful(const struct peer *peer)
{
	return peer->is_doubtful;
}

/* Tells whether new connections do not help: nothing came over the latest ones. */
bool peer_is_unreachable(const struct peer *peer)
{
	return peer->unheard > PEER_UNHEARD_MAX;
}

/* Gives the time of the next action, UINT64_MAX when none is due. */
uint64_t peer_next_due_us(const struct peer *peer, const struct peer_settings *settings)
{
	if (peer->state == PEER_CLOSED || peer->outstanding == 0)
		return UINT64_MAX;
	if (peer->state == PEER_PINGED)
		return peer->pinged_us + settings->ping_wait_us + peer->transfer_us;
	return peer_silent_since_us(peer) + settings->quiet_us;
}
