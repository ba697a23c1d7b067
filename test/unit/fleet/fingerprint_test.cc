// Unit tests of fingerprints: which state changes they can express, how packets carry them, and
// which rumors are sent as fingerprints.
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/fleet/fingerprint.h"
#include "fescuemill/fleet/gossip_codec.h"
#include "fescuemill/fleet/rumor.h"
}

static member make(const std::string &name, uint32_t revision = 3,
		   member_state state = MEMBER_ALIVE)
{
	member m = {};

	strcpy(m.name, name.c_str());
	strcpy(m.service, "ledger");
	m.identity = {member_id_of(name.c_str()), 7};
	m.revision = revision;
	m.state = state;
	m.backend = BACKEND_READY;
	m.slots = 6;
	return m;
}

static bool matches(const member &known, const member &sent, member *update)
{
	uint32_t fingerprint = fingerprint_of(&sent);
	fingerprint_set set;

	fingerprint_set_fill(&set, &fingerprint, 1);
	return fingerprint_set_match(&set, &known, update);
}

TEST(Fingerprint, MatchesEveryStateThatMayFollow)
{
	const member known = make("a");
	member update;

	for (const member &sent :
	     {make("a", 3, MEMBER_SUSPECT), make("a", 3, MEMBER_DEAD), make("a", 4, MEMBER_ALIVE),
	      make("a", 4, MEMBER_LEAVING), make("a", 4, MEMBER_DEAD)}) {
		ASSERT_TRUE(matches(known, sent, &update)) << sent.revision << " " << sent.state;
		EXPECT_EQ(sent.revision, update.revision);
		EXPECT_EQ(sent.state, update.state);
		EXPECT_EQ(0, memcmp(&sent, &update, sizeof(sent)));
	}
}

TEST(Fingerprint, DoesNotMatchOlderStatesOrOtherMembers)
{
	member update;

	EXPECT_FALSE(matches(make("a", 4), make("a", 3, MEMBER_SUSPECT), &update));
	EXPECT_FALSE(matches(make("a", 4), make("a", 4), &update));
	EXPECT_FALSE(matches(make("a", 4, MEMBER_SUSPECT), make("a", 4, MEMBER_SUSPECT), &update));
	EXPECT_FALSE(matches(make("a", 4, MEMBER_DEAD), make("a", 4, MEMBER_SUSPECT), &update));
	EXPECT_FALSE(matches(make("a", 3), make("a", 5), &update));
	for (int i = 0; i < 1000; i++)
		EXPECT_FALSE(matches(make("n" + std::to_string(i)), make("a", 3, MEMBER_SUSPECT),
				     &update));
}

TEST(Fingerprint, DoesNotMatchRevisionsThatMayChangeTheService)
{
	member update;

	EXPECT_FALSE(matches(make("a", 255), make("a", 256), &update));
	EXPECT_TRUE(matches(make("a", 255), make("a", 255, MEMBER_SUSPECT), &update));
	EXPECT_TRUE(matches(make("a", 256), make("a", 257), &update));
}

TEST(Fingerprint, CanFollowOnlyByStateAndOneRevision)
{
	const member known = make("a");
	member update = make("a", 4);

	EXPECT_TRUE(fingerprint_can_follow(&known, &update));
	update.backend = BACKEND_DRAINING;
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
	update = make("a", 4);
	update.slots = 7;
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
	update = make("a", 4);
	strcpy(update.service, "assay");
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
	update = make("a", 4);
	update.identity.incarnation++;
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
	update = make("a", 5);
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
	update = make("a", 2);
	EXPECT_FALSE(fingerprint_can_follow(&known, &update));
}

