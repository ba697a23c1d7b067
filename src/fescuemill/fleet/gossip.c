/*
 * Gossip: one period probes the next member of the own region's ring, which finds every dead host
 * within a period and its time-outs, and one random member, which joins what the ring does not. A
 * member that does not answer at once does not hold up the ring: the one after it is probed too.
 */
#include "fescuemill/fleet/gossip.h"

#include "fescuemill/base/log.h"
#include "fescuemill/fleet/gossip_state.h"

#include <stdlib.h>
#include <string.h>

/* Tells whether a member can be asked something. */
static bool is_reachable(const struct member *member)
{
	return member->state != MEMBER_DEAD;
}

/* Tells whether two members are in the same region. */
static bool same_region(const struct member *a, const struct member *b)
{
	return strcmp(a->region, b->region) == 0;
}

/* Tells whether a member fits what is looked for. */
static bool fits(const struct gossip *gsp, const struct member *member, enum pick pick)
{
	if (member->identity.node_id == gsp->self.identity.node_id)
		return false;
	switch (pick) {
	case PICK_ANY:
		return is_reachable(member);
	case PICK_OWN_REGION:
		return is_reachable(member) && same_region(member, &gsp->self);
	case PICK_OTHER_REGION:
		return is_reachable(member) && !same_region(member, &gsp->self) &&
		       region_is_reachable(&gsp->regions, member->region);
	case PICK_DEAD:
		return member->state == MEMBER_DEAD;
	}
	return false;
}

/* Picks a random member that fits, or NULL. */
const struct member *gossip_pick(struct gossip *gsp, enum pick pick)
{
	size_t count = member_count(gsp->members);
	size_t start = count ? random_below(&gsp->rng, (uint32_t)count) : 0;

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(gsp->members, (start + i) % count);

		if (fits(gsp, member, pick))
			return member;
	}
	return NULL;
}

/* Picks a random member, mostly of the own region, since links between regions are paid for. */
static const struct member *pick_mostly_own_region(struct gossip *gsp, uint32_t other_percent)
{
	const struct member *member = NULL;

	if (random_below(&gsp->rng, 100) < other_percent)
		member = gossip_pick(gsp, PICK_OTHER_REGION);
	if (!member)
		member = gossip_pick(gsp, PICK_OWN_REGION);
	return member ? member : gossip_pick(gsp, PICK_OTHER_REGION);
}

/* Gives the next member after this node on the ring of its region's node ids that is neither
 * suspect nor being probed, or NULL. */
static const struct member *ring_successor(const struct gossip *gsp)
{
	const struct member *best = NULL;
	uint64_t best_distance = UINT64_MAX;

	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);
		uint64_t distance = member->identity.node_id - gsp->self.identity.node_id;

		if (distance >= best_distance || member->state == MEMBER_SUSPECT ||
		    probe_is_under_way(&gsp->probes, member->identity.node_id) ||
		    !fits(gsp, member, PICK_OWN_REGION))
			continue;
		best = member;
		best_distance = distance;
	}
	return best;
}

/* Probes a member with a ping that carries news. */
static void probe_member(struct gossip *gsp, const struct member *member, uint64_t now_us)
{
	uint64_t target = member->identity.node_id;
	uint32_t seq = probe_start(&gsp->probes, target, now_us);
	struct relay unused;

	if (seq && !gossip_send_kind(gsp, member, GOSSIP_PING, seq, now_us))
		probe_end(&gsp->probes, seq, &unused);
}

/* Probes the next member on the ring. */
static void probe_successor(struct gossip *gsp, uint64_t now_us)
{
	const struct member *next = ring_successor(gsp);

	if (!next)
		return;
	gsp->ring_target = next->identity.node_id;
	probe_member(gsp, next, now_us);
}

/* Starts the probes of one period. */
static void start_probes(struct gossip *gsp, uint64_t now_us)
{
	const struct member *any = pick_mostly_own_region(gsp, PROBE_OTHER_REGION_PERCENT);

	probe_successor(gsp, now_us);
	if (any)
		probe_member(gsp, any, now_us);
}

