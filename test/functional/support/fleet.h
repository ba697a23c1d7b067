// A fleet of real nodes with stand-ins for the platform, the backend servers and the link between
// two regions.
#pragma once

#include "functional/support/process.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace support
{
// A service and its number of backend servers, which are assigned to the failure domains in turn.
struct ServiceSize {
	std::string name;
	int servers;
};

struct FleetOptions {
	std::string deployment = "rangitoto"; // whose samples in etc/DEPLOYMENT are used
	// The failure domains are divided evenly among the regions, in this order.
	std::vector<std::string> regions = {"north-island", "south-island"};
	std::vector<std::string> failure_domains = {"north-a", "north-b", "south-a", "south-b"};
	std::vector<ServiceSize> services = {
		{"catalogue", 4}, {"ledger", 4}, {"intake", 4}, {"assay", 4}};
	int slots = 6;	       // of each backend server
	double service_ms = 5; // service time of a call
	// Distribution of the service times: "none", "exponential" or "lognormal".
	std::string spread = "lognormal";
	std::vector<std::string> backend_options = {}; // further options of the backend servers
	bool has_link = true;	    // link between the regions; without it, nodes connect directly
	int link_delay_ms = 8;	    // one way
	double link_rate_mbit = 30; // Mbit/s in each direction
	bool keeps_ports = false;   // a node that is restarted listens on its earlier ports again
	// The first node has the ports of the deployment's sample settings, and the stand-ins of
	// the platform and the link have fixed ports too; otherwise the system assigns all ports.
	bool has_sample_ports = false;
	// Key of a team that may change every service; empty: no such team.
	std::string operator_key;
	// Changes the settings of the node `name` before they are written.
	std::function<void(const std::string &name, json_t *settings)> change_settings;

	static FleetOptions rangitoto();
	static FleetOptions amet();
	// One region, one service and no link: the smallest fleet in which an entry has a choice
	// of gates.
	static FleetOptions small(int servers);
};

// One host: a node and the backend server beside it.
struct Host {
	std::string name;
	std::string service;
	std::string failure_domain;
	int region = 0;	  // index in FleetOptions::regions
	int forward = -1; // id of the link's forward to this node; -1: none
	std::string settings_file;
	std::unique_ptr<Process> node;
	std::unique_ptr<Process> backend; // backend server
};

class Fleet
{
      public:
	explicit Fleet(FleetOptions options);
	// Kills the processes that still run. Removes the temporary folder, unless the environment
	// variable FESCUEMILL_KEEP_LOGS is set.
	~Fleet();

	// Starts all processes and waits until each entry reaches each service and knows all nodes.
	// Throws std::runtime_error if one of these waits takes longer than 20 s.
	void start();
	// Starts a host's node. May be called again after the node has ended, to restart it with
	// the same name and settings.
	void start_node(Host &host);
	void start_backend(Host &host);
	// Waits until a call of a service through an entry is answered with status 200. Throws
	// std::runtime_error after timeout_ms.
	void wait_until_reachable(const Host &entry, const std::string &service, int timeout_ms);
	// Stops the processes with SIGTERM in this order: backend servers (they drain), nodes (they
	// leave the fleet), platform, link. Returns a message for each process that did not exit
	// with code 0.
	std::vector<std::string> stop();

	// Calls a service through an entry, with a class and optional further headers.
	HttpAnswer call(const Host &entry, const std::string &method, const std::string &path,
			const std::string &class_name, const std::string &body = "",
			std::vector<std::string> headers = {}, int timeout_ms = 15000);
	// Runs fescue-load with a plan and further command-line options against all entries and
	// backend servers. Returns its exit code.
	int run_load(const std::string &plan_file, const std::vector<std::string> &options);
	// Writes a settings file for fescuectl and fescue-report, with the administration addresses
	// of all nodes and the operator key.
	void write_operator_settings(const std::string &file) const;
	// Posts a control message to a stand-in, such as a mode or a fault that it simulates.
	static void control(Process &standin, const std::string &body);

	// Returns the temporary folder of settings and logs; tests may write files there too.
	const std::string &folder() const
	{
		return folder_;
	}

	std::vector<Host> hosts;
	std::unique_ptr<Process> platform;
	std::unique_ptr<Process> link;

      private:
	void put_services();
	void add_host(const ServiceSize &service, int number);
	void write_settings(Host &host);
	void add_forward(Host &host);
	void save_ports(const Host &host);
	std::string first_class(const std::string &service) const;
	void wait_for_all_members(const Host &host);

	FleetOptions options_;
	std::string folder_;
};

// Returns a new idempotency key at each call: a UUID of version 7 with the current time.
std::string new_idempotency_key();
} // namespace support
