// Key proofs: for how long the keys in force may be used, after own questions and those of peers.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/key_proof.h"
}

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t START = 1000000 * MS;
constexpr uint32_t BOUND_MS = 5000;

struct Node {
	key_proof proof{};
	uint64_t version = 7;

	Node()
	{
		key_proof_init(&proof, BOUND_MS);
	}
	void ask_store(uint64_t asked_us, uint64_t now_us)
	{
		key_proof_claim claim = {KEY_PROOF_STORE, version, asked_us};

		key_proof_adopt(&proof, &claim, version, now_us);
	}
	void hear(const key_proof_item &item, uint64_t asked_us, uint64_t now_us)
	{
		key_proof_hear(&proof, &item, KEY_PROOF_GOSSIP, asked_us, version, now_us);
	}
	key_proof_item tell(uint64_t now_us) const
	{
		key_proof_item item;

		key_proof_tell(&proof, now_us, &item);
		return item;
	}
	bool is_fresh(uint64_t now_us) const
	{
		return key_proof_is_fresh(&proof, now_us);
	}
};

// A node that started has no proof, whatever configuration it got.
TEST(KeyProof, DoesNotHoldAtTheStart)
{
	Node node;

	EXPECT_FALSE(node.is_fresh(START));
	EXPECT_FALSE(node.is_fresh(0));
	EXPECT_FALSE(node.tell(START).is_set);
	EXPECT_EQ(UINT64_MAX, key_proof_age_us(&node.proof, START));
}

// Guards against a late answer of the store that is counted from its receipt.
TEST(KeyProof, CountsFromTheQuestionNotFromTheAnswer)
{
	Node node;

	node.ask_store(START, START + 3000 * MS);
	EXPECT_EQ(3000 * MS, key_proof_age_us(&node.proof, START + 3000 * MS));
	EXPECT_TRUE(node.is_fresh(START + 4749 * MS));
	EXPECT_FALSE(node.is_fresh(START + 4750 * MS));
}

TEST(KeyProof, IsNotReplacedByAnOlderOne)
{
	Node node;

	node.ask_store(START, START);
	node.ask_store(START - 1000 * MS, START);
	EXPECT_EQ(0u, key_proof_age_us(&node.proof, START));
}

// A clock of the caller that went back must not make a proof last longer.
TEST(KeyProof, OfTheFutureIsNotTaken)
{
	Node node;

	node.ask_store(START + 1, START);
	EXPECT_FALSE(node.is_fresh(START + 2));
	node.ask_store(START, START);
	EXPECT_FALSE(node.is_fresh(START - 1));
}

// Guards against an age that shrinks on its way through several nodes.
TEST(KeyProof, AgeThatIsToldIsRoundedUpAndCountedFromTheQuestionToThePeer)
{
	Node first;
	Node second;

	first.ask_store(START, START);
	key_proof_item item = first.tell(START + 1);
	ASSERT_TRUE(item.is_set);
	EXPECT_EQ(1u, item.age_ms);
	EXPECT_EQ(7u, item.version);
	// Asked at START - 500 ms; the answer took a second.
	second.hear(item, START - 500 * MS, START + 500 * MS);
	EXPECT_EQ(1001 * MS, key_proof_age_us(&second.proof, START + 500 * MS));
}

// An older configuration can't be proven current by the claim about a newer one.
TEST(KeyProof, OfALaterVersionCountsOnceThatVersionIsInForce)
{
	Node node;

	node.hear({true, 0, 9}, START, START);
	EXPECT_FALSE(node.is_fresh(START));
	key_proof_catch_up(&node.proof, 8);
	EXPECT_FALSE(node.is_fresh(START));
	key_proof_catch_up(&node.proof, 9);
	EXPECT_TRUE(node.is_fresh(START));
}

// A node that has a newer configuration may use a claim about an older one: no removal up to then
// is missing here.
TEST(KeyProof, OfAnEarlierVersionCounts)
{
	Node node;

	node.hear({true, 100, 3}, START, START);
	EXPECT_EQ(100 * MS, key_proof_age_us(&node.proof, START));
	EXPECT_EQ(3u, node.tell(START).version);
}

TEST(KeyProof, ThatRanOutIsNotTold)
{
	Node node;

	node.ask_store(START, START);
	EXPECT_TRUE(node.tell(START + 4749 * MS).is_set);
	EXPECT_FALSE(node.tell(START + 4750 * MS).is_set);
}

// An older peer tells nothing; a peer whose age is longer than this host runs tells nothing usable.
TEST(KeyProof, IgnoresAbsentAndImpossibleItems)
{
	Node node;

	node.hear({false, 0, 7}, START, START);
	node.hear({true, UINT32_MAX, 7}, 10 * MS, START);
	node.hear({true, 0, 7}, 0, START);
	EXPECT_FALSE(node.is_fresh(START));
}

} // namespace