/* Asks others of the own region to ping a target that did not answer: the members that follow
 * each other from a random place in the table. */
static void ask_others(struct gossip *gsp, const struct probe *probe, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	size_t start = random_below(&gsp->rng, (uint32_t)count);
	uint32_t asked = 0;

	for (size_t i = 0; i < count && asked < GOSSIP_INDIRECT_PROBES; i++) {
		const struct member *helper = member_at(gsp->members, (start + i) % count);

		if (helper->identity.node_id == probe->target ||
		    !fits(gsp, helper, PICK_OWN_REGION))
			continue;
		gossip_packet_start(gsp, GOSSIP_PING_REQUEST, probe->seq);
		gsp->packet.target = probe->target;
		gossip_packet_send(gsp, helper, now_us);
		asked++;
	}
}

/* Suspects a member of the own region that no probe reached. Of another region only the link is
 * in doubt: were its members declared dead from here, both sides of a split would bury the other,
 * and the news of that would take the living out of choice when they meet again. */
static void suspect(struct gossip *gsp, uint64_t node_id, uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, node_id);
	struct member news;

	if (!known || known->state == MEMBER_DEAD || known->state == MEMBER_SUSPECT)
		return;
	if (!same_region(known, &gsp->self)) {
		region_note_failure(&gsp->regions, known->region);
		return;
	}
	news = *known;
	news.state = MEMBER_SUSPECT;
	gossip_apply(gsp, &news, false, now_us);
}

/* Carries out what is due for probes that wait. */
static void check_probes(struct gossip *gsp, uint64_t now_us)
{
	struct probe due;

	for (;;) {
		switch (probe_next_due(&gsp->probes, now_us, &due)) {
		case PROBE_NONE:
			return;
		case PROBE_ASK_OTHERS:
			ask_others(gsp, &due, now_us);
			if (due.target == gsp->ring_target)
				probe_successor(gsp, now_us);
			break;
		case PROBE_FAILED:
			suspect(gsp, due.target, now_us);
			break;
		}
	}
}

/* Declares suspects dead that did not refute, and forgets those that are dead for long. */
static void check_suspicions(struct gossip *gsp, uint64_t now_us)
{
	struct suspicion due;

	while (suspicion_next_due(&gsp->suspicions, now_us, &due)) {
		const struct member *known = member_find(gsp->members, due.node_id);
		struct member news;

		if (!known || known->state != due.state)
			continue;
		if (due.state == MEMBER_DEAD) {
			member_remove(gsp->members, due.node_id);
			continue;
		}
		news = *known;
		news.state = MEMBER_DEAD;
		gossip_apply(gsp, &news, false, now_us);
	}
}

/* Pushes news to a few random members while there is any, and leaves a reserve of the budget to
 * the probes: news that nobody finds out does not spread. */
static void push_news(struct gossip *gsp, uint64_t now_us)
{
	for (int i = 0; i < GOSSIP_NEWS_FANOUT; i++) {
		const struct member *member;

		if (rumor_is_empty(&gsp->rumors) && gsp->config_sends_left == 0)
			return;
		if (budget_is_low(gsp->budget, now_us))
			return;
		member = pick_mostly_own_region(gsp, NEWS_OTHER_REGION_PERCENT);
		if (!member || !gossip_send_kind(gsp, member, GOSSIP_NEWS, 0, now_us))
			return;
		if (gsp->config_sends_left)
			gsp->config_sends_left--;
	}
}

/* Gives the time between comparisons of tables, which cost the more the longer these are. While
 * much news is on its way tables differ anyhow, and comparing them would take the bytes that the
 * news needs. */
static uint64_t sync_period_us(const struct gossip *gsp, uint64_t now_us)
{
	uint64_t period_us = member_count(gsp->members) * GOSSIP_SYNC_PER_MEMBER_US;

	if (!gsp->joined)
		return GOSSIP_JOIN_PERIOD_US;
	if (rumor_is_crowded(&gsp->rumors))
		return GOSSIP_CROWDED_SYNC_PERIOD_US;
	if (now_us < gsp->settled_us)
		return GOSSIP_JOIN_PERIOD_US;
	if (period_us < GOSSIP_SYNC_MIN_PERIOD_US)
		return GOSSIP_SYNC_MIN_PERIOD_US;
	return period_us < GOSSIP_SYNC_PERIOD_US ? period_us : GOSSIP_SYNC_PERIOD_US;
}

