// Very many connections that do next to nothing: clients that stop half-way or send one byte at a
// time. The descriptors of a node must last for ordinary callers and for its own links.
#include "functional/support/client_places.h"

using namespace support;

namespace
{
class Slow : public UntrustedClients
{
      protected:
	void expect_withstands_each(const std::function<RawRequest(const Place &)> &request)
	{
		for (const Place &place : places())
			expect_withstands(place.name, place.port, DESCRIPTOR_CROWD, request(place));
	}
};

RawRequest text(const std::string &bytes)
{
	RawRequest request;

	request.head = bytes;
	return request;
}

// Returns the bytes of a literal, with the zero bytes in it.
template <size_t N> std::string bytes(const char (&literal)[N])
{
	return std::string(literal, N - 1);
}
} // namespace

TEST_F(Slow, ConnectionsThatSendNothing)
{
	expect_withstands_each([](const Place &) { return text(""); });
}

TEST_F(Slow, HalfARequestLine)
{
	expect_withstands_each([](const Place &place) { return text("GET " + place.path); });
}

TEST_F(Slow, HalfAHead)
{
	expect_withstands_each([](const Place &place) {
		return text("GET " + place.path + " HTTP/1.1\r\nhost: te");
	});
}

TEST_F(Slow, HalfABody)
{
	expect_withstands_each([](const Place &place) {
		return text(head("POST", place, "content-length: 1000\r\n") +
			    std::string(500, 'x'));
	});
}

TEST_F(Slow, OneByteAtATime)
{
	expect_withstands_each([](const Place &place) {
		RawRequest request =
			text(head("POST", place,
				  "content-length: 1000\r\n" + std::string(4000, 'x') + ": y\r\n"));

		request.piece_bytes = 1;
		request.reconnects = true;
		return request;
	});
}

TEST_F(Slow, DatagramsThatAreNoGossip)
{
	uint16_t port = fleet.hosts[0].node->port("gossip_port");

	for (const std::string &datagram :
	     {std::string(), std::string(1, '\x9f'), std::string(1400, '\xff'),
	      std::string(60000, 'x'), bytes("\xdd\xff\xff\xff\xff")}) {
		send_datagrams(port, datagram, 5000);
		expect_sound(open_descriptors(fleet.hosts[0].node->id()));
	}
}
