/*
 * Attempt types that the entry side and the gate side share.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_DEFS_H
#define FESCUEMILL_DECIDE_ATTEMPT_DEFS_H

#include "fescuemill/decide/call_defs.h"

/* The kinds of links from an entry to one gate. The lowest bit of an epoch states the kind, so
 * that the two kinds rise independently. */
enum link_kind {
	LINK_CALLS,
	LINK_BULK,
	LINK_KIND_COUNT,
};

/* Gives the epoch of the nth connection (from 1) of a kind. */
static inline uint32_t link_epoch(enum link_kind kind, uint32_t nth)
{
	return nth * LINK_KIND_COUNT + (uint32_t)kind;
}

/* Gives the kind of link that an epoch belongs to. */
static inline enum link_kind link_kind_of(uint32_t epoch)
{
	return (enum link_kind)(epoch % LINK_KIND_COUNT);
}

#endif
