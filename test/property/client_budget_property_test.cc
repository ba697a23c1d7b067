// Client budget under crowds that hold memory and descriptors: whatever the mix of clients, ending
// the worst of them brings the memory back under its limit, never ends a running request, and ends
// ordinary clients that wait for their next request only after all those without one.
#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>
#include <vector>

extern "C" {
#include "fescuemill/decide/client_budget.h"
}

namespace
{
constexpr uint64_t NOW_MS = 100000;
constexpr uint64_t LIMIT_BYTES = 32 << 20;

client_track make_track()
{
	client_track track{};
	client_sample sample{};
	uint64_t began_ms = *rc::gen::inRange<uint64_t>(0, NOW_MS);

	sample.phase = *rc::gen::element(CLIENT_IDLE, CLIENT_HEAD, CLIENT_BODY, CLIENT_RUNNING,
					 CLIENT_ANSWER);
	sample.requests = *rc::gen::inRange<uint64_t>(0, 3);
	sample.moved_bytes = *rc::gen::inRange<uint64_t>(0, 4 << 20);
	sample.held_bytes = *rc::gen::inRange<uint64_t>(8192, 4 << 20);
	client_track_start(&track, began_ms);
	client_track_update(&track, &sample, began_ms);
	sample.moved_bytes += *rc::gen::inRange<uint64_t>(0, 1 << 20);
	client_track_update(&track, &sample, *rc::gen::inRange<uint64_t>(began_ms, NOW_MS + 1));
	return track;
}

std::vector<client_track> make_crowd()
{
	std::vector<client_track> crowd;
	size_t size = *rc::gen::inRange<size_t>(1, 60);

	while (crowd.size() < size)
		crowd.push_back(make_track());
	return crowd;
}

bool is_stalled(const client_track &track)
{
	return NOW_MS - track.marked_ms >= 500;
}
} // namespace

RC_GTEST_PROP(ClientBudget, CrowdThatHoldsTooMuchIsBroughtUnderTheLimit, ())
{
	std::vector<client_track> crowd = make_crowd();
	client_totals totals = {0, LIMIT_BYTES};
	uint64_t kept_bytes = 0;

	for (const client_track &track : crowd)
		totals.held_bytes += track.last.held_bytes;
	std::sort(crowd.begin(), crowd.end(), [](const client_track &a, const client_track &b) {
		return client_is_worse_holder(&a, &b, NOW_MS);
	});
	for (const client_track &track : crowd) {
		if (totals.held_bytes > LIMIT_BYTES &&
		    client_may_release(&track, &totals, NOW_MS)) {
			RC_ASSERT(track.last.phase != CLIENT_RUNNING);
			RC_ASSERT(track.last.phase != CLIENT_IDLE);
			totals.held_bytes -= track.last.held_bytes;
		} else if (track.last.phase == CLIENT_RUNNING || track.last.phase == CLIENT_IDLE ||
			   (track.last.phase == CLIENT_ANSWER && !is_stalled(track)) ||
			   track.last.held_bytes <= 32768) {
			kept_bytes += track.last.held_bytes;
		}
	}
	// What is left over the limit is answers that are being read, running requests and at most
	// one holder that is alone.
	RC_ASSERT(totals.held_bytes <=
		  std::max(LIMIT_BYTES, kept_bytes + LIMIT_BYTES / 4 + (uint64_t)(4 << 20)));
}

RC_GTEST_PROP(ClientBudget, StalledHoldersAreEndedBeforeThoseThatMakeProgress, ())
{
	client_track a = make_track();
	client_track b = make_track();

	if (client_is_worse_holder(&a, &b, NOW_MS)) {
		RC_ASSERT(!client_is_worse_holder(&b, &a, NOW_MS));
		RC_ASSERT(is_stalled(a) || !is_stalled(b));
	}
}

RC_GTEST_PROP(ClientBudget, TheOnlyHolderIsNeverEnded, ())
{
	client_track track = make_track();
	client_totals totals = {track.last.held_bytes + LIMIT_BYTES / 4, LIMIT_BYTES};

	RC_ASSERT(!client_may_release(&track, &totals, NOW_MS));
}

RC_GTEST_PROP(ClientBudget, CrowdOfHalfHeadsEndsBeforeOrdinaryIdleConnections, ())
{
	client_track a = make_track();
	client_track b = make_track();
	bool is_a_ordinary = a.last.phase == CLIENT_IDLE && a.last.requests > 0;

	RC_PRE(client_may_disconnect(&a, NOW_MS) && client_may_disconnect(&b, NOW_MS));
	RC_ASSERT(a.last.phase != CLIENT_RUNNING);
	if (is_a_ordinary && client_is_worse_connection(&a, &b))
		RC_ASSERT(b.last.phase == CLIENT_IDLE && b.last.requests > 0);
}