/* Sends the digest to a member whose table differs from this node's. */
static void start_sync(struct gossip *gsp, uint64_t now_us)
{
	const struct member *peer = NULL;

	if (now_us < gsp->sync_us + sync_period_us(gsp, now_us) ||
	    (gsp->joined && !gsp->differing_peer))
		return;
	if (gsp->differing_peer)
		peer = member_find(gsp->members, gsp->differing_peer);
	if (!peer || !is_reachable(peer))
		peer = pick_mostly_own_region(gsp, PROBE_OTHER_REGION_PERCENT);
	gsp->differing_peer = 0;
	gsp->sync_us = now_us;
	if (!peer)
		return;
	gossip_packet_start(gsp, GOSSIP_DIGEST, 0);
	memcpy(gsp->packet.buckets, gsp->digest.buckets, sizeof(gsp->packet.buckets));
	gossip_packet_send(gsp, peer, now_us);
}

/* Pings one dead member now and then, so that parts of a split fleet find each other again. */
static void try_revive(struct gossip *gsp, uint64_t now_us)
{
	const struct member *dead;

	if (now_us < gsp->revive_us + GOSSIP_REVIVE_PERIOD_US)
		return;
	gsp->revive_us = now_us;
	dead = gossip_pick(gsp, PICK_DEAD);
	if (dead)
		gossip_send_about(gsp, dead, GOSSIP_PING, now_us);
}

/* Notes the regions that the members are in. */
static void meet_regions(struct gossip *gsp, uint64_t now_us)
{
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);

		if (!same_region(member, &gsp->self))
			region_meet(&gsp->regions, member->region, now_us);
	}
}

/* Probes a random member of a region. */
static void probe_region(struct gossip *gsp, const char *region, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	size_t start = random_below(&gsp->rng, (uint32_t)count);

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(gsp->members, (start + i) % count);

		if (!is_reachable(member) || strcmp(member->region, region) != 0)
			continue;
		probe_member(gsp, member, now_us);
		return;
	}
}

/* Probes the regions that are quiet or did not answer last. */
static void check_regions(struct gossip *gsp, uint64_t now_us)
{
	const char *region;

	while ((region = region_next_due(&gsp->regions, now_us)))
		probe_region(gsp, region, now_us);
}

/* Starts over after a pause of this process: what others say of it and it of others is old. */
static void recover_from_pause(struct gossip *gsp, uint64_t pause_us)
{
	probe_forget_all(&gsp->probes);
	suspicion_shift(&gsp->suspicions, pause_us);
	gsp->joined = false;
	gsp->settled_us = gsp->tick_us + pause_us + GOSSIP_SETTLE_US;
	gossip_renew_self(gsp);
	log_write(LOG_WARNING, LOG_PART_GOSSIP, "This process was paused.", "pause_ms=%llu",
		  (unsigned long long)(pause_us / USEC_PER_MSEC));
}

/* Does what is due. */
void gossip_tick(struct gossip *gsp, uint64_t now_us)
{
	if (gsp->tick_us && now_us > gsp->tick_us + GOSSIP_PAUSE_US)
		recover_from_pause(gsp, now_us - gsp->tick_us);
	gsp->tick_us = now_us;
	check_probes(gsp, now_us);
	check_suspicions(gsp, now_us);
	if (now_us >= gsp->probe_us + GOSSIP_PROBE_PERIOD_US) {
		gsp->probe_us = now_us;
		meet_regions(gsp, now_us);
		start_probes(gsp, now_us);
	}
	if (now_us >= gsp->news_us + GOSSIP_NEWS_PERIOD_US) {
		gsp->news_us = now_us;
		push_news(gsp, now_us);
	}
	check_regions(gsp, now_us);
	start_sync(gsp, now_us);
	try_revive(gsp, now_us);
	if (!gsp->joined && !gossip_pick(gsp, PICK_ANY))
		gsp->joined = true;
}

