/*
 * Gossip, receiving: applies updates to the member table, answers pings, and resolves differences
 * between tables bucket by bucket.
 */
#include "fescuemill/fleet/fingerprint.h"
#include "fescuemill/fleet/gossip_codec.h"
#include "fescuemill/fleet/gossip_state.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <string.h>

#define BUCKETS_PER_ANSWER	   8
#define BUCKETS_PER_BACKLOG_ANSWER 2 /* while many updates are pending and need the bytes */

/* Origin of a received packet. */
struct source {
	uint32_t ip;
	uint16_t port;
	const struct member *member; /* NULL: not in the member table */
	bool crosses_link;
};

/* Stores this node's own record in the member table and spreads it. */
void gossip_publish_self(struct gossip *gsp, enum rumor_form form)
{
	member_upsert(gsp->members, &gsp->self);
	rumor_add(&gsp->rumors, gsp->self.identity.node_id, form,
		  rumor_send_count(member_count(gsp->members)));
}

/* Raises this node's revision and spreads the new record. */
void gossip_raise_revision(struct gossip *gsp)
{
	gsp->self.revision++;
	gossip_publish_self(gsp, RUMOR_STATE);
}

/* Returns true if two records have the same address, so that their processes cannot run at the same
 * time. */
static bool same_address(const struct member *a, const struct member *b)
{
	return a->internal.ip == b->internal.ip &&
	       a->internal.gossip_port == b->internal.gossip_port;
}

/* Raises the own incarnation above that of an earlier process at this address, which started while
 * the clock was ahead. Otherwise all members would take this process for the earlier one. While the
 * owner of the gossip does not allow it, nothing changes; the other members keep sending the
 * earlier record, so that this is tried again. */
static void take_later_incarnation(struct gossip *gsp, const struct member *earlier)
{
	uint64_t incarnation = earlier->identity.incarnation + 1;

	if (gsp->io.allow_new_incarnation &&
	    !gsp->io.allow_new_incarnation(gsp->io.user, incarnation))
		return;
	gsp->self.identity.incarnation = incarnation;
	log_write(LOG_WARNING, LOG_PART_GOSSIP,
		  "An earlier process had its clock ahead; this process now uses a later "
		  "incarnation.",
		  "incarnation=%llu", (unsigned long long)gsp->self.identity.incarnation);
	gossip_publish_self(gsp, RUMOR_FULL);
}

/* Handles a full record with a later incarnation of this node. Its address shows whether the record
 * is of an earlier process at this address or of another process under the same name. */
static void handle_later_self(struct gossip *gsp, const struct member *update)
{
	if (same_address(update, &gsp->self)) {
		take_later_incarnation(gsp, update);
		return;
	}
	if (!gsp->superseded)
		log_write(LOG_ERROR, LOG_PART_GOSSIP,
			  "Another process at a different address uses this node's name.",
			  "incarnation=%llu", (unsigned long long)update->identity.incarnation);
	gsp->superseded = true;
}

/* Refutes a state that other nodes announce for this node by raising its revision, since only the
 * node itself decides its state. */
static void refute(struct gossip *gsp, const struct member *update)
{
	const struct member *self = &gsp->self;

	if (update->identity.incarnation < self->identity.incarnation ||
	    update->revision < self->revision)
		return;
	if (update->revision == self->revision && update->state == self->state)
		return;
	gsp->self.revision = update->revision;
	gossip_raise_revision(gsp);
}

/* Returns the form in which to spread an update to members that have the same known record as this
 * node had. */
static enum rumor_form rumor_form_of(const struct member *known, const struct member *update,
				     bool is_full_record)
{
	if (is_full_record)
		return RUMOR_FULL;
	return known && fingerprint_can_follow(known, update) ? RUMOR_STATE : RUMOR_COMPACT;
}

/* Returns true if the update only declares a suspect dead that did not refute in time. It need not
 * be spread, as every member that knows of the suspicion reaches the timeout at about the same
 * time. */
static bool is_suspicion_timeout(const struct member *known, const struct member *update)
{
	return known && known->state == MEMBER_SUSPECT && update->state == MEMBER_DEAD &&
	       known->identity.incarnation == update->identity.incarnation &&
	       known->revision == update->revision;
}

/* Stores an update in the member table, and spreads it if it was newer than the known record. */
enum member_change gossip_apply(struct gossip *gsp, const struct member *update,
				bool is_full_record, uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, update->identity.node_id);
	enum rumor_form form = rumor_form_of(known, update, is_full_record);
	bool is_timeout = is_suspicion_timeout(known, update);
	enum member_change change = member_upsert(gsp->members, update);

	if (change != MEMBER_ADDED && change != MEMBER_UPDATED)
		return change;
	suspicion_record(&gsp->suspicions, update->identity.node_id, update->state, now_us);
	if (!is_timeout)
		rumor_add(&gsp->rumors, update->identity.node_id, form,
			  rumor_send_count(member_count(gsp->members)));
	return change;
}

