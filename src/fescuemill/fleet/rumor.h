/*
 * Rumors: the members whose latest update is still being spread, and how often it is yet to be
 * sent.
 */
#ifndef FESCUEMILL_FLEET_RUMOR_H
#define FESCUEMILL_FLEET_RUMOR_H

#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"

#define RUMORS_MAX	   1024
#define RUMORS_FULL_MAX	   32 /* above this number, full records are sent less often */
#define RUMORS_COMPACT_MAX 16 /* above this number, changes of state are sent as fingerprints */

/* What an update must contain for its receivers, least first. */
enum rumor_form {
	RUMOR_STATE,   /* only the state or revision changed: a fingerprint is enough */
	RUMOR_COMPACT, /* more changed than a fingerprint can express: a compact update */
	RUMOR_FULL,    /* the service, names or addresses may be new: a full update */
};

struct rumor {
	uint64_t node_id;
	uint16_t sends_left;
	enum rumor_form form;
	bool in_packet; /* included in the packet that was filled last */
};

struct rumor_list {
	uint32_t count;
	struct rumor items[RUMORS_MAX];
};

/* Returns how often each node sends one update in a fleet of this many members. */
uint16_t rumor_send_count(size_t members);
void rumor_add(struct rumor_list *list, uint64_t node_id, enum rumor_form form, uint16_t sends);
/* Fills a packet with updates: the rumors that fit, those with the most sends left first. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet);
/* Records that the packet that was filled last was sent. */
void rumor_record_sent(struct rumor_list *list);
bool rumor_is_empty(const struct rumor_list *list);
/* Returns true if more than RUMORS_COMPACT_MAX changes of state are pending. */
bool rumor_has_backlog(const struct rumor_list *list);

#endif
