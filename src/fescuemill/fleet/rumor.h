/*
 * Rumors: the members whose latest news is still being passed on, and how often yet.
 */
#ifndef FESCUEMILL_FLEET_RUMOR_H
#define FESCUEMILL_FLEET_RUMOR_H

#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"

#define RUMORS_MAX	 1024
#define RUMORS_BRIEF_MAX 16 /* when more changes of state wait, they go as fingerprints */

/* What a receiver needs, from the least on. */
enum rumor_form {
	RUMOR_STATE, /* only the state changed: a fingerprint is enough */
	RUMOR_BRIEF,
	RUMOR_WHOLE,
};

struct rumor {
	uint64_t node_id;
	uint16_t sends_left;
	enum rumor_form form;
	bool in_packet; /* the last packet that was filled has it */
};

struct rumor_list {
	uint32_t count;
	struct rumor items[RUMORS_MAX];
};

/* How often each node passes on one piece of news in a fleet of a size. */
uint16_t rumor_sends(size_t members);
void rumor_add(struct rumor_list *list, uint64_t node_id, enum rumor_form form, uint16_t sends);
/* Fills a packet's news with the least sent rumors that fit. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet);
/* Counts the news of the packet that was last filled as really sent. */
void rumor_count_sent(struct rumor_list *list);
bool rumor_is_empty(const struct rumor_list *list);
/* Whether more changes of state wait than a packet should take in brief. */
bool rumor_is_crowded(const struct rumor_list *list);

#endif
