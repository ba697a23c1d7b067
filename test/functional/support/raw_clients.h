// Clients on plain sockets that send what no HTTP library sends: requests that never end, that are
// sent in small pieces, or whose answers are not read.
#pragma once

#include "functional/support/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace support
{
// What each client of a crowd sends: `head`, then `unit` again and again until `unit_bytes` of it
// are sent, then `tail`. The connection stays open afterwards.
struct RawRequest {
	std::string head;
	std::string unit;
	uint64_t unit_bytes = 0;
	std::string tail;
	size_t piece_bytes = 0;	 // bytes sent at once, one piece every PIECE_PAUSE_MS; 0: no limit
	bool reads = false;	 // reads and drops what the server sends
	int receive_bytes = 0;	 // size of the socket's receive buffer; 0: the system's
	bool reconnects = false; // opens a new connection when the server closes one
};

// Connections to one port on loopback, each of which sends the same request.
class Crowd
{
      public:
	Crowd(uint16_t port, int clients, RawRequest request);
	~Crowd();

	Crowd(const Crowd &) = delete;
	Crowd &operator=(const Crowd &) = delete;

	// Sends and reads for this long.
	void run(int duration_ms);
	// Returns the number of connections that the server has not closed.
	int open_count() const;

      private:
	struct Client {
		int fd = -1;
		uint64_t sent = 0;
	};

	void connect(Client &client);
	void send_some(Client &client);
	void read_some(Client &client);
	std::string bytes_at(uint64_t position) const;
	uint64_t total_bytes() const;

	uint16_t port_;
	RawRequest request_;
	std::vector<Client> clients_;
};

// Lowers the soft limit of open descriptors while it exists. Processes started meanwhile keep it.
class LoweredDescriptorLimit
{
      public:
	explicit LoweredDescriptorLimit(uint64_t descriptors);
	~LoweredDescriptorLimit();

      private:
	uint64_t earlier_;
};

// Returns the largest resident memory that a process has had, in bytes; 0 if it has ended.
uint64_t peak_memory_bytes(pid_t id);
// Returns the number of open descriptors of a process.
int open_descriptors(pid_t id);
// Returns a port on 127.0.0.1 that was free a moment ago.
uint16_t free_port();
// Sends datagrams to a UDP port on 127.0.0.1.
void send_datagrams(uint16_t port, const std::string &datagram, int count);
} // namespace support
