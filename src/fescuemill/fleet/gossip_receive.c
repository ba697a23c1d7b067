/*
 * Gossip, receiving side: news is compared with the table, pings are acked, differences between
 * tables are worked off bucket by bucket.
 */
#include "fescuemill/fleet/fingerprint.h"
#include "fescuemill/fleet/gossip_codec.h"
#include "fescuemill/fleet/gossip_state.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <string.h>

#define BUCKETS_AN_ANSWER	 8
#define BUCKETS_A_CROWDED_ANSWER 2 /* while much news waits for the bytes */

/* Where a packet came from. */
struct source {
	uint32_t ip;
	uint16_t port;
	const struct member *member; /* NULL: not known */
	bool crosses_link;
};

/* Puts self into the table and passes it on. */
void gossip_publish_self(struct gossip *gsp, enum rumor_form form)
{
	member_upsert(gsp->members, &gsp->self);
	rumor_add(&gsp->rumors, gsp->self.identity.node_id, form,
		  rumor_sends(member_count(gsp->members)));
}

/* Raises self's revision and passes it on. */
void gossip_renew_self(struct gossip *gsp)
{
	gsp->self.revision++;
	gossip_publish_self(gsp, RUMOR_STATE);
}

/* Tells whether two records are of processes at the same address, which cannot run at once. */
static bool same_address(const struct member *a, const struct member *b)
{
	return a->internal.ip == b->internal.ip &&
	       a->internal.gossip_port == b->internal.gossip_port;
}

/* Takes an incarnation after that of an earlier process at this address, which started while the
 * clock was ahead. Without it everybody would take this process for the earlier one. While it may
 * not, the others go on telling of the earlier one. */
static void outlive(struct gossip *gsp, const struct member *earlier)
{
	uint64_t incarnation = earlier->identity.incarnation + 1;

	if (gsp->io.new_life && !gsp->io.new_life(gsp->io.user, incarnation))
		return;
	gsp->self.identity.incarnation = incarnation;
	log_write(LOG_WARNING, LOG_PART_GOSSIP,
		  "An earlier process of this node started with its clock ahead.",
		  "incarnation=%llu", (unsigned long long)gsp->self.identity.incarnation);
	gossip_publish_self(gsp, RUMOR_WHOLE);
}

/* Takes news of a later incarnation of this node, which a whole record tells the address of. */
static void take_later_self(struct gossip *gsp, const struct member *news)
{
	if (same_address(news, &gsp->self)) {
		outlive(gsp, news);
		return;
	}
	if (!gsp->superseded)
		log_write(LOG_ERROR, LOG_PART_GOSSIP, "Another process uses this node's name.",
			  "incarnation=%llu", (unsigned long long)news->identity.incarnation);
	gsp->superseded = true;
}

/* Answers what others say of this node: it alone decides that. */
static void defend_self(struct gossip *gsp, const struct member *news)
{
	const struct member *self = &gsp->self;

	if (news->identity.incarnation < self->identity.incarnation ||
	    news->revision < self->revision)
		return;
	if (news->revision == self->revision && news->state == self->state)
		return;
	gsp->self.revision = news->revision;
	gossip_renew_self(gsp);
}

/* Tells how to pass on news to those who know what this node knew. */
static enum rumor_form form_of(const struct member *known, const struct member *news, bool whole)
{
	if (whole)
		return RUMOR_WHOLE;
	return known && fingerprint_can_follow(known, news) ? RUMOR_STATE : RUMOR_BRIEF;
}

/* Tells whether news only says that a suspect did not refute: whoever heard of the suspicion comes
 * to it at about the same time. */
static bool ends_suspicion(const struct member *known, const struct member *news)
{
	return known && known->state == MEMBER_SUSPECT && news->state == MEMBER_DEAD &&
	       known->identity.incarnation == news->identity.incarnation &&
	       known->revision == news->revision;
}

