// A fleet of nodes without a network that share the limits of customers: each has an entry side and
// a home side; messages take 0.2 to 17 ms and some are lost. Time advances in steps of 1 ms.
#ifndef TEST_SUPPORT_ALLOTMENT_FLEET_H
#define TEST_SUPPORT_ALLOTMENT_FLEET_H

#include "support/allotment_load.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/allotment_entry.h"
#include "fescuemill/decide/allotment_home.h"
#include "fescuemill/decide/share.h"
}

namespace allotment
{

constexpr uint64_t STEP_US = 1000;
constexpr uint64_t SHELL_US = 10000;	   // period of the shell's timer
constexpr uint64_t SLOT_US = 50000;	   // resolution at which windows are judged
constexpr uint64_t HOLD_US = 60000;	   // for which a call waits for the home
constexpr uint32_t PACKET_BYTES = 28 + 60; // headers and envelope of a gossip packet, at most

enum class Policy {
	home,	// as built
	equal,	// each node has an equal part
	demand, // parts by the demands of all nodes, told to all once a second
};

struct Customer {
	struct allotment_limit limit;
	Load load;
	uint64_t offered = 0;
	uint64_t admitted = 0;
	uint64_t unknown = 0; // refused because the home had not answered yet
	uint64_t ideal = 0;   // that one bucket for the fleet would admit
	double tokens = 0;
	uint64_t token_us = 0;
	std::vector<uint32_t> slots; // calls that ran, by SLOT_US

	// Returns the largest number of calls that ran in 5 s, from a time on.
	uint64_t worst_window(uint64_t from_us = 0) const
	{
		uint64_t width = ALLOTMENT_WINDOW_US / SLOT_US;
		uint64_t sum = 0;
		uint64_t worst = 0;

		for (size_t i = from_us / SLOT_US; i < slots.size(); i++) {
			sum += slots[i];
			if (i >= from_us / SLOT_US + width)
				sum -= slots[i - width];
			worst = std::max(worst, sum);
		}
		return worst;
	}

	double bound() const
	{
		return allotment_window_calls(&limit) + allotment_slack_calls(&limit);
	}

	// Returns the part of the calls that one bucket would admit but that were refused.
	double under() const
	{
		return ideal > admitted ? (double)(ideal - admitted) / (double)ideal : 0;
	}
};

struct Message {
	uint64_t at_us;
	uint32_t from;
	uint32_t to;
	std::vector<uint8_t> data;

	bool operator<(const Message &other) const
	{
		return at_us > other.at_us;
	}
};

struct Node {
	struct allotment_entry entry = {};
	struct allotment_home home = {};
	uint64_t phase_us = 0;
	uint64_t sent_bytes = 0;
	uint64_t received_bytes = 0;
	bool is_dead = false;
	bool is_paused = false;
	uint64_t incarnation = 0;
};

class Fleet
{
      public:
	struct Options {
		uint32_t nodes = 66;
		double loss = 0.01;
		uint64_t seed = 7;
		uint32_t capacity = 256;
		Policy policy = Policy::home;
		bool holds = true;  // calls wait for the home's first answer
		double not_run = 0; // part of the admitted calls that then aren't run
		uint64_t delay_min_us = 200;
		uint64_t delay_max_us = 17000;
	};

	explicit Fleet(const Options &options) : options(options), nodes(options.nodes)
	{
		struct error err;

		random_seed(&rng, options.seed);
		for (uint32_t i = 0; i < nodes.size(); i++) {
			open(i, &err);
			nodes[i].phase_us = random_below(&rng, SHELL_US / STEP_US) * STEP_US;
		}
		can_reach = [](uint32_t, uint32_t) { return true; };
		sees_alive = [](uint32_t, uint32_t) { return true; };
	}

	~Fleet()
	{
		for (Node &node : nodes) {
			allotment_entry_release(&node.entry);
			allotment_home_release(&node.home);
		}
	}

	void add(uint32_t rate, uint32_t burst, const Load &load)
	{
		Customer customer;

		customer.limit = {customers.size() + 1001, rate * 1000, burst};
		customer.load = load;

		customer.tokens = burst;
		customer.token_us = now_us;
		customers.push_back(customer);
		next_call.push({now_us, (uint32_t)customers.size() - 1});
		if (options.policy == Policy::demand) {
			counts.emplace_back(options.nodes);
			means.emplace_back(options.nodes);
			parts.emplace_back(options.nodes, rate * 1e3 / options.nodes);
		}
	}

