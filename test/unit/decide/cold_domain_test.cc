// Entries and gates of a failure domain whose servers come back cold under full demand: the cold
// servers are filled up to what they bear, the rest goes elsewhere, and few calls ask in vain.
#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/gate.h"
#include "fescuemill/fleet/member_defs.h"
}

namespace
{
constexpr uint32_t GATES_COLD = 4;
constexpr uint32_t GATES = 8; // the others are warm, in another region
constexpr uint32_t SLOTS = 8;
constexpr uint64_t SERVICE_US = 10000;
constexpr uint32_t RATE_PER_S = 20;
constexpr uint32_t RUN_MS = 8000;
constexpr int ATTEMPTS_MAX = 5;

struct Gate {
	struct gate gate = {};
	std::deque<gate_ticket *> running;
	std::deque<uint64_t> last_second;
	uint32_t starts = 0;
	uint32_t worst_second = 0;
	uint32_t refused_cold = 0;
};

class Domain
{
      public:
	explicit Domain(uint32_t entry_count)
	{
		random_seed(&rng, 3);
		for (uint32_t i = 0; i < GATES; i++)
			open_gate(gates[i], i < GATES_COLD);
		for (uint32_t i = 0; i < entry_count; i++)
			entries.push_back(open_entry(i + 100));
	}

	~Domain()
	{
		for (struct choice *entry : entries)
			choice_destroy(entry);
	}

	// Sends calls_per_ms calls each millisecond, each from the next entry.
	void run(uint32_t calls_per_ms)
	{
		size_t next = 0;

		for (uint32_t i = 0; i < RUN_MS; i++) {
			now_us += USEC_PER_MSEC;
			for (Gate &gate : gates)
				step(gate);
			for (uint32_t n = 0; n < calls_per_ms; n++)
				call(entries[next++ % entries.size()]);
		}
	}

	uint32_t cold_sum(uint32_t Gate::*field) const
	{
		uint32_t sum = 0;

		for (uint32_t i = 0; i < GATES_COLD; i++)
			sum += gates[i].*field;
		return sum;
	}

	Gate gates[GATES];
	uint32_t lost = 0; // calls that no gate has started

      private:
	void open_gate(Gate &gate, bool is_cold)
	{
		struct service_config config = {};

		snprintf(config.service, sizeof(config.service), "ledger");
		config.version = 1;
		config.class_count = 1;
		snprintf(config.classes[0].name, sizeof(config.classes[0].name), "c");
		config.classes[0].latency_us = 100000;
		config.classes[0].percentile_x10 = 990;
		config.classes[0].calls_per_s = CLASS_CALLS_PER_S_UNSET;
		gate_init(&gate.gate, now_us);
		cold_configure(&gate.gate.cold, RATE_PER_S * 1000, 30000, now_us);
		cold_hear_probe(&gate.gate.cold, is_cold ? 30000 : 0, now_us, now_us);
		gate_set_config(&gate.gate, &config, now_us, &actions);
		gate_set_backend(&gate.gate, BACKEND_READY, SLOTS, now_us, &actions);
	}

	struct choice *open_entry(uint64_t id)
	{
		std::vector<choice_member> members;
		choice_settings settings;
		struct choice *choice = nullptr;

		for (uint32_t i = 0; i < GATES; i++)
			members.push_back({{i + 1, 1},
					   i < GATES_COLD ? 0U : 1U,
					   SLOTS,
					   (uint8_t)(i < GATES_COLD ? DISTANCE_SAME_DOMAIN
								    : DISTANCE_OTHER_REGION),
					   true,
					   0,
					   false});
		choice_default_settings(&settings);
		settings.own_id = id;
		settings.service_time_us = SERVICE_US;
		EXPECT_EQ(0, choice_create(&choice, &settings, nullptr));
		EXPECT_EQ(0, choice_set_members(choice, members.data(), GATES, nullptr));
		return choice;
	}

	void started(Gate &gate, struct gate_ticket *ticket)
	{
		gate.running.push_back(ticket);
		gate.starts++;
		gate.last_second.push_back(now_us);
		while (gate.last_second.front() + USEC_PER_SEC <= now_us)
			gate.last_second.pop_front();
		gate.worst_second = std::max(gate.worst_second, (uint32_t)gate.last_second.size());
	}

