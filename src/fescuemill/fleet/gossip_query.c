/*
 * Gossip, version queries. Every packet carries its sender's version of the configuration, so that
 * a ping serves as the query, and nothing is sent unless a version is queried.
 */
#include "fescuemill/fleet/gossip_state.h"

/* Returns the version that this incarnation of a member last reported, or NULL. */
const struct version_report *gossip_version_report(const struct gossip *gsp,
						   const struct node_incarnation *identity)
{
	return version_report_find(&gsp->version_reports, identity);
}

/* Returns true if a member is neither dead nor this node and is not known to have the version. */
static bool needs_query(const struct gossip *gsp, const struct member *member, uint64_t version)
{
	const struct version_report *report =
		version_report_find(&gsp->version_reports, &member->identity);

	if (member->state == MEMBER_DEAD || member->identity.node_id == gsp->self.identity.node_id)
		return false;
	return !report || report->config_version < version;
}

/* Pings members that are not known to have a version, in turn over successive calls. The pings have
 * sequence number 0, which no probe has, so that a member that does not answer is not suspected. */
void gossip_query_version(struct gossip *gsp, uint64_t version, uint64_t now_us)
{
	size_t count = member_count(gsp->members);
	uint32_t sent = 0;

	if (now_us < gsp->query_us + GOSSIP_QUERY_PERIOD_US)
		return;
	gsp->query_us = now_us;
	for (size_t i = 0; i < count && sent < GOSSIP_QUERIES_MAX; i++) {
		const struct member *member = member_at(gsp->members, gsp->query_index++ % count);

		if (!needs_query(gsp, member, version))
			continue;
		gossip_packet_start(gsp, GOSSIP_PING, 0);
		if (!gossip_packet_send(gsp, member, now_us))
			return;
		sent++;
	}
}