	// Changes a limit at all nodes.
	void set_limit(size_t index, uint32_t rate, uint32_t burst)
	{
		customers[index].limit.rate_milli = rate * 1000;
		customers[index].limit.burst = burst;
		for (Node &node : nodes)
			allotment_home_set_limit(&node.home, &customers[index].limit, now_us);
	}

	void restart(uint32_t index)
	{
		struct error err;

		allotment_entry_release(&nodes[index].entry);
		allotment_home_release(&nodes[index].home);
		nodes[index].incarnation++;
		open(index, &err);
		view_changed = true;
	}

	void run_until(uint64_t end_us)
	{
		while (now_us < end_us) {
			now_us += STEP_US;
			deliver();
			give_back();
			arrive();
			release_held();
			if (options.policy == Policy::demand && now_us % USEC_PER_SEC == 0)
				share_demands();
			if (options.policy == Policy::home)
				run_shells();
		}
	}

	// Returns the node that another one takes for a customer's home.
	uint32_t home_of(uint32_t viewer, uint64_t customer) const
	{
		uint32_t best = viewer;
		uint64_t most = 0;

		if (all_see_all) { // the same for all viewers
			if (homes.size() <= customer - 1001)
				homes.resize(customer - 1000, UINT32_MAX);
			if (homes[customer - 1001] != UINT32_MAX)
				return homes[customer - 1001];
		}

		for (uint32_t i = 0; i < nodes.size(); i++) {
			uint64_t rank = slot_hash(customer, i + 1);

			if ((i == viewer || sees_alive(viewer, i)) && rank > most) {
				most = rank;
				best = i;
			}
		}
		if (all_see_all)
			homes[customer - 1001] = best;
		return best;
	}

	double bytes_per_node_s() const
	{
		uint64_t sum = 0;

		for (const Node &node : nodes)
			sum += node.sent_bytes + node.received_bytes;
		return (double)sum * 1e6 / (double)now_us / (double)nodes.size();
	}

	double bytes_most_s() const
	{
		uint64_t most = 0;

		for (const Node &node : nodes)
			most = std::max(most, node.sent_bytes + node.received_bytes);
		return (double)most * 1e6 / (double)now_us;
	}

	Options options;
	uint64_t now_us = 0;
	struct random rng;
	std::vector<Node> nodes;
	std::vector<Customer> customers;
	std::function<bool(uint32_t, uint32_t)> can_reach;  // whether a message arrives
	std::function<bool(uint32_t, uint32_t)> sees_alive; // whether the first lists the second
	bool view_changed = true;
	bool all_see_all = true; // false: sees_alive has been set

      private:
	struct Due {
		uint64_t at_us;
		uint32_t customer;
		uint32_t node = 0;

		bool operator<(const Due &other) const
		{
			return at_us > other.at_us;
		}
	};

	struct Held {
		uint64_t at_us;
		uint32_t customer;
		uint32_t node;
		bool would_run;
	};

	void open(uint32_t index, struct error *err)
	{
		Node &node = nodes[index];
		uint64_t seed = options.seed * 1000003 + index * 101 + node.incarnation;

		allotment_entry_init(&node.entry, options.capacity, seed, err);
		allotment_home_init(&node.home, options.capacity, err);
		node.entry.members = options.nodes;
		allotment_members_update(&node.home.members, options.nodes, now_us);
	}

	void send(uint32_t from, uint32_t to, const struct allotment_message &message)
	{
		uint8_t data[ALLOTMENT_BYTES_MAX];
		size_t size = allotment_write(&message, data);
		uint64_t delay_us = options.delay_min_us;

		delay_us += random_below(&rng, (uint32_t)(options.delay_max_us - delay_us + 1));
		if (from == to)
			delay_us = 0;
		else
			nodes[from].sent_bytes += size + PACKET_BYTES;
		if (from != to && (random_unit(&rng) < options.loss || !can_reach(from, to)))
			return;
		messages.push({now_us + delay_us, from, to, {data, data + size}});
	}

	void deliver()
	{
		while (!messages.empty() && messages.top().at_us <= now_us) {
			Message message = messages.top();
			Node &node = nodes[message.to];
			struct allotment_message content;
			struct error err;

			messages.pop();
			if (node.is_dead)
				continue;
			if (node.is_paused) { // it waits in the socket
				message.at_us = now_us + STEP_US * 50;
				messages.push(message);
				continue;
			}
			if (message.from != message.to)
				node.received_bytes += message.data.size() + PACKET_BYTES;
			if (allotment_read(&content, message.data.data(), message.data.size(),
					   &err) != 0)
				abort();
			if (content.type == ALLOTMENT_REPORTS)
				answer(message, content);
			else
				for (uint32_t i = 0; i < content.count; i++)
					allotment_entry_hear(&node.entry, &content.words[i],
							     now_us);
		}
	}