/* Makes a gossip whose self is alive in the table. */
int gossip_open(struct gossip **out, const struct member *self, struct member_table *members,
		struct budget *bud, const struct gossip_io *io, uint64_t seed, uint64_t now_us,
		struct error *err)
{
	struct gossip *gsp = calloc(1, sizeof(*gsp));

	if (!gsp)
		return error_set(err, ERROR_MEMORY, "no memory for gossip");
	gsp->members = members;
	gsp->budget = bud;
	gsp->io = *io;
	gsp->self = *self;
	random_seed(&gsp->rng, seed);
	gsp->revive_us = now_us;
	gsp->settled_us = now_us + GOSSIP_SETTLE_US;
	/* Spread the nodes' periods, so that a fleet started at once does not beat as one. */
	gsp->probe_us = now_us - random_below(&gsp->rng, (uint32_t)GOSSIP_PROBE_PERIOD_US);
	gossip_publish_self(gsp, RUMOR_WHOLE);
	*out = gsp;
	return 0;
}

/* Frees the gossip; the table stays. */
void gossip_close(struct gossip *gsp)
{
	if (gsp)
		heard_close(&gsp->heard);
	free(gsp);
}

/* Changes the backend server that this node says it has. */
void gossip_set_backend(struct gossip *gsp, const char *service, enum backend_state backend,
			uint32_t slots)
{
	struct member *self = &gsp->self;
	bool new_service = strncmp(self->service, service, sizeof(self->service)) != 0;

	if (!new_service && self->backend == backend && self->slots == slots)
		return;
	memset(self->service, 0, sizeof(self->service));
	memcpy(self->service, service, strnlen(service, sizeof(self->service) - 1));
	self->backend = backend;
	self->slots = slots;
	if (new_service)
		self->revision |= (1U << MEMBER_SERVICE_SHIFT) - 1;
	self->revision++;
	gossip_publish_self(gsp, new_service ? RUMOR_WHOLE : RUMOR_BRIEF);
}

/* Says that this node takes no new work. */
void gossip_set_leaving(struct gossip *gsp)
{
	if (gsp->self.state == MEMBER_LEAVING)
		return;
	gsp->self.state = MEMBER_LEAVING;
	gossip_renew_self(gsp);
}

/* Says goodbye to a few members at once. */
void gossip_leave(struct gossip *gsp, uint64_t now_us)
{
	gsp->self.state = MEMBER_DEAD;
	gossip_renew_self(gsp);
	push_news(gsp, now_us);
	push_news(gsp, now_us);
}

/* Sets the version that this node has; a higher one is passed on. */
void gossip_set_config_version(struct gossip *gsp, uint64_t version)
{
	if (version <= gsp->config_version)
		return;
	gsp->config_version = version;
	gsp->config_sends_left = rumor_sends(member_count(gsp->members));
}

/* Probes a member that a call could not reach. */
void gossip_report_failure(struct gossip *gsp, uint64_t node_id, uint64_t now_us)
{
	const struct member *member = member_find(gsp->members, node_id);

	if (member && is_reachable(member))
		probe_member(gsp, member, now_us);
}

/* Tells whether this node's table is as good as another's. */
bool gossip_is_joined(const struct gossip *gsp)
{
	return gsp->joined;
}

/* Tells whether this process has been replaced under its own name. */
bool gossip_is_superseded(const struct gossip *gsp)
{
	return gsp->superseded;
}

/* Tells whether the link to a region works as far as this node knows. */
bool gossip_region_is_reachable(const struct gossip *gsp, const char *region)
{
	return strcmp(region, gsp->self.region) == 0 || region_is_reachable(&gsp->regions, region);
}

/* Gives this node as it describes itself. */
const struct member *gossip_self(const struct gossip *gsp)
{
	return &gsp->self;
}
