// fescue-report on a fleet of real nodes: its report of a flood agrees with the calls sent.
#include "functional/support/fleet.h"

#include <fstream>
#include <gtest/gtest.h>

using support::Json;

namespace
{
constexpr int CONFIGURED_PER_S = 40; // of the class statement in the samples
constexpr int SECONDS = 4;
constexpr int GATES = 2;
// Upper bound of a gate's token bucket, in calls: it holds 0.25 s of the gate's share, at least 8.
constexpr int BURST = 10;

int64_t number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

int64_t offered(const json_t *attempts)
{
	return number(attempts, "answered") + number(attempts, "not_run") +
	       number(attempts, "unknown");
}

class Report : public testing::Test
{
      protected:
	// Starts two backend servers that together serve 300 calls a second. flood() sends four
	// times as many calls of the class statement.
	void SetUp() override
	{
		support::FleetOptions options = support::FleetOptions::small(GATES);

		options.service_ms = 40;
		options.operator_key = "key-of-the-operators";
		fleet = std::make_unique<support::Fleet>(options);
		fleet->start();
		fleet->write_operator_settings(fleet->folder() + "/ctl.json");
	}

	void flood()
	{
		std::string plan = fleet->folder() + "/plan.json";

		std::ofstream(plan) << R"({"streams":[{"service":"ledger","class":"purchase",)"
				    << R"("method":"POST","calls_per_s":50,"deadline_ms":5000},)"
				    << R"({"service":"ledger","class":"statement",)"
				    << R"("calls_per_s":1200,"deadline_ms":5000}]})";
		ASSERT_EQ(0,
			  fleet->run_load(plan, {"--duration-ms", std::to_string(SECONDS * 1000)}));
	}

	Json report()
	{
		std::string file = fleet->folder() + "/report.json";
		std::string command = support::program("fescue-report") + " --json --settings " +
				      fleet->folder() + "/ctl.json --html " + fleet->folder() +
				      "/burn.html > " + file;

		EXPECT_EQ(0, system(command.c_str()));
		return Json(json_load_file(file.c_str(), 0, nullptr));
	}

	// Returns the short window of a class, or NULL if the report does not have the class.
	static const json_t *window_of(const Json &report, const std::string &name)
	{
		size_t index;
		json_t *cls;

		json_array_foreach(json_object_get(report.get(), "classes"), index, cls)
		{
			if (json_string_value(json_object_get(cls, "class")) == name)
				return json_array_get(json_object_get(cls, "windows"), 0);
		}
		return nullptr;
	}

	std::unique_ptr<support::Fleet> fleet;
};
} // namespace

TEST_F(Report, FloodIsReportedByProfileAndWithWhatEachClassKept)
{
	flood();
	Json all = report();
	const json_t *purchase = window_of(all, "purchase");
	const json_t *statement = window_of(all, "statement");
	const json_t *in = json_object_get(statement, "in_profile");
	const json_t *out = json_object_get(statement, "out_of_profile");

	// Purchases stay in profile. Calls that the entry refuses itself reach no gate.
	EXPECT_EQ(0, offered(json_object_get(purchase, "out_of_profile")));
	EXPECT_GE(number(json_object_get(purchase, "in_profile"), "answered"),
		  number(purchase, "answered"));
	// Statements within the configured rate are in profile. Most are not, and of these some are
	// refused.
	EXPECT_LE(number(in, "answered"), CONFIGURED_PER_S * (SECONDS + 5) + GATES * BURST);
	EXPECT_GT(offered(out), offered(in));
	EXPECT_GT(number(out, "not_run"), 0);
	EXPECT_GE(number(in, "answered") + number(out, "answered"), number(statement, "answered"));
	EXPECT_EQ(0, number(all.get(), "nodes_without_profile"));
	const json_t *kept = json_array_get(json_object_get(all.get(), "kept"), 0);

	EXPECT_EQ(1, number(json_object_get(kept, "flooded"), "classes"));
}
