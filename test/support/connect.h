// Plain TCP sockets on loopback, for tests that send what an HTTP client library would not send.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace support
{
// Connects to a port on 127.0.0.1. Returns the socket, or -1 if the connection fails.
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

// Binds a socket to a free port on 127.0.0.1 and listens on it. Returns the port, or 0 on failure.
inline uint16_t listen_on_loopback(int fd, int backlog)
{
	sockaddr_in address = {};
	socklen_t size = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 ||
	    listen(fd, backlog) != 0 ||
	    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
		return 0;
	return ntohs(address.sin_port);
}
} // namespace support
