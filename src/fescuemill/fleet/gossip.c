/*
 * Gossip, periodic work: probes, suspicion, spreading of updates and comparison of tables. Each
 * period probes the next member on the ring of node ids in the own region, which finds every dead
 * host within a period and the probe timeouts, and one random member, which connects the parts of
 * the fleet that the ring does not. A member that does not answer at once does not hold up the
 * ring: its successor is probed as well.
 */
#include "fescuemill/fleet/gossip.h"

#include "fescuemill/base/log.h"
#include "fescuemill/fleet/gossip_state.h"

#include <stdlib.h>
#include <string.h>

static bool is_not_dead(const struct member *member)
{
	return member->state != MEMBER_DEAD;
}

static bool same_region(const struct member *a, const struct member *b)
{
	return strcmp(a->region, b->region) == 0;
}

/* Returns true if a member is a candidate for a pick; this node itself never is. */
static bool matches_pick(const struct gossip *gsp, const struct member *member, enum pick pick)
{
	if (member->identity.node_id == gsp->self.identity.node_id)
		return false;
	switch (pick) {
	case PICK_ANY:
		return is_not_dead(member);
	case PICK_OWN_REGION:
		return is_not_dead(member) && same_region(member, &gsp->self);
	case PICK_OTHER_REGION:
		return is_not_dead(member) && !same_region(member, &gsp->self) &&
		       region_is_reachable(&gsp->regions, member->region);
	case PICK_DEAD:
		return member->state == MEMBER_DEAD;
	}
	return false;
}

/* Returns a random member that matches the pick, or NULL. */
const struct member *gossip_pick(struct gossip *gsp, enum pick pick)
{
	size_t count = member_count(gsp->members);
	size_t start = count ? random_below(&gsp->rng, (uint32_t)count) : 0;

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(gsp->members, (start + i) % count);

		if (matches_pick(gsp, member, pick))
			return member;
	}
	return NULL;
}

/* Returns a random member that is not dead, or NULL. Other regions are picked in only
 * `other_percent` of the cases where the own region has members, since traffic between regions is
 * paid for. */
static const struct member *pick_mostly_own_region(struct gossip *gsp, uint32_t other_percent)
{
	const struct member *member = NULL;

	if (random_below(&gsp->rng, 100) < other_percent)
		member = gossip_pick(gsp, PICK_OTHER_REGION);
	if (!member)
		member = gossip_pick(gsp, PICK_OWN_REGION);
	return member ? member : gossip_pick(gsp, PICK_OTHER_REGION);
}

/* Returns the next member after this node on its region's ring of node ids that is neither suspect
 * nor being probed, or NULL. */
static const struct member *ring_successor(const struct gossip *gsp)
{
	const struct member *best = NULL;
	uint64_t best_distance = UINT64_MAX;

	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);
		uint64_t distance = member->identity.node_id - gsp->self.identity.node_id;

		if (distance >= best_distance || member->state == MEMBER_SUSPECT ||
		    probe_is_pending(&gsp->probes, member->identity.node_id) ||
		    !matches_pick(gsp, member, PICK_OWN_REGION))
			continue;
		best = member;
		best_distance = distance;
	}
	return best;
}

/* Starts a probe of a member: a ping that carries updates. Returns false if it could not be sent. A
 * member that is being probed already is not probed again, and that counts as sent. */
static bool probe_member(struct gossip *gsp, const struct member *member, uint64_t now_us)
{
	uint64_t target = member->identity.node_id;
	uint32_t seq = probe_start(&gsp->probes, target, now_us);
	struct relay unused;

	if (!seq)
		return probe_is_pending(&gsp->probes, target);
	if (gsp->io.proof_time)
		probe_find(&gsp->probes, seq)->asked_us = gsp->io.proof_time(gsp->io.user);
	if (gossip_send_kind(gsp, member, GOSSIP_PING, seq, now_us))
		return true;
	probe_end(&gsp->probes, seq, &unused);
	return false;
}

static void probe_successor(struct gossip *gsp, uint64_t now_us)
{
	const struct member *next = ring_successor(gsp);

	if (!next)
		return;
	gsp->ring_target = next->identity.node_id;
	probe_member(gsp, next, now_us);
}

/* Starts the probes of one period: the successor on the ring and a random member. */
static void start_probes(struct gossip *gsp, uint64_t now_us)
{
	const struct member *any = pick_mostly_own_region(gsp, PROBE_OTHER_REGION_PERCENT);

	probe_successor(gsp, now_us);
	if (any)
		probe_member(gsp, any, now_us);
}

