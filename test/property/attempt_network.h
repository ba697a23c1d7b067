// The parts of the simulated world of attempts: frames on the network, gates, entries and calls.
#ifndef FESCUEMILL_TEST_PROPERTY_ATTEMPT_NETWORK_H
#define FESCUEMILL_TEST_PROPERTY_ATTEMPT_NETWORK_H

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "fescuemill/chart/chart.h"
#include "fescuemill/decide/attempt_entry.h"
#include "fescuemill/decide/attempt_gate.h"
#include "fescuemill/decide/peer.h"
#include "fescuemill/wire/message_defs.h"
}

namespace attempt_world
{
constexpr int ENTRIES = 2;
constexpr int GATES = 3;
constexpr uint64_t STEP_US = 1000;
constexpr uint64_t MARGIN_US = 50000;
constexpr uint32_t RECORDS_MAX = 10;
constexpr uint32_t LIVE_MAX = 3;
constexpr uint64_t BYTES_MAX = 9000;
constexpr uint32_t RETRY_BUDGET = 3;

struct Op {
	int kind;
	uint32_t a, b, c;
};

struct Frame {
	uint64_t due_us;
	int entry, gate, link;
	bool to_gate;
	uint64_t gate_life; // of the process that the connection leads to
	message_type type;
	uint32_t epoch;
	attempt_id id;
	uint64_t incarnation, time_left_us;
	call_outcome outcome;
	call_reason reason;
	int payload; // the call whose run made the answer
};

struct Call {
	attempt_entry state;
	int entry;
	bool idempotent, told = false, gone = false;
	uint64_t deadline_us, told_us = 0;
	call_outcome outcome = OUTCOME_UNKNOWN;
	int runs = 0, finishes = 0, payload = -1, sends = 0;
};

struct Run {
	int call;
	uint64_t due_us;
	attempt_id id;
	bool shed;
};

struct Waiting {
	attempt_id id;
	uint64_t due_us;
};

struct Gate {
	attempt_gate *table = nullptr;
	uint64_t life = 1, paused_until = 0;
	bool dead = false;
	std::vector<Run> runs;
	std::vector<Waiting> waiting;
	std::map<std::pair<uint64_t, uint64_t>, int> answers; // the call that ran
};

struct Entry {
	uint64_t life = 1, sequence = 0, paused_until = 0;
	retry_bucket bucket;
	peer links[GATES][LINK_KIND_COUNT];
	uint64_t link_life[GATES][LINK_KIND_COUNT] = {};
	bool frozen[GATES][LINK_KIND_COUNT] = {};
	std::map<uint64_t, int> calls; // by sequence of the present attempt
	int firsts = 0, retries = 0;
};

// All state of the world, and the network's losses, delays, duplicates and reorderings.
class Network
{
      public:
	explicit Network(uint32_t seed) : rng(seed)
	{
	}

      protected:
	std::mt19937 rng;
	uint64_t now = 1000;
	Gate gates[GATES];
	Entry entries[ENTRIES];
	std::vector<Frame> frames;
	std::vector<std::unique_ptr<Call>> calls;
	std::vector<int> open; // numbers of the calls whose outcome is not told
	uint64_t step_us = STEP_US;
	std::map<std::pair<uint64_t, uint64_t>, int> attempt_runs, attempt_calls;

	uint32_t below(uint32_t bound)
	{
		return rng() % bound;
	}

	void send(Frame frame)
	{
		Entry &entry = entries[frame.entry];
		int copies = below(6) == 0 ? 2 : 1;

		if (below(20) == 0)
			return;
		for (int i = 0; i < copies; i++) {
			frame.due_us = now + 200 + below(i > 0 || below(10) == 0 ? 60000 : 3000);
			if (entry.frozen[frame.gate][frame.link] && below(2) == 0)
				return;
			if (entry.frozen[frame.gate][frame.link])
				frame.due_us += 100000 + below(400000);
			frames.push_back(frame);
		}
	}
};
} // namespace attempt_world

#endif
