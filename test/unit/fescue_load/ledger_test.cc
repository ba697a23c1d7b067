// Unit tests of fescue-load's ledger: results that contradict the recorded executions are counted.
#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <string>

extern "C" {
#include "fescue_load/ledger.h"
#include "fescue_load/plan.h"
}

namespace
{
class Ledger : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct plan_stream stream;
		struct error err = {};

		plan_init(plan.get());
		plan_stream_init(&stream);
		snprintf(stream.service, sizeof(stream.service), "ledger");
		snprintf(stream.class_name, sizeof(stream.class_name), "buy");
		stream.calls_per_s = 1;
		ASSERT_EQ(0, plan_add_stream(plan.get(), &stream, &err));
		snprintf(stream.method, sizeof(stream.method), "POST");
		ASSERT_EQ(0, plan_add_stream(plan.get(), &stream, &err));
		ledger_init(&ledger, plan.get(), 0xabc);
	}

	void TearDown() override
	{
		ledger_free(&ledger);
	}

	// Adds a call of stream 0 (GET) or 1 (POST) with a result and a number of executions.
	void call(uint32_t stream, enum call_result result, int starts, uint16_t attempts = 0)
	{
		int64_t index = ledger_add_call(&ledger, stream);
		char id[LEDGER_CALL_BYTES];

		ledger.calls[index].result = (uint8_t)result;
		ledger.calls[index].attempts = attempts;
		ledger.calls[index].sends = 1;
		ledger_call_id(&ledger, (uint32_t)index, id);
		std::string json = std::string("{\"attempts_doubled\":0,\"calls\":{\"") + id +
				   "\":[" + std::to_string(starts) + ",0]}}";
		ASSERT_EQ(0, ledger_add_executions(&ledger, json.c_str(), json.size()));
		ledger_total(&ledger, &total);
	}

	std::unique_ptr<struct plan> plan = std::make_unique<struct plan>();
	struct ledger ledger = {};
	struct ledger_sums total = {};
};
} // namespace

TEST_F(Ledger, OutcomesThatMatchExecutionsAreNoViolation)
{
	call(0, CALL_ANSWERED, 1);
	call(1, CALL_ANSWERED, 1);
	call(1, CALL_NOT_RUN, 0);
	call(1, CALL_UNKNOWN, 1);
	call(1, CALL_UNKNOWN, 0);
	EXPECT_EQ(0u, ledger_violations(&ledger, &total));
	EXPECT_EQ(5u, total.sent);
}

TEST_F(Ledger, NotRunThatRanIsAViolation)
{
	call(1, CALL_NOT_RUN, 1);
	EXPECT_EQ(1u, total.not_run_ran);
	EXPECT_EQ(1u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, AnsweredThatNeverRanIsAViolation)
{
	call(0, CALL_ANSWERED, 0);
	EXPECT_EQ(1u, total.answered_never_ran);
	EXPECT_EQ(1u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, ExecutionsAreNotCheckedWithoutBackendServers)
{
	ledger.executions_unchecked = true;
	call(0, CALL_ANSWERED, 0);
	EXPECT_EQ(0u, ledger_violations(&ledger, &total));
	call(0, CALL_CORRUPT, 0);
	EXPECT_EQ(1u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, MissingRecordsAreViolationsUnlessBackendServersMayFail)
{
	call(0, CALL_ANSWERED, 0);
	ledger.records_missing = 1;
	EXPECT_EQ(2u, ledger_violations(&ledger, &total));
	plan->backends_may_fail = true;
	EXPECT_EQ(0u, ledger_violations(&ledger, &total));
	call(1, CALL_NOT_RUN, 1);
	call(1, CALL_ANSWERED, 2);
	EXPECT_EQ(2u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, NonIdempotentCallThatRanTwiceIsDoubledForAnyOutcome)
{
	call(1, CALL_ANSWERED, 2, 2);
	call(1, CALL_UNKNOWN, 2, 2);
	EXPECT_EQ(2u, total.doubled);
}

TEST_F(Ledger, IdempotentCallMayRunOncePerAttempt)
{
	call(0, CALL_ANSWERED, 2, 2);
	EXPECT_EQ(0u, total.doubled);
	EXPECT_EQ(1u, total.retried_runs);
	call(0, CALL_ANSWERED, 3, 2);
	EXPECT_EQ(1u, total.doubled);
}

TEST_F(Ledger, ExecutionsOfAllBackendServersAreAdded)
{
	call(1, CALL_ANSWERED, 1);
	std::string json = R"({"attempts_doubled":1,"calls":{"abc-0":[1,1],"def-0":[5,5]}})";

	ASSERT_EQ(0, ledger_add_executions(&ledger, json.c_str(), json.size()));
	ledger_total(&ledger, &total);
	EXPECT_EQ(1u, total.doubled);
	EXPECT_EQ(2u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, PendingLostCutAndCorruptCallsAreViolations)
{
	call(0, CALL_PENDING, 0);
	call(0, CALL_LOST, 0);
	call(0, CALL_CUT, 1);
	call(0, CALL_CORRUPT, 1);
	EXPECT_EQ(4u, ledger_violations(&ledger, &total));
}

TEST_F(Ledger, InvalidRecordsAreRejected)
{
	EXPECT_EQ(-1, ledger_add_executions(&ledger, "[]", 2));
	EXPECT_EQ(-1, ledger_add_executions(&ledger, "{", 1));
}

TEST_F(Ledger, AddCallFailsAtMaxCallsOfThePlan)
{
	plan->max_calls = 1;
	EXPECT_EQ(0, ledger_add_call(&ledger, 0));
	EXPECT_EQ(-1, ledger_add_call(&ledger, 0));
}
