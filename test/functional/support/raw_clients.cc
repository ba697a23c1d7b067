// Clients on plain sockets.
#include "functional/support/raw_clients.h"

#include "support/connect.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace support
{
namespace
{
using Clock = std::chrono::steady_clock;

constexpr int PIECE_PAUSE_MS = 10;
constexpr int POLL_MS = 10;
constexpr size_t SEND_BYTES = 65536;
} // namespace

Crowd::Crowd(uint16_t port, int clients, RawRequest request)
    : port_(port), request_(std::move(request)), clients_((size_t)clients)
{
	for (Client &client : clients_)
		connect(client);
}

Crowd::~Crowd()
{
	for (Client &client : clients_) {
		if (client.fd >= 0)
			close(client.fd);
	}
}

// Begins to connect; poll() reports the end of it.
void Crowd::connect(Client &client)
{
	sockaddr_in address = {};

	client.sent = 0;
	client.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (client.fd < 0)
		throw std::runtime_error("cannot create a socket");
	if (request_.receive_bytes > 0)
		setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &request_.receive_bytes,
			   sizeof(request_.receive_bytes));
	address.sin_family = AF_INET;
	address.sin_port = htons(port_);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	::connect(client.fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
}

uint64_t Crowd::total_bytes() const
{
	return request_.head.size() + request_.unit_bytes + request_.tail.size();
}

// Returns some of the bytes to send from a position on.
std::string Crowd::bytes_at(uint64_t position) const
{
	if (position < request_.head.size())
		return request_.head.substr(position);
	position -= request_.head.size();
	if (position < request_.unit_bytes) {
		std::string piece = request_.unit.substr(position % request_.unit.size());

		while (piece.size() < SEND_BYTES)
			piece += request_.unit;
		piece.resize(std::min<uint64_t>(piece.size(), request_.unit_bytes - position));
		return piece;
	}
	return request_.tail.substr(position - request_.unit_bytes);
}

void Crowd::send_some(Client &client)
{
	do {
		std::string piece = bytes_at(client.sent);
		ssize_t bytes;

		if (request_.piece_bytes > 0 && piece.size() > request_.piece_bytes)
			piece.resize(request_.piece_bytes);
		bytes = send(client.fd, piece.data(), piece.size(), MSG_NOSIGNAL);
		if (bytes <= 0)
			return;
		client.sent += (uint64_t)bytes;
	} while (request_.piece_bytes == 0 && client.sent < total_bytes());
}

// Reads what has arrived, or only looks whether the server has closed the connection.
void Crowd::read_some(Client &client)
{
	static char buf[SEND_BYTES];
	ssize_t bytes = request_.reads ? recv(client.fd, buf, sizeof(buf), 0)
				       : recv(client.fd, buf, 1, MSG_PEEK);

	if (bytes > 0 || (bytes < 0 && errno == EAGAIN))
		return;
	close(client.fd);
	client.fd = -1;
	if (request_.reconnects)
		connect(client);
}

void Crowd::run(int duration_ms)
{
	Clock::time_point end = Clock::now() + std::chrono::milliseconds(duration_ms);
	std::vector<pollfd> polled;
	std::vector<Client *> order;

	while (Clock::now() < end) {
		polled.clear();
		order.clear();
		for (Client &client : clients_) {
			short events = request_.reads ? POLLIN : 0;

			if (client.fd < 0)
				continue;
			if (client.sent < total_bytes())
				events |= POLLOUT;
			polled.push_back({client.fd, (short)(events | POLLRDHUP), 0});
			order.push_back(&client);
		}
		poll(polled.data(), polled.size(), POLL_MS);
		for (size_t i = 0; i < polled.size(); i++) {
			if (polled[i].revents & POLLOUT)
				send_some(*order[i]);
			if (polled[i].revents & (POLLIN | POLLRDHUP | POLLHUP | POLLERR))
				read_some(*order[i]);
		}
		if (request_.piece_bytes > 0)
			std::this_thread::sleep_for(std::chrono::milliseconds(PIECE_PAUSE_MS));
	}
}

int Crowd::open_count() const
{
	return (int)std::count_if(clients_.begin(), clients_.end(),
				  [](const Client &client) { return client.fd >= 0; });
}

LoweredDescriptorLimit::LoweredDescriptorLimit(uint64_t descriptors)
{
	rlimit limit = {};

	getrlimit(RLIMIT_NOFILE, &limit);
	earlier_ = limit.rlim_cur;
	limit.rlim_cur = std::min<rlim_t>(descriptors, limit.rlim_max);
	setrlimit(RLIMIT_NOFILE, &limit);
}

LoweredDescriptorLimit::~LoweredDescriptorLimit()
{
	rlimit limit = {};

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = earlier_;
	setrlimit(RLIMIT_NOFILE, &limit);
}

uint64_t peak_memory_bytes(pid_t id)
{
	std::ifstream status("/proc/" + std::to_string(id) + "/status");
	std::string line;

	while (std::getline(status, line)) {
		if (line.rfind("VmHWM:", 0) == 0)
			return std::stoull(line.substr(6)) * 1024;
	}
	return 0;
}

int open_descriptors(pid_t id)
{
	std::error_code error;
	int count = 0;

	for (auto at = std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/fd",
							   error);
	     !error && at != std::filesystem::directory_iterator(); at.increment(error))
		count++;
	return count;
}

uint16_t free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	uint16_t port = listen_on_loopback(fd, 1);

	close(fd);
	return port;
}

void send_datagrams(uint16_t port, const std::string &datagram, int count)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < count; i++)
		sendto(fd, datagram.data(), datagram.size(), 0,
		       reinterpret_cast<sockaddr *>(&address), sizeof(address));
	close(fd);
}
} // namespace support