/* Sends indirect probes for a target that did not answer: asks up to GOSSIP_INDIRECT_PROBES members
 * of the own region to ping it. The search for them starts at a random index of the table. */
static void send_indirect_probes(struct gossip *gsp, const struct probe *probe, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	size_t start = random_below(&gsp->rng, (uint32_t)count);
	uint32_t sent = 0;

	for (size_t i = 0; i < count && sent < GOSSIP_INDIRECT_PROBES; i++) {
		const struct member *helper = member_at(gsp->members, (start + i) % count);

		if (helper->identity.node_id == probe->target ||
		    !matches_pick(gsp, helper, PICK_OWN_REGION))
			continue;
		gossip_packet_start(gsp, GOSSIP_PING_REQUEST, probe->seq);
		gsp->packet.target = probe->target;
		gossip_packet_send(gsp, helper, now_us);
		sent++;
	}
}

/* Marks a member of the own region as suspect after a failed probe. For a member of another region
 * only the link is recorded as failing. If nodes declared members of other regions dead, both sides
 * of a network split would do so, and after the split those updates would exclude live members from
 * being chosen. */
static void suspect(struct gossip *gsp, uint64_t node_id, uint64_t now_us)
{
	const struct member *known = member_find(gsp->members, node_id);
	struct member update;

	if (!known || known->state == MEMBER_DEAD || known->state == MEMBER_SUSPECT)
		return;
	if (!same_region(known, &gsp->self)) {
		region_record_failure(&gsp->regions, known->region);
		return;
	}
	update = *known;
	update.state = MEMBER_SUSPECT;
	gossip_apply(gsp, &update, false, now_us);
}

/* Handles all probes that have reached a timeout. */
static void check_probes(struct gossip *gsp, uint64_t now_us)
{
	struct probe due;

	for (;;) {
		switch (probe_next_due(&gsp->probes, now_us, &due)) {
		case PROBE_NONE:
			return;
		case PROBE_SEND_INDIRECT:
			send_indirect_probes(gsp, &due, now_us);
			if (due.target == gsp->ring_target)
				probe_successor(gsp, now_us);
			break;
		case PROBE_FAILED:
			suspect(gsp, due.target, now_us);
			break;
		}
	}
}

/* Declares suspects dead that did not refute in time, and removes members that have been dead for
 * GOSSIP_DEAD_RETENTION_US. */
static void check_suspicions(struct gossip *gsp, uint64_t now_us)
{
	struct suspicion due;

	while (suspicion_next_due(&gsp->suspicions, now_us, &due)) {
		const struct member *known = member_find(gsp->members, due.node_id);
		struct member update;

		if (!known || known->state != due.state)
			continue;
		if (due.state == MEMBER_DEAD) {
			member_remove(gsp->members, due.node_id);
			continue;
		}
		update = *known;
		update.state = MEMBER_DEAD;
		gossip_apply(gsp, &update, false, now_us);
	}
}

/* Sends pending updates to a few random members. Stops when the budget is low, so that a reserve is
 * left for probes: an update can spread only if a probe has detected the change. */
static void push_updates(struct gossip *gsp, uint64_t now_us)
{
	for (int i = 0; i < GOSSIP_UPDATE_FANOUT; i++) {
		const struct member *member;

		if (rumor_is_empty(&gsp->rumors) && gsp->config_sends_left == 0 &&
		    gsp->evacuation_sends_left == 0)
			return;
		if (budget_is_low(gsp->budget, now_us))
			return;
		member = pick_mostly_own_region(gsp, UPDATE_OTHER_REGION_PERCENT);
		if (!member || !gossip_send_kind(gsp, member, GOSSIP_UPDATES, 0, now_us))
			return;
		if (gsp->config_sends_left)
			gsp->config_sends_left--;
		if (gsp->evacuation_sends_left)
			gsp->evacuation_sends_left--;
	}
}

/* Sends a message of requests that ran when servers ended to random members. */
void gossip_spread_crashes(struct gossip *gsp, uint32_t members, const uint8_t *data, size_t size,
			   uint64_t now_us)
{
	for (uint32_t i = 0; i < members; i++) {
		const struct member *to = pick_mostly_own_region(gsp, UPDATE_OTHER_REGION_PERCENT);

		if (!to || !gossip_send_crashes(gsp, to, data, size, now_us))
			return;
	}
}

/* Returns the time between two table comparisons, which cost more for larger tables. While many
 * updates are pending, tables differ anyway, and comparing them would use the bytes that the
 * updates need. */