TEST(FingerprintCodec, RoundTripsAndIsOmittedWhenEmpty)
{
	static gossip_packet sent, received;
	uint8_t data[GOSSIP_PACKET_BYTES];
	size_t size, without;
	error err;

	sent.kind = GOSSIP_UPDATES;
	ASSERT_EQ(0, gossip_encode(&sent, data, &without, &err));
	EXPECT_EQ(0x90 | 9, data[0]); // Nodes that do not know fingerprints send the same 9 items.
	for (uint32_t i = 0; i < GOSSIP_FINGERPRINTS_MAX; i++)
		sent.fingerprints[i] = 0xfffffff0u - i;
	sent.fingerprint_count = GOSSIP_FINGERPRINTS_MAX;
	ASSERT_EQ(0, gossip_encode(&sent, data, &size, &err));
	EXPECT_LE(size, without + 4 * GOSSIP_FINGERPRINTS_MAX + 3);
	ASSERT_EQ(0, gossip_decode(data, size, &received, &err));
	ASSERT_EQ(sent.fingerprint_count, received.fingerprint_count);
	EXPECT_EQ(0, memcmp(sent.fingerprints, received.fingerprints, sizeof(sent.fingerprints)));
}

TEST(FingerprintCodec, RejectsMoreFingerprintsThanTheMaximum)
{
	static gossip_packet sent, received;
	uint8_t data[GOSSIP_PACKET_BYTES] = {};
	size_t size;
	error err;

	sent.kind = GOSSIP_UPDATES;
	sent.fingerprint_count = GOSSIP_FINGERPRINTS_MAX;
	ASSERT_EQ(0, gossip_encode(&sent, data, &size, &err));
	uint8_t *length = data + size - 4 * GOSSIP_FINGERPRINTS_MAX - 2; // Big endian, 16 bits.
	ASSERT_EQ(4 * GOSSIP_FINGERPRINTS_MAX, length[0] << 8 | length[1]);
	length[1] += 4;
	EXPECT_EQ(-1, gossip_decode(data, size + 4, &received, &err));
	EXPECT_EQ(ERROR_TOO_LARGE, err.kind);
}

class Rumors : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(0, member_table_open(&table, nullptr));
	}
	void TearDown() override
	{
		member_table_close(table);
	}

	void add(uint32_t count, rumor_form form)
	{
		for (uint32_t i = 0; i < count; i++) {
			member m = make("n" + std::to_string(i), 3, MEMBER_SUSPECT);

			member_upsert(table, &m);
			rumor_add(&list, m.identity.node_id, form, 2);
		}
	}

	gossip_packet fill()
	{
		gossip_packet packet = {};

		rumor_fill(&list, table, &packet);
		return packet;
	}

	member_table *table = nullptr;
	rumor_list list = {};
};

TEST_F(Rumors, FewAreSentCompactAndManyAsFingerprints)
{
	add(RUMORS_COMPACT_MAX, RUMOR_STATE);
	EXPECT_EQ((uint32_t)RUMORS_COMPACT_MAX, fill().update_count);
	EXPECT_EQ(0u, fill().fingerprint_count);
	add(RUMORS_COMPACT_MAX + 1, RUMOR_STATE);
	EXPECT_EQ(0u, fill().update_count);
	EXPECT_EQ((uint32_t)RUMORS_COMPACT_MAX + 1, fill().fingerprint_count);
}

TEST_F(Rumors, RumorKeepsTheFormThatAPendingChangeNeeds)
{
	uint64_t node_id = member_id_of("n0");

	add(RUMORS_COMPACT_MAX + 2, RUMOR_STATE);
	rumor_add(&list, node_id, RUMOR_COMPACT, 2);
	rumor_add(&list, node_id, RUMOR_STATE, 2);
	ASSERT_EQ(1u, fill().update_count);
	EXPECT_EQ(node_id, fill().updates[0].member.identity.node_id);
	EXPECT_EQ((uint32_t)RUMORS_COMPACT_MAX + 1, fill().fingerprint_count);
}

TEST_F(Rumors, EachIsSentItsNumberOfTimesLeastSentFirst)
{
	const uint32_t all = 3 * GOSSIP_FINGERPRINTS_MAX;
	uint32_t sent = 0;

	add(all, RUMOR_STATE);
	while (!rumor_is_empty(&list)) {
		gossip_packet packet = fill();

		sent += packet.update_count + packet.fingerprint_count;
		rumor_record_sent(&list);
		if (sent == all) { // Every rumor is sent once before any is sent twice.
			for (uint32_t i = 0; i < list.count; i++)
				EXPECT_EQ(1u, list.items[i].sends_left);
			EXPECT_EQ(all, list.count);
		}
		ASSERT_LE(sent, 2 * all);
	}
	EXPECT_EQ(2 * all, sent);
}
