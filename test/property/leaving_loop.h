// Deterministic simulation of failure domains whose entries select gates with the real choice
// module. Gates refuse a call that would wait longer than its entry allows; entries then ask
// another.
#ifndef FESCUEMILL_TEST_PROPERTY_LEAVING_LOOP_H
#define FESCUEMILL_TEST_PROPERTY_LEAVING_LOOP_H

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

extern "C" {
#include "fescuemill/decide/choice.h"
#include "fescuemill/fleet/member_defs.h"
}

namespace leaving_loop
{
constexpr uint32_t DOMAINS = 4; // domains 0 and 1 are one region, 2 and 3 the other
constexpr uint32_t SLOTS = 6;
constexpr uint32_t ASKS_MAX = 5;
constexpr uint64_t STEP_US = 100000;
constexpr double ONE_WAY_US[DISTANCE_COUNT] = {200, 1400, 8000};

struct Scenario {
	uint32_t entries = 4, servers = 4; // in each domain
	double service_us = 100000;
	uint32_t objective_us = 500000, answer_bytes = 5000;
	uint64_t end_us = 8000000;
	double far_factor = 1; // the links between regions are this much slower
	// Calls a second that begin in a domain at a time; a domain's servers bear 240.
	std::function<double(uint32_t, uint64_t)> calls_per_s;
	// Servers of a domain that are gone at a time, counted from the first.
	std::function<uint32_t(uint32_t, uint64_t)> gone = [](uint32_t, uint64_t) { return 0; };
	uint64_t seed = 7;
};

struct Outcome {
	uint64_t calls = 0, met = 0, left = 0, crossed_bytes = 0, refused = 0;
	uint64_t met_by[DOMAINS] = {}, calls_by[DOMAINS] = {};
	double swing = 0; // mean change of the share that leaves between two steps of 100 ms

	void add(const Outcome &other)
	{
		calls += other.calls;
		met += other.met;
		left += other.left;
		crossed_bytes += other.crossed_bytes;
		refused += other.refused;
		swing += other.swing;
		for (uint32_t d = 0; d < DOMAINS; d++) {
			met_by[d] += other.met_by[d];
			calls_by[d] += other.calls_by[d];
		}
	}

	double met_share() const
	{
		return double(met) / double(calls);
	}

	// Returns how much less often the worst served domain's callers are served in time than
	// those of the best served one.
	double domain_gap() const
	{
		double worst = 1, best = 0;

		for (uint32_t d = 0; d < DOMAINS; d++) {
			double share = double(met_by[d]) / double(calls_by[d]);

			worst = std::min(worst, share);
			best = std::max(best, share);
		}
		return best - worst;
	}
};

class Loop
{
      public:
	Loop(const Scenario &setup, bool has_spillover) : setup(setup)
	{
		choice_settings settings;
		error err;

		random_seed(&rng, setup.seed);
		choice_default_settings(&settings);
		settings.has_spillover = has_spillover;
		settings.load_decay_us = 500000;
		settings.distance_cost_us_per_kib[DISTANCE_SAME_REGION] = 1000;
		settings.distance_cost_us_per_kib[DISTANCE_OTHER_REGION] = 20000;
		servers.resize(DOMAINS * setup.servers);
		for (uint32_t e = 0; e < DOMAINS * setup.entries; e++) {
			choice *made;

			settings.own_id = e;
			EXPECT_EQ(0, choice_create(&made, &settings, &err));
			choices.push_back(made);
		}
		set_all_members();
		left_in_step.resize(setup.end_us / STEP_US + 1);
		calls_in_step.resize(left_in_step.size());
	}

	~Loop()
	{
		for (auto *made : choices)
			choice_destroy(made);
	}

	Outcome run()
	{
		for (uint32_t d = 0; d < DOMAINS; d++)
			push({0, ARRIVE, nullptr, d, 0});
		push({STEP_US, MEMBERS, nullptr, 0, 0});
		while (!events.empty() && events.top().at_us < setup.end_us) {
			Event event = events.top();

			events.pop();
			now = event.at_us;
			handle(event);
		}
		out.swing = swing();
		return out;
	}

