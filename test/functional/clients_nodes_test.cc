// Strangers at the port of the nodes: connections that do not greet, and frames that never end.
#include "functional/support/client_places.h"

using namespace support;

namespace
{
using Nodes = UntrustedClients;

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

TEST_F(Nodes, HalfAGreetingAtThePortOfTheNodes)
{
	uint16_t port = fleet.hosts[0].node->port("node_port");

	expect_withstands("nothing", port, DESCRIPTOR_CROWD, text(""));
	expect_withstands("half a greeting", port, DESCRIPTOR_CROWD, text(bytes("\xff\0\0\0\0")));
	expect_withstands("HTTP", port, DESCRIPTOR_CROWD, text("GET / HTTP/1.1\r\n\r\n"));
}

// A whole greeting of ZMTP 3.0 without security, and then a frame of 1 TiB that never ends.
TEST_F(Nodes, EndlessFramesAtThePortOfTheNodes)
{
	uint16_t port = fleet.hosts[0].node->port("node_port");
	std::string greeting = bytes("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL");
	RawRequest request;

	greeting.resize(64, '\0');
	request.head = greeting + bytes("\x04\x1c\x05READY\x0bSocket-Type") +
		       bytes("\0\0\0\x06"
			     "DEALER") +
		       bytes("\x02\0\0\x01\0\0\0\0\0");
	request.unit = std::string(16384, 'x');
	request.unit_bytes = 1ULL << 40;
	expect_withstands("endless frame", port, MEMORY_CROWD, request);
}
