/*
 * Pipe: a queue of packets for each direction, in order of their delivery times.
 */
#include "standin/link/pipe.h"

#include "fescuemill/base/clock.h"

#include <stdlib.h>

#define UDP_WAIT_US_MAX 500000 /* UDP packets that the rate would delay longer are dropped */

struct packet {
	struct packet *next;
	uint64_t at_us; /* monotonic time of its delivery */
	enum pipe_kind kind;
	char *data;
	size_t bytes;
	pipe_deliver deliver;
	void *receiver;
};

struct direction {
	uv_timer_t timer;
	struct packet *first;
	struct packet **last;
	uint64_t busy_until_us; /* monotonic time when all packets are sent at the link's rate */
	struct pipe_counts counts;
};

static struct {
	uint64_t delay_us;
	double rate_mbit;
	bool is_cut;
	struct direction directions[2];
} pipes;

/* Delivers all packets that are due, and sets the timer for the next one. */
static void deliver_due(uv_timer_t *timer)
{
	struct direction *dir = timer->data;
	uint64_t now_us = clock_monotonic_us();

	while (dir->first && dir->first->at_us <= now_us && !pipes.is_cut) {
		struct packet *packet = dir->first;

		dir->first = packet->next;
		if (!dir->first)
			dir->last = &dir->first;
		packet->deliver(packet->receiver, packet->data, packet->bytes);
		free(packet);
	}
	if (dir->first && !pipes.is_cut) {
		uint64_t wait_us = dir->first->at_us > now_us ? dir->first->at_us - now_us : 0;

		uv_update_time(timer->loop);
		uv_timer_start(timer, deliver_due, (wait_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC,
			       0);
	}
}

/* Initializes both directions, each with a one-way delay and a rate in Mbit/s. */
void pipe_init(uv_loop_t *loop, uint64_t delay_ms, double rate_mbit)
{
	pipe_set(delay_ms, rate_mbit);
	for (int i = 0; i < 2; i++) {
		uv_timer_init(loop, &pipes.directions[i].timer);
		pipes.directions[i].timer.data = &pipes.directions[i];
		pipes.directions[i].last = &pipes.directions[i].first;
	}
}

/* Sets the delay and the rate of packets that are sent from now on. */
void pipe_set(uint64_t delay_ms, double rate_mbit)
{
	pipes.delay_us = delay_ms * USEC_PER_MSEC;
	pipes.rate_mbit = rate_mbit;
}

/*
 * Cuts the link or restores it. While it is cut, queued packets wait, as TCP would retransmit them,
 * and new UDP packets are dropped.
 */
void pipe_set_cut(bool is_cut)
{
	pipes.is_cut = is_cut;
	for (int i = 0; i < 2 && !is_cut; i++)
		deliver_due(&pipes.directions[i].timer);
}

/* Returns true if the link is cut. */
bool pipe_is_cut(void)
{
	return pipes.is_cut;
}

/*
 * Sends a packet in a direction (0 or 1) and takes ownership of its data. Returns false for a UDP
 * packet that was dropped.
 */
bool pipe_send(int direction, enum pipe_kind kind, char *data, size_t bytes, pipe_deliver deliver,
	       void *receiver)
{
	struct direction *dir = &pipes.directions[direction];
	uint64_t now_us = clock_monotonic_us();
	uint64_t start_us = dir->busy_until_us > now_us ? dir->busy_until_us : now_us;
	struct packet *packet;

	if (kind == PIPE_UDP && (pipes.is_cut || start_us - now_us > UDP_WAIT_US_MAX)) {
		dir->counts.dropped++;
		free(data);
		return false;
	}
	dir->busy_until_us = start_us + (uint64_t)((double)bytes * 8 / pipes.rate_mbit);
	dir->counts.bytes[kind] += bytes;
	dir->counts.packets[kind]++;
	packet = calloc(1, sizeof(*packet));
	*packet = (struct packet){
		NULL, dir->busy_until_us + pipes.delay_us, kind, data, bytes, deliver, receiver};
	*dir->last = packet;
	dir->last = &packet->next;
	if (dir->first == packet)
		deliver_due(&dir->timer);
	return true;
}

/* Returns the traffic counts of a direction. */
const struct pipe_counts *pipe_counts_of(int direction)
{
	return &pipes.directions[direction].counts;
}