/* Takes news of a member into the table, and passes it on if it was news. */
enum member_change gossip_apply(struct gossip *gsp, const struct member *news, bool whole,
				uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, news->identity.node_id);
	enum rumor_form form = form_of(known, news, whole);
	bool is_expected = ends_suspicion(known, news);
	enum member_change change = member_upsert(gsp->members, news);

	if (change != MEMBER_ADDED && change != MEMBER_UPDATED)
		return change;
	suspicion_note(&gsp->suspicions, news->identity.node_id, news->state, now_us);
	if (!is_expected)
		rumor_add(&gsp->rumors, news->identity.node_id, form,
			  rumor_sends(member_count(gsp->members)));
	return change;
}

/* Adds a member to the list of records that the sender should send whole. */
static void want(struct gossip *gsp, uint64_t node_id)
{
	if (gsp->packet.want_count < GOSSIP_WANTS_MAX)
		gsp->packet.wants[gsp->packet.want_count++] = node_id;
}

/* Tells whether brief news is of a life or a service that the record in the table is not. */
static bool lacks_record(const struct member *known, const struct member *news)
{
	if (known->identity.incarnation != news->identity.incarnation)
		return known->identity.incarnation < news->identity.incarnation;
	return known->revision >> MEMBER_SERVICE_SHIFT < news->revision >> MEMBER_SERVICE_SHIFT;
}

/* Applies brief news: what it lacks is taken from the table. */
static void apply_brief(struct gossip *gsp, const struct member *news, uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, news->identity.node_id);
	struct member merged;

	if (!known || lacks_record(known, news)) {
		if (known || news->state != MEMBER_DEAD)
			want(gsp, news->identity.node_id);
		return;
	}
	merged = *known;
	merged.identity = news->identity;
	merged.revision = news->revision;
	merged.state = news->state;
	merged.backend = news->backend;
	merged.slots = news->slots;
	gossip_apply(gsp, &merged, false, now_us);
}

/* Applies the news that came as fingerprints. */
static void apply_fingerprints(struct gossip *gsp, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;
	struct fingerprint_set set;

	if (!packet->fingerprint_count)
		return;
	fingerprint_set_fill(&set, packet->fingerprints, packet->fingerprint_count);
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *known = member_at(gsp->members, i);
		struct member news;

		if (!fingerprint_set_match(&set, known, &news))
			continue;
		if (news.identity.node_id == gsp->self.identity.node_id)
			defend_self(gsp, &news);
		else
			gossip_apply(gsp, &news, false, now_us);
	}
}

/* Tells whether news is of a later incarnation of this node. */
static bool is_later_self(const struct gossip *gsp, const struct member *news)
{
	return news->identity.node_id == gsp->self.identity.node_id &&
	       news->identity.incarnation > gsp->self.identity.incarnation;
}

