// The link between two regions: split and healed, and connections through it that go silent for
// good, those to the platform and of callers included.
#include "functional/support/regions.h"

using namespace support;

namespace
{
class Link : public TwoRegions
{
      protected:
	// Starts a host's backend server again so that it announces itself through the link.
	void announce_through_link(Host &host)
	{
		uint16_t port = add_forward(host.node->port("backend_port"), host.region);

		host.backend->kill();
		host.backend = Process::start_server(
			{program("standin-backend"), "--service", host.service, "--slots", "6",
			 "--service-ms", "5", "--announce", "127.0.0.1:" + std::to_string(port)},
			fleet.folder() + "/" + host.name + ".backend.log");
	}
};
} // namespace

TEST_F(Link, EachRegionServesThroughASplitAndAfterwardsBothAreUsed)
{
	Drive all(fleet, through({0, 1, 2, 3}, "a"));
	ASSERT_TRUE(all.wait_answered(200, DEADLINE_MS));
	Fleet::control(*fleet.link, "{\"cut\":true}");
	pause_ms(OUT_OF_CHOICE_MS);
	Drive north(fleet, through({0, 1}, "n"));
	Drive south(fleet, through({2, 3}, "s"));
	EXPECT_TRUE(south.wait_answered(200, DEADLINE_MS));
	EXPECT_TRUE(north.wait_answered(200, DEADLINE_MS));
	HttpAnswer put =
		put_class(fleet.hosts[0], "purchase", 70, version_in_force(fleet.hosts[0]));
	EXPECT_EQ(put.status, 200) << put.body;
	EXPECT_TRUE(wait_version(fleet.hosts[1], number_in(put, "version"), IN_FORCE_MS));
	EXPECT_LT(version_in_force(fleet.hosts[2]), number_in(put, "version"));
	for (Drive *drive : {&north, &south}) {
		const ToldCalls &told = drive->stop();
		EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	}
	Fleet::control(*fleet.link, "{\"cut\":false}");
	for (size_t i : {2, 3})
		EXPECT_TRUE(wait_version(fleet.hosts[i], number_in(put, "version"), IN_FORCE_MS))
			<< i;
	EXPECT_TRUE(all_see("alive", OUT_OF_CHOICE_MS));
	const ToldCalls &told = all.stop();
	expect_within_ms(told, DEADLINE_MS + 1000);
	// More calls at a time than the south has slots.
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":20}");
	int64_t before = requests(0) + requests(1);
	DriveOptions many = through({2, 3}, "m");
	many.callers = 24;
	Drive flood(fleet, many);
	EXPECT_TRUE(
		wait_until([&] { return requests(0) + requests(1) > before + 10; }, DEADLINE_MS));
	flood.stop();
	Ledger ledger = read_ledger(fleet);
	expect_true(ledger, told, false);
	expect_true(ledger, flood.stop(), false);
	expect_true(ledger, north.stop(), false);
	expect_true(ledger, south.stop(), false);
}

TEST_F(Link, AChangeIsInForceInTimeThoughConnectionsToThePlatformWentSilent)
{
	for (size_t through : {2, 0}) {
		Fleet::control(*fleet.link, "{\"silence\":true}");
		expect_change(through);
	}
}

TEST_F(Link, ACallerThatWentSilentLeavesNoCallBehindAndANewConnectionServes)
{
	Host &entry = fleet.hosts[0];
	uint16_t port = add_forward(entry.node->port("caller_port"), 0);
	std::vector<std::string> headers = {"x-fescue-class: purchase", "x-call: silent",
					    "x-fescue-deadline-ms: " + std::to_string(DEADLINE_MS)};
	HttpAnswer silent;

	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":100}");
	std::thread caller([&] {
		silent = http(port, "POST", "/ledger/buy", "x", headers, DEADLINE_MS + 1000);
	});
	EXPECT_TRUE(wait_until([&] { return read_ledger(fleet)["silent"] == 1; }, DEADLINE_MS));
	Fleet::control(*fleet.link, "{\"silence\":true}");
	headers[1] = "x-call: new";
	EXPECT_EQ(http(port, "POST", "/ledger/buy", "x", headers, DEADLINE_MS).status, 200);
	caller.join();
	EXPECT_EQ(silent.status, 0);
	EXPECT_TRUE(wait_until(
		[&] {
			return number_in(admin(entry, "GET", "/v1/status"), "calls_in_flight") == 0;
		},
		DEADLINE_MS));
	EXPECT_EQ(read_ledger(fleet)["silent"], 1);
}

TEST_F(Link, ABackendServerIsOutOfUseOnlyWhileItsAnnouncementsAreLost)
{
	Host &host = fleet.hosts[0];

	announce_through_link(host);
	// Its own entry prefers it.
	ASSERT_TRUE(wait_until(
		[&] {
			fleet.call(host, "GET", "/ledger/ready", "purchase");
			return requests(0) > 0;
		},
		OUT_OF_CHOICE_MS));
	Drive calls(fleet, through({0}, "a"));
	// One silent connection: the next announcement takes a new one before the lease ends.
	Fleet::control(*fleet.link, "{\"silence\":true}");
	for (int passed = 0; passed < OUT_OF_CHOICE_MS; passed += 1000) {
		int64_t before = requests(0);

		pause_ms(1000);
		EXPECT_GT(requests(0), before) << passed;
	}
	// None arrives: the lease lapses. Then the open connection stays silent, and new ones work.
	Fleet::control(*fleet.link, "{\"cut\":true}");
	pause_ms(OUT_OF_CHOICE_MS);
	int64_t before = requests(0);
	pause_ms(1000);
	EXPECT_EQ(requests(0), before);
	Fleet::control(*fleet.link, "{\"cut\":false,\"silence\":true}");
	EXPECT_TRUE(wait_until([&] { return requests(0) > before; }, OUT_OF_CHOICE_MS));
	const ToldCalls &told = calls.stop();
	EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	expect_true(read_ledger(fleet), told, false);
}
