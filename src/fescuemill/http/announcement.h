/*
 * Announcement: what the backend server beside this node said of itself last.
 */
#ifndef FESCUEMILL_HTTP_ANNOUNCEMENT_H
#define FESCUEMILL_HTTP_ANNOUNCEMENT_H

#include "fescuemill/fleet/member_defs.h"

#define INSTANCE_NAME_BYTES 64

/* All zero with BACKEND_NONE once its lease ended. */
struct announcement {
	char service[SERVICE_NAME_BYTES];
	char instance[INSTANCE_NAME_BYTES]; /* one start of the backend server; empty: not stated */
	uint32_t ip;			    /* 0: the loopback address */
	uint16_t port;
	uint32_t slots;
	uint32_t warm_up_ms; /* how much longer it stays slow after its start */
	uint64_t started_ms; /* wall time of its start, by its own clock; 0: not stated */
	uint64_t sequence;   /* rises with each announcement of one start; 0: not stated */
	enum backend_state state;
	bool is_partial; /* only instance and state are stated; the rest stays as it was */
};

/* How an announcement relates to what was announced before. */
enum announcement_order {
	ANNOUNCEMENT_NEXT,	/* of the same start, and newer */
	ANNOUNCEMENT_NEW_START, /* of a later start of the backend server */
	ANNOUNCEMENT_STALE,	/* overtaken on its way, or of an earlier start */
};

enum announcement_order announcement_order_of(const struct announcement *before,
					      const struct announcement *news);
/* Fills what a partial announcement leaves out from the one before. */
void announcement_complete(struct announcement *news, const struct announcement *before);

#endif