	void answer(const Message &message, const struct allotment_message &reports)
	{
		struct allotment_message out = {};

		out.type = ALLOTMENT_WORDS;
		for (uint32_t i = 0; i < reports.count; i++) {
			const struct allotment_report &report = reports.reports[i];
			const Customer &customer = customers[report.customer - 1001];

			if (home_of(message.to, report.customer) != message.to)
				continue;
			if (allotment_home_take_report(&nodes[message.to].home, &customer.limit,
						       message.from, &report, now_us,
						       &out.words[out.count]))
				out.count++;
			if (out.count == ALLOTMENT_WORDS_MAX)
				break;
		}
		if (out.count)
			send(message.to, message.from, out);
	}

	void run_shells()
	{
		for (uint32_t i = 0; i < nodes.size(); i++) {
			Node &node = nodes[i];

			if (now_us % SHELL_US != node.phase_us || node.is_dead || node.is_paused)
				continue;
			update_members(i);
			allotment_entry_sweep(&node.entry, now_us);
			allotment_home_tick(&node.home, now_us);
			report(i);
			push(i);
		}
	}

	void update_members(uint32_t index)
	{
		uint32_t live = 0;

		if (!view_changed)
			return;
		for (uint32_t i = 0; i < nodes.size(); i++)
			live += i == index || sees_alive(index, i);
		allotment_members_update(&nodes[index].home.members, live, now_us);
		nodes[index].entry.members = nodes[index].home.members.known;
	}

	void report(uint32_t index)
	{
		std::vector<std::pair<uint32_t, struct allotment_message>> packets;
		struct allotment_entry *entry = &nodes[index].entry;
		struct allotment_item *item;
		uint32_t cursor = 0;

		while ((item = allotment_entry_next_due(entry, &cursor, now_us)) != NULL) {
			uint32_t home = home_of(index, item->limit.customer);
			size_t at = 0;

			while (at < packets.size() && packets[at].first != home)
				at++;
			if (at == packets.size()) {
				packets.push_back({home, {}});
				packets[at].second.type = ALLOTMENT_REPORTS;
			}
			struct allotment_message &message = packets[at].second;

			if (message.count < ALLOTMENT_WORDS_MAX)
				allotment_entry_report(item, &message.reports[message.count++],
						       now_us);
		}
		for (auto &packet : packets)
			send(index, packet.first, packet.second);
	}

	void push(uint32_t index)
	{
		struct allotment_home *home = &nodes[index].home;
		uint32_t left = 8;

		for (uint32_t i = 0; i < home->map.capacity && left; i++) {
			struct allotment_message message = {};
			uint64_t to;

			message.type = ALLOTMENT_WORDS;
			message.count = 1;
			while (home->accounts[i].in_use && left &&
			       allotment_home_next_push(home, &home->accounts[i], now_us, &to,
							&message.words[0])) {
				send(index, (uint32_t)to, message);
				left--;
			}
		}
	}

	void arrive()
	{
		while (!next_call.empty() && next_call.top().at_us <= now_us) {
			Due due = next_call.top();
			Customer &customer = customers[due.customer];
			double rate = customer.load.rate(now_us);

			next_call.pop();
			if (due.node) // the first entry of a customer only starts its calls
				call(customer, due.customer, now_us);
			double gap_us =
				rate > 0 ? -std::log(1 - random_unit(&rng)) / rate * 1e6 : 10000;

			next_call.push({due.at_us + (uint64_t)gap_us, due.customer, rate > 0});
		}
	}

	void call(Customer &customer, uint32_t index, uint64_t at_us)
	{
		uint32_t at = customer.load.node(at_us, &rng);
		enum allotment_verdict verdict;

		if (nodes[at].is_dead || nodes[at].is_paused)
			return;
		customer.offered++;
		customer.tokens =
			std::min((double)customer.limit.burst,
				 customer.tokens + customer.limit.rate_milli * 1e-9 *
							   (double)(at_us - customer.token_us));
		customer.token_us = at_us;
		bool would_run = random_unit(&rng) >= options.not_run;
		if (customer.tokens >= 1) {
			customer.ideal += would_run;
			customer.tokens -= would_run;
		}
		verdict = take(customer, index, at);
		if (verdict == ALLOTMENT_REFUSE_UNKNOWN && options.holds) {
			held.push_back({now_us, index, at, would_run});
			return;
		}
		customer.unknown += verdict == ALLOTMENT_REFUSE_UNKNOWN;
		if (verdict == ALLOTMENT_ADMIT)
			admit(customer, index, at, would_run);
	}