      private:
	enum Kind {
		ARRIVE,
		MEMBERS,
		AT_GATE,
		DONE,
		ANSWERED,
		REFUSED
	};

	struct Call {
		uint32_t entry, domain;
		uint64_t begun_us, sent_us = 0, queued_us = 0, service_us = 0;
		uint32_t wait_max_us = 0;
		std::vector<uint64_t> asked;
		gate_load load = {};
	};

	struct Event {
		uint64_t at_us;
		Kind kind;
		std::shared_ptr<Call> call;
		uint32_t where; // domain of an arrival, number of a server
		uint64_t order;

		bool operator<(const Event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us : order > other.order;
		}
	};

	struct Server {
		uint32_t in_use = 0;
		std::deque<std::shared_ptr<Call>> queue;
	};

	Scenario setup;
	Outcome out;
	struct random rng;
	uint64_t now = 0, order = 0;
	std::vector<choice *> choices;
	std::vector<Server> servers;
	std::priority_queue<Event> events;
	std::vector<uint32_t> left_in_step, calls_in_step;

	static uint8_t distance(uint32_t a, uint32_t b)
	{
		if (a == b)
			return DISTANCE_SAME_DOMAIN;
		return a / 2 == b / 2 ? DISTANCE_SAME_REGION : DISTANCE_OTHER_REGION;
	}

	uint64_t one_way_us(uint32_t a, uint32_t b) const
	{
		uint8_t far = distance(a, b);

		return (uint64_t)(ONE_WAY_US[far] *
				  (far == DISTANCE_OTHER_REGION ? setup.far_factor : 1));
	}

	void set_all_members()
	{
		for (uint32_t e = 0; e < choices.size(); e++) {
			std::vector<choice_member> members;
			error err;

			for (uint32_t s = 0; s < servers.size(); s++) {
				uint32_t domain = s / setup.servers;
				choice_member member = {};

				member.identity = {s + 1000, 1};
				member.domain = domain;
				member.slots = SLOTS;
				member.distance = distance(e / setup.entries, domain);
				member.usable = !is_gone(s);
				members.push_back(member);
			}
			EXPECT_EQ(0, choice_set_members(choices[e], members.data(),
							(uint32_t)members.size(), &err));
		}
	}

	bool is_gone(uint32_t server) const
	{
		return server % setup.servers < setup.gone(server / setup.servers, now);
	}

	double exponential(double mean)
	{
		return -mean * std::log(1 - random_unit(&rng));
	}

	void push(Event event)
	{
		event.order = order++;
		events.push(event);
	}

	void handle(const Event &event)
	{
		switch (event.kind) {
		case ARRIVE:
			arrive(event.where);
			break;
		case MEMBERS:
			set_all_members();
			push({now + STEP_US, MEMBERS, nullptr, 0, 0});
			break;
		case AT_GATE:
			at_gate(event.call, event.where);
			break;
		case DONE:
			done(event.call, event.where);
			break;
		case ANSWERED:
			answered(event.call, event.where);
			break;
		case REFUSED:
			refused(event.call, event.where);
			break;
		}
	}

	void arrive(uint32_t domain)
	{
		auto call = std::make_shared<Call>();

		push({now + 1 + (uint64_t)exponential(1e6 / setup.calls_per_s(domain, now)), ARRIVE,
		      nullptr, domain, 0});
		call->domain = domain;
		call->entry = domain * setup.entries + random_below(&rng, setup.entries);
		call->begun_us = now;
		out.calls++;
		out.calls_by[domain]++;
		send(call);
	}

	void send(const std::shared_ptr<Call> &call)
	{
		choice_query query = {};
		choice_selection picked;
		uint64_t spent_us = now - call->begun_us;
		uint32_t server;

		query.excluded = call->asked.data();
		query.excluded_count =
			call->asked.size() < ASKS_MAX ? (uint32_t)call->asked.size() : 0;
		if (spent_us < setup.objective_us)
			query.objective_us = setup.objective_us - (uint32_t)spent_us;
		if (!choice_pick(choices[call->entry], &query, &rng, now, &picked))
			return;
		server = uint32_t(picked.gate.node_id - 1000);
		call->sent_us = now;
		call->wait_max_us = call->asked.size() < ASKS_MAX ? picked.wait_max_us : UINT32_MAX;
		call->asked.push_back(picked.gate.node_id);
		choice_record_sent(choices[call->entry], picked.gate.node_id, now);
		push({now + one_way_us(call->domain, server / setup.servers), AT_GATE, call, server,
		      0});
	}

