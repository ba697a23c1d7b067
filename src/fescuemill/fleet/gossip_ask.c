/*
 * Gossip, asking for versions: every packet tells its sender's version of the configuration, so
 * that a ping is question enough, and nothing is sent while nobody wants to know.
 */
#include "fescuemill/fleet/gossip_state.h"

/* Gives what a member last said of the version that it has, or NULL. */
const struct heard *gossip_heard(const struct gossip *gsp, const struct node_incarnation *identity)
{
	return heard_find(&gsp->heard, identity);
}

/* Tells whether a member should be asked: it lives and is not known to have the version. */
static bool is_asked(const struct gossip *gsp, const struct member *member, uint64_t version)
{
	const struct heard *heard = heard_find(&gsp->heard, &member->identity);

	if (member->state == MEMBER_DEAD || member->identity.node_id == gsp->self.identity.node_id)
		return false;
	return !heard || heard->config_version < version;
}

/* Pings members that are not known to have a version, each in its turn. The sequence 0 is no
 * probe's: a member that does not answer is not suspected for that. */
void gossip_ask_version(struct gossip *gsp, uint64_t version, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	uint32_t asked = 0;

	if (now_us < gsp->ask_us + GOSSIP_ASK_PERIOD_US)
		return;
	gsp->ask_us = now_us;
	for (size_t i = 0; i < count && asked < GOSSIP_ASKS_MAX; i++) {
		const struct member *member = member_at(gsp->members, gsp->ask_index++ % count);

		if (!is_asked(gsp, member, version))
			continue;
		gossip_packet_start(gsp, GOSSIP_PING, 0);
		if (!gossip_packet_send(gsp, member, now_us))
			return;
		asked++;
	}
}
