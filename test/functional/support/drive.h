// Load of a failure test: callers in threads, and the check of what they were told against what the
// backend servers' ledgers say.
#pragma once

#include "functional/support/fleet.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace support
{
// What a caller was told of one call.
struct Told {
	std::string outcome; // empty: the connection ended without an answer
	std::string reason;
	bool is_whole = true;
	int64_t took_ms = 0;
};

using ToldCalls = std::map<std::string, Told>; // by call id
using Ledger = std::map<std::string, int64_t>; // how often each call started

struct DriveOptions {
	std::string method = "POST";
	std::string service = "ledger";
	std::string class_name = "purchase";
	std::vector<size_t> entries = {0}; // hosts whose nodes are called, in turn
	int callers = 8;
	// Entries that a call goes to one after the other, as far as it may: one that may run twice
	// after any failure, any other only when it was told not run.
	int tries = 1;
	int deadline_ms = 10000;
	int pause_ms = 0; // between a caller's calls
	std::string prefix = "c";
};

class Drive
{
      public:
	Drive(Fleet &fleet, DriveOptions options);
	~Drive();

	// Reads the entries' ports again, after one has started anew.
	void refresh_entries();
	int answered() const
	{
		return answered_;
	}
	// How often an entry refused a call, unrun, or could not be connected to.
	int refused() const
	{
		return refused_;
	}
	// Waits until so many more calls are answered. Gives false after timeout_ms.
	bool wait_answered(int more, int timeout_ms);
	// Ends the load and gives what was told.
	const ToldCalls &stop();

      private:
	void run(int caller);
	Told call(const std::string &id, size_t entry);
	void note(const std::string &id, const Told &told);
	bool may_try_again(const Told &told) const;

	Fleet &fleet_;
	DriveOptions options_;
	std::vector<std::atomic<uint16_t>> ports_;
	std::atomic<bool> over_{false};
	std::atomic<int> answered_{0};
	std::atomic<int> refused_{0};
	std::mutex mutex_;
	ToldCalls told_;
	std::vector<std::thread> threads_;
};

void pause_ms(int ms);
// Waits until a condition holds. Gives false after timeout_ms.
bool wait_until(const std::function<bool()> &condition, int timeout_ms);
// Gives how often each call started, over all backend servers that run.
Ledger read_ledger(Fleet &fleet);
// Gives a number of a host's backend server: "requests" that started, or those "running".
int64_t stat_of(const Host &host, const char *key);
// Counts calls that were told an outcome.
int count_told(const ToldCalls &told, const std::string &outcome);
// Gives how many calls were told what, for messages.
std::string tally(const ToldCalls &told);
// Expects every told outcome to agree with the ledger: not run never ran, answered ran and is
// whole, and what may not run twice ran at most once.
void expect_true(const Ledger &ledger, const ToldCalls &told, bool may_run_twice);
// Expects that no call took longer than a bound.
void expect_within_ms(const ToldCalls &told, int64_t bound_ms);

// Administration of the ledger's classes through a node.
HttpAnswer admin(const Host &host, const std::string &method, const std::string &path,
		 const std::string &body = "", std::vector<std::string> headers = {});
// Gives the version of a service's configuration in force on a node; 0 if it does not tell.
int64_t version_in_force(const Host &host, const std::string &service = "ledger");
// Gives a number of an answer's JSON object, 0 if there is none.
int64_t number_in(const HttpAnswer &answer, const char *key);
// Puts a class with a latency target through a node, based on a version.
HttpAnswer put_class(const Host &host, const std::string &name, int latency_ms, int64_t version,
		     const std::string &by = "operator");
// Waits until a node has at least a version in force.
bool wait_version(const Host &host, int64_t version, int timeout_ms);
// Gives a member's state in a node's view; empty if it is none.
std::string state_in_view(const Host &viewer, const Host &member);
} // namespace support
