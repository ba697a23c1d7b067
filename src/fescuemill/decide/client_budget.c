/*
 * Client budget: judges the connections of clients by what they do and what they hold.
 */
#include "fescuemill/decide/client_budget.h"

#include <string.h>

/* Progress counts as worth the memory that a connection holds when this part of it has moved: a
 * client that sends a byte now and then holds its buffer as long as one that sends nothing. */
#define MARK_DIVISOR   64
#define MARK_BYTES_MIN 4096

#define STALLED_MS	    500	  /* pauses of ordinary clients within a body are shorter */
#define SMALL_HELD_BYTES    32768 /* a connection that holds no more is not worth ending */
#define LONE_HOLDER_DIVISOR 4	  /* a holder is alone while all others hold this part at most */

static uint64_t distance(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

/* Starts the history of a connection that was just accepted. */
void client_track_start(struct client_track *track, uint64_t now_ms)
{
	memset(track, 0, sizeof(*track));
	track->since_ms = now_ms;
	track->moved_ms = now_ms;
	track->marked_ms = now_ms;
}

/* Adds a sample. Between two samples a connection may have gone through whole requests. */
void client_track_update(struct client_track *track, const struct client_sample *sample,
			 uint64_t now_ms)
{
	uint64_t mark_bytes = sample->held_bytes / MARK_DIVISOR;

	if (mark_bytes < MARK_BYTES_MIN)
		mark_bytes = MARK_BYTES_MIN;
	if (sample->phase != track->last.phase || sample->requests != track->last.requests) {
		track->since_ms = now_ms;
		track->moved_ms = now_ms;
		track->marked_ms = now_ms;
		track->marked_bytes = sample->moved_bytes;
	}
	if (sample->moved_bytes != track->last.moved_bytes)
		track->moved_ms = now_ms;
	if (distance(sample->moved_bytes, track->marked_bytes) >= mark_bytes) {
		track->marked_ms = now_ms;
		track->marked_bytes = sample->moved_bytes;
	}
	track->last = *sample;
}

/* Judges a connection by the rules alone. */
enum client_verdict client_judge(const struct client_track *track, const struct client_rules *rules,
				 uint64_t now_ms)
{
	switch (track->last.phase) {
	case CLIENT_IDLE:
		return now_ms - track->since_ms >= rules->idle_timeout_ms ? CLIENT_CLOSE
									  : CLIENT_KEEP;
	case CLIENT_HEAD:
		if (rules->header_bytes_max > 0 && track->last.head_bytes > rules->header_bytes_max)
			return CLIENT_HEAD_TOO_LARGE;
		return now_ms - track->since_ms >= rules->header_timeout_ms ? CLIENT_TIMED_OUT
									    : CLIENT_KEEP;
	case CLIENT_BODY:
		return now_ms - track->moved_ms >= rules->idle_timeout_ms ? CLIENT_TIMED_OUT
									  : CLIENT_KEEP;
	case CLIENT_ANSWER:
		return now_ms - track->moved_ms >= rules->idle_timeout_ms ? CLIENT_CLOSE
									  : CLIENT_KEEP;
	case CLIENT_RUNNING:
		break;
	}
	return CLIENT_KEEP;
}

static bool is_stalled(const struct client_track *track, uint64_t now_ms)
{
	return now_ms - track->marked_ms >= STALLED_MS;
}

/* Returns true if a connection may be ended to get memory back. */
bool client_may_release(const struct client_track *track, const struct client_totals *totals,
			uint64_t now_ms)
{
	const struct client_sample *last = &track->last;

	if (last->held_bytes <= SMALL_HELD_BYTES)
		return false;
	if (totals->held_bytes - last->held_bytes <= totals->held_bytes_max / LONE_HOLDER_DIVISOR)
		return false;
	switch (last->phase) {
	case CLIENT_HEAD:
	case CLIENT_BODY:
		return true;
	case CLIENT_ANSWER:
		return is_stalled(track, now_ms);
	case CLIENT_IDLE:
	case CLIENT_RUNNING:
		break;
	}
	return false;
}

/* Returns true if a is to be ended before b when memory is short: the one without progress; of two
 * of them the one that has held more bytes for longer; of two that make progress the one that began
 * last, so that work in progress gets done. */
bool client_is_worse_holder(const struct client_track *a, const struct client_track *b,
			    uint64_t now_ms)
{
	bool is_a_stalled = is_stalled(a, now_ms);

	if (is_a_stalled != is_stalled(b, now_ms))
		return is_a_stalled;
	if (!is_a_stalled)
		return a->since_ms > b->since_ms;
	return a->last.held_bytes * (now_ms - a->marked_ms) >
	       b->last.held_bytes * (now_ms - b->marked_ms);
}

/* Returns true if a connection may be ended to get its descriptor back. */
bool client_may_disconnect(const struct client_track *track, uint64_t now_ms)
{
	switch (track->last.phase) {
	case CLIENT_RUNNING:
		return false;
	case CLIENT_ANSWER:
		return is_stalled(track, now_ms);
	default:
		return true;
	}
}

/* Returns the place of a connection in the order in which descriptors are taken back: first those
 * that have not sent a whole request. */
static uint32_t disconnect_order(const struct client_track *track)
{
	switch (track->last.phase) {
	case CLIENT_HEAD:
		return 0;
	case CLIENT_IDLE:
		return track->last.requests == 0 ? 0 : 3;
	case CLIENT_BODY:
		return 1;
	default:
		return 2;
	}
}

/* Returns true if a is to be ended before b when descriptors are short. */
bool client_is_worse_connection(const struct client_track *a, const struct client_track *b)
{
	uint32_t order_a = disconnect_order(a);
	uint32_t order_b = disconnect_order(b);

	return order_a != order_b ? order_a < order_b : a->marked_ms < b->marked_ms;
}
