// Pieces of large bodies at the gate: a body is whole or not there, entries that stop half-way
// release their memory, and many bodies at once stay within the bound.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "fescuemilld/gate/gate_pieces.h"
}

namespace
{
class GatePieces : public ::testing::Test
{
      protected:
	gate_pieces pieces{};
	const std::string data = std::string(1000, 'x');

	void SetUp() override
	{
		gate_pieces_init(&pieces, 2500);
	}

	void TearDown() override
	{
		gate_pieces_sweep(&pieces, UINT64_MAX);
		EXPECT_EQ(pieces.bytes, 0u);
		EXPECT_EQ(pieces.bodies, nullptr);
	}

	static attempt_id id(uint64_t entry, uint64_t sequence)
	{
		return {{entry, 1}, sequence};
	}

	void add(const attempt_id &id, uint32_t body_size, uint32_t offset, uint32_t size,
		 uint64_t now_us = 0)
	{
		message msg{};

		msg.type = MESSAGE_PIECE;
		msg.id = id;
		msg.piece.body_size = body_size;
		msg.piece.offset = offset;
		msg.piece.data = {reinterpret_cast<const uint8_t *>(data.data()), size};
		gate_pieces_add(&pieces, &msg, now_us);
	}

	// Returns true if the whole body is there; takes and frees it.
	bool take(const attempt_id &id, uint32_t size)
	{
		gathered_body *body = gate_pieces_take(&pieces, &id, size);

		if (!body)
			return false;
		EXPECT_EQ(std::string(reinterpret_cast<char *>(body->data), body->size),
			  std::string(size, 'x'));
		gathered_body_free(body);
		return true;
	}
};
} // namespace

TEST_F(GatePieces, WholeBodyIsTakenOnce)
{
	add(id(1, 1), 1500, 0, 1000);
	add(id(1, 1), 1500, 1000, 500);
	EXPECT_TRUE(take(id(1, 1), 1500));
	EXPECT_FALSE(take(id(1, 1), 1500));
}

TEST_F(GatePieces, BodyWithAMissingPieceIsNotThere)
{
	add(id(1, 1), 1500, 0, 500);
	add(id(1, 1), 1500, 1000, 500);
	EXPECT_FALSE(take(id(1, 1), 1500));
}

TEST_F(GatePieces, BodyOfAnotherSizeIsNotThere)
{
	add(id(1, 1), 500, 0, 500);
	EXPECT_FALSE(take(id(1, 1), 400));
}

TEST_F(GatePieces, RepeatedPieceIsDropped)
{
	add(id(1, 1), 1500, 0, 1000);
	add(id(1, 1), 1500, 0, 1000);
	add(id(1, 1), 1500, 1000, 500);
	EXPECT_TRUE(take(id(1, 1), 1500));
}

TEST_F(GatePieces, EntryThatBeginsAnotherBodyReleasesTheFirst)
{
	add(id(1, 1), 1500, 0, 1000);
	add(id(1, 2), 1000, 0, 1000);
	EXPECT_EQ(pieces.bytes, 1000u);
	EXPECT_FALSE(take(id(1, 1), 1500));
	EXPECT_TRUE(take(id(1, 2), 1000));
}

TEST_F(GatePieces, BodiesBeyondTheBoundAreNotTaken)
{
	for (uint64_t entry = 1; entry <= 10; entry++)
		add(id(entry, 1), 1000, 0, 1000);
	EXPECT_EQ(pieces.bytes, 2000u);
	EXPECT_TRUE(take(id(1, 1), 1000));
	EXPECT_FALSE(take(id(3, 1), 1000));
}

TEST_F(GatePieces, BodyThatIsAloneIsTakenWhateverItsSize)
{
	for (uint32_t at = 0; at < 64000; at += 1000)
		add(id(1, 1), 64000, at, 1000);
	EXPECT_TRUE(take(id(1, 1), 64000));
}

TEST_F(GatePieces, BodyWhoseCallDoesNotComeIsDropped)
{
	add(id(1, 1), 1000, 0, 1000, 1000000);
	gate_pieces_sweep(&pieces, 10900000);
	EXPECT_EQ(pieces.bytes, 1000u);
	gate_pieces_sweep(&pieces, 11100000);
	EXPECT_EQ(pieces.bytes, 0u);
}
