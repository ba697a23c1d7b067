/*
 * Allotments: the bound on a customer's calls, and the members that share it.
 */
#include "fescuemill/decide/allotment.h"

/* Updates the number of live members. Members that are lost count for ALLOTMENT_LOST_US; the
 * member table cannot tell a member that is cut off from one that died or left. */
void allotment_members_update(struct allotment_members *members, uint32_t live, uint64_t now_us)
{
	members->live = live ? live : 1;
	if (members->live >= members->known) {
		members->known = members->live;
		members->below_us = 0;
		return;
	}
	if (!members->below_us)
		members->below_us = now_us;
	if (now_us >= members->below_us + ALLOTMENT_LOST_US) {
		members->known = members->live;
		members->below_us = 0;
	}
}

/* Returns the calls that a customer may make in ALLOTMENT_WINDOW_US. */
double allotment_window_calls(const struct allotment_limit *limit)
{
	return limit->rate_milli * 1e-9 * (double)ALLOTMENT_WINDOW_US + limit->burst;
}

/* Returns the calls by which the judged bound exceeds allotment_window_calls(). */
double allotment_slack_calls(const struct allotment_limit *limit)
{
	return allotment_window_calls(limit) * ALLOTMENT_SLACK + ALLOTMENT_SLACK_MORE;
}
