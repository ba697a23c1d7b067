// Keyed calls meet the latency target of their class also when the owner of the key is in another
// region.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>

namespace
{
constexpr int CALLS_PER_ENTRY = 100;
constexpr int TARGET_MS = 50; // for 99 of 100 calls of the class purchase of the ledger

} // namespace

TEST(KeyedFar, PurchasesMeetTheirTargetOverTheRegionLink)
{
	support::FleetOptions options;
	int late = 0;
	int calls = 0;

	options.services = {{"ledger", 4}};
	support::Fleet fleet(options);
	fleet.start();
	for (const support::Host &entry : fleet.hosts) {
		for (int i = 0; i < CALLS_PER_ENTRY; i++) {
			calls++;
			auto start = std::chrono::steady_clock::now();
			support::HttpAnswer answer =
				fleet.call(entry, "POST", "/ledger/buy", "purchase", "x",
					   {"idempotency-key: " + support::new_idempotency_key(),
					    "x-call: far-" + std::to_string(calls)});
			auto elapsed = std::chrono::steady_clock::now() - start;

			ASSERT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
			late += elapsed > std::chrono::milliseconds(TARGET_MS);
		}
	}
	EXPECT_LE(late, calls / 100) << "of " << calls << " calls";
}
