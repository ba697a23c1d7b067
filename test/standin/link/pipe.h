/*
 * Pipe: the two directions of the link. All traffic of a direction shares one rate and one delay
 * and is delivered in the order in which it was sent.
 */
#ifndef STANDIN_LINK_PIPE_H
#define STANDIN_LINK_PIPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

enum pipe_kind {
	PIPE_TCP,
	PIPE_UDP,
	PIPE_KIND_COUNT,
};

/*
 * Delivers a packet at the other end. data is NULL for the end of a TCP stream, else the receiver
 * owns it and must free it.
 */
typedef void (*pipe_deliver)(void *receiver, char *data, size_t bytes);

struct pipe_counts {
	uint64_t bytes[PIPE_KIND_COUNT];
	uint64_t packets[PIPE_KIND_COUNT];
	uint64_t dropped; /* UDP packets that were dropped */
};

void pipe_init(uv_loop_t *loop, uint64_t delay_ms, double rate_mbit);
void pipe_set(uint64_t delay_ms, double rate_mbit);
void pipe_set_cut(bool is_cut);
bool pipe_is_cut(void);
bool pipe_send(int direction, enum pipe_kind kind, char *data, size_t bytes, pipe_deliver deliver,
	       void *receiver);
const struct pipe_counts *pipe_counts_of(int direction);

#endif
