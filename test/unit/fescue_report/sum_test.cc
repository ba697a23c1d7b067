// Sums of the nodes' burn reports, and their HTML page.
#include <gtest/gtest.h>
#include <memory>
#include <string>

extern "C" {
#include "fescue_report/print.h"
}

namespace
{
std::string report(int answered, int in_time, int not_run, int since_s,
		   const std::string &class_name = "purchase")
{
	auto window = [&](int seconds) {
		return "{\"seconds\":" + std::to_string(seconds) +
		       ",\"answered\":" + std::to_string(answered) +
		       ",\"in_time\":" + std::to_string(in_time) +
		       ",\"not_run\":" + std::to_string(not_run) + ",\"unknown\":0}";
	};

	return "{\"name\":\"a\",\"counts_since_s\":" + std::to_string(since_s) +
	       ",\"classes\":[{\"service\":\"ledger\",\"class\":\"" + class_name +
	       "\",\"target\":{\"rank\":0,\"latency_ms\":50.0,\"percentile\":99.0,"
	       "\"calls_per_s\":1},\"windows\":[" +
	       window(100) + "," + window(1000) +
	       "],\"reasons\":{\"overload\":" + std::to_string(not_run) + "}}]}";
}

bool add(struct sum *sum, const std::string &text)
{
	json_t *json = json_loads(text.c_str(), 0, nullptr);
	bool is_complete = sum_add(sum, json);

	json_decref(json);
	return is_complete;
}

std::string page(const struct print_input &input)
{
	char *data = nullptr;
	size_t size = 0;
	FILE *out = open_memstream(&data, &size);

	print_html(out, &input);
	fclose(out);
	std::string text(data, size);
	free(data);
	return text;
}
} // namespace

TEST(Sum, AddsUpNodesAndKeepsTheShortestCountedTime)
{
	auto sum = std::make_unique<struct sum>();

	EXPECT_TRUE(add(sum.get(), report(100, 98, 0, 500)));
	EXPECT_TRUE(add(sum.get(), report(90, 90, 10, 40)));
	ASSERT_EQ(1u, sum->count);
	EXPECT_EQ(190u, sum->classes[0].windows[0].answered);
	EXPECT_EQ(188u, sum->classes[0].windows[1].in_time);
	EXPECT_EQ(10u, sum->classes[0].reasons[REASON_OVERLOAD]);
	EXPECT_EQ(40u, sum->min_counted_s);
}

TEST(Sum, BurnOneUsesUpTheBudgetExactly)
{
	auto sum = std::make_unique<struct sum>();

	add(sum.get(), report(100, 99, 0, 500));
	sum_finish(sum.get());
	struct sum_rates rates = sum_compute_rates(&sum->classes[0], &sum->classes[0].windows[0]);

	EXPECT_NEAR(1.0, rates.burn, 1e-9);
	EXPECT_NEAR(0.0, rates.budget_left, 1e-9);
	EXPECT_NEAR(1.0, rates.offered_per_s, 1e-9);
	EXPECT_NEAR(0.0, rates.excess_percent, 1e-9);
}

TEST(Sum, CallsNotRunCountAgainstTheTarget)
{
	auto sum = std::make_unique<struct sum>();

	add(sum.get(), report(100, 100, 300, 500));
	sum_finish(sum.get());
	struct sum_rates rates = sum_compute_rates(&sum->classes[0], &sum->classes[0].windows[0]);

	EXPECT_NEAR(25.0, rates.achieved_percent, 1e-9);
	EXPECT_NEAR(25.0, rates.kept_percent, 1e-9);
	EXPECT_NEAR(75.0, rates.excess_percent, 1e-9);
	EXPECT_NEAR(75.0, rates.burn, 1e-9);
}

TEST(Sum, RatesAreOverTheCountedTime)
{
	auto sum = std::make_unique<struct sum>();

	add(sum.get(), report(100, 100, 0, 10));
	sum_finish(sum.get());
	EXPECT_NEAR(10.0,
		    sum_compute_rates(&sum->classes[0], &sum->classes[0].windows[0]).offered_per_s,
		    1e-9);
}

TEST(Sum, AddsUpAttemptsByProfile)
{
	auto sum = std::make_unique<struct sum>();
	const std::string window =
		R"({"seconds":100,"answered":90,"in_time":80,"not_run":10,"unknown":0,)"
		R"("in_profile":{"answered":40,"in_time":30,"not_run":5,"unknown":5},)"
		R"("out_of_profile":{"answered":0,"in_time":0,"not_run":25,"unknown":0}})";
	const std::string text = R"({"counts_since_s":100,"counts_by_profile":true,"classes":[)"
				 R"({"service":"ledger","class":"purchase","windows":[)" +
				 window + "," + window + "]}]}";

	EXPECT_TRUE(add(sum.get(), text));
	EXPECT_TRUE(add(sum.get(), text));
	EXPECT_TRUE(add(sum.get(), report(0, 0, 0, 100)));
	sum_finish(sum.get());
	const sum_window &added = sum->classes[0].windows[0];
	sum_shares in = sum_compute_shares(&added.in_profile, added.counted_s);
	sum_shares out = sum_compute_shares(&added.out_of_profile, added.counted_s);

	EXPECT_NEAR(1.0, in.offered_per_s, 1e-9);
	EXPECT_NEAR(80.0, in.answered_percent, 1e-9);
	EXPECT_NEAR(20.0, in.late_percent, 1e-9);
	EXPECT_NEAR(10.0, in.refused_percent, 1e-9);
	EXPECT_NEAR(0.5, out.offered_per_s, 1e-9);
	EXPECT_NEAR(0.0, out.answered_percent, 1e-9);
	EXPECT_NEAR(100.0, out.refused_percent, 1e-9);
	EXPECT_EQ(1U, sum->nodes_without_profile);
}

TEST(Sum, KeptSharesSeparateFloodedFromOtherClasses)
{
	auto sum = std::make_unique<struct sum>();

	add(sum.get(), report(100, 100, 300, 100, "flooded"));
	add(sum.get(), report(45, 45, 5, 100, "calm"));
	add(sum.get(), report(50, 50, 0, 100, "calm2"));
	sum_finish(sum.get());
	sum_kept flooded = sum_compute_kept(sum.get(), 0, true);
	sum_kept others = sum_compute_kept(sum.get(), 0, false);

	EXPECT_EQ(1U, flooded.classes);
	EXPECT_NEAR(25.0, flooded.kept_percent, 1e-9);
	EXPECT_EQ(2U, others.classes);
	EXPECT_NEAR(95.0, others.kept_percent, 1e-9);
	EXPECT_NEAR(1.0, others.offered_per_s, 1e-9);
}

TEST(Sum, RefusesReportsOfAnotherForm)
{
	auto sum = std::make_unique<struct sum>();

	EXPECT_FALSE(add(sum.get(), "{\"classes\":7}"));
	EXPECT_FALSE(add(sum.get(), "[]"));
	EXPECT_EQ(0u, sum->nodes);
}

TEST(Print, EscapesNamesInHtml)
{
	auto sum = std::make_unique<struct sum>();
	struct print_input input = {sum.get(), 1, 0, nullptr};

	add(sum.get(), report(1, 1, 0, 5, "<script>"));
	sum_finish(sum.get());
	EXPECT_EQ(std::string::npos, page(input).find("<script>"));
	EXPECT_NE(std::string::npos, page(input).find("&lt;script&gt;"));
}
