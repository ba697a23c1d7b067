/*
 * Gossip of evacuations. Each packet carries the orders in force and the recent withdrawals, so any
 * packet of a node that knows an order repairs a node that does not. A change is pushed at once.
 */
#include "fescuemill/fleet/gossip_state.h"

/* Sets the table that is told to other nodes and changed by what they tell; NULL: none. */
void gossip_set_evacuations(struct gossip *gsp, struct evacuation_table *table)
{
	gsp->evacuations = table;
	gsp->evacuations_pushed = table ? table->revision : 0;
}

/* Returns true if what is in force has changed since the last call. It is then pushed to a few
 * members, as a change of the configuration is. */
bool gossip_evacuations_changed(struct gossip *gsp)
{
	if (!gsp->evacuations || gsp->evacuations->revision == gsp->evacuations_pushed)
		return false;
	gsp->evacuations_pushed = gsp->evacuations->revision;
	gsp->evacuation_sends_left = rumor_send_count(member_count(gsp->members));
	return true;
}

/* Adds what is known of evacuations to the packet. Demand reports may fill a packet, so they carry
 * none. */
void gossip_fill_evacuations(struct gossip *gsp)
{
	struct gossip_packet *packet = &gsp->packet;

	if (!gsp->evacuations || gsp->evacuations->count == 0 || packet->kind == GOSSIP_DEMAND)
		return;
	packet->evacuation_count =
		evacuation_tell(gsp->evacuations, packet->evacuations, gsp->tick_us);
}

/* Applies what the received packet tells of evacuations. */
void gossip_apply_evacuations(struct gossip *gsp, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;

	for (uint32_t i = 0; gsp->evacuations && i < packet->evacuation_count; i++)
		evacuation_apply(gsp->evacuations, &packet->evacuations[i], "gossip", now_us);
}