	// Decides again about calls that wait for the home, when it has answered or after HOLD_US.
	void release_held()
	{
		std::vector<Held> rest;

		std::swap(rest, held);
		for (const Held &call : rest) {
			Customer &customer = customers[call.customer];
			struct allotment_entry *entry = &nodes[call.node].entry;
			struct allotment_item *item =
				allotment_entry_find(entry, customer.limit.customer);
			bool is_heard = item && item->word_us >= call.at_us;

			if (!is_heard && now_us < call.at_us + HOLD_US) {
				held.push_back(call);
				continue;
			}
			if (is_heard && allotment_entry_take_again(entry, &customer.limit, now_us,
								   &item) == ALLOTMENT_ADMIT)
				admit(customer, call.customer, call.node, call.would_run);
			else
				customer.unknown++;
		}
	}

	void admit(Customer &customer, uint32_t index, uint32_t at, bool would_run)
	{
		uint64_t at_us = now_us;

		if (!would_run) {
			unrun.push({at_us + 10000, index, at});
			return;
		}
		customer.admitted++;
		if (customer.slots.size() <= at_us / SLOT_US)
			customer.slots.resize(at_us / SLOT_US + 1);
		customer.slots[at_us / SLOT_US]++;
	}

	enum allotment_verdict take(Customer &customer, uint32_t index, uint32_t at)
	{
		struct allotment_item *item = NULL;
		struct allotment_item *found;

		if (options.policy == Policy::home)
			return allotment_entry_take(&nodes[at].entry, &customer.limit, now_us,
						    &item);
		found = allotment_entry_find(&nodes[at].entry, customer.limit.customer);
		if (!found) {
			allotment_entry_take(&nodes[at].entry, &customer.limit, now_us, &found);
			found->tokens = (double)customer.limit.burst / options.nodes;
			found->token_us = now_us;
		}
		double part = customer.limit.rate_milli / (double)options.nodes;
		if (options.policy == Policy::demand) {
			counts[index][at]++;
			part = parts[index][at];
		}
		found->used_us = now_us;
		found->tokens =
			std::min(std::max(1.0, (double)customer.limit.burst / options.nodes),
				 found->tokens + part * 1e-9 * (double)(now_us - found->token_us));
		found->token_us = now_us;
		if (found->tokens < 1)
			return ALLOTMENT_REFUSE;
		found->tokens -= 1;
		return ALLOTMENT_ADMIT;
	}

	// Sets the parts by the demands of the last second, the others' one second older.
	void share_demands()
	{
		for (size_t c = 0; c < customers.size(); c++) {
			std::vector<uint64_t> old = means[c];

			for (uint32_t i = 0; i < options.nodes; i++) {
				means[c][i] =
					share_smooth_milli(old[i], counts[c][i], USEC_PER_SEC);
				counts[c][i] = 0;
			}
			for (uint32_t i = 0; i < options.nodes; i++) {
				struct share_demand demand = {};

				demand.gates = demand.reported = options.nodes;
				demand.own_milli = means[c][i];
				for (uint32_t j = 0; j < options.nodes; j++) {
					demand.known_milli[j] = i == j ? means[c][j] : old[j];
					demand.total_milli += demand.known_milli[j];
				}
				parts[c][i] = (double)share_by_demand_milli(
					customers[c].limit.rate_milli / 1000, &demand);
			}
		}
	}

	void give_back()
	{
		while (!unrun.empty() && unrun.top().at_us <= now_us) {
			Due due = unrun.top();

			unrun.pop();
			allotment_entry_give_back(&nodes[due.node].entry,
						  customers[due.customer].limit.customer, now_us);
		}
	}

	mutable std::vector<uint32_t> homes;
	std::priority_queue<Message> messages;
	std::priority_queue<Due> next_call;
	std::priority_queue<Due> unrun;
	std::vector<Held> held;
	std::vector<std::vector<uint64_t>> counts;
	std::vector<std::vector<uint64_t>> means;
	std::vector<std::vector<double>> parts;
};

} // namespace allotment

#endif
