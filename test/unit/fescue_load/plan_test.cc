// Unit tests of fescue-load's plan: every invalid key results in a typed error that names it.
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>

extern "C" {
#include "fescue_load/plan.h"
}

namespace
{
struct Parsed {
	std::unique_ptr<struct plan> plan = std::make_unique<struct plan>();
	struct error err = {};
	int result;

	explicit Parsed(const std::string &json)
	{
		plan_init(plan.get());
		result = plan_parse(plan.get(), json.c_str(), &err);
		if (result == 0)
			result = plan_check(plan.get(), &err);
	}
};

std::string with_stream(const std::string &keys)
{
	return R"({"entries":["127.0.0.1:80"],"streams":[{"service":"ledger","class":"buy",)" +
	       keys + "}]}";
}
} // namespace

TEST(Plan, ParsesEveryKey)
{
	Parsed parsed(R"({"seed":7,"duration_ms":500,"grace_ms":100,"max_calls":50,
		"entries_may_fail":true,"entries":["127.0.0.1:80","127.0.0.2:81"],
		"backends":[{"service":"ledger","address":"127.0.0.1:90"}],
		"streams":[{"service":"ledger","class":"buy","method":"POST","path":"/x",
		"calls_per_s":2.5,"body_bytes":10,"answer_bytes":20,"deadline_ms":300,
		"keyed_share":0.5,"idempotent":false}]})");

	ASSERT_EQ(0, parsed.result) << parsed.err.detail;
	EXPECT_EQ(7u, parsed.plan->seed);
	EXPECT_TRUE(parsed.plan->entries_may_fail);
	EXPECT_EQ(2u, parsed.plan->entry_count);
	EXPECT_STREQ("ledger", parsed.plan->backends[0].service);
	EXPECT_EQ(300u, parsed.plan->streams[0].deadline_ms);
	EXPECT_FALSE(plan_stream_is_idempotent(&parsed.plan->streams[0]));
}

TEST(Plan, InvalidInputFailsWithTypedErrorThatNamesTheKey)
{
	const struct {
		std::string json;
		enum error_kind kind;
		const char *named;
	} cases[] = {
		{"{", ERROR_SYNTAX, "line 1"},
		{R"({"streams":[],"speed":1})", ERROR_UNKNOWN_KEY, "speed"},
		{R"({"entries":[]})", ERROR_MISSING, "streams"},
		{R"({"streams":[{"class":"buy"}]})", ERROR_MISSING, "service"},
		{with_stream(R"("calls_per_s":"fast")"), ERROR_TYPE, "streams[0]"},
		{with_stream(R"("calls_per_s":1,"colour":1)"), ERROR_UNKNOWN_KEY, "colour"},
		{with_stream(R"("calls_per_s":1,"deadline_ms":0)"), ERROR_RANGE, "deadline_ms"},
		{with_stream(R"("calls_per_s":1,"connections":1)"), ERROR_RANGE, "connections"},
		{with_stream(R"("calls_per_s":1,"body_bytes":-1)"), ERROR_RANGE, "body_bytes"},
		{with_stream(R"("calls_per_s":1,"method":"SELL")"), ERROR_RANGE, "method"},
		{with_stream(R"("calls_per_s":1,"path":"x")"), ERROR_RANGE, "path"},
		{R"({"entries":["here"],"streams":[]})", ERROR_RANGE, "here"},
		{R"({"entries":[7],"streams":[]})", ERROR_TYPE, "entries[0]"},
		{R"({"entries":["127.0.0.1:80"],"streams":[]})", ERROR_MISSING, "streams"},
	};

	for (const auto &one : cases) {
		Parsed parsed(one.json);

		EXPECT_EQ(-1, parsed.result) << one.json;
		EXPECT_EQ(one.kind, parsed.err.kind) << one.json << ": " << parsed.err.detail;
		EXPECT_NE(nullptr, strstr(parsed.err.detail, one.named))
			<< one.json << ": " << parsed.err.detail;
	}
}

TEST(Plan, DirectCallsNeedABackendOfEachService)
{
	struct error err = {};
	auto plan = std::make_unique<struct plan>();

	plan_init(plan.get());
	plan->direct = true;
	ASSERT_EQ(0,
		  plan_parse(plan.get(),
			     R"({"streams":[{"service":"ledger","class":"buy","connections":1}]})",
			     &err));
	ASSERT_EQ(0, plan_add_backend(plan.get(), "assay", "127.0.0.1:9", &err));
	EXPECT_EQ(-1, plan_check(plan.get(), &err));
	EXPECT_EQ(ERROR_MISSING, err.kind);
}
