// What allotments admit too much and too little under the loads and failures of
// docs/WORK-DECEMBER.md, compared with other ways to divide a customer's limit.
#include "support/allotment_fleet.h"

#include <gtest/gtest.h>

#include <cstring>
#include <sys/utsname.h>

using namespace allotment;

namespace
{

constexpr uint64_t RUN_US = 20 * USEC_PER_SEC;

// Prints what a customer was given.
void judge(const char *name, const Fleet &fleet, const Customer &customer, uint64_t from_us = 0)
{
	uint64_t worst = customer.worst_window(from_us);
	double allowed = allotment_window_calls(&customer.limit);

	printf("%-34s offered %6lu ideal %6lu admitted %6lu under %5.1f%% unknown %4lu "
	       "worst 5 s %5lu of %5.0f, bound %5.0f; bytes/s a node %5.0f, most %6.0f\n",
	       name, customer.offered, customer.ideal, customer.admitted, 100 * customer.under(),
	       customer.unknown, worst, allowed, customer.bound(), fleet.bytes_per_node_s(),
	       fleet.bytes_most_s());
}

Customer run(const char *name, Policy policy, uint32_t rate, uint32_t burst, const Load &load,
	     uint64_t end_us = RUN_US)
{
	Fleet::Options options;

	options.policy = policy;
	Fleet fleet(options);
	fleet.add(rate, burst, load);
	fleet.run_until(end_us);
	judge(name, fleet, fleet.customers[0]);
	return fleet.customers[0];
}

} // namespace

TEST(Allotment, CompareWaysToDivide)
{
	struct utsname machine;

	uname(&machine);
	printf("%s\n", machine.machine);
	for (double load : {0.8, 1.0, 8.0}) {
		for (Policy policy : {Policy::equal, Policy::demand, Policy::home}) {
			const char *names[] = {"home", "equal", "demand"};
			char name[64];
			double rate = load * 100;

			snprintf(name, sizeof(name), "%s even %.1f", names[(int)policy], load);
			run(name, policy, 100, 100, {constant(rate), even(0, 66, 66)});
			snprintf(name, sizeof(name), "%s zipf %.1f", names[(int)policy], load);
			run(name, policy, 100, 100, {constant(rate), zipf(0, 66, 66)});
			snprintf(name, sizeof(name), "%s moving %.1f", names[(int)policy], load);
			run(name, policy, 100, 100,
			    {constant(rate), moving(4, 10 * USEC_PER_SEC, 66)});
		}
	}
}

TEST(Allotment, SmallCustomersHoldTheBound)
{
	for (uint32_t rate : {5, 20, 50}) {
		for (double load : {0.5, 0.9, 8.0, 32.0}) {
			char name[64];

			snprintf(name, sizeof(name), "small %u/s even %.1f", rate, load);
			Customer customer = run(name, Policy::home, rate, rate,
						{constant(load * rate), even(0, 66, 66)});
			EXPECT_LE(customer.worst_window(), customer.bound()) << name;
			snprintf(name, sizeof(name), "small %u/s 4 nodes %.1f", rate, load);
			customer = run(name, Policy::home, rate, rate,
				       {constant(load * rate), even(0, 4, 66)});
			EXPECT_LE(customer.worst_window(), customer.bound()) << name;
		}
	}
}

// The shell refuses a call whose entry has no word; the other tests hold it until the home answers.
TEST(Allotment, SmallCustomersWhoseCallsAreNotHeld)
{
	for (uint32_t rate : {5, 20, 100}) {
		for (uint32_t count : {4, 66}) {
			Fleet::Options options;
			char name[64];

			options.holds = false;
			Fleet fleet(options);
			fleet.add(rate, rate, {constant(0.9 * rate), even(0, count, 66)});
			fleet.run_until(RUN_US);
			snprintf(name, sizeof(name), "not held %u/s %u nodes 0.9", rate, count);
			judge(name, fleet, fleet.customers[0]);
			EXPECT_LE(fleet.customers[0].worst_window(), fleet.customers[0].bound());
		}
	}
}