	void apply(Gate &gate)
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			if (actions.list[i].verdict.kind == GATE_START)
				started(gate, actions.list[i].ticket);
			else
				lost++;
		}
		actions.count = 0;
	}

	void step(Gate &gate)
	{
		while (!gate.running.empty() &&
		       gate.running.front()->start_us + SERVICE_US <= now_us) {
			struct gate_ticket *ticket = gate.running.front();

			gate.running.pop_front();
			gate_finish(&gate.gate, ticket, GATE_RESULT_OK, now_us, &actions);
			apply(gate);
		}
		if (now_us % GATE_TICK_INTERVAL_US == 0) {
			gate_tick(&gate.gate, now_us, &actions);
			apply(gate);
		}
	}

	// Tries one gate after the other, and reports the load of each to the entry at once.
	void call(struct choice *entry)
	{
		uint64_t excluded[ATTEMPTS_MAX];

		for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
			choice_query query = {excluded, attempt, 0, 0, nullptr, 0};
			struct choice_selection picked;

			if (!choice_pick(entry, &query, &rng, now_us, &picked))
				break;
			excluded[attempt] = picked.gate.node_id;
			if (offer(entry, picked))
				return;
		}
		lost++;
	}

	// Returns false if the gate refused the call.
	bool offer(struct choice *entry, const struct choice_selection &picked)
	{
		Gate &gate = gates[picked.gate.node_id - 1];
		auto owned = std::make_unique<gate_ticket>();
		struct gate_ticket *ticket = owned.get();
		struct choice_result result = {};

		tickets.push_back(std::move(owned));
		ticket->has_wait_limit = true;
		ticket->wait_max_us = picked.wait_max_us;
		choice_record_sent(entry, picked.gate.node_id, now_us);
		struct gate_verdict verdict =
			gate_offer(&gate.gate, ticket, 0, now_us + 2000000, now_us, &actions);
		if (verdict.kind == GATE_START)
			started(gate, ticket);
		gate.refused_cold += verdict.kind == GATE_REFUSE && verdict.reason == REASON_COLD;
		apply(gate);
		result.kind = verdict.kind == GATE_REFUSE ? CHOICE_RESULT_NO_FREE_SLOT
							  : CHOICE_RESULT_ANSWERED;
		result.has_load = true;
		gate_get_load(&gate.gate, &result.load);
		result.server_us = SERVICE_US;
		result.elapsed_us = SERVICE_US + (picked.gate.node_id <= GATES_COLD ? 300 : 17000);
		choice_record_result(entry, picked.gate.node_id, &result, now_us);
		return verdict.kind != GATE_REFUSE;
	}

	uint64_t now_us = 100 * USEC_PER_SEC;
	struct random rng = {};
	struct gate_actions actions = {};
	std::vector<struct choice *> entries;
	std::vector<std::unique_ptr<gate_ticket>> tickets;
};

void expect_filled(uint32_t entry_count, uint32_t calls_per_ms, uint32_t refusals_per_start)
{
	Domain domain(entry_count);
	uint32_t borne = GATES_COLD * RATE_PER_S * RUN_MS / 1000;

	domain.run(calls_per_ms);
	uint32_t starts = domain.cold_sum(&Gate::starts);
	uint32_t refused = domain.cold_sum(&Gate::refused_cold);

	printf("%u entries, %u calls/s: %u of %u started cold, %u refused as cold, %u lost\n",
	       entry_count, calls_per_ms * 1000, starts, borne, refused, domain.lost);
	for (uint32_t i = 0; i < GATES_COLD; i++)
		EXPECT_LE(domain.gates[i].worst_second, RATE_PER_S * 3 / 2);
	EXPECT_GE(starts, borne * 8 / 10);
	EXPECT_LE(refused, starts * refusals_per_start);
}
} // namespace

// Guards against cold servers that are left unused, or pressed by refused calls, with few entries.
TEST(ColdDomain, FewEntriesFillItAndAskSeldomInVain)
{
	expect_filled(4, 2, 3);
}

// The same with many entries, each of which knows little of what the others send.
TEST(ColdDomain, ManyEntriesFillItAndAskSeldomInVain)
{
	expect_filled(60, 2, 5);
}
