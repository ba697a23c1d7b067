// Properties of the byte budget: over any sequence of requests and charges a bucket spends no more
// than its rate in the long run, and messages that can wait are refused while there is a backlog.
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "fescuemill/decide/budget.h"
}

namespace
{
const uint64_t second_us = 1000000;

struct Step {
	uint64_t pause_us;
	uint32_t request;
	uint32_t answer;
	bool is_watch;
};

Step random_step()
{
	return {*rc::gen::inRange<uint64_t>(0, 3 * second_us),
		*rc::gen::inRange<uint32_t>(400, 2000), *rc::gen::inRange<uint32_t>(100, 100000),
		*rc::gen::arbitrary<bool>()};
}

// Asks the budget as the platform client does. Returns true if the call was made.
bool try_call(budget *bud, const Step &step, uint64_t now)
{
	bool admitted = step.is_watch ? budget_take(bud, step.request, true, now)
				      : budget_take_if_no_backlog(bud, step.request, true, now);

	if (admitted)
		budget_charge_in_full(bud, step.answer, true, now);
	return admitted;
}
} // namespace

RC_GTEST_PROP(Budget, ACallIsPaidOffBeforeTheNextLargeOne, ())
{
	uint64_t rate = *rc::gen::inRange<uint64_t>(50, 20000);
	uint64_t now = second_us;
	budget bud;

	budget_init(&bud, rate, rate, now);
	for (int i = 0; i < 100; i++) {
		Step step = random_step();

		now += step.pause_us;
		step.is_watch = false;
		uint64_t before = bud.link.spent_bytes;
		double earned = (double)rate * (double)(now - second_us) / second_us;

		// All bytes spent before have been refilled by now, except for the burst and
		// overdraft.
		if (try_call(&bud, step, now))
			RC_ASSERT((double)before <= earned + 2 * (double)bud.link.burst_bytes + 1);
	}
}

RC_GTEST_PROP(Budget, NothingThatIsChargedWholeIsForgiven, ())
{
	uint64_t rate = *rc::gen::inRange<uint64_t>(50, 20000);
	uint64_t now = second_us;
	budget bud;

	budget_init(&bud, rate, rate, now);
	for (int i = 0; i < 100; i++) {
		Step step = random_step();

		now += step.pause_us;
		try_call(&bud, step, now);
		double earned = (double)rate * (double)(now - second_us) / second_us;
		double burst = (double)bud.link.burst_bytes;
		double open = bud.link.backlog_bytes + std::max(0.0, -bud.link.tokens_bytes);

		RC_ASSERT((double)bud.link.spent_bytes <= earned + burst + open + 1);
	}
}

TEST(Budget, SharesOfALinkDoNotExceedItsRate)
{
	const uint64_t total = 37500;
	const uint32_t nodes = 620;
	const uint32_t watchers = 8;
	uint64_t sum = 0;
	budget bud;

	budget_init(&bud, 7000, total, 1);
	for (uint32_t i = 0; i < nodes; i++) {
		budget_share_link(&bud, nodes, watchers, i < watchers);
		sum += bud.link.rate_bytes_per_s;
	}
	EXPECT_LE(sum, total);
	budget_share_link(&bud, nodes, 0, true);
	EXPECT_EQ(total / nodes, bud.link.rate_bytes_per_s);
}
