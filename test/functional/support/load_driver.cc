// Load of a failure test, and the check of its results against the recorded executions.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

#include <chrono>

extern "C" {
#include "fescue_load/payload.h"
}

namespace support
{
namespace
{
using Clock = std::chrono::steady_clock;

constexpr int CALL_GRACE_MS = 3000; // an answer is awaited until this long after the deadline
constexpr int POLL_INTERVAL_MS = 10;
constexpr int RETRY_DELAY_MS = 20;
constexpr size_t BODY_TEXT_BYTES_MAX = 80; // kept of an answer that is not intact
constexpr int ADMIN_TIMEOUT_MS = 15000;
constexpr int ADMIN_TRIES = 10; // while the rate limit of the API refuses the request
constexpr int ADMIN_RETRY_DELAY_MS = 100;
constexpr int TOO_MANY_REQUESTS = 429;
const std::string LEDGER_KEY = "x-fescue-key: replace-this-key-of-ledger-team";

int64_t ms_since(Clock::time_point start)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

bool is_idempotent(const std::string &method)
{
	return method == "GET" || method == "PUT";
}

// Returns true if a body is the one that the stand-in backend server derives from the call id.
bool is_answer_of(const std::string &id, const std::string &body)
{
	payload check;

	payload_start(&check, id.c_str(), id.size());
	return !body.empty() && payload_check(&check, body.data(), body.size());
}
} // namespace

LoadDriver::LoadDriver(Fleet &fleet, LoadDriverOptions options)
    : fleet_(fleet), options_(std::move(options)), ports_(options_.entries.size())
{
	refresh_entry_ports();
	for (int i = 0; i < options_.callers; i++)
		threads_.emplace_back([this, i] { run(i); });
}

LoadDriver::~LoadDriver()
{
	stop();
}

void LoadDriver::refresh_entry_ports()
{
	for (size_t i = 0; i < ports_.size(); i++)
		ports_[i] = fleet_.hosts[options_.entries[i]].node->port("caller_port");
}

bool LoadDriver::wait_answered(int more, int timeout_ms)
{
	int wanted = answered_ + more;

	return wait_until([&] { return answered_ >= wanted; }, timeout_ms);
}

const CallResults &LoadDriver::stop()
{
	stopping_ = true;
	for (std::thread &thread : threads_)
		thread.join();
	threads_.clear();
	return results_;
}

CallResult LoadDriver::call(const std::string &id, size_t entry)
{
	Clock::time_point start = Clock::now();
	HttpAnswer answer =
		http(ports_[entry], options_.method, "/" + options_.service + "/buy", "x",
		     {"x-call: " + id, "x-fescue-class: " + options_.class_name,
		      "x-fescue-deadline-ms: " + std::to_string(options_.deadline_ms)},
		     options_.deadline_ms + CALL_GRACE_MS);
	CallResult result;

	result.outcome = answer.is_connected ? answer.headers["x-fescue-outcome"] : "not-run";
	result.reason = answer.is_connected ? answer.headers["x-fescue-reason"] : "not-connected";
	result.duration_ms = ms_since(start);
	if (result.outcome == "answered")
		result.is_intact = answer.status == 200 && is_answer_of(id, answer.body);
	result.status = answer.status;
	if (!result.is_intact)
		result.body_text = answer.body.substr(0, BODY_TEXT_BYTES_MAX);
	return result;
}

bool LoadDriver::may_retry(const CallResult &result) const
{
	if (result.outcome == "answered")
		return false;
	return result.outcome == "not-run" || is_idempotent(options_.method);
}

void LoadDriver::record(const std::string &id, const CallResult &result)
{
	std::lock_guard<std::mutex> lock(mutex_);

	results_[id] = result;
}

void LoadDriver::run(int caller)
{
	for (int i = 0; !stopping_; i++) {
		std::string id = options_.prefix + std::to_string(caller) + "-" + std::to_string(i);
		CallResult result;
		std::string unknown; // reason of an earlier try that may have run; empty: none

		for (int tried = 0; tried < options_.tries; tried++) {
			result = call(id, (size_t)(caller + i + tried) % ports_.size());
			refused_ += result.outcome == "not-run";
			if (!may_retry(result))
				break;
			if (result.outcome != "not-run") {
				unknown = result.reason.empty() ? "no-answer" : result.reason;
			}
			sleep_ms(RETRY_DELAY_MS);
		}
		// That the last try did not run says nothing of an earlier one of unknown outcome.
		if (result.outcome == "not-run" && !unknown.empty()) {
			result.outcome = "unknown";
			result.reason += " after " + unknown;
		}
		answered_ += result.outcome == "answered";
		record(id, result);
		if (options_.pause_ms > 0)
			sleep_ms(options_.pause_ms);
	}
}

void sleep_ms(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool wait_until(const std::function<bool()> &condition, int timeout_ms)
{
	Clock::time_point start = Clock::now();

	while (!condition()) {
		if (ms_since(start) > timeout_ms)
			return false;
		sleep_ms(POLL_INTERVAL_MS);
	}
	return true;
}

CallStarts read_call_starts(Fleet &fleet)
{
	CallStarts starts;

	for (Host &host : fleet.hosts) {
		const char *call;
		json_t *value;

		if (!host.backend->is_running())
			continue;
		Json all = http_json(host.backend->port(), "GET", "/executions");
		EXPECT_EQ(json_integer_value(json_object_get(all.get(), "attempts_doubled")), 0);
		json_object_foreach(json_object_get(all.get(), "calls"), call, value)
		{
			starts[call] += json_integer_value(json_array_get(value, 0));
		}
	}
	return starts;
}

int64_t read_backend_stat(const Host &host, const char *key)
{
	return get_json_number(http(host.backend->port(), "GET", "/control/stats"), key);
}

int count_results(const CallResults &results, const std::string &outcome)
{
	int count = 0;

	for (const auto &[id, result] : results)
		count += result.outcome == outcome;
	return count;
}

std::string tally(const CallResults &results)
{
	std::map<std::string, int> counts;
	std::string text;

	for (const auto &[id, result] : results)
		counts[result.outcome + " " + result.reason]++;
	for (const auto &[what, count] : counts)
		text += std::to_string(count) + " " + what + "; ";
	return text;
}

void expect_results_match_starts(const CallStarts &starts, const CallResults &results,
				 bool may_run_twice)
{
	for (const auto &[id, result] : results) {
		auto found = starts.find(id);
		int64_t start_count = found == starts.end() ? 0 : found->second;

		if (result.outcome == "not-run") {
			EXPECT_EQ(start_count, 0)
				<< id << " reported as not run: " << result.reason;
		}
		if (result.outcome == "answered") {
			EXPECT_GE(start_count, 1) << id;
			EXPECT_TRUE(result.is_intact)
				<< id << " status " << result.status << " after "
				<< result.duration_ms << " ms: " << result.body_text;
		}
		if (!may_run_twice) {
			EXPECT_LE(start_count, 1)
				<< id << " reported as " << result.outcome << " " << result.reason;
		}
	}
}

void expect_within_ms(const CallResults &results, int64_t bound_ms)
{
	for (const auto &[id, result] : results)
		EXPECT_LE(result.duration_ms, bound_ms)
			<< id << " " << result.outcome << " " << result.reason;
}

HttpAnswer admin(const Host &host, const std::string &method, const std::string &path,
		 const std::string &body, std::vector<std::string> headers)
{
	HttpAnswer answer;

	headers.push_back(LEDGER_KEY);
	for (int i = 0; i < ADMIN_TRIES; i++) {
		answer = http(host.node->port("admin_port"), method, path, body, headers,
			      ADMIN_TIMEOUT_MS);
		if (answer.status != TOO_MANY_REQUESTS)
			break;
		sleep_ms(ADMIN_RETRY_DELAY_MS);
	}
	return answer;
}

int64_t get_json_number(const HttpAnswer &answer, const char *key)
{
	Json root(json_loads(answer.body.c_str(), 0, nullptr));

	return json_integer_value(json_object_get(root.get(), key));
}

int64_t version_in_force(const Host &host, const std::string &service)
{
	return get_json_number(admin(host, "GET", "/v1/services/" + service), "version");
}

HttpAnswer put_class(const Host &host, const std::string &name, int latency_ms, int64_t version,
		     const std::string &by)
{
	return admin(host, "PUT", "/v1/services/ledger/classes/" + name,
		     "{\"rank\":0,\"latency_ms\":" + std::to_string(latency_ms) +
			     ",\"percentile\":99.0,\"calls_per_s\":200}",
		     {"if-version: " + std::to_string(version), "x-fescue-by: " + by});
}

bool wait_version(const Host &host, int64_t version, int timeout_ms)
{
	return wait_until([&] { return version_in_force(host) >= version; }, timeout_ms);
}

std::string state_in_view(const Host &viewer, const Host &member)
{
	HttpAnswer answer = admin(viewer, "GET", "/v1/members");
	Json root(json_loads(answer.body.c_str(), 0, nullptr));
	size_t i;
	json_t *entry;

	json_array_foreach(json_object_get(root.get(), "members"), i, entry)
	{
		const char *name = json_string_value(json_object_get(entry, "name"));
		const char *state = json_string_value(json_object_get(entry, "state"));

		if (name && state && member.name == name)
			return state;
	}
	return "";
}
} // namespace support
