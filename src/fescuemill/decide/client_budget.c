/*
 * Client budget: judges the connections of clients by what they do and what they hold.
 */
#include "fescuemill/decide/client_budget.h"

#include <string.h>

/* Progress counts as worth the memory that a connection holds when this part of it has moved: a
 * client that sends a byte now and then holds its buffer as long as one that sends nothing. */
#define MARK_DIVISOR   64
#define MARK_BYTES_MIN 4096

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
