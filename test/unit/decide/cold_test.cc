// Unit tests of what a gate holds true of a cold backend server and of how many calls it lets
// through, each named for its load or failure.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/gate.h"
}

namespace
{
constexpr uint64_t START_US = 100 * USEC_PER_SEC;
constexpr uint32_t RATE_PER_S = 20;
constexpr uint32_t BOUND = RATE_PER_S * 3 / 2 + 8;
constexpr uint32_t COLD_START_MS = 10000;

struct cold cold_with_rate(uint32_t rate_milli = RATE_PER_S * 1000)
{
	struct cold cold;

	cold_init(&cold, START_US);
	cold_configure(&cold, rate_milli, COLD_START_MS, START_US);
	return cold;
}

struct cold_heartbeat heartbeat(uint64_t sequence, uint32_t left_ms, uint64_t started_ms = 1000)
{
	return {7, started_ms, sequence, true, left_ms};
}

void hear(struct cold &cold, const struct cold_heartbeat &beat, uint64_t now_us)
{
	cold_hear_heartbeat(&cold, &beat, now_us);
}

bool is_cold(const struct cold &cold, uint64_t now_us)
{
	return cold_is_limiting(&cold, now_us);
}

// A gate before a server with many slots, with calls offered without pause. Counts the starts.
class LoadedGate
{
      public:
	explicit LoadedGate(uint32_t rate_milli = RATE_PER_S * 1000)
	{
		struct service_config config = {};

		snprintf(config.service, sizeof(config.service), "ledger");
		config.version = 1;
		config.class_count = 2;
		for (uint32_t i = 0; i < 2; i++) {
			struct class_target &target = config.classes[i];

			snprintf(target.name, sizeof(target.name), "class-%u", i);
			target.rank = i;
			target.latency_us = 500000;
			target.percentile_x10 = 990;
			target.calls_per_s = CLASS_CALLS_PER_S_UNSET;
		}
		gate_init(&gate, now_us);
		cold_configure(&gate.cold, rate_milli, COLD_START_MS, now_us);
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, 32, now_us, &actions);
	}

	// Offers calls_per_ms calls each millisecond for a time. The server takes 5 ms for each.
	void run(uint32_t ms, uint32_t calls_per_ms = 2, uint32_t wait_max_us = 10000)
	{
		for (uint32_t i = 0; i < ms; i++) {
			now_us += USEC_PER_MSEC;
			finish();
			if (now_us % GATE_TICK_INTERVAL_US == 0) {
				gate_tick(&gate, now_us, &actions);
				apply();
			}
			for (uint32_t n = 0; n < calls_per_ms; n++)
				offer(n % 2, wait_max_us);
		}
	}

	struct gate_verdict offer(uint32_t class_index, uint32_t wait_max_us)
	{
		auto ticket = std::make_unique<gate_ticket>();
		struct gate_ticket *offered = ticket.get();

		tickets.push_back(std::move(ticket));
		offered->has_wait_limit = wait_max_us != UINT32_MAX;
		offered->wait_max_us = wait_max_us;
		struct gate_verdict verdict = gate_offer(
			&gate, offered, class_index, now_us + 2 * USEC_PER_SEC, now_us, &actions);
		if (verdict.kind == GATE_START)
			started(offered);
		else if (verdict.kind == GATE_REFUSE)
			refusals[verdict.reason]++;
		apply();
		return verdict;
	}

	uint32_t starts_in_worst_second(uint64_t from_us) const
	{
		std::deque<uint64_t> window;
		size_t worst = 0;

		for (uint64_t at_us : starts) {
			if (at_us < from_us)
				continue;
			window.push_back(at_us);
			while (window.front() + USEC_PER_SEC <= at_us)
				window.pop_front();
			worst = std::max(worst, window.size());
		}
		return (uint32_t)worst;
	}

	uint32_t starts_since(uint64_t from_us) const
	{
		return (uint32_t)std::count_if(starts.begin(), starts.end(),
					       [&](uint64_t at_us) { return at_us >= from_us; });
	}

	struct gate gate = {};
	uint64_t now_us = START_US;
	std::vector<uint64_t> starts;
	std::vector<uint32_t> started_classes;
	uint32_t refusals[REASON_COUNT] = {};

      private:
	void started(struct gate_ticket *ticket)
	{
		starts.push_back(now_us);
		started_classes.push_back(ticket->class_index);
		running.push_back(ticket);
	}

	void apply()
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			const struct gate_action &action = actions.list[i];

			if (action.verdict.kind == GATE_START)
				started(action.ticket);
			else
				refusals[action.verdict.reason]++;
		}
		actions.count = 0;
	}

	void finish()
	{
		while (!running.empty() && running.front()->start_us + 5000 <= now_us) {
			struct gate_ticket *ticket = running.front();

			running.pop_front();
			gate_finish(&gate, ticket, GATE_RESULT_OK, now_us, &actions);
			apply();
		}
	}

	struct gate_actions actions = {};
	std::vector<std::unique_ptr<gate_ticket>> tickets;
	std::deque<gate_ticket *> running;
};
} // namespace

