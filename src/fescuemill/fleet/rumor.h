/*
 * Rumors: the members whose latest news is still being passed on, and how often yet.
 */
#ifndef FESCUEMILL_FLEET_RUMOR_H
#define FESCUEMILL_FLEET_RUMOR_H

#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"

#define RUMORS_MAX 1024

struct rumor {
	uint64_t node_id;
	uint16_t sends_left;
	bool whole;
};

struct rumor_list {
	uint32_t count;
	struct rumor items[RUMORS_MAX];
};

/* How often each node passes on one piece of news in a fleet of a size. */
uint16_t rumor_sends(size_t members);
void rumor_add(struct rumor_list *list, uint64_t node_id, bool whole, uint16_t sends);
/* Fills a packet's news with the least sent rumors that fit. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet);
/* Counts the news of a packet that was really sent. */
void rumor_count_sent(struct rumor_list *list, const struct gossip_packet *packet);
bool rumor_is_empty(const struct rumor_list *list);

#endif
