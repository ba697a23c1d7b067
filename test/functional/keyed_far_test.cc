// Keyed calls whose home lies in another region: the class's target holds for them as well.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>

namespace
{
constexpr int CALLS_AN_ENTRY = 100;
constexpr int TARGET_MS = 50; // of the ledger's purchases, for 99 of 100 calls

} // namespace

TEST(KeyedFar, PurchasesMeetTheirTargetOverTheRegionLink)
{
	support::FleetOptions options;
	int late = 0;
	int number = 0;

	options.services = {{"ledger", 4}};
	support::Fleet fleet(options);
	fleet.start();
	for (const support::Host &entry : fleet.hosts) {
		for (int i = 0; i < CALLS_AN_ENTRY; i++) {
			number++;
			auto begun = std::chrono::steady_clock::now();
			support::HttpAnswer answer =
				fleet.call(entry, "POST", "/ledger/buy", "purchase", "x",
					   {"idempotency-key: " + support::new_key(),
					    "x-call: far-" + std::to_string(number)});
			auto elapsed = std::chrono::steady_clock::now() - begun;

			ASSERT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
			late += elapsed > std::chrono::milliseconds(TARGET_MS);
		}
	}
	EXPECT_LE(late, number / 100) << "of " << number << " calls";
}
