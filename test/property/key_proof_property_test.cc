// Any interleaving of questions, answers, pauses, late and lost messages, older peers and clocks
// that differ: a key works nowhere later than the bound after the store acknowledged its removal.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "fescuemill/decide/key_proof.h"
}

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint32_t BOUND_MS = 5000;
constexpr int NODES = 5;

// A node of the model. Its boot clock has an offset and a rate of its own.
struct Node {
	key_proof proof{};
	uint64_t version = 1;
	uint64_t offset_us = 0;
	int rate_ppm = 0;
	bool is_old = false; // tells and takes no proofs
	uint64_t paused_until_us = 0;

	uint64_t clock(uint64_t now_us) const
	{
		return offset_us + now_us + (uint64_t)((int64_t)now_us * rate_ppm / 1000000);
	}
	bool is_paused(uint64_t now_us) const
	{
		return now_us < paused_until_us;
	}
};

// An answer under way.
struct Answer {
	int to;
	bool is_store;
	uint64_t arrives_us;
	uint64_t asked_us; // by the clock of the one who asked
	uint64_t version;  // store: the newest one when it was read; peer: that of its tables
	key_proof_item item;
};

struct World {
	uint64_t now_us = 1000 * MS;
	uint64_t version = 1;	 // of the store
	uint64_t removed_us = 0; // when the removal was acknowledged, as version 2; 0: not yet
	bool is_store_silent = false;
	std::vector<Node> nodes{NODES};
	std::vector<Answer> answers;

	void deliver(const Answer &answer)
	{
		Node &node = nodes[(size_t)answer.to];
		uint64_t clock = node.clock(now_us);

		if (answer.is_store) {
			node.version = std::max(node.version, answer.version);
			key_proof_claim claim = {KEY_PROOF_STORE, answer.version, answer.asked_us};
			key_proof_adopt(&node.proof, &claim, node.version, clock);
		} else {
			key_proof_hear(&node.proof, &answer.item, KEY_PROOF_GOSSIP, answer.asked_us,
				       node.version, clock);
		}
		key_proof_catch_up(&node.proof, node.version);
	}

	// Lets time pass; delivers what arrives at nodes that run.
	void advance(uint64_t step_us)
	{
		now_us += step_us;
		for (size_t i = 0; i < answers.size();) {
			if (answers[i].arrives_us > now_us ||
			    nodes[(size_t)answers[i].to].is_paused(now_us)) {
				i++;
				continue;
			}
			deliver(answers[i]);
			answers.erase(answers.begin() + (long)i);
		}
	}

	void act(int action, int a, int b, uint64_t ms)
	{
		Node &node = nodes[(size_t)a];
		uint64_t delay_us = ms * MS;

		switch (action) {
		case 0: // ask the store; it is read on the way there
			if (!is_store_silent && !node.is_paused(now_us))
				answers.push_back({a,
						   true,
						   now_us + delay_us,
						   node.clock(now_us),
						   version,
						   {}});
			break;
		case 1: { // ask a peer
			Node &peer = nodes[(size_t)b];
			Answer answer = {a, false, now_us + delay_us, node.clock(now_us), 0, {}};

			if (a == b || node.is_paused(now_us) || peer.is_paused(now_us))
				break;
			if (!peer.is_old && !node.is_old)
				key_proof_tell(&peer.proof, peer.clock(now_us), &answer.item);
			answers.push_back(answer);
			break;
		}
		case 2: // pull the configuration of a peer, which may be the older one
			if (!node.is_paused(now_us) && !nodes[(size_t)b].is_paused(now_us)) {
				node.version = std::max(node.version, nodes[(size_t)b].version);
				key_proof_catch_up(&node.proof, node.version);
			}
			break;
		case 3:
			node.paused_until_us = now_us + 4 * delay_us;
			break;
		case 4: // restart: the configuration comes from a peer
			key_proof_init(&node.proof, BOUND_MS);
			node.version = nodes[(size_t)b].version;
			break;
		case 5:
			is_store_silent = !is_store_silent;
			break;
		case 6: // lose the oldest answer
			if (!answers.empty())
				answers.erase(answers.begin());
			break;
		default:
			break;
		}
	}

	// The key works at a node that runs, has the old version and a proof.
	bool key_works(const Node &node) const
	{
		return !node.is_paused(now_us) && node.version < 2 &&
		       key_proof_is_fresh(&node.proof, node.clock(now_us));
	}
};

RC_GTEST_PROP(KeyProof, ARemovedKeyWorksNowhereAfterTheBound, ())
{
	World world;
	const int steps = 400;
	const int removal = *rc::gen::inRange(1, steps);

	for (Node &node : world.nodes) {
		node.offset_us = (uint64_t)*rc::gen::inRange(1000000, 1000000000);
		node.rate_ppm = *rc::gen::inRange(-500, 501);
		node.is_old = *rc::gen::inRange(0, 5) == 0;
		key_proof_init(&node.proof, BOUND_MS);
	}
	for (int i = 0; i < steps; i++) {
		if (i == removal) {
			world.version = 2;
			world.removed_us = world.now_us;
		}
		world.act(*rc::gen::weightedElement<int>(
				  {{8, 0}, {16, 1}, {2, 2}, {1, 3}, {1, 4}, {1, 5}, {2, 6}}),
			  *rc::gen::inRange(0, NODES), *rc::gen::inRange(0, NODES),
			  (uint64_t)*rc::gen::inRange(0, 1500));
		world.advance((uint64_t)*rc::gen::inRange(0, 200) * MS);
		if (world.removed_us == 0 || world.now_us < world.removed_us + BOUND_MS * MS)
			continue;
		for (const Node &node : world.nodes)
			RC_ASSERT(!world.key_works(node));
	}
}

// With a store that answers and peers that are asked often, keys work: a proof that never holds
// would pass the property above.
RC_GTEST_PROP(KeyProof, KeysWorkWhileTheStoreIsAskedOnceASecond, ())
{
	World world;

	for (Node &node : world.nodes) {
		node.offset_us = (uint64_t)*rc::gen::inRange(1000000, 1000000000);
		key_proof_init(&node.proof, BOUND_MS);
	}
	for (int i = 0; i < 300; i++) {
		if (i % 10 == 0)
			world.act(0, 0, 0, (uint64_t)*rc::gen::inRange(0, 300));
		for (int a = 1; a < NODES; a++)
			world.act(1, a, *rc::gen::inRange(0, a), 5);
		world.advance(100 * MS);
		for (const Node &node : world.nodes)
			RC_ASSERT(i < 60 || world.key_works(node));
	}
}

} // namespace
