// Keyed calls whose home lies in another region: the class's target holds for them as well.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>

namespace
{
constexpr int CALLS_AN_ENTRY = 100;
constexpr int TARGET_MS = 50; // of the ledger's purchases, for 99 of 100 calls

// Makes the UUID of version 7 of a number.
std::string key_of(int number)
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	long long ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
	char text[40];

	snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x", ms >> 16, ms & 0xffff,
		 (unsigned int)number);
	return text;
}
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
			auto begun = std::chrono::steady_clock::now();
			support::HttpAnswer answer =
				fleet.call(entry, "POST", "/ledger/buy", "purchase", "x",
					   {"idempotency-key: " + key_of(++number),
					    "x-call: far-" + std::to_string(number)});
			auto elapsed = std::chrono::steady_clock::now() - begun;

			ASSERT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
			late += elapsed > std::chrono::milliseconds(TARGET_MS);
		}
	}
	EXPECT_LE(late, number / 100) << "of " << number << " calls";
}
