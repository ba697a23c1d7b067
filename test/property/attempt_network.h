// State of the simulated fleet for the attempt property test (frames on the network, gates, entries
// and calls), and the simulated network.
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
	uint64_t process_incarnation; // incarnation of the gate that the connection was opened to
	message_type type;
	uint32_t epoch;
	attempt_id id;
	uint64_t incarnation, time_left_us; // incarnation: of the gate that the message names
	call_outcome outcome;
	call_reason reason;
	int payload; // index of the call whose run produced the answer
};

struct Call {
	attempt_entry state;
	int entry;
	bool idempotent, finished = false, gone = false;
	uint64_t deadline_us, finished_us = 0;
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
	uint64_t incarnation = 1, paused_until = 0;
	bool dead = false;
	std::vector<Run> runs;
	std::vector<Waiting> waiting;
	// index of the call that ran, by node id of the entry and sequence
	std::map<std::pair<uint64_t, uint64_t>, int> answers;
};

struct Entry {
	uint64_t incarnation = 1, sequence = 0, paused_until = 0;
	uint32_t connections = 0; // opened, over all links
	retry_bucket bucket;
	peer links[GATES][LINK_KIND_COUNT];
	uint64_t link_incarnation[GATES][LINK_KIND_COUNT] = {};
	bool frozen[GATES][LINK_KIND_COUNT] = {};
	std::map<uint64_t, int> calls; // index of each call, by sequence of its current attempt
	int firsts = 0, retries = 0;
};

// The state of the fleet, and a network that loses, delays, duplicates and reorders frames.
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
	std::vector<int> open; // indices of the calls whose outcome is not reported yet
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
