// A fleet of real nodes with stand-ins.
#include "functional/support/fleet.h"

#include <signal.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace support
{
namespace
{
namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

constexpr int READY_TIMEOUT_MS = 20000;
constexpr int STOP_TIMEOUT_MS = 15000;
constexpr int POLL_INTERVAL_MS = 20;
// Short, as the nodes run on one machine: they share a clock, and gossip needs a few rounds.
constexpr int KEY_SPREAD_MS = 500;
constexpr int PORT_RETRY_DELAY_MS = 200;
constexpr int SAMPLE_PLATFORM_PORT = 7000;
constexpr int SAMPLE_LINK_PORT = 7001; // of the link's control API
constexpr int LOAD_TIMEOUT_MS = 3600 * 1000;

// Returns the folder of a deployment's samples.
std::string samples(const std::string &deployment)
{
	return std::string(FESCUEMILL_SOURCE_DIR) + "/etc/" + deployment;
}

// Reads a JSON file. Throws std::runtime_error if that fails.
Json load(const std::string &file)
{
	Json value(json_load_file(file.c_str(), 0, nullptr));

	if (!value)
		throw std::runtime_error("cannot read JSON file " + file);
	return value;
}

// Returns a JSON value as text.
std::string dump(const json_t *value)
{
	std::unique_ptr<char, decltype(&free)> text(json_dumps(value, JSON_COMPACT), &free);

	return text.get();
}

void set_text(json_t *object, const char *key, const std::string &text)
{
	json_object_set_new(object, key, json_string(text.c_str()));
}

std::string loopback(uint16_t port)
{
	return "127.0.0.1:" + std::to_string(port);
}

// Waits for the exit of a process, and kills it if it still runs after STOP_TIMEOUT_MS. Appends a
// message to failures unless the exit code is 0.
void wait_or_kill(const std::string &name, Process *process, std::vector<std::string> *failures)
{
	int code;

	if (!process)
		return;
	code = process->wait(STOP_TIMEOUT_MS);
	if (code != 0)
		failures->push_back(name + ": exit code " + std::to_string(code) + "\n" +
				    process->log_tail());
	process->kill();
}

// Adds the team "operators", which may change every service, to a node's settings.
void add_operators(json_t *settings, const std::string &key)
{
	json_array_append_new(json_object_get(settings, "admin_keys"),
			      json_pack("{s:s, s:s}", "team", "operators", "key", key.c_str()));
	json_array_append_new(json_object_get(settings, "team_rights"),
			      json_pack("{s:s, s:[s]}", "team", "operators", "services", "*"));
}

void terminate(Process *process)
{
	if (process)
		process->signal(SIGTERM);
}
} // namespace

FleetOptions FleetOptions::rangitoto()
{
	return FleetOptions();
}

FleetOptions FleetOptions::amet()
{
	FleetOptions options;

	options.deployment = "amet";
	options.regions = {"harju", "tartu"};
	options.failure_domains = {"harju-a", "harju-b", "tartu-a", "tartu-b"};
	options.services = {{"booking", 5}, {"certificates", 4}, {"history", 5}, {"photos", 4}};
	options.slots = 9;
	return options;
}

FleetOptions FleetOptions::small(int servers)
{
	FleetOptions options;

	options.regions = {"north-island"};
	options.failure_domains = {"north-a", "north-b"};
	options.services = {{"ledger", servers}};
	options.has_link = false;
	return options;
}

Fleet::Fleet(FleetOptions options) : options_(std::move(options))
{
	std::string pattern = fs::temp_directory_path() / "fescuemill-XXXXXX";

	if (!mkdtemp(pattern.data()))
		throw std::runtime_error("cannot create a temporary folder");
	folder_ = pattern;
}

Fleet::~Fleet()
{
	hosts.clear();
	platform.reset();
	link.reset();
	if (!std::getenv("FESCUEMILL_KEEP_LOGS"))
		fs::remove_all(folder_);
}

void Fleet::control(Process &standin, const std::string &body)
{
	http_json(standin.port(), "POST", "/control", body);
}

// Stores the deployment's sample objects of this fleet's services on the platform.
void Fleet::put_services()
{
	for (const ServiceSize &service : options_.services) {
		Json object =
			load(samples(options_.deployment) + "/services/" + service.name + ".json");

		http_json(platform->port(), "PUT", "/v1/objects/service/" + service.name,
			  dump(object.get()), {"if-version: 0"});
	}
}

// Returns the name of the first class of a service's sample object.
std::string Fleet::first_class(const std::string &service) const
{
	Json object = load(samples(options_.deployment) + "/services/" + service + ".json");
	json_t *first = json_array_get(json_object_get(object.get(), "classes"), 0);

	return json_string_value(json_object_get(first, "name"));
}

// Adds a host. `number` is its index among the hosts of the service and selects the failure domain.
void Fleet::add_host(const ServiceSize &service, int number)
{
	size_t domain = (size_t)number % options_.failure_domains.size();
	Host host;

	host.failure_domain = options_.failure_domains[domain];
	host.region = (int)(domain * options_.regions.size() / options_.failure_domains.size());
	host.service = service.name;
	host.name = host.failure_domain + "-" + service.name + "-" + std::to_string(number + 1);
	hosts.push_back(std::move(host));
}

// Creates the link's forward to a host's node, and sets the forward's ports in the node's settings
// as its external ports, which the node needs at its start. The node's own ports become the targets
// of the forward once it has started.
void Fleet::add_forward(Host &host)
{
	Json created = http_json(link->port(), "POST", "/forwards",
				 "{\"toward\":" + std::to_string(host.region) + "}");

	host.forward = (int)json_integer_value(json_object_get(created.get(), "id"));
	Json settings = load(host.settings_file);
	set_text(settings.get(), "external_address", "127.0.0.1");
	json_object_set(settings.get(), "external_node_port",
			json_object_get(created.get(), "tcp_port"));
	json_object_set(settings.get(), "external_gossip_port",
			json_object_get(created.get(), "udp_port"));
	json_dump_file(settings.get(), host.settings_file.c_str(), JSON_INDENT(2));
}

// Writes the settings file of a host's node, based on the deployment's sample.
void Fleet::write_settings(Host &host)
{
	Json settings = load(samples(options_.deployment) + "/node.json");
	Json endpoints(json_pack("[s]", loopback(platform->port()).c_str()));

	set_text(settings.get(), "name", host.name);
	set_text(settings.get(), "region", options_.regions[(size_t)host.region]);
	set_text(settings.get(), "failure_domain", host.failure_domain);
	for (const char *key : {"caller_address", "node_address", "gossip_address",
				"backend_address", "admin_address"}) {
		if (!options_.has_sample_ports || &host != &hosts.front())
			set_text(settings.get(), key, loopback(0));
	}
	if (!options_.operator_key.empty())
		add_operators(settings.get(), options_.operator_key);
	json_object_set(settings.get(), "platform", endpoints.get());
	json_object_set_new(settings.get(), "key_spread_ms", json_integer(KEY_SPREAD_MS));
	if (options_.change_settings)
		options_.change_settings(host.name, settings.get());
	host.settings_file = folder_ + "/" + host.name + ".json";
	json_dump_file(settings.get(), host.settings_file.c_str(), JSON_INDENT(2));
	if (link)
		add_forward(host);
}

// Writes the ports of a running node into its settings file, for a restart on the same ports.
void Fleet::save_ports(const Host &host)
{
	Json settings = load(host.settings_file);

	for (const std::string part : {"caller", "node", "gossip", "backend", "admin"})
		set_text(settings.get(), (part + "_address").c_str(),
			 loopback(host.node->port(part + "_port")));
	json_dump_file(settings.get(), host.settings_file.c_str(), JSON_INDENT(2));
}

void Fleet::start_node(Host &host)
{
	std::vector<std::string> command = {program("fescuemilld"), "--settings",
					    host.settings_file};
	std::string log = folder_ + "/" + host.name + ".log";

	// An earlier connection may occupy a port for a moment after a restart on the same port.
	for (int tries = options_.keeps_ports ? 5 : 1; tries > 0; tries--) {
		try {
			host.node = Process::start_server(command, log);
			break;
		} catch (const std::runtime_error &) {
			if (tries == 1)
				throw;
			std::this_thread::sleep_for(std::chrono::milliseconds(PORT_RETRY_DELAY_MS));
		}
	}
	if (options_.keeps_ports)
		save_ports(host);
	if (!link)
		return;
	http_json(link->port(), "POST", "/forwards/" + std::to_string(host.forward),
		  "{\"tcp_target\":" + std::to_string(host.node->port("node_port")) +
			  ",\"udp_target\":" + std::to_string(host.node->port("gossip_port")) +
			  "}");
}

void Fleet::start_backend(Host &host)
{
	std::vector<std::string> command = {program("standin-backend"),
					    "--service",
					    host.service,
					    "--slots",
					    std::to_string(options_.slots),
					    "--service-ms",
					    std::to_string(options_.service_ms),
					    "--spread",
					    options_.spread,
					    "--announce",
					    loopback(host.node->port("backend_port"))};

	command.insert(command.end(), options_.backend_options.begin(),
		       options_.backend_options.end());
	host.backend = Process::start_server(command, folder_ + "/" + host.name + ".backend.log");
}

void Fleet::start()
{
	auto port = [this](int sample) {
		return std::to_string(options_.has_sample_ports ? sample : 0);
	};

	platform = Process::start_server(
		{program("standin-platform"), "--port", port(SAMPLE_PLATFORM_PORT)},
		folder_ + "/platform.log");
	put_services();
	if (options_.has_link)
		link = Process::start_server({program("standin-link"), "--port",
					      port(SAMPLE_LINK_PORT), "--delay-ms",
					      std::to_string(options_.link_delay_ms), "--rate-mbit",
					      std::to_string(options_.link_rate_mbit)},
					     folder_ + "/link.log");
	for (const ServiceSize &service : options_.services) {
		for (int number = 0; number < service.servers; number++)
			add_host(service, number);
	}
	for (Host &host : hosts) {
		write_settings(host);
		start_node(host);
		start_backend(host);
	}
	for (const Host &host : hosts) {
		for (const ServiceSize &service : options_.services)
			wait_until_reachable(host, service.name, READY_TIMEOUT_MS);
	}
	for (const Host &host : hosts)
		wait_for_all_members(host);
	// A gate accepts an idempotency key as new only if the key was created later than
	// key_spread_ms after the gate started and became its owner. After this wait, that holds
	// for the keys of all further calls.
	std::this_thread::sleep_for(std::chrono::milliseconds(2 * KEY_SPREAD_MS));
}

void Fleet::wait_until_reachable(const Host &entry, const std::string &service, int timeout_ms)
{
	Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
	std::string class_name = first_class(service);
	HttpAnswer answer;

	while (Clock::now() < deadline) {
		answer = call(entry, "GET", "/" + service + "/ready", class_name);
		if (answer.status == 200)
			return;
		std::this_thread::sleep_for(std::chrono::milliseconds(POLL_INTERVAL_MS));
	}
	throw std::runtime_error(entry.name + " cannot reach service " + service + ": status " +
				 std::to_string(answer.status) + " reason " +
				 answer.headers["x-fescue-reason"] + "\n" + entry.node->log_tail());
}

// Waits until a node knows all nodes of the fleet. The owner of a key is chosen among the members
// of its service: a node that does not know all of them sends keyed calls to the wrong gate, which
// refuses them.
void Fleet::wait_for_all_members(const Host &host)
{
	const std::string wanted =
		"fescuemill_members_alive " + std::to_string(hosts.size()) + "\n";
	Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(READY_TIMEOUT_MS);

	while (Clock::now() < deadline) {
		HttpAnswer metrics = http(host.node->port("admin_port"), "GET", "/metrics");

		if (metrics.body.find(wanted) != std::string::npos)
			return;
		std::this_thread::sleep_for(std::chrono::milliseconds(POLL_INTERVAL_MS));
	}
	throw std::runtime_error(host.name + " does not know all other nodes\n" +
				 host.node->log_tail());
}

HttpAnswer Fleet::call(const Host &entry, const std::string &method, const std::string &path,
		       const std::string &class_name, const std::string &body,
		       std::vector<std::string> headers, int timeout_ms)
{
	headers.push_back("x-fescue-class: " + class_name);
	return http(entry.node->port("caller_port"), method, path, body, headers, timeout_ms);
}

int Fleet::run_load(const std::string &plan_file, const std::vector<std::string> &options)
{
	std::vector<std::string> command = {program("fescue-load"), "--plan", plan_file};

	for (const Host &host : hosts) {
		if (host.node)
			command.insert(command.end(),
				       {"--entry", loopback(host.node->port("caller_port"))});
		if (host.backend)
			command.insert(
				command.end(),
				{"--backend", host.service + "=" + loopback(host.backend->port())});
	}
	command.insert(command.end(), options.begin(), options.end());
	return Process::start(command)->wait(LOAD_TIMEOUT_MS);
}

void Fleet::write_operator_settings(const std::string &file) const
{
	Json root(json_pack("{s:s, s:[]}", "key", options_.operator_key.c_str(), "nodes"));

	for (const Host &host : hosts)
		json_array_append_new(json_object_get(root.get(), "nodes"),
				      json_string(loopback(host.node->port("admin_port")).c_str()));
	json_dump_file(root.get(), file.c_str(), JSON_INDENT(2));
}

std::vector<std::string> Fleet::stop()
{
	std::vector<std::string> failures;

	for (Host &host : hosts)
		terminate(host.backend.get());
	for (Host &host : hosts)
		wait_or_kill(host.name + " backend server", host.backend.get(), &failures);
	for (Host &host : hosts)
		terminate(host.node.get());
	for (Host &host : hosts)
		wait_or_kill(host.name, host.node.get(), &failures);
	terminate(platform.get());
	wait_or_kill("platform", platform.get(), &failures);
	terminate(link.get());
	wait_or_kill("link", link.get(), &failures);
	return failures;
}

std::string new_idempotency_key()
{
	static unsigned int count;
	char text[40];
	long long ms = std::chrono::duration_cast<std::chrono::milliseconds>(
			       std::chrono::system_clock::now().time_since_epoch())
			       .count();

	snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x", ms >> 16, ms & 0xffff,
		 ++count);
	return text;
}
} // namespace support
