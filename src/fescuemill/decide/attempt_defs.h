/*
 * Types shared by the entry's and the gate's handling of attempts.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_DEFS_H
#define FESCUEMILL_DECIDE_ATTEMPT_DEFS_H

#include "fescuemill/decide/call_defs.h"

/* Kinds of connections from an entry to one gate. Each connection has an epoch, a number that grows
 * with every reconnect. The lowest bit of an epoch is the kind, so that the epochs of the two kinds
 * grow independently. */
enum link_kind {
	LINK_CALLS, /* calls with small bodies, and their replies */
	LINK_BULK,  /* calls with large bodies, and large answers that the entry fetches */
	LINK_KIND_COUNT,
};

/* Returns the epoch of the nth connection of a kind, counted from 1. */
static inline uint32_t link_epoch(enum link_kind kind, uint32_t nth)
{
	return nth * LINK_KIND_COUNT + (uint32_t)kind;
}

/* Returns the kind of the connection that has this epoch. */
static inline enum link_kind link_kind_of(uint32_t epoch)
{
	return (enum link_kind)(epoch % LINK_KIND_COUNT);
}

#endif