/* Adds a member to the list of full records to request from the sender. */
static void request_record(struct gossip *gsp, uint64_t node_id)
{
	if (gsp->packet.requested_count < GOSSIP_REQUESTED_MAX)
		gsp->packet.requested[gsp->packet.requested_count++] = node_id;
}

/* Returns true if a compact update belongs to a later incarnation or to another service than the
 * known record, so that the full record is needed. */
static bool needs_full_record(const struct member *known, const struct member *update)
{
	if (known->identity.incarnation != update->identity.incarnation)
		return known->identity.incarnation < update->identity.incarnation;
	return known->revision >> MEMBER_SERVICE_SHIFT < update->revision >> MEMBER_SERVICE_SHIFT;
}

/* Applies a compact update, with the names and addresses of the known record. Requests the full
 * record if there is no known record, or only one of an earlier incarnation or another service. */
static void apply_compact_update(struct gossip *gsp, const struct member *update, uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, update->identity.node_id);
	struct member merged;

	if (!known || needs_full_record(known, update)) {
		if (known || update->state != MEMBER_DEAD)
			request_record(gsp, update->identity.node_id);
		return;
	}
	merged = *known;
	merged.identity = update->identity;
	merged.revision = update->revision;
	merged.state = update->state;
	merged.backend = update->backend;
	merged.slots = update->slots;
	gossip_apply(gsp, &merged, false, now_us);
}

/* Applies the updates that were received as fingerprints. */
static void apply_fingerprints(struct gossip *gsp, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;
	struct fingerprint_set set;

	if (!packet->fingerprint_count)
		return;
	fingerprint_set_fill(&set, packet->fingerprints, packet->fingerprint_count);
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *known = member_at(gsp->members, i);
		struct member update;

		if (!fingerprint_set_match(&set, known, &update))
			continue;
		if (update.identity.node_id == gsp->self.identity.node_id)
			refute(gsp, &update);
		else
			gossip_apply(gsp, &update, false, now_us);
	}
}

/* Returns true if the update is about a later incarnation of this node. */
static bool is_later_self(const struct gossip *gsp, const struct member *update)
{
	return update->identity.node_id == gsp->self.identity.node_id &&
	       update->identity.incarnation > gsp->self.identity.incarnation;
}

