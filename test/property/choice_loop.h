// Deterministic simulation of entries that select servers with the real choice module. Gates are
// first-come first-served, service times are exponential, and answers carry load reports.
#ifndef FESCUEMILL_TEST_PROPERTY_CHOICE_LOOP_H
#define FESCUEMILL_TEST_PROPERTY_CHOICE_LOOP_H

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <queue>
#include <vector>

extern "C" {
#include "fescuemill/base/histogram.h"
#include "fescuemill/decide/choice.h"
}

namespace choice_loop
{
constexpr uint32_t SLOTS = 6;
constexpr double SERVICE_US = 5000;
constexpr double ONE_WAY_US = 150;
constexpr uint64_t FAIL_US = 200; // service time of a failing server

struct Scenario {
	choice_policy policy = CHOICE_EXPECTED_COMPLETION;
	uint32_t entries = 16, servers = 16;
	// Number of slow and of failing servers, the first ones, from bad_from_us to bad_to_us.
	uint32_t slow = 0, failing = 0;
	double slow_factor = 10;
	double calls_per_s = 8640;
	uint64_t bad_from_us = 2000000, bad_to_us = 6000000, end_us = 14000000;
	uint32_t candidates = 0; // 0 for the default
	uint32_t trial_interval_us = 0, load_decay_us = 0;
	uint64_t seed = 7;
};

struct Outcome {
	histogram latency; // of calls that began while servers were bad
	histogram before;  // of calls that began in the second half of the time before bad_from
	uint64_t calls = 0, to_bad = 0, failed = 0;
	uint64_t after = 0, after_to_bad = 0; // calls in the last second
	// From bad_from_us to the last 10 ms in which bad servers got over a fifth of their fair
	// share.
	uint64_t lost_us = 0;
	// From bad_to_us to the end of the first 100 ms in which they got half of their fair share.
	uint64_t regained_us = 0;
};

class Loop
{
      public:
	explicit Loop(const Scenario &setup) : setup(setup)
	{
		choice_settings settings;
		error err;

		random_seed(&rng, setup.seed);
		choice_default_settings(&settings);
		settings.policy = setup.policy;
		settings.gates_per_domain = setup.servers;
		settings.candidates = setup.candidates ? setup.candidates : settings.candidates;
		if (setup.trial_interval_us)
			settings.trial_interval_us = setup.trial_interval_us;
		if (setup.load_decay_us)
			settings.load_decay_us = setup.load_decay_us;
		servers.resize(setup.servers);
		for (uint32_t e = 0; e < setup.entries; e++) {
			choice *made;

			settings.own_id = e;
			EXPECT_EQ(0, choice_create(&made, &settings, &err));
			choices.push_back(made);
			set_members(made);
		}
		calls_per_step.resize(setup.end_us / 10000 + 1);
		bad_calls_per_step.resize(calls_per_step.size());
	}

	~Loop()
	{
		for (auto *made : choices)
			choice_destroy(made);
	}

	Outcome run()
	{
		push({0, ARRIVE, 0, 0, 0, 0, 0, false, {}});
		while (!events.empty() && events.top().at_us < setup.end_us) {
			Event event = events.top();

			events.pop();
			now = event.at_us;
			handle(event);
		}
		trace();
		return out;
	}

      private:
	enum Kind {
		ARRIVE,	 // a call arrives at an entry
		AT_GATE, // an attempt arrives at a gate
		DONE,	 // a server finishes an attempt
		BACK	 // an answer arrives at the entry
	};

	struct Event {
		uint64_t at_us;
		Kind kind;
		uint32_t entry, server;
		uint64_t begun_us, queued_us, service_us;
		bool failed;
		gate_load load;

		bool operator<(const Event &other) const
		{
			return at_us > other.at_us;
		}
	};

	struct Server {
		uint32_t in_use = 0;
		double service_us = 0;
		std::deque<Event> queue;
	};

	Scenario setup;
	Outcome out = {};
	struct random rng;
	uint64_t now = 0;
	std::vector<choice *> choices;
	std::vector<Server> servers;
	std::priority_queue<Event> events;
	// Calls in each step of 10 ms: all calls, and those to bad servers.
	std::vector<uint32_t> calls_per_step, bad_calls_per_step;

