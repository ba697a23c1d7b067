// A randomized soak: a fleet of real processes under faults from outside, which come in series and
// overlap, with the promises checked while it runs. One seed draws one schedule.
//   fescue-soak SEED SECONDS NODES
// Ends with 0 if every promise held.
#include "functional/support/drive.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <signal.h>

using namespace support;

namespace
{

constexpr int DEADLINE_MS = 3000;
constexpr int DEADLINE_SLACK_MS = 1000; // for the answer's way, on a busy machine
constexpr int RECOVERED_MS = 15000;	// from the last fault's end to every call answered
constexpr int STOP_MS = 30000;		// the stop limit of the settings
constexpr int FAULTS_AT_ONCE = 3;

using Clock = std::chrono::steady_clock;

struct Plan {
	unsigned seed = 1;
	int seconds = 20;
	int nodes = 8;
};
Plan plan;

// The process that a fault keeps from answering: no other fault of that process begins meanwhile.
enum class Takes {
	nothing,
	node,
	backend,
};

// One fault: what begins it, what ends it, and how long it lasts at most.
struct Fault {
	const char *name;
	int longest_ms;
	std::function<void(size_t host)> begin;
	std::function<void(size_t host)> end;
	Takes takes;
};

struct Running {
	const Fault *fault;
	size_t host;
	Clock::time_point ends;
};

class Soak : public ::testing::Test
{
      protected:
	static FleetOptions options()
	{
		FleetOptions out;

		out.services = {{"ledger", plan.nodes}};
		out.keeps_ports = true;
		return out;
	}

	Soak() : fleet(options()), rng(plan.seed)
	{
		auto node = [this](size_t host) -> Process & { return *fleet.hosts[host].node; };
		auto backend = [this](size_t host) -> Process & {
			return *fleet.hosts[host].backend;
		};
		auto none = [](size_t) {};

		add(
			"pause node", 4000, Takes::node,
			[node](size_t h) { node(h).signal(SIGSTOP); },
			[node](size_t h) { node(h).signal(SIGCONT); });
		add(
			"kill node", 2000, Takes::node, [node](size_t h) { node(h).kill(); },
			[this](size_t h) { restart(h); });
		add(
			"stop node", 500, Takes::node,
			[node](size_t h) { node(h).signal(SIGTERM); },
			[this, node](size_t h) {
				EXPECT_EQ(0, node(h).wait(STOP_MS)) << fleet.hosts[h].name;
				restart(h);
			});
		add(
			"settings read again", 100, Takes::nothing,
			[node](size_t h) { node(h).signal(SIGHUP); }, none);
		add(
			"pause backend server", 2000, Takes::backend,
			[backend](size_t h) { backend(h).signal(SIGSTOP); },
			[backend](size_t h) { backend(h).signal(SIGCONT); });
		add(
			"slow backend server", 3000, Takes::backend,
			[backend](size_t h) { Fleet::control(backend(h), "{\"slow_factor\":20}"); },
			[backend](size_t h) { Fleet::control(backend(h), "{\"slow_factor\":1}"); });
		add(
			"shedding backend server", 3000, Takes::backend,
			[backend](size_t h) { Fleet::control(backend(h), "{\"shed\":true}"); },
			[backend](size_t h) { Fleet::control(backend(h), "{\"shed\":false}"); });
		add(
			"store down", 4000, Takes::nothing, [this](size_t) { mode("down"); },
			[this](size_t) { mode("up"); });
		add(
			"store loses answers", 3000, Takes::nothing,
			[this](size_t) { mode("lose-answers"); }, [this](size_t) { mode("up"); });
		add(
			"regions cut off", 3000, Takes::nothing,
			[this](size_t) { link("{\"cut\":true}"); },
			[this](size_t) { link("{\"cut\":false}"); });
		add(
			"connections silenced", 100, Takes::nothing,
			[this](size_t) { link("{\"silence\":true}"); }, none);
		add(
			"slow link", 3000, Takes::nothing,
			[this](size_t) { link("{\"delay_ms\":150}"); },
			[this](size_t) { link("{\"delay_ms\":8}"); });
		add(
			"configuration changed", 100, Takes::nothing,
			[this](size_t h) { change(h); }, none);
	}

	void add(const char *name, int longest_ms, Takes takes, std::function<void(size_t)> begin,
		 std::function<void(size_t)> end)
	{
		faults.push_back({name, longest_ms, std::move(begin), std::move(end), takes});
	}

	void mode(const char *name)
	{
		Fleet::control(*fleet.platform, std::string("{\"mode\":\"") + name + "\"}");
	}

	void link(const char *body)
	{
		Fleet::control(*fleet.link, body);
	}

