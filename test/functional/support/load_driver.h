// Load of a failure test: callers in threads, and the check of the results that they received
// against the executions that the backend servers recorded.
#pragma once

#include "functional/support/fleet.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace support
{
// Result of one call, as its caller received it.
struct CallResult {
	// x-fescue-outcome of the answer, "not-run" if there was no connection, empty if no
	// complete answer was received.
	std::string outcome;
	int status = 0;	       // of the last answer
	std::string body_text; // of an answer that is not intact
	std::string reason; // x-fescue-reason of the answer, "not-connected" without a connection
	bool is_intact = true; // false: answered, but with another status than 200 or a wrong body
	int64_t duration_ms = 0; // duration of the last try
};

using CallResults = std::map<std::string, CallResult>; // key: call id
using CallStarts = std::map<std::string, int64_t>;     // number of starts, by call id

struct LoadDriverOptions {
	std::string method = "POST";
	std::string service = "ledger";
	std::string class_name = "purchase";
	std::vector<size_t> entries = {0}; // indices of the hosts whose nodes are called in turn
	int callers = 8;		   // threads, each with one call at a time
	// Entries that are tried one after the other until a call is answered. An idempotent call
	// is tried again after any failure, any other call only after the outcome "not-run".
	int tries = 1;
	int deadline_ms = 10000;
	int pause_ms = 0;	  // wait of a caller between two calls
	std::string prefix = "c"; // prefix of the call ids
};

// Calls a service from several threads, from its construction until stop().
class LoadDriver
{
      public:
	LoadDriver(Fleet &fleet, LoadDriverOptions options);
	~LoadDriver();

	// Reads the entries' ports again. Needed after an entry was restarted on other ports.
	void refresh_entry_ports();
	// Returns the number of calls answered so far.
	int answered() const
	{
		return answered_;
	}
	// Returns how often a try ended with the outcome "not-run": the entry refused the call
	// before it ran, or could not be connected to.
	int refused() const
	{
		return refused_;
	}
	// Waits until `more` further calls have been answered. Returns false after timeout_ms.
	bool wait_answered(int more, int timeout_ms);
	// Ends the load and returns the result of each call. May be called again.
	const CallResults &stop();

      private:
	void run(int caller);
	CallResult call(const std::string &id, size_t entry);
	void record(const std::string &id, const CallResult &result);
	bool may_retry(const CallResult &result) const;

	Fleet &fleet_;
	LoadDriverOptions options_;
	std::vector<std::atomic<uint16_t>> ports_;
	std::atomic<bool> stopping_{false};
	std::atomic<int> answered_{0};
	std::atomic<int> refused_{0};
	std::mutex mutex_; // guards results_
	CallResults results_;
	std::vector<std::thread> threads_;
};

void sleep_ms(int ms);
// Waits until a condition holds. Returns false after timeout_ms.
bool wait_until(const std::function<bool()> &condition, int timeout_ms);
// Returns how often each call started, summed over all running backend servers. Expects that none
// of them ran an attempt twice.
CallStarts read_call_starts(Fleet &fleet);
// Returns a number from the statistics of a host's backend server, such as "requests" (started so
// far) or "running" (at present).
int64_t read_backend_stat(const Host &host, const char *key);
// Counts the calls with an outcome.
int count_results(const CallResults &results, const std::string &outcome);
// Returns the number of calls per outcome and reason, as text for a failed expectation.
std::string tally(const CallResults &results);
// Expects that each result agrees with the number of starts: a call reported as not run never
// started, an answered call started and its answer is intact, and no call started more than once
// unless it may run twice.
void expect_results_match_starts(const CallStarts &starts, const CallResults &results,
				 bool may_run_twice);
// Expects that the last try of each call took at most bound_ms.
void expect_within_ms(const CallResults &results, int64_t bound_ms);

// Sends a request to a node's administration API with the key of the ledger's team. Repeats it
// while the API's rate limit refuses it, up to 10 times in all.
HttpAnswer admin(const Host &host, const std::string &method, const std::string &path,
		 const std::string &body = "", std::vector<std::string> headers = {});
// Returns the version of a service's configuration in force on a node; 0 if the answer has none.
int64_t version_in_force(const Host &host, const std::string &service = "ledger");
// Returns a number from an answer's JSON object; 0 if it has none of that name.
int64_t get_json_number(const HttpAnswer &answer, const char *key);
// Writes a class of the ledger service with the given latency target through a node. The node
// refuses the change unless the current version of the service's configuration is the given one.
HttpAnswer put_class(const Host &host, const std::string &name, int latency_ms, int64_t version,
		     const std::string &by = "operator");
// Waits until the given version of the ledger service, or a newer one, is in force on a node.
// Returns false after timeout_ms.
bool wait_version(const Host &host, int64_t version, int timeout_ms);
// Returns a member's state in the member list of another node; empty if it is not listed.
std::string state_in_view(const Host &viewer, const Host &member);
} // namespace support
