/*
 * Announcement: the state that the local backend server reports, and the order of such reports.
 */
#ifndef FESCUEMILL_HTTP_ANNOUNCEMENT_H
#define FESCUEMILL_HTTP_ANNOUNCEMENT_H

#include "fescuemill/fleet/member_defs.h"

#define INSTANCE_NAME_BYTES 64

/* The announced state of the backend server; all zero, with state BACKEND_NONE, once the lease has
 * expired. An instance is one run of the backend server: each restart makes a new one. */
struct announcement {
	char service[SERVICE_NAME_BYTES];
	char instance[INSTANCE_NAME_BYTES]; /* name of the instance; empty: not stated */
	uint32_t ip;			    /* 0: the loopback address */
	uint16_t port;
	uint32_t slots;	     /* calls that the backend server can run at once */
	bool states_cold;    /* cold_ms is stated */
	uint32_t cold_ms;    /* how long the instance remains cold; 0: it is warm */
	uint64_t started_ms; /* wall time when the instance started, by its clock; 0: not stated */
	uint64_t sequence;   /* rises with each announcement of an instance; 0: not stated */
	enum backend_state state;
	bool is_partial; /* only instance and state are stated; other values are unchanged */
};

/* Order of an announcement relative to the latest accepted one. */
enum announcement_order {
	ANNOUNCEMENT_NEWER,	/* newer, from the same instance */
	ANNOUNCEMENT_NEW_START, /* from an instance that started later */
	ANNOUNCEMENT_STALE,	/* arrived after a newer one, or from an earlier instance */
};

enum announcement_order announcement_compare(const struct announcement *before,
					     const struct announcement *update);
/* Fills the values missing in a partial announcement from the one before. */
void announcement_fill_partial(struct announcement *update, const struct announcement *before);

#endif