/* Applies all news of a packet and asks the sender for the records that are missing. */
static void apply_news(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;

	gossip_packet_start(gsp, GOSSIP_WANT, 0);
	for (uint32_t i = 0; i < packet->news_count; i++) {
		const struct member *news = &packet->news[i].member;

		if (is_later_self(gsp, news) && packet->news[i].whole)
			take_later_self(gsp, news);
		else if (is_later_self(gsp, news))
			want(gsp, news->identity.node_id);
		else if (news->identity.node_id == gsp->self.identity.node_id)
			defend_self(gsp, news);
		else if (!packet->news[i].whole)
			apply_brief(gsp, news, now_us);
		else if (news->state != MEMBER_DEAD ||
			 member_find(gsp->members, news->identity.node_id))
			gossip_apply(gsp, news, true, now_us);
	}
	if (!from->member || from->member->identity.incarnation < packet->sender.incarnation)
		want(gsp, packet->sender.node_id);
	if (gsp->packet.want_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Adds a member's news to the packet; sends the packet and starts anew when it is full. */
static void add_news(struct gossip *gsp, const struct source *to, const struct member *member,
		     bool whole, size_t *room, uint64_t now_us)
{
	struct gossip_news news = {.whole = whole, .member = *member};
	size_t bytes = gossip_news_bytes(&news);

	if (bytes > *room || gsp->packet.news_count == GOSSIP_NEWS_MAX) {
		gossip_packet_send_charged(gsp, to->ip, to->port, to->crosses_link, now_us);
		gossip_packet_start(gsp, gsp->packet.kind, 0);
		*room = gossip_news_room();
	}
	gsp->packet.news[gsp->packet.news_count++] = news;
	*room -= bytes;
}

/* Adds a member's brief news to the packet. */
static void add_brief(struct gossip *gsp, const struct member *member)
{
	struct gossip_news *news = &gsp->packet.news[gsp->packet.news_count++];

	news->whole = false;
	news->member = *member;
}

/* Answers a ping. A sender that this node takes for suspect or dead learns so, and learns what
 * this node says of itself, since the sender may think the same of it. */
static void answer_ping(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	const struct member *sender = from->member;

	gossip_packet_start(gsp, GOSSIP_ACK, gsp->received.seq);
	if (sender && (sender->state == MEMBER_SUSPECT || sender->state == MEMBER_DEAD)) {
		add_brief(gsp, sender);
		add_brief(gsp, &gsp->self);
	} else {
		rumor_fill(&gsp->rumors, gsp->members, &gsp->packet);
		rumor_count_sent(&gsp->rumors);
	}
	gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Ends the probe that an ack answers; passes the ack on if another node had asked for it. */
static void take_ack(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	struct relay relay;

	if (!probe_end(&gsp->probes, gsp->received.seq, &relay))
		return;
	gossip_packet_start(gsp, GOSSIP_ACK, relay.origin_seq);
	gossip_packet_send_charged(gsp, relay.origin_ip, relay.origin_port, from->crosses_link,
				   now_us);
}

/* Pings a target for another node. */
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

/* Marks the buckets that differ from the sender's, a bounded number from a random one on. */
static uint64_t differing_buckets(struct gossip *gsp)
{
	uint32_t start = random_below(&gsp->rng, GOSSIP_BUCKETS);
	uint32_t most =
		rumor_is_crowded(&gsp->rumors) ? BUCKETS_A_CROWDED_ANSWER : BUCKETS_AN_ANSWER;
	uint32_t found = 0;
	uint64_t mask = 0;

	for (uint32_t i = 0; i < GOSSIP_BUCKETS && found < most; i++) {
		uint32_t bucket = (start + i) % GOSSIP_BUCKETS;

		if (gsp->digest.buckets[bucket] == gsp->received.buckets[bucket])
			continue;
		mask |= 1ULL << bucket;
		found++;
	}
	return mask;
}

/* Sends the entries of buckets that differ; whole ones for a bucket that the sender has empty. */
static void answer_digest(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	uint64_t mask = differing_buckets(gsp);
	size_t room = gossip_news_room();

	if (!mask || !budget_take(gsp->budget, 0, from->crosses_link, now_us))
		return;
	gossip_packet_start(gsp, GOSSIP_ENTRIES, 0);
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);
		uint32_t bucket = digest_bucket_of(member->identity.node_id);
		bool whole = gsp->received.buckets[bucket] == 0;

		if (mask >> bucket & 1)
			add_news(gsp, from, member, whole, &room, now_us);
	}
	gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Sends back what this node knows better than the news it received. */
static void correct_sender(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	size_t room = gossip_news_room();

	gossip_packet_start(gsp, GOSSIP_NEWS, 0);
	for (uint32_t i = 0; i < gsp->received.news_count; i++) {
		const struct member *news = &gsp->received.news[i].member;
		const struct member *known = member_find(gsp->members, news->identity.node_id);

		if (known && member_is_newer(known, news))
			add_news(gsp, from, known, false, &room, now_us);
	}
	if (gsp->packet.news_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Sends the whole records that another node lacks. */
static void answer_want(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	size_t room = gossip_news_room();

	gossip_packet_start(gsp, GOSSIP_NEWS, 0);
	for (uint32_t i = 0; i < gsp->received.want_count; i++) {
		const struct member *known = member_find(gsp->members, gsp->received.wants[i]);

		if (known)
			add_news(gsp, from, known, true, &room, now_us);
	}
	if (gsp->packet.news_count)
		gossip_packet_send_charged(gsp, from->ip, from->port, from->crosses_link, now_us);
}

/* Compares the sender's table and configuration with this node's. */
static void compare_sender(struct gossip *gsp, uint64_t now_us)
{
	const struct gossip_packet *packet = &gsp->received;

	if (member_find(gsp->members, packet->sender.node_id))
		heard_note(&gsp->heard, &packet->sender, packet->config_version, now_us);
	if (packet->config_version > gsp->config_version && gsp->io.newer_config)
		gsp->io.newer_config(gsp->io.user, packet->sender.node_id, packet->config_version);
	if (packet->table_hash == gsp->digest.total)
		gsp->joined = true;
	else
		gsp->differing_peer = packet->sender.node_id;
}

/* Passes the demands of a member on. */
static void pass_demand(struct gossip *gsp, const struct source *from)
{
	const struct wire_bytes *demand = &gsp->received.demand;

	counter_add(COUNTER_DEMAND_SPENT, gsp->received_bytes);
	if (from->member && gsp->io.demand)
		gsp->io.demand(gsp->io.user, from->member->identity.node_id, demand->data,
			       demand->size);
}

/* Answers a packet by its kind. */
static void answer(struct gossip *gsp, const struct source *from, uint64_t now_us)
{
	switch (gsp->received.kind) {
	case GOSSIP_PING:
		answer_ping(gsp, from, now_us);
		break;
	case GOSSIP_ACK:
		take_ack(gsp, from, now_us);
		break;
	case GOSSIP_PING_REQUEST:
		relay_ping(gsp, from, now_us);
		break;
	case GOSSIP_DIGEST:
		answer_digest(gsp, from, now_us);
		break;
	case GOSSIP_WANT:
		answer_want(gsp, from, now_us);
		break;
	case GOSSIP_DEMAND:
		pass_demand(gsp, from);
		break;
	case GOSSIP_ENTRIES:
	case GOSSIP_NEWS:
	case GOSSIP_KIND_END:
		break;
	}
}

/* Finds who sent a packet and whether it crossed a link between regions. */
static struct source source_of(const struct gossip *gsp, uint32_t ip, uint16_t port)
{
	struct source from = {.ip = ip, .port = port};

	from.member = member_find(gsp->members, gsp->received.sender.node_id);
	from.crosses_link = from.member && strcmp(from.member->region, gsp->self.region) != 0;
	return from;
}

/* Takes one packet from the socket. */
void gossip_receive(struct gossip *gsp, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t size, uint64_t now_us)
{
	struct source from;
	struct error err;

	if (gossip_decode(data, size, &gsp->received, &err)) {
		counter_add(COUNTER_GOSSIP_BAD_PACKETS, 1);
		log_failure(LOG_DEBUG, LOG_PART_GOSSIP, "A packet was refused.", &err);
		return;
	}
	if (gsp->received.sender.node_id == gsp->self.identity.node_id)
		return;
	from = source_of(gsp, ip, port);
	if (from.crosses_link)
		region_note_heard(&gsp->regions, from.member->region, now_us);
	gsp->received_bytes = (uint32_t)size + BUDGET_PACKET_HEADER_BYTES;
	budget_charge(gsp->budget, gsp->received_bytes, from.crosses_link, now_us);
	apply_news(gsp, &from, now_us);
	apply_fingerprints(gsp, now_us);
	from = source_of(gsp, ip, port);
	digest_update(&gsp->digest, gsp->members);
	compare_sender(gsp, now_us);
	correct_sender(gsp, &from, now_us);
	answer(gsp, &from, now_us);
}
