// Bodies that fill the memory of a node: legal ones held open one byte short of their end, and ones
// far over the limit.
#include "functional/support/client_places.h"

using namespace support;

namespace
{
class Bodies : public UntrustedClients
{
      protected:
	static constexpr uint64_t BODY_BYTES = BODY_LIMIT_BYTES;

	// The places take bodies of different sizes; each gets one byte less than it may hold.
	static uint64_t body_bytes(const Place &place)
	{
		if (place.name == "announcements")
			return 4096;
		if (place.name == "ready port")
			return 1024;
		return place.name == "administration" ? 65536 : BODY_BYTES;
	}

	static RawRequest sized(const Place &place, uint64_t bytes, uint64_t sent)
	{
		RawRequest request;

		request.head =
			head("POST", place, "content-length: " + std::to_string(bytes) + "\r\n");
		request.unit = std::string(16384, 'x');
		request.unit_bytes = sent;
		return request;
	}

	static RawRequest chunked(const Place &place, uint64_t sent)
	{
		RawRequest request;

		request.head = head("POST", place, "transfer-encoding: chunked\r\n");
		request.unit = "100\r\n" + std::string(256, 'x') + "\r\n";
		request.unit_bytes = sent;
		return request;
	}
};
} // namespace

TEST_F(Bodies, HeldOneByteShortOfTheirEndInOnePiece)
{
	for (const Place &place : places())
		expect_withstands(place.name, place.port, MEMORY_CROWD,
				  sized(place, body_bytes(place), body_bytes(place) - 1));
}

TEST_F(Bodies, HeldOneByteShortOfTheirEndInSmallPieces)
{
	for (const Place &place : places()) {
		RawRequest request = sized(place, body_bytes(place), body_bytes(place) - 1);

		request.piece_bytes = 8192;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

// The frames of the chunks are part of what is sent, so the body itself stays below the limit.
TEST_F(Bodies, HeldBeforeTheirLastChunk)
{
	for (const Place &place : places())
		expect_withstands(place.name, place.port, MEMORY_CROWD,
				  chunked(place, body_bytes(place)));
}

TEST_F(Bodies, HeldAgainAfterEachClose)
{
	for (const Place &place : places()) {
		RawRequest request = sized(place, body_bytes(place), body_bytes(place) - 1);

		request.reconnects = true;
		request.reads = true;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

TEST_F(Bodies, FarOverTheLimitSized)
{
	for (const Place &place : places())
		expect_withstands(place.name, place.port, MEMORY_CROWD,
				  sized(place, 1ULL << 40, 1ULL << 40));
}

TEST_F(Bodies, FarOverTheLimitChunked)
{
	for (const Place &place : places())
		expect_withstands(place.name, place.port, MEMORY_CROWD, chunked(place, 1ULL << 40));
}