/* Applies all updates of a packet and requests missing full records from the sender. */
static void apply_updates(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;

	gossip_packet_start(gsp, GOSSIP_RECORD_REQUEST, 0);
	for (uint32_t i = 0; i < packet->update_count; i++) {
		const struct member *update = &packet->updates[i].member;

		if (is_later_self(gsp, update) && packet->updates[i].is_full_record)
			handle_later_self(gsp, update);
		else if (is_later_self(gsp, update))
			request_record(gsp, update->identity.node_id);
		else if (update->identity.node_id == gsp->self.identity.node_id)
			refute(gsp, update);
		else if (!packet->updates[i].is_full_record)
			apply_compact_update(gsp, update, now_us);
		else if (update->state != MEMBER_DEAD ||
			 member_find(gsp->members, update->identity.node_id))
			gossip_apply(gsp, update, true, now_us);
	}
	if (!from->member || from->member->identity.incarnation < packet->sender.incarnation)
		request_record(gsp, packet->sender.node_id);
	if (gsp->packet.requested_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Adds an update about a member to the packet. If the packet is full, sends it first and starts a
 * new one. */
static void add_update(struct gossip *gsp, const struct source *to, const struct member *member,
		       bool is_full_record, size_t *room, uint64_t now_us)
{
	struct gossip_update update = {.is_full_record = is_full_record, .member = *member};
	size_t bytes = gossip_update_bytes(&update);

	if (bytes > *room || gsp->packet.update_count == GOSSIP_UPDATES_MAX) {
		gossip_packet_send_charged(gsp, to->ip, to->port, to->crosses_link, now_us);
		gossip_packet_start(gsp, gsp->packet.kind, 0);
		*room = gossip_update_room(&gsp->packet);
	}
	gsp->packet.updates[gsp->packet.update_count++] = update;
	*room -= bytes;
}

/* Adds a compact update about a member to the packet, which must have room for it. */
static void add_compact_update(struct gossip *gsp, const struct member *member)
{
	struct gossip_update *update = &gsp->packet.updates[gsp->packet.update_count++];

	update->is_full_record = false;
	update->member = *member;
}

/* Answers a ping. If the sender is suspect or dead in this node's table, the ack contains that
 * record, so that the sender can refute it. It also contains this node's own record, since the
 * sender may have marked this node as suspect or dead in turn. */
static void answer_ping(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	const struct member *sender = from->member;

	gossip_packet_start(gsp, GOSSIP_ACK, gsp->received.seq);
	if (sender && (sender->state == MEMBER_SUSPECT || sender->state == MEMBER_DEAD)) {
		add_compact_update(gsp, sender);
		add_compact_update(gsp, &gsp->self);
	} else {
		rumor_fill(&gsp->rumors, gsp->members, &gsp->packet);
		rumor_record_sent(&gsp->rumors);
	}
	if (gsp->io.proof_tell)
		gsp->io.proof_tell(gsp->io.user, &gsp->packet.proof);
	gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Passes on what an ack tells of the configuration, if it answers a ping of this node. */
static void hear_proof(struct gossip *gsp)
{
	const struct probe *probe = probe_find(&gsp->probes, gsp->received.seq);

	if (probe && probe->asked_us && gsp->io.proof_hear)
		gsp->io.proof_hear(gsp->io.user, &gsp->received.proof, probe->asked_us);
}

/* Ends the probe that an ack answers. If the ping was sent on behalf of another node, forwards the
 * ack to it. */
static void handle_ack(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	struct relay relay;

	hear_proof(gsp);
	if (!probe_end(&gsp->probes, gsp->received.seq, &relay))
		return;
	gossip_packet_start(gsp, GOSSIP_ACK, relay.origin_seq);
	gossip_packet_send_charged(gsp, relay.origin_ip, relay.origin_port, from->crosses_link,
				   now_us);
}

/* Pings a target on behalf of another node. */
static void relay_ping(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	const struct member *target = member_find(gsp->members, gsp->received.target);
	uint32_t seq;

	if (!target)
		return;
	seq = probe_start_relay(&gsp->probes, gsp->received.seq, from->ip, from->port, now_us);
	gossip_packet_start(gsp, GOSSIP_PING, seq);
	gossip_packet_send(gsp, target, now_us);
}

/* Returns a bit mask of buckets that differ from the sender's: a limited number of them, searched
 * from a random bucket on. */
static uint64_t differing_buckets(struct gossip *gsp)
{
	uint32_t start = random_below(&gsp->rng, GOSSIP_BUCKETS);
	uint32_t limit =
		rumor_has_backlog(&gsp->rumors) ? BUCKETS_PER_BACKLOG_ANSWER : BUCKETS_PER_ANSWER;
	uint32_t found = 0;
	uint64_t mask = 0;

	for (uint32_t i = 0; i < GOSSIP_BUCKETS && found < limit; i++) {
		uint32_t bucket = (start + i) % GOSSIP_BUCKETS;

		if (gsp->digest.buckets[bucket] == gsp->received.buckets[bucket])
			continue;
		mask |= 1ULL << bucket;
		found++;
	}
	return mask;
}

/* Sends the members of buckets that differ, with full records for buckets that are empty at the
 * sender. */
static void answer_digest(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	uint64_t mask = differing_buckets(gsp);
	size_t room;

	if (!mask || !budget_take(gsp->budget, 0, from->crosses_link, now_us))
		return;
	gossip_packet_start(gsp, GOSSIP_BUCKET_RECORDS, 0);
	room = gossip_update_room(&gsp->packet);
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);
		uint32_t bucket = digest_bucket_of(member->identity.node_id);
		bool is_full_record = gsp->received.buckets[bucket] == 0;

		if (mask >> bucket & 1)
			add_update(gsp, from, member, is_full_record, &room, now_us);
	}
	gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Sends back the records of this node that are newer than the updates received. */
static void send_newer_records(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	size_t room;

	gossip_packet_start(gsp, GOSSIP_UPDATES, 0);
	room = gossip_update_room(&gsp->packet);
	for (uint32_t i = 0; i < gsp->received.update_count; i++) {
		const struct member *update = &gsp->received.updates[i].member;
		const struct member *known = member_find(gsp->members, update->identity.node_id);

		if (known && member_is_newer(known, update))
			add_update(gsp, from, known, false, &room, now_us);
	}
	if (gsp->packet.update_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Sends the full records that another node requested. */
static void answer_record_request(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	size_t room;

	gossip_packet_start(gsp, GOSSIP_UPDATES, 0);
	room = gossip_update_room(&gsp->packet);
	for (uint32_t i = 0; i < gsp->received.requested_count; i++) {
		const struct member *known = member_find(gsp->members, gsp->received.requested[i]);

		if (known)
			add_update(gsp, from, known, true, &room, now_us);
	}
	if (gsp->packet.update_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Compares the sender's table and version of the configuration with this node's. */
static void compare_with_sender(struct gossip *gsp, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;

	if (member_find(gsp->members, packet->sender.node_id))
		version_report_record(&gsp->version_reports, &packet->sender,
				      packet->config_version, now_us);
	if (packet->config_version > gsp->config_version && gsp->io.newer_config)
		gsp->io.newer_config(gsp->io.user, packet->sender.node_id, packet->config_version);
	if (packet->table_hash == gsp->digest.total)
		gsp->joined = true;
	else
		gsp->differing_peer = packet->sender.node_id;
}

/* Passes demand reports to the gossip's owner if the sender is a member. */
static void deliver_demand(struct gossip *gsp, const struct source *from)
{
	const struct wire_bytes *demand = &gsp->received.demand;

	counter_add(COUNTER_DEMAND_SPENT, gsp->received_bytes);
	if (from->member && gsp->io.demand)
		gsp->io.demand(gsp->io.user, from->member->identity.node_id, demand->data,
			       demand->size);
}

/* Passes an allotment message to the gossip's owner if the sender is a member. */
static void deliver_allotment(struct gossip *gsp, const struct source *from)
{
	const struct wire_bytes *allotment = &gsp->received.allotment;

	counter_add(COUNTER_ALLOTMENT_SPENT, gsp->received_bytes);
	if (from->member && gsp->io.allotment)
		gsp->io.allotment(gsp->io.user, from->member->identity.node_id, allotment->data,
				  allotment->size);
}

/* Passes a message of requests that ran when servers ended to the gossip's owner if the sender is a
 * member. */
static void deliver_crashes(struct gossip *gsp, const struct source *from)
{
	counter_add(COUNTER_CRASH_SPENT, gsp->received_bytes);
	if (from->member && gsp->io.crashes)
		gsp->io.crashes(gsp->io.user, gsp->received.crashes.data,
				gsp->received.crashes.size);
}

static void handle_kind(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	switch (gsp->received.kind) {
	case GOSSIP_PING:
		answer_ping(gsp, from, now_us);
		break;
	case GOSSIP_ACK:
		handle_ack(gsp, from, now_us);
		break;
	case GOSSIP_PING_REQUEST:
		relay_ping(gsp, from, now_us);
		break;
	case GOSSIP_DIGEST:
		answer_digest(gsp, from, now_us);
		break;
	case GOSSIP_RECORD_REQUEST:
		answer_record_request(gsp, from, now_us);
		break;
	case GOSSIP_DEMAND:
		deliver_demand(gsp, from);
		break;
	case GOSSIP_ALLOTMENT:
		deliver_allotment(gsp, from);
		break;
	case GOSSIP_CRASHES:
		deliver_crashes(gsp, from);
		break;
	case GOSSIP_BUCKET_RECORDS:
	case GOSSIP_UPDATES:
	case GOSSIP_KIND_END:
		break;
	}
}

/* Returns the origin of the received packet and whether it crossed a link between regions. */
static struct source source_of(const struct gossip *gsp, uint32_t ip, uint16_t port)
{
	struct source from = {.ip = ip, .port = port};

	from.member = member_find(gsp->members, gsp->received.sender.node_id);
	from.crosses_link = from.member && strcmp(from.member->region, gsp->self.region) != 0;
	return from;
}

/* Handles one received packet. Bad packets are counted and dropped. */
void gossip_receive(struct gossip *gsp, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t size, uint64_t now_us)
{
	struct source from;
	struct error err;

	if (gossip_decode(data, size, &gsp->received, &err)) {
		counter_add(COUNTER_GOSSIP_BAD_PACKETS, 1);
		log_failure(LOG_DEBUG, LOG_PART_GOSSIP, "A received gossip packet was rejected.",
			    &err);
		return;
	}
	if (gsp->received.sender.node_id == gsp->self.identity.node_id)
		return;
	from = source_of(gsp, ip, port);
	if (from.crosses_link)
		region_record_packet(&gsp->regions, from.member->region, now_us);
	gsp->received_bytes = (uint32_t)size + BUDGET_PACKET_HEADER_BYTES;
	budget_charge(gsp->budget, gsp->received_bytes, from.crosses_link, now_us);
	gossip_apply_evacuations(gsp, now_us);
	apply_updates(gsp, &from, now_us);
	apply_fingerprints(gsp, now_us);
	from = source_of(gsp, ip, port);
	digest_update(&gsp->digest, gsp->members);
	compare_with_sender(gsp, now_us);
	send_newer_records(gsp, &from, now_us);
	handle_kind(gsp, &from, now_us);
}