	void set_members(choice *made)
	{
		std::vector<choice_member> members;
		error err;

		for (uint32_t s = 0; s < setup.servers; s++)
			members.push_back(
				{{s + 1000, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false});
		EXPECT_EQ(0, choice_set_members(made, members.data(), setup.servers, &err));
	}

	double exponential(double mean)
	{
		return -mean * std::log(1 - random_unit(&rng));
	}

	void push(const Event &event)
	{
		events.push(event);
	}

	bool is_bad_time(uint64_t at_us) const
	{
		return at_us >= setup.bad_from_us && at_us < setup.bad_to_us;
	}

	bool is_bad(uint32_t server) const
	{
		return server < setup.slow + setup.failing;
	}

	void handle(Event event)
	{
		switch (event.kind) {
		case ARRIVE:
			arrive();
			break;
		case AT_GATE:
			event.queued_us = now;
			servers[event.server].queue.push_back(event);
			admit(event.server);
			break;
		case DONE:
			done(event);
			break;
		case BACK:
			back(event);
			break;
		}
	}

	void arrive()
	{
		uint32_t entry = random_below(&rng, setup.entries);
		choice_query query = {nullptr, 0, 0, 0, nullptr, 0};
		choice_selection picked;

		push({now + 1 + (uint64_t)exponential(1e6 / setup.calls_per_s),
		      ARRIVE,
		      0,
		      0,
		      0,
		      0,
		      0,
		      false,
		      {}});
		ASSERT_TRUE(choice_pick(choices[entry], &query, &rng, now, &picked));
		choice_record_sent(choices[entry], picked.gate.node_id, now);
		push({now + (uint64_t)ONE_WAY_US,
		      AT_GATE,
		      entry,
		      uint32_t(picked.gate.node_id - 1000),
		      now,
		      0,
		      0,
		      false,
		      {}});
		count(uint32_t(picked.gate.node_id - 1000));
	}

	void count(uint32_t server)
	{
		calls_per_step[now / 10000]++;
		bad_calls_per_step[now / 10000] += is_bad(server);
		if (is_bad_time(now)) {
			out.calls++;
			out.to_bad += is_bad(server);
		}
		if (now >= setup.end_us - 1000000) {
			out.after++;
			out.after_to_bad += is_bad(server);
		}
	}

	void admit(uint32_t number)
	{
		Server &server = servers[number];

		while (server.in_use < SLOTS && !server.queue.empty()) {
			Event event = server.queue.front();
			double mean = SERVICE_US;

			server.queue.pop_front();
			server.in_use++;
			if (is_bad_time(now) && number < setup.slow)
				mean *= setup.slow_factor;
			event.failed = is_bad_time(now) && number >= setup.slow && is_bad(number);
			event.service_us = event.failed ? FAIL_US : (uint64_t)exponential(mean);
			event.queued_us = now - event.queued_us;
			event.kind = DONE;
			event.at_us = now + event.service_us;
			push(event);
		}
	}

	void done(Event event)
	{
		Server &server = servers[event.server];
		double old = server.service_us > 0 ? server.service_us : SERVICE_US;

		server.in_use--;
		if (!event.failed)
			server.service_us = old + 0.1 * ((double)event.service_us - old);
		admit(event.server);
		event.load = {server.in_use,
			      SLOTS,
			      (uint32_t)server.queue.size(),
			      (uint32_t)server.service_us,
			      0,
			      2,
			      0,
			      0,
			      false,
			      0};
		event.kind = BACK;
		event.at_us = now + (uint64_t)ONE_WAY_US;
		push(event);
	}

	void back(const Event &event)
	{
		choice_result result = {};

		result.kind = event.failed ? CHOICE_RESULT_FAILED : CHOICE_RESULT_ANSWERED;
		result.has_load = true;
		result.load = event.load;
		result.elapsed_us = uint32_t(now - event.begun_us);
		result.gate_queue_us = uint32_t(event.queued_us);
		result.server_us = uint32_t(event.service_us);
		choice_record_result(choices[event.entry], event.server + 1000, &result, now);
		if (event.begun_us < setup.bad_from_us && event.begun_us >= setup.bad_from_us / 2)
			histogram_record(&out.before, now - event.begun_us);
		if (!is_bad_time(event.begun_us))
			return;
		out.failed += event.failed;
		if (!event.failed)
			histogram_record(&out.latency, now - event.begun_us);
	}

	// Returns the share of calls that bad servers got over some steps of 10 ms, relative to
	// their fair share.
	double share(size_t from, size_t steps) const
	{
		double fair = double(setup.slow + setup.failing) / setup.servers;
		double all = 0, bad = 0;

		for (size_t i = from; i < from + steps && i < calls_per_step.size(); i++) {
			all += calls_per_step[i];
			bad += bad_calls_per_step[i];
		}
		return all > 0 ? bad / all / fair : 0;
	}

	void trace()
	{
		size_t from = setup.bad_from_us / 10000, to = setup.bad_to_us / 10000;

		out.regained_us = setup.end_us - setup.bad_to_us;
		for (size_t i = from; i < from + 200 && i < to; i++) {
			if (share(i, 1) > 0.2)
				out.lost_us = (i + 1 - from) * 10000;
			else if (share(i, 10) <= 0.2)
				break;
		}
		for (size_t i = to; i + 10 < calls_per_step.size(); i++) {
			if (share(i, 10) < 0.5)
				continue;
			out.regained_us = (i + 10 - to) * 10000;
			return;
		}
	}
};

inline const char *policy_name(choice_policy policy)
{
	static const char *const names[] = {"expected", "random", "round-robin", "least-in-flight",
					    "two-random"};
	return names[policy];
}

inline void print_header(const char *title)
{
	printf("%s\n%-16s %8s %8s %8s %9s %9s %8s %9s %9s\n", title, "policy", "p50_us", "p99_us",
	       "before99", "bad_share", "failed", "lost_ms", "regain_ms", "end_share");
}

inline void print_row(const char *name, const Outcome &out)
{
	printf("%-16s %8lu %8lu %8lu %8.2f%% %8.2f%% %8lu %9lu %8.2f%%\n", name,
	       (unsigned long)histogram_quantile_us(&out.latency, 0.5),
	       (unsigned long)histogram_quantile_us(&out.latency, 0.99),
	       (unsigned long)histogram_quantile_us(&out.before, 0.99),
	       100.0 * double(out.to_bad) / double(out.calls),
	       100.0 * double(out.failed) / double(out.calls), (unsigned long)(out.lost_us / 1000),
	       (unsigned long)(out.regained_us / 1000),
	       100.0 * double(out.after_to_bad) / double(out.after));
}
} // namespace choice_loop

#endif