	gate_load load_of(const Server &server) const
	{
		gate_load load = {};

		load.in_use = server.in_use;
		load.limit = SLOTS;
		load.queued = (uint32_t)server.queue.size();
		load.service_time_us = (uint32_t)setup.service_us;
		load.wait_us = (uint32_t)wait_us(server);
		load.state = BACKEND_READY;
		return load;
	}

	double wait_us(const Server &server) const
	{
		if (server.in_use < SLOTS)
			return 0;
		return setup.service_us * double(server.queue.size() + 1) / SLOTS;
	}

	void at_gate(const std::shared_ptr<Call> &call, uint32_t number)
	{
		Server &server = servers[number];

		if (is_gone(number) || wait_us(server) > call->wait_max_us) {
			call->load = load_of(server);
			push({now + one_way_us(call->domain, number / setup.servers), REFUSED, call,
			      number, 0});
			return;
		}
		call->queued_us = now;
		server.queue.push_back(call);
		start(number);
	}

	void start(uint32_t number)
	{
		Server &server = servers[number];

		while (server.in_use < SLOTS && !server.queue.empty()) {
			auto call = server.queue.front();

			server.queue.pop_front();
			server.in_use++;
			call->service_us = (uint64_t)exponential(setup.service_us);
			call->queued_us = now - call->queued_us;
			push({now + call->service_us, DONE, call, number, 0});
		}
	}

	void done(const std::shared_ptr<Call> &call, uint32_t number)
	{
		servers[number].in_use--;
		start(number);
		call->load = load_of(servers[number]);
		push({now + one_way_us(call->domain, number / setup.servers), ANSWERED, call,
		      number, 0});
	}

	choice_result result_of(const Call &call, choice_result_kind kind) const
	{
		choice_result result = {};

		result.kind = kind;
		result.has_load = true;
		result.load = call.load;
		result.elapsed_us = uint32_t(now - call.sent_us);
		return result;
	}

	void refused(const std::shared_ptr<Call> &call, uint32_t number)
	{
		choice_result result = result_of(*call, CHOICE_RESULT_NO_FREE_SLOT);

		choice_record_result(choices[call->entry], number + 1000, &result, now);
		out.refused++;
		send(call);
	}

	void answered(const std::shared_ptr<Call> &call, uint32_t number)
	{
		choice_result result = result_of(*call, CHOICE_RESULT_ANSWERED);
		uint32_t domain = number / setup.servers;
		bool met = now - call->begun_us <= setup.objective_us;

		result.gate_queue_us = uint32_t(call->queued_us);
		result.server_us = uint32_t(call->service_us);
		result.answer_bytes = setup.answer_bytes;
		choice_record_result(choices[call->entry], number + 1000, &result, now);
		out.met += met;
		out.met_by[call->domain] += met;
		out.left += domain != call->domain;
		calls_in_step[now / STEP_US]++;
		left_in_step[now / STEP_US] += domain != call->domain;
		if (distance(domain, call->domain) == DISTANCE_OTHER_REGION)
			out.crossed_bytes += setup.answer_bytes;
	}

	double swing() const
	{
		double sum = 0;
		size_t count = 0;

		for (size_t i = 1; i < calls_in_step.size(); i++) {
			if (calls_in_step[i] == 0 || calls_in_step[i - 1] == 0)
				continue;
			sum += std::fabs(double(left_in_step[i]) / calls_in_step[i] -
					 double(left_in_step[i - 1]) / calls_in_step[i - 1]);
			count++;
		}
		return count ? sum / double(count) : 0;
	}
};
} // namespace leaving_loop

#endif