// Guards against calls that a deployment without the cold rate would lose: nothing is limited
// there.
TEST(Cold, NothingIsLimitedWithoutConfiguredRate)
{
	LoadedGate loaded(0);

	cold_hear_probe(&loaded.gate.cold, COLD_START_MS, START_US, START_US);
	loaded.run(1000);
	EXPECT_EQ(2000U, loaded.starts.size());
	EXPECT_FALSE(is_cold(loaded.gate.cold, loaded.now_us));
}

// Guards against full load on a server of which a restarted gate knows nothing yet.
TEST(Cold, GateThatHasJustStartedLimitsUntilItHearsOfItsServer)
{
	struct cold cold = cold_with_rate();

	EXPECT_TRUE(is_cold(cold, START_US));
	hear(cold, heartbeat(1, 0), START_US + 1000);
	EXPECT_FALSE(is_cold(cold, START_US + 1000));
}

// Guards against a limit without end before a server that never says whether it is cold.
TEST(Cold, SilentServerIsWarmAfterTheTimeOfAColdStart)
{
	struct cold cold = cold_with_rate();

	EXPECT_TRUE(is_cold(cold, START_US + COLD_START_MS * USEC_PER_MSEC - 1));
	EXPECT_FALSE(is_cold(cold, START_US + COLD_START_MS * USEC_PER_MSEC));
}

// Guards against full load on a server that a late heartbeat, from before it became cold, calls
// warm.
TEST(Cold, LateHeartbeatThatSaysZeroTurnsNothingAround)
{
	struct cold cold = cold_with_rate();
	uint64_t now_us = START_US + 1000;

	hear(cold, heartbeat(5, 8000), now_us);
	hear(cold, heartbeat(4, 0), now_us + 1000); // an earlier sequence number
	EXPECT_TRUE(is_cold(cold, now_us + 1000));
	hear(cold, heartbeat(9, 0, 999), now_us + 2000); // an earlier start
	EXPECT_TRUE(is_cold(cold, now_us + 2000));
	cold_hear_probe(&cold, 7000, now_us + 3000, now_us + 4000);
	hear(cold, heartbeat(6, 0),
	     now_us + 5000); // written before the health check, for all we know
	EXPECT_TRUE(is_cold(cold, now_us + 5000));
	cold_hear_probe(&cold, 0, now_us + 6000, now_us + 7000);
	EXPECT_FALSE(is_cold(cold, now_us + 7000));
}

// Guards against a health check that was sent before a heartbeat said cold and says zero after it.
TEST(Cold, HealthCheckSentBeforeTheHeartbeatDoesNotWithdrawIt)
{
	struct cold cold = cold_with_rate();

	hear(cold, heartbeat(1, 5000), START_US + 2000);
	cold_hear_probe(&cold, 0, START_US + 1000, START_US + 3000);
	EXPECT_TRUE(is_cold(cold, START_US + 3000));
	cold_hear_probe(&cold, 0, START_US + 4000, START_US + 5000);
	EXPECT_FALSE(is_cold(cold, START_US + 5000));
}

// Guards against full load on a new start of the server before it has said anything.
TEST(Cold, NewStartIsColdUntilItSaysOtherwise)
{
	struct cold cold = cold_with_rate();
	struct cold_heartbeat silent = heartbeat(1, 0, 2000);

	hear(cold, heartbeat(1, 0), START_US);
	EXPECT_FALSE(is_cold(cold, START_US));
	silent.has_left = false;
	hear(cold, silent, START_US + 1000);
	EXPECT_TRUE(is_cold(cold, START_US + 1000));
	hear(cold, heartbeat(2, 0, 2000), START_US + 2000);
	EXPECT_FALSE(is_cold(cold, START_US + 2000));
}

// Guards against full load on a server that is started again within one health check, and against a
// health path that never answers holding back a warm server for good.
TEST(Cold, OnlyTheFirstFailedHealthCheckRaisesDoubt)
{
	struct cold cold = cold_with_rate();
	uint64_t now_us = START_US + 1000;

	cold_hear_probe(&cold, 0, START_US, START_US);
	cold_probe_failed(&cold, now_us);
	EXPECT_TRUE(is_cold(cold, now_us));
	now_us += COLD_DOUBT_US;
	EXPECT_FALSE(is_cold(cold, now_us));
	cold_probe_failed(&cold, now_us);
	EXPECT_FALSE(is_cold(cold, now_us));
}

// Guards against servers of a returning failure domain that get more than they bear, or that are
// left unused.
TEST(Cold, DomainThatComesBackColdUnderFullDemandIsFilledUpToTheColdRate)
{
	LoadedGate loaded;

	hear(loaded.gate.cold, heartbeat(1, COLD_START_MS), START_US);
	loaded.run(5000);
	EXPECT_LE(loaded.starts_in_worst_second(0), RATE_PER_S * 3 / 2);
	EXPECT_GE(loaded.starts.size(), 5 * RATE_PER_S * 9 / 10);
	EXPECT_EQ(0U, loaded.refusals[REASON_OVERLOAD]);
	EXPECT_GT(loaded.refusals[REASON_COLD], 9000U);
}

