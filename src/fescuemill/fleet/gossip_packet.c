/*
 * Gossip, sending: builds packets in place, charges them to the budget and passes them to the
 * socket.
 */
#include "fescuemill/fleet/gossip_codec.h"
#include "fescuemill/fleet/gossip_state.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <string.h>

/* Returns true if a packet to a member crosses a link between regions. */
static bool crosses_link(const struct gossip *gsp, const struct member *to)
{
	return strcmp(gsp->self.region, to->region) != 0;
}

/* Returns the address at which this node reaches a member: from another region the external
 * address, if the member has one. */
static const struct node_address *address_of(const struct gossip *gsp, const struct member *to)
{
	bool external = crosses_link(gsp, to) && to->external.gossip_port;

	return external ? &to->external : &to->internal;
}

/* Clears the packet and fills in the envelope, which every kind has. */
void gossip_packet_start(struct gossip *gsp, enum gossip_kind kind, uint32_t seq)
{
	struct gossip_packet *packet = &gsp->packet;

	digest_update(&gsp->digest, gsp->members);
	memset(packet, 0, offsetof(struct gossip_packet, updates));
	packet->kind = kind;
	packet->seq = seq;
	packet->sender = gsp->self.identity;
	packet->config_version = gsp->config_version;
	packet->table_hash = gsp->digest.total;
	gossip_fill_evacuations(gsp);
}

/* Encodes the packet and returns its size, or 0 on failure. A packet that does not fit is a bug in
 * the caller. */
static size_t encode(struct gossip *gsp, uint8_t *data)
{
	struct error err;
	size_t size;

	if (gossip_encode(&gsp->packet, data, &size, &err) == 0)
		return size;
	/* A packet full of updates has no room for the proof, which the next one can carry. */
	if (gsp->packet.proof.is_set) {
		gsp->packet.proof.is_set = false;
		return encode(gsp, data);
	}
	log_failure(LOG_ERROR, LOG_PART_GOSSIP, "A gossip packet could not be encoded.", &err);
	return 0;
}

/* Sends the packet to a member if the budget allows it; returns true if it was sent. */
bool gossip_packet_send(struct gossip *gsp, const struct member *to, uint64_t now_us)
{
	const struct node_address *address = address_of(gsp, to);
	uint8_t data[GOSSIP_PACKET_BYTES];
	size_t size = encode(gsp, data);
	uint32_t cost = (uint32_t)size + BUDGET_PACKET_HEADER_BYTES;

	if (!size || !budget_take(gsp->budget, cost, crosses_link(gsp, to), now_us))
		return false;
	gsp->io.send(gsp->io.user, address->ip, address->gossip_port, data, size);
	return true;
}

/* Sends the packet to an address and charges the budget, even if it is used up. If an ack had to
 * wait for the budget, this node would look dead. */
void gossip_packet_send_charged(struct gossip *gsp, uint32_t ip, uint16_t port, bool crosses,
				uint64_t now_us)
{
	uint8_t data[GOSSIP_PACKET_BYTES];
	size_t size = encode(gsp, data);

	if (!size)
		return;
	budget_charge(gsp->budget, (uint32_t)size + BUDGET_PACKET_HEADER_BYTES, crosses, now_us);
	gsp->io.send(gsp->io.user, ip, port, data, size);
}

/* Sends a packet with as many pending updates as fit. */
bool gossip_send_kind(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
		      uint32_t seq, uint64_t now_us)
{
	gossip_packet_start(gsp, kind, seq);
	rumor_fill(&gsp->rumors, gsp->members, &gsp->packet);
	if (!gossip_packet_send(gsp, to, now_us))
		return false;
	rumor_record_sent(&gsp->rumors);
	return true;
}

/* Sends a member the state that this node has recorded for it, so that it can refute it. */
bool gossip_send_known_state(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
			     uint64_t now_us)
{
	gossip_packet_start(gsp, kind, 0);
	gsp->packet.updates[0].is_full_record = false;
	gsp->packet.updates[0].member = *to;
	gsp->packet.update_count = 1;
	return gossip_packet_send(gsp, to, now_us);
}

/* Sends gsp->packet to a member that can be reached, and adds the bytes spent to a counter. */
static bool send_counted(struct gossip *gsp, const struct member *to, enum counter spent,
			 uint64_t now_us)
{
	uint64_t spent_bytes = gsp->budget->node.spent_bytes;

	if (!gossip_packet_send(gsp, to, now_us))
		return false;
	counter_add(spent, gsp->budget->node.spent_bytes - spent_bytes);
	return true;
}

/* Returns a member that packets can be sent to, or NULL. */
static const struct member *find_reachable(const struct gossip *gsp, uint64_t node_id)
{
	const struct member *to = member_find(gsp->members, node_id);

	if (!to || to->state == MEMBER_DEAD || !gossip_region_is_reachable(gsp, to->region))
		return NULL;
	return to;
}

/* Sends demand reports to a member and counts the bytes spent on them. */
bool gossip_send_demand(struct gossip *gsp, uint64_t node_id, const uint8_t *data, size_t size,
			uint64_t now_us)
{
	const struct member *to = find_reachable(gsp, node_id);

	if (!to)
		return false;
	gossip_packet_start(gsp, GOSSIP_DEMAND, 0);
	gsp->packet.demand.data = data;
	gsp->packet.demand.size = (uint32_t)size;
	return send_counted(gsp, to, COUNTER_DEMAND_SPENT, now_us);
}

/* Sends an allotment message to a member and counts the bytes spent on it. */
bool gossip_send_allotment(struct gossip *gsp, uint64_t node_id, const uint8_t *data, size_t size,
			   uint64_t now_us)
{
	const struct member *to = find_reachable(gsp, node_id);

	if (!to)
		return false;
	gossip_packet_start(gsp, GOSSIP_ALLOTMENT, 0);
	gsp->packet.allotment.data = data;
	gsp->packet.allotment.size = (uint32_t)size;
	return send_counted(gsp, to, COUNTER_ALLOTMENT_SPENT, now_us);
}

/* Sends a message of requests that ran when servers ended, and counts the bytes spent on it. */
bool gossip_send_crashes(struct gossip *gsp, const struct member *to, const uint8_t *data,
			 size_t size, uint64_t now_us)
{
	gossip_packet_start(gsp, GOSSIP_CRASHES, 0);
	gsp->packet.crashes.data = data;
	gsp->packet.crashes.size = (uint32_t)size;
	return send_counted(gsp, to, COUNTER_CRASH_SPENT, now_us);
}