	void restart(size_t host)
	{
		fleet.start_node(fleet.hosts[host]);
	}

	// A change may be refused while the store is away. A node that is paused or gone would hold
	// up the schedule, and with it the end of its own fault: seed 210 had a pause of 2.7 s
	// last 20.
	void change(size_t host)
	{
		int64_t version = 0;

		for (const Running &one : running) {
			if (one.fault->takes == Takes::node && one.host == host)
				return;
		}
		version = version_in_force(fleet.hosts[host]);
		if (version > 0)
			put_class(fleet.hosts[host], "purchase", 50 + draw(50), version);
	}

	int draw(int below)
	{
		return (int)(rng() % (unsigned)below);
	}

	bool is_taken(const Fault &fault, size_t host) const
	{
		for (const Running &one : running) {
			if (one.fault == &fault)
				return true;
			if (fault.takes != Takes::nothing && fault.takes == one.fault->takes &&
			    one.host == host)
				return true;
		}
		return false;
	}

	void begin_one()
	{
		const Fault &fault = faults[(size_t)draw((int)faults.size())];
		size_t host = (size_t)draw((int)fleet.hosts.size());
		int ms = 50 + draw(fault.longest_ms);

		if (running.size() >= FAULTS_AT_ONCE || is_taken(fault, host))
			return;
		printf("%7.3f s  %s: %s, %d ms\n", elapsed_s(), fleet.hosts[host].name.c_str(),
		       fault.name, ms);
		fflush(stdout);
		fault.begin(host);
		running.push_back({&fault, host, Clock::now() + std::chrono::milliseconds(ms)});
	}

	void end_due(bool all)
	{
		for (size_t i = 0; i < running.size();) {
			Running one = running[i];

			if (!all && Clock::now() < one.ends) {
				i++;
				continue;
			}
			running.erase(running.begin() + (long)i);
			one.fault->end(one.host);
		}
	}

	double elapsed_s() const
	{
		return std::chrono::duration<double>(Clock::now() - begun).count();
	}

	DriveOptions through(const std::string &method, const std::string &prefix)
	{
		DriveOptions out;

		for (size_t i = 0; i < fleet.hosts.size(); i++)
			out.entries.push_back(i);
		out.entries.erase(out.entries.begin());
		out.method = method;
		out.deadline_ms = DEADLINE_MS;
		out.prefix = prefix;
		out.callers = 4;
		out.pause_ms = 5;
		out.tries = 2;
		return out;
	}

	// After the last fault every entry reaches the service again, with the same configuration.
	void expect_recovered()
	{
		for (Host &host : fleet.hosts)
			EXPECT_NO_THROW(fleet.wait_reaches(host, "ledger", RECOVERED_MS))
				<< host.name;
		for (Host &host : fleet.hosts)
			EXPECT_TRUE(wait_version(host, newest_version(), RECOVERED_MS))
				<< host.name;
	}

	int64_t newest_version()
	{
		int64_t newest = 0;

		for (Host &host : fleet.hosts)
			newest = std::max(newest, version_in_force(host));
		return newest;
	}

	Fleet fleet;
	std::mt19937 rng;
	std::vector<Fault> faults;
	std::vector<Running> running;
	Clock::time_point begun = Clock::now();
};

TEST_F(Soak, PromisesHoldUnderFaultsInSeries)
{
	fleet.start();
	begun = Clock::now();
	Drive writes(fleet, through("POST", "w"));
	Drive reads(fleet, through("GET", "r"));

	while (elapsed_s() < plan.seconds) {
		begin_one();
		pause_ms(100 + draw(700));
		end_due(false);
	}
	end_due(true);
	expect_recovered();
	const ToldCalls &written = writes.stop();
	const ToldCalls &read = reads.stop();
	Ledger ledger = read_ledger(fleet);

	expect_true(ledger, written, false);
	expect_true(ledger, read, true);
	expect_within_ms(written, 2 * DEADLINE_MS + DEADLINE_SLACK_MS);
	expect_within_ms(read, 2 * DEADLINE_MS + DEADLINE_SLACK_MS);
	EXPECT_GT(count_told(written, "answered"), 0);
	printf("soak: seed %u: writes %s; reads %s\n", plan.seed, tally(written).c_str(),
	       tally(read).c_str());
	for (const std::string &line : fleet.stop())
		ADD_FAILURE() << line;
}

} // namespace

int main(int argc, char **argv)
{
	::testing::InitGoogleTest(&argc, argv);
	if (argc > 1)
		plan.seed = (unsigned)strtoul(argv[1], nullptr, 10);
	if (argc > 2)
		plan.seconds = atoi(argv[2]);
	if (argc > 3)
		plan.nodes = atoi(argv[3]);
	return RUN_ALL_TESTS();
}