static uint64_t sync_period_us(const struct gossip *gsp, uint64_t now_us)
{
	uint64_t period_us = member_count(gsp->members) * GOSSIP_SYNC_PER_MEMBER_US;

	if (!gsp->joined)
		return GOSSIP_JOIN_PERIOD_US;
	if (rumor_has_backlog(&gsp->rumors))
		return GOSSIP_BACKLOG_SYNC_PERIOD_US;
	if (now_us < gsp->fast_sync_until_us)
		return GOSSIP_JOIN_PERIOD_US;
	if (period_us < GOSSIP_SYNC_MIN_PERIOD_US)
		return GOSSIP_SYNC_MIN_PERIOD_US;
	return period_us < GOSSIP_SYNC_PERIOD_US ? period_us : GOSSIP_SYNC_PERIOD_US;
}

/* Sends the digest to a member whose table differs from this node's, or to a random one. */
static void start_sync(struct gossip *gsp, uint64_t now_us)
{
	const struct member *peer = NULL;

	if (now_us < gsp->sync_us + sync_period_us(gsp, now_us) ||
	    (gsp->joined && !gsp->differing_peer))
		return;
	if (gsp->differing_peer)
		peer = member_find(gsp->members, gsp->differing_peer);
	if (!peer || !is_not_dead(peer))
		peer = pick_mostly_own_region(gsp, PROBE_OTHER_REGION_PERCENT);
	gsp->differing_peer = 0;
	gsp->sync_us = now_us;
	if (!peer)
		return;
	gossip_packet_start(gsp, GOSSIP_DIGEST, 0);
	memcpy(gsp->packet.buckets, gsp->digest.buckets, sizeof(gsp->packet.buckets));
	gossip_packet_send(gsp, peer, now_us);
}

/* Pings one dead member per GOSSIP_DEAD_PROBE_PERIOD_US, so that the parts of a split fleet find
 * each other again. */
static void probe_dead_member(struct gossip *gsp, uint64_t now_us)
{
	const struct member *dead;

	if (now_us < gsp->dead_probe_us + GOSSIP_DEAD_PROBE_PERIOD_US)
		return;
	gsp->dead_probe_us = now_us;
	dead = gossip_pick(gsp, PICK_DEAD);
	if (dead)
		gossip_send_known_state(gsp, dead, GOSSIP_PING, now_us);
}

static void add_regions(struct gossip *gsp, uint64_t now_us)
{
	for (size_t i = 0; i < member_count(gsp->members); i++) {
		const struct member *member = member_at(gsp->members, i);

		if (!same_region(member, &gsp->self))
			region_add(&gsp->regions, member->region, now_us);
	}
}

/* Probes a random member of a region. Returns false if the probe could not be sent. */
static bool probe_region(struct gossip *gsp, const char *region, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	size_t start = random_below(&gsp->rng, (uint32_t)count);

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(gsp->members, (start + i) % count);

		if (!is_not_dead(member) || strcmp(member->region, region) != 0)
			continue;
		return probe_member(gsp, member, now_us);
	}
	return true;
}

/* Probes the regions that sent nothing for a while or whose last probe failed. */
static void check_regions(struct gossip *gsp, uint64_t now_us)
{
	const char *region;

	while ((region = region_next_due(&gsp->regions, now_us))) {
		if (!probe_region(gsp, region, now_us))
			region_record_unsent(&gsp->regions, region, now_us);
	}
}

/* Recovers after this process was paused. What it and the other members knew of each other is
 * outdated: pending probes are dropped, suspicions are extended by the pause, and the own record
 * gets a new revision. */
static void recover_from_pause(struct gossip *gsp, uint64_t pause_us)
{
	probe_clear(&gsp->probes);
	suspicion_extend(&gsp->suspicions, pause_us);
	gsp->joined = false;
	gsp->fast_sync_until_us = gsp->tick_us + pause_us + GOSSIP_FAST_SYNC_US;
	gossip_raise_revision(gsp);
	log_write(LOG_WARNING, LOG_PART_GOSSIP,
		  "This process was paused; its gossip state is refreshed.", "pause_ms=%llu",
		  (unsigned long long)(pause_us / USEC_PER_MSEC));
}