TEST(Allotment, EightTimesTheUsualLoadHoldsTheBound)
{
	for (uint32_t rate : {5, 40, 300}) {
		auto surge = [=](uint64_t now_us) {
			return now_us > 15 * USEC_PER_SEC ? 4.0 * rate : 0.5 * rate;
		};
		for (uint32_t count : {1, 4, 66}) {
			char name[64];

			snprintf(name, sizeof(name), "surge %u/s at %u nodes", rate, count);
			Customer customer =
				run(name, Policy::home, rate, rate, {surge, even(0, count, 66)});
			EXPECT_LE(customer.worst_window(), customer.bound()) << name;
			EXPECT_LE(customer.under(), 0.25) << name;
		}
	}
}

TEST(Allotment, LoweredLimitBindsWithinFiveSeconds)
{
	for (uint32_t count : {1, 4, 66}) {
		Fleet fleet({});
		char name[64];

		fleet.add(300, 300, {constant(280), even(0, count, 66)});
		fleet.run_until(15 * USEC_PER_SEC);
		fleet.set_limit(0, 5, 5);
		uint64_t before = fleet.customers[0].admitted;
		fleet.run_until(40 * USEC_PER_SEC);
		// Guards against a debt of the old limit that refuses all calls for minutes.
		EXPECT_GE(fleet.customers[0].admitted - before, 60U);
		snprintf(name, sizeof(name), "lowered 300 to 5/s at %u nodes", count);
		judge(name, fleet, fleet.customers[0], 15 * USEC_PER_SEC + SLOT_US);
		EXPECT_LE(fleet.customers[0].worst_window(15 * USEC_PER_SEC + SLOT_US),
			  fleet.customers[0].bound())
			<< name;
	}
}

TEST(Allotment, CallsThatDidNotRunAreGivenBack)
{
	Fleet::Options options;
	options.not_run = 0.5;
	Fleet fleet(options);

	fleet.add(100, 100, {constant(190), even(0, 8, 66)});
	fleet.run_until(RUN_US);
	judge("half of the calls not run", fleet, fleet.customers[0]);
	EXPECT_LE(fleet.customers[0].under(), 0.1);
	EXPECT_LE(fleet.customers[0].worst_window(), fleet.customers[0].bound());
}

TEST(Allotment, ManySmallCustomersAndOneLarge)
{
	Fleet fleet({});
	uint64_t refused = 0;
	uint64_t offered = 0;

	for (uint32_t i = 0; i < 74; i++)
		fleet.add(40, 40, {constant(4), even(i, 6, 66)});
	fleet.add(300, 300, {constant(2400), zipf(0, 66, 66)});
	fleet.run_until(RUN_US);
	for (const Customer &customer : fleet.customers) {
		EXPECT_LE(customer.worst_window(), customer.bound());
		if (&customer == &fleet.customers.back())
			break;
		offered += customer.offered;
		refused += customer.ideal - std::min(customer.ideal, customer.admitted);
	}
	judge("one large of 75", fleet, fleet.customers.back());
	printf("%-34s offered %6lu refused below the allotment %lu\n", "74 small of 75", offered,
	       refused);
	EXPECT_LE((double)refused, 0.01 * (double)offered);
}

// 10,000 customers at 3,144 nodes: 20 of them far beyond their limits.
TEST(Allotment, LargeFleet)
{
	Fleet::Options options;
	uint32_t most_items = 0;
	uint32_t most_accounts = 0;

	options.nodes = 3144;
	options.capacity = 64;
	Fleet fleet(options);
	for (uint32_t i = 0; i < 10000; i++)
		fleet.add(100, 100,
			  {constant(i % 500 ? 18 : 800), even(i * 7, i % 10 ? 4 : 40, 3144)});
	fleet.run_until(7 * USEC_PER_SEC);
	uint64_t offered = 0;
	uint64_t ideal = 0;
	uint64_t admitted = 0;
	uint32_t over = 0;
	for (const Customer &customer : fleet.customers) {
		offered += customer.offered;
		ideal += customer.ideal;
		admitted += customer.admitted;
		over += (double)customer.worst_window() > customer.bound();
	}
	for (const Node &node : fleet.nodes) {
		most_items = std::max(most_items, node.entry.map.count);
		most_accounts = std::max(most_accounts, node.home.map.count);
	}
	printf("3144 nodes, 10000 customers: offered %lu ideal %lu admitted %lu over the bound %u; "
	       "bytes/s a node %.0f, most %.0f; customers at an entry %u of %zu bytes, at a home "
	       "%u "
	       "of %zu bytes and %zu a reporter\n",
	       offered, ideal, admitted, over, fleet.bytes_per_node_s(), fleet.bytes_most_s(),
	       most_items, sizeof(struct allotment_item), most_accounts,
	       sizeof(struct allotment_account), sizeof(struct allotment_reporter));
	EXPECT_EQ(0U, over);
	EXPECT_GE((double)admitted, 0.97 * (double)ideal);
}

