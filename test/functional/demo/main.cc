// demo-fleet: starts a deployment's fleet with stand-ins, sends it calls with fescue-load, and
// stops it.
//
// Usage: demo-fleet rangitoto|amet SECONDS [HOLD_SECONDS]. With HOLD_SECONDS the fleet
// keeps running for that time after the load, or until SIGINT or SIGTERM, so that operators'
// commands can be tried on it. The exit code is 1 if a call is lost or doubled, if an answer is cut
// off or corrupted, or if a process does not exit with code 0 after SIGTERM.
#include "functional/support/fleet.h"

#include <signal.h>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace
{
constexpr long SECONDS_MAX = 3600;
constexpr const char *OPERATOR_FILE = "build/demo-ctl.json";

// Returns the options of a deployment's fleet. A fleet that is kept running has the sample ports.
support::FleetOptions options_of(const std::string &deployment, bool is_held)
{
	support::FleetOptions options = deployment == "amet" ? support::FleetOptions::amet()
							     : support::FleetOptions::rangitoto();

	options.operator_key = "key-of-the-demo-operators";
	options.has_sample_ports = is_held;
	return options;
}

// Keeps the fleet running for a number of seconds, or until SIGINT or SIGTERM.
void hold(const support::Fleet &fleet, long seconds)
{
	timespec limit = {seconds, 0};
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGTERM);
	sigprocmask(SIG_BLOCK, &signals, nullptr);
	std::cerr << "demo: the fleet stays up for " << seconds << " s; Ctrl-C ends it\n"
		  << "demo: callers: 127.0.0.1:" << fleet.hosts[0].node->port("caller_port")
		  << ", administration: 127.0.0.1:" << fleet.hosts[0].node->port("admin_port")
		  << ", platform: 127.0.0.1:" << fleet.platform->port()
		  << ", link: 127.0.0.1:" << fleet.link->port() << "\n";
	sigtimedwait(&signals, nullptr, &limit);
	sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

// Runs the demo. Returns the exit code.
int run(const std::string &deployment, long seconds, long hold_seconds)
{
	support::Fleet fleet(options_of(deployment, hold_seconds > 0));
	std::string plan = std::string(FESCUEMILL_SOURCE_DIR) + "/test/functional/demo/" +
			   deployment + ".json";

	fleet.start();
	fleet.write_operator_settings(std::string(FESCUEMILL_SOURCE_DIR) + "/" + OPERATOR_FILE);
	std::cerr << "demo: " << fleet.hosts.size() << " nodes of " << deployment << " are ready\n"
		  << "demo: while it runs, try: FESCUECTL_SETTINGS=" << OPERATOR_FILE
		  << " build/release/fescuectl status\n";
	int load = fleet.run_load(
		plan, {"--label", "demo", "--duration-ms", std::to_string(seconds * 1000)});
	std::cerr << "demo: the link carried "
		  << support::http(fleet.link->port(), "GET", "/control/stats").body << "\n";
	if (hold_seconds > 0)
		hold(fleet, hold_seconds);
	std::vector<std::string> failures = fleet.stop();
	for (const std::string &failure : failures)
		std::cerr << "demo: " << failure << "\n";
	if (load != 0)
		std::cerr << "demo: fescue-load ended with " << load << "\n";
	return load != 0 || !failures.empty() ? 1 : 0;
}
} // namespace

int main(int argc, char **argv)
{
	std::string deployment = argc > 1 ? argv[1] : "";
	long seconds = argc > 2 ? std::atol(argv[2]) : 0;
	long hold_seconds = argc > 3 ? std::atol(argv[3]) : 0;

	if ((deployment != "rangitoto" && deployment != "amet") || seconds < 1 ||
	    seconds > SECONDS_MAX || hold_seconds < 0 || hold_seconds > SECONDS_MAX) {
		std::cerr
			<< "usage: demo-fleet rangitoto|amet SECONDS [HOLD_SECONDS] (1 to 3600)\n";
		return 2;
	}
	try {
		return run(deployment, seconds, hold_seconds);
	} catch (const std::exception &failure) {
		std::cerr << "demo: " << failure.what() << "\n";
		return 1;
	}
}
