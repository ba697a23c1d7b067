// Heads that cost a node more than they are worth: very many short fields, requests sent ahead
// without reading the answers, and large answers that are not read.
#include "functional/support/client_places.h"

using namespace support;

namespace
{
class Heads : public UntrustedClients
{
      protected:
	static constexpr size_t HEAD_BYTES = 16000; // below the default limit of 16,384

	static std::string short_fields()
	{
		std::string lines;

		while (lines.size() < HEAD_BYTES)
			lines += "a:\r\n";
		return lines;
	}
};
} // namespace

TEST_F(Heads, OfVeryManyShortFields)
{
	for (const Place &place : places()) {
		RawRequest request;

		request.unit = head("GET", place, short_fields());
		request.unit_bytes = 64 * request.unit.size();
		request.reconnects = true;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

TEST_F(Heads, OfVeryManyShortFieldsThatDoNotEnd)
{
	for (const Place &place : places()) {
		RawRequest request;

		request.head = "GET " + place.path + " HTTP/1.1\r\nhost: test\r\n";
		request.unit = "a:\r\n";
		request.unit_bytes = 1ULL << 40;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

TEST_F(Heads, SentAheadWithoutReadingTheAnswers)
{
	for (const Place &place : places()) {
		RawRequest request;

		request.unit = head("GET", place, "");
		request.unit_bytes = 100000 * request.unit.size();
		request.receive_bytes = 4096;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

// The backend server answers with as many bytes as a node takes.
TEST_F(Heads, WhoseLargeAnswersAreNotRead)
{
	for (const Place &place : places()) {
		RawRequest request;

		request.head = head("GET", place,
				    "x-standin-size: " + std::to_string(BODY_LIMIT_BYTES) + "\r\n");
		request.receive_bytes = 4096;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}

TEST_F(Heads, SentAheadForLargeAnswersThatAreReadSlowly)
{
	for (const Place &place : places()) {
		RawRequest request;

		request.unit = head("GET", place,
				    "x-standin-size: " + std::to_string(BODY_LIMIT_BYTES) + "\r\n");
		request.unit_bytes = 1000 * request.unit.size();
		request.piece_bytes = 4096;
		request.reads = true;
		request.receive_bytes = 4096;
		expect_withstands(place.name, place.port, MEMORY_CROWD, request);
	}
}
