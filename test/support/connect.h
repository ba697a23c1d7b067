// A plain connection to a server on loopback, for what a client library would not send.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace support
{
// Gives the connection, or -1 if nothing listens.
inline int connect_to(uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}
} // namespace support