/* Runs all periodic work that is due. */
void gossip_tick(struct gossip *gsp, uint64_t now_us)
{
	if (gsp->tick_us && now_us > gsp->tick_us + GOSSIP_PAUSE_THRESHOLD_US)
		recover_from_pause(gsp, now_us - gsp->tick_us);
	gsp->tick_us = now_us;
	check_probes(gsp, now_us);
	check_suspicions(gsp, now_us);
	if (now_us >= gsp->probe_us + GOSSIP_PROBE_PERIOD_US) {
		gsp->probe_us = now_us;
		add_regions(gsp, now_us);
		start_probes(gsp, now_us);
	}
	if (gossip_evacuations_changed(gsp) || now_us >= gsp->push_us + GOSSIP_UPDATE_PERIOD_US) {
		gsp->push_us = now_us;
		push_updates(gsp, now_us);
	}
	check_regions(gsp, now_us);
	start_sync(gsp, now_us);
	probe_dead_member(gsp, now_us);
	if (!gsp->joined && !gossip_pick(gsp, PICK_ANY))
		gsp->joined = true;
}

/* Opens the gossip of a node and stores the node's own record in the member table. */
int gossip_open(struct gossip **out, const struct member *self, struct member_table *members,
		struct budget *bud, const struct gossip_io *io, uint64_t seed, uint64_t now_us,
		struct error *err)
{
	struct gossip *gsp = calloc(1, sizeof(*gsp));

	if (!gsp)
		return error_set(err, ERROR_MEMORY, "no memory for the gossip state");
	gsp->members = members;
	gsp->budget = bud;
	gsp->io = *io;
	gsp->self = *self;
	random_seed(&gsp->rng, seed);
	gsp->dead_probe_us = now_us;
	gsp->fast_sync_until_us = now_us + GOSSIP_FAST_SYNC_US;
	/* Start at a random point of the period, so that nodes started together do not probe at the
	 * same moments. */
	gsp->probe_us = now_us - random_below(&gsp->rng, (uint32_t)GOSSIP_PROBE_PERIOD_US);
	gossip_publish_self(gsp, RUMOR_FULL);
	*out = gsp;
	return 0;
}

/* Frees the gossip, but not the member table. */
void gossip_close(struct gossip *gsp)
{
	if (gsp)
		version_report_table_close(&gsp->version_reports);
	free(gsp);
}

/* Sets what this node announces of its backend server. A change of the service raises the revision
 * to the next multiple of 1 << MEMBER_SERVICE_SHIFT and is spread as a full record. */
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
	gossip_publish_self(gsp, new_service ? RUMOR_FULL : RUMOR_COMPACT);
}

/* Announces that this node takes no new work. */
void gossip_set_leaving(struct gossip *gsp)
{
	if (gsp->self.state == MEMBER_LEAVING)
		return;
	gsp->self.state = MEMBER_LEAVING;
	gossip_raise_revision(gsp);
}

/* Announces this node as dead and sends the update to two rounds of random members at once. */
void gossip_leave(struct gossip *gsp, uint64_t now_us)
{
	gsp->self.state = MEMBER_DEAD;
	gossip_raise_revision(gsp);
	push_updates(gsp, now_us);
	push_updates(gsp, now_us);
}

/* Sets the version of the configuration that this node has; a higher version is announced. */
void gossip_set_config_version(struct gossip *gsp, uint64_t version)
{
	if (version <= gsp->config_version)
		return;
	gsp->config_version = version;
	gsp->config_sends_left = rumor_send_count(member_count(gsp->members));
}

/* Probes a member that a call could not reach, unless it is dead. */
void gossip_report_failure(struct gossip *gsp, uint64_t node_id, uint64_t now_us)
{
	const struct member *member = member_find(gsp->members, node_id);

	if (member && is_not_dead(member))
		probe_member(gsp, member, now_us);
}

/* Pings random members. One that does not answer is suspected, as after a regular probe. */
void gossip_ask_members(struct gossip *gsp, uint32_t count, uint64_t now_us)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct member *member =
			pick_mostly_own_region(gsp, PROBE_OTHER_REGION_PERCENT);

		if (!member || !probe_member(gsp, member, now_us))
			return;
	}
}

/* Returns true once the table has matched that of another node. */
bool gossip_is_joined(const struct gossip *gsp)
{
	return gsp->joined;
}

/* Returns true if another process at another address has replaced this one under its name. */
bool gossip_is_superseded(const struct gossip *gsp)
{
	return gsp->superseded;
}

/* Returns true if the link to a region works, as far as this node knows. The own region is always
 * reachable. */
bool gossip_region_is_reachable(const struct gossip *gsp, const char *region)
{
	return strcmp(region, gsp->self.region) == 0 || region_is_reachable(&gsp->regions, region);
}

/* Returns the own record, as this node announces it. */
const struct member *gossip_self(const struct gossip *gsp)
{
	return &gsp->self;
}