namespace
{

// Runs a customer at three times its limit through a failure that starts at 10 s; the others see it
// 3 s later.
void run_failure(const char *name, const std::function<void(Fleet &, uint32_t home)> &fail,
		 uint32_t spread)
{
	Fleet fleet({});

	fleet.add(60, 60, {constant(180), even(0, spread, 66)});
	fleet.run_until(10 * USEC_PER_SEC);
	uint32_t home = fleet.home_of(0, 1001);
	fail(fleet, home);
	fleet.run_until(30 * USEC_PER_SEC);
	judge(name, fleet, fleet.customers[0]);
	EXPECT_LE(fleet.customers[0].worst_window(), fleet.customers[0].bound()) << name;
	EXPECT_LE(fleet.customers[0].under(), 0.3) << name;
}

} // namespace

TEST(Allotment, HomeThatDiesHoldsTheBound)
{
	for (uint32_t spread : {6, 66})
		run_failure(
			"home dies",
			[](Fleet &fleet, uint32_t home) {
				uint64_t seen_us = fleet.now_us + 3 * USEC_PER_SEC;

				fleet.nodes[home].is_dead = true;
				fleet.all_see_all = false;
				fleet.sees_alive = [&fleet, home, seen_us](uint32_t,
									   uint32_t seen) {
					return seen != home || fleet.now_us < seen_us;
				};
			},
			spread);
}

TEST(Allotment, HomeThatIsPausedHoldsTheBound)
{
	for (uint32_t spread : {6, 66})
		run_failure(
			"home paused 8 s",
			[](Fleet &fleet, uint32_t home) {
				uint64_t seen_us = fleet.now_us + 3 * USEC_PER_SEC;
				uint64_t end_us = fleet.now_us + 9 * USEC_PER_SEC;

				fleet.nodes[home].is_paused = true;
				fleet.all_see_all = false;
				fleet.sees_alive = [&fleet, home, seen_us, end_us](uint32_t,
										   uint32_t seen) {
					return seen != home || fleet.now_us < seen_us ||
					       fleet.now_us > end_us;
				};
				fleet.run_until(fleet.now_us + 8 * USEC_PER_SEC);
				fleet.nodes[home].is_paused = false;
			},
			spread);
}

TEST(Allotment, EntriesCutOffHoldTheBound)
{
	for (uint32_t spread : {6, 66})
		run_failure(
			"2 entries cut off from all",
			[](Fleet &fleet, uint32_t home) {
				uint64_t seen_us = fleet.now_us + 3 * USEC_PER_SEC;
				uint32_t cut = home < 2 ? 2 : 0;
				auto is_cut = [cut](uint32_t node) {
					return node >= cut && node < cut + 2;
				};

				fleet.can_reach = [is_cut](uint32_t from, uint32_t to) {
					return is_cut(from) == is_cut(to);
				};
				fleet.all_see_all = false;
				fleet.sees_alive = [&fleet, is_cut, seen_us](uint32_t viewer,
									     uint32_t seen) {
					return is_cut(viewer) == is_cut(seen) ||
					       fleet.now_us < seen_us;
				};
			},
			spread);
}

TEST(Allotment, EntriesCutOffFromTheHomeHoldTheBound)
{
	for (uint32_t spread : {6, 66})
		run_failure(
			"3 entries cut off from the home",
			[](Fleet &fleet, uint32_t home) {
				fleet.can_reach = [home](uint32_t from, uint32_t to) {
					return (from != home || to > 2) && (to != home || from > 2);
				};
			},
			spread);
}
