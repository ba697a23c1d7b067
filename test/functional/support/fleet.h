// A fleet of real nodes on stand-ins: platform, backend servers, and a link between two regions.
#pragma once

#include "functional/support/process.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace support
{
// How many backend servers a service has; they are spread over the failure domains in turn.
struct ServiceSize {
	std::string name;
	int servers;
};

struct FleetOptions {
	std::string deployment = "rangitoto"; // whose samples under etc/ are used
	// Two regions of two failure domains.
	std::vector<std::string> regions = {"north-island", "south-island"};
	std::vector<std::string> failure_domains = {"north-a", "north-b", "south-a", "south-b"};
	std::vector<ServiceSize> services = {
		{"catalogue", 4}, {"ledger", 4}, {"intake", 4}, {"assay", 4}};
	int slots = 6;
	double service_ms = 5;
	std::string spread = "lognormal";
	bool has_link = true; // between the regions; without it they talk straight to each other
	int link_delay_ms = 8;
	double link_rate_mbit = 30;
	bool keeps_ports = false;      // a node that starts again has the ports that it had before
	bool has_sample_ports = false; // the first node and the platform have those of the sample
	std::string operator_key;      // of a team with a right to every service; empty: none
	// Changes a node's settings before it starts.
	std::function<void(const std::string &name, json_t *settings)> change_settings;

	static FleetOptions rangitoto();
	static FleetOptions amet();
	// One region, one service, and no link: the smallest fleet that still has a choice.
	static FleetOptions small(int servers);
};

// One host: a node and the backend server beside it.
struct Host {
	std::string name;
	std::string service;
	std::string failure_domain;
	int region = 0;
	int forward = -1; // id of its forward through the link
	std::string settings_file;
	std::unique_ptr<Process> node;
	std::unique_ptr<Process> backend;
};

class Fleet
{
      public:
	explicit Fleet(FleetOptions options);
	~Fleet(); // kills what still runs and removes the temporary folder

	// Starts everything and waits until every entry reaches every service and knows every node.
	// Throws if that takes longer than 20 s.
	void start();
	// Starts one host's node, again if it ended before, with the same name and settings.
	void start_node(Host &host);
	void start_backend(Host &host);
	// Waits until a call of the service through this entry is answered.
	void wait_reaches(const Host &entry, const std::string &service, int timeout_ms);
	// Ends everything in order: backend servers drain, nodes leave, then the stand-ins. Gives a
	// line for each process that did not end by itself with 0.
	std::vector<std::string> stop();

	// Calls a service through an entry, with class and further headers.
	HttpAnswer call(const Host &entry, const std::string &method, const std::string &path,
			const std::string &class_name, const std::string &body = "",
			std::vector<std::string> headers = {}, int timeout_ms = 15000);
	// Runs fescue-load with a plan against all entries and backend servers. Gives its exit
	// code.
	int run_load(const std::string &plan_file, const std::vector<std::string> &options);
	// Writes a settings file for fescuectl and fescue-report: all nodes and the operator key.
	void write_operator_settings(const std::string &file) const;
	// Posts a control message to a stand-in.
	static void control(Process &standin, const std::string &body);

	// The temporary folder, for whatever a test writes.
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
	void keep_ports(const Host &host);
	std::string first_class(const std::string &service) const;
	void wait_whole(const Host &host);

	FleetOptions options_;
	std::string folder_;
};

// Makes an idempotency key: a UUID of version 7 for now, different each time.
std::string new_key();
} // namespace support