// Guards against the calls of the last moments of a warm server coming on top of the cold rate.
TEST(Cold, ServerThatTurnsColdAgainUnderLoadStaysWithinItsBound)
{
	LoadedGate loaded;
	uint64_t cold_us;

	hear(loaded.gate.cold, heartbeat(1, 0), START_US);
	loaded.run(2000, 1);
	EXPECT_GE(loaded.starts.size(), 1900U);
	cold_us = loaded.now_us + 1; // the gate learns of it 20 ms later
	loaded.run(20, 1);
	cold_hear_probe(&loaded.gate.cold, COLD_START_MS, loaded.now_us, loaded.now_us);
	loaded.run(5000, 1);
	EXPECT_LE(loaded.starts_in_worst_second(cold_us), BOUND);
	EXPECT_GE(loaded.starts_since(cold_us), 5 * RATE_PER_S * 9 / 10);
}

// Guards against calls that wait at a server that has turned cold although another has room.
TEST(Cold, WaitingCallsGoElsewhereWhenTheServerTurnsCold)
{
	LoadedGate loaded;

	hear(loaded.gate.cold, heartbeat(1, 0), START_US);
	loaded.run(200, 8, 100000);
	ASSERT_GT(loaded.gate.queued, 4U);
	cold_hear_probe(&loaded.gate.cold, COLD_START_MS, loaded.now_us, loaded.now_us);
	loaded.run(5, 0);
	EXPECT_LE(loaded.gate.queued, RATE_PER_S / 10 + 1);
	EXPECT_GT(loaded.refusals[REASON_COLD], 0U);
}

// Guards against a second full bucket for the calls of a gate that restarts during a warm-up.
TEST(Cold, GateThatRestartsDuringAWarmUpStartsWithoutABurst)
{
	LoadedGate before;
	uint64_t half_us = START_US + USEC_PER_SEC / 2;

	hear(before.gate.cold, heartbeat(1, COLD_START_MS), START_US);
	before.run(500);
	LoadedGate after;
	hear(after.gate.cold, heartbeat(2, COLD_START_MS), START_US);
	after.run(500);
	EXPECT_LE(before.starts.size() + after.starts_since(0), RATE_PER_S * 3 / 2);
	EXPECT_LT(half_us, before.now_us + 1);
}

// Guards against urgent calls that wait behind others for the little that a cold server takes.
TEST(Cold, UrgentCallsComeFirstWithinTheLimit)
{
	LoadedGate loaded;

	hear(loaded.gate.cold, heartbeat(1, COLD_START_MS), START_US);
	for (int i = 0; i < 8; i++)
		loaded.offer(1, UINT32_MAX);
	for (int i = 0; i < 8; i++)
		loaded.offer(0, UINT32_MAX);
	loaded.run(1000, 0);
	ASSERT_GE(loaded.started_classes.size(), 12U);
	EXPECT_EQ(8, std::count(loaded.started_classes.begin(), loaded.started_classes.begin() + 8,
				0U));
}

// Guards against entries that compare a cold gate by its free slots alone.
TEST(Cold, LoadReportCarriesTheRoomAndTheWait)
{
	LoadedGate loaded;
	struct gate_load load = {};

	hear(loaded.gate.cold, heartbeat(1, COLD_START_MS), START_US);
	loaded.run(2000, 0);
	gate_tick(&loaded.gate, loaded.now_us, std::make_unique<gate_actions>().get());
	gate_get_load(&loaded.gate, &load);
	EXPECT_TRUE(load.has_cold_room);
	EXPECT_EQ(RATE_PER_S / 2, load.cold_room);
	EXPECT_EQ(RATE_PER_S * 1000, load.rate_limit_milli);
	EXPECT_EQ(0U, load.wait_us);
	loaded.run(100);
	gate_get_load(&loaded.gate, &load);
	EXPECT_EQ(0U, load.cold_room);
	EXPECT_GT(load.wait_us, 0U);
	cold_hear_probe(&loaded.gate.cold, 0, loaded.now_us, loaded.now_us);
	gate_get_load(&loaded.gate, &load);
	EXPECT_FALSE(load.has_cold_room);
	EXPECT_EQ(0U, load.rate_limit_milli);
}

// Guards against a draining server that is refused as cold: it keeps its own rules.
TEST(Cold, DrainingServerRefusesAsDraining)
{
	LoadedGate loaded;
	auto actions = std::make_unique<gate_actions>();

	hear(loaded.gate.cold, heartbeat(1, COLD_START_MS), START_US);
	gate_set_backend(&loaded.gate, BACKEND_DRAINING, 32, loaded.now_us, actions.get());
	EXPECT_EQ(REASON_DRAINING, loaded.offer(0, 0).reason);
}
