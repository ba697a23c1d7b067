// demo-fleet: starts a deployment's fleet on stand-ins, drives it with fescue-load, and stops it.
// Usage: demo-fleet rangitoto|amet SECONDS. Exits with 1 if anything is lost, doubled, cut or
// corrupted, or if a process does not end by itself with 0.
#include "functional/support/fleet.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace
{
// Lists the administration addresses of the first nodes as fescuectl takes them.
std::string admin_addresses(const support::Fleet &fleet)
{
	std::string list;
	const size_t shown = 4;

	for (size_t i = 0; i < shown && i < fleet.hosts.size(); i++)
		list += (i ? ",127.0.0.1:" : "127.0.0.1:") +
			std::to_string(fleet.hosts[i].node->port("admin_port"));
	return list;
}

// Gives the first key of the deployment's sample settings.
std::string first_key(const std::string &deployment)
{
	std::string file = std::string(FESCUEMILL_SOURCE_DIR) + "/etc/" + deployment + "/node.json";
	support::Json settings(json_load_file(file.c_str(), 0, nullptr));
	json_t *key = json_array_get(json_object_get(settings.get(), "admin_keys"), 0);

	return json_string_value(json_object_get(key, "key"));
}

// Runs the demo. Gives the exit code.
int run(const std::string &deployment, long seconds)
{
	support::Fleet fleet(deployment == "amet" ? support::FleetOptions::amet()
						  : support::FleetOptions::rangitoto());
	std::string plan = std::string(FESCUEMILL_SOURCE_DIR) + "/test/functional/demo/" +
			   deployment + ".json";

	fleet.start();
	std::cerr << "demo: " << fleet.hosts.size() << " nodes of " << deployment << " are ready\n"
		  << "demo: while it runs, try: fescuectl --node " << admin_addresses(fleet)
		  << " --key " << first_key(deployment) << " status\n";
	int load = fleet.run_load(
		plan, {"--label", "demo", "--duration-ms", std::to_string(seconds * 1000)});
	std::cerr << "demo: the link carried "
		  << support::http(fleet.link->port(), "GET", "/control/stats").body << "\n";
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

	if ((deployment != "rangitoto" && deployment != "amet") || seconds < 1 || seconds > 3600) {
		std::cerr << "usage: demo-fleet rangitoto|amet SECONDS (1 to 3600)\n";
		return 2;
	}
	try {
		return run(deployment, seconds);
	} catch (const std::exception &failure) {
		std::cerr << "demo: " << failure.what() << "\n";
		return 1;
	}
}
