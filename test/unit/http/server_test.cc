// HTTP server: stops without resetting connected callers, and counts partly received requests.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C" {
#include "fescuemill/http/server.h"
}

namespace
{
constexpr int TIMEOUT_MS = 3000;
constexpr int HANDSHAKE_MS = 100;
constexpr int CALLERS = 8;
const std::string REQUEST = "GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";

class ServerTest : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	struct http_server *srv = nullptr;
	sockaddr_in addr{};

	void SetUp() override
	{
		http_server_options options{};

		signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
		options.ip = INADDR_LOOPBACK;
		options.body_bytes_max = 1000;
		options.idle_ms = TIMEOUT_MS;
		options.on_request = [](void *, h2o_req_t *req) {
			http_respond(req, 200, "lots", 4);
		};
		ASSERT_EQ(http_server_open(&srv, &loop, &options, nullptr), 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons(http_server_port(srv));
	}

	void TearDown() override
	{
		http_server_close(srv);
		for (int i = 0; i < TIMEOUT_MS && http_server_connection_count(srv) > 0; i++)
			run_ms(1);
		ASSERT_EQ(http_server_connection_count(srv), 0U);
		run_ms(5);
		http_server_free(srv);
		uv_loop_close(&loop);
	}

	void run_ms(int ms)
	{
		for (int i = 0; i < 2 * ms; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
	}

	// Stops as a node does: handshakes that have begun are completed before the listener
	// closes.
	void stop_listening()
	{
		http_server_stop_accepting(srv);
		run_ms(HANDSHAKE_MS);
		http_server_close(srv);
	}

	// Returns a connected socket, or -1 if the server did not accept the connection in time.
	int connect_caller(int timeout_ms) const
	{
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		pollfd ready = {fd, POLLOUT, 0};
		int failure = 0;
		socklen_t size = sizeof(failure);

		connect(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof(addr));
		if (poll(&ready, 1, timeout_ms) == 1)
			getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
		else
			failure = ETIMEDOUT;
		if (failure == 0)
			return fd;
		close(fd);
		return -1;
	}

	// Reads until the server closes. Returns true if a complete answer was received.
	static bool is_answered(int fd)
	{
		std::string seen;
		char buf[1024];
		pollfd ready = {fd, POLLIN, 0};

		while (poll(&ready, 1, TIMEOUT_MS) == 1) {
			ssize_t got = recv(fd, buf, sizeof(buf), 0);

			if (got <= 0)
				break;
			seen.append(buf, (size_t)got);
		}
		return seen.find("\r\n\r\nlots") != std::string::npos;
	}
};
} // namespace

TEST_F(ServerTest, ConnectionInAcceptQueueIsServedDuringStop)
{
	int fd = connect_caller(TIMEOUT_MS);

	ASSERT_GE(fd, 0);
	ASSERT_EQ(send(fd, REQUEST.data(), REQUEST.size(), 0), (ssize_t)REQUEST.size());
	stop_listening();
	run_ms(HANDSHAKE_MS);
	EXPECT_TRUE(is_answered(fd));
	close(fd);
}

TEST_F(ServerTest, StopResetsNoConnectedCaller)
{
	std::atomic<int> answered{0}, unanswered{0};
	std::vector<std::thread> callers;

	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back([&] {
			int fd;

			while ((fd = connect_caller(HANDSHAKE_MS)) >= 0) {
				send(fd, REQUEST.data(), REQUEST.size(), MSG_NOSIGNAL);
				(is_answered(fd) ? answered : unanswered)++;
				close(fd);
			}
		});
	run_ms(HANDSHAKE_MS);
	stop_listening();
	run_ms(2 * HANDSHAKE_MS);
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_GT(answered, CALLERS);
	EXPECT_EQ(unanswered, 0) << "of " << answered + unanswered;
}

TEST_F(ServerTest, CountsConnectionAsReceivingUntilRequestIsComplete)
{
	int fd = connect_caller(TIMEOUT_MS);

	ASSERT_GE(fd, 0);
	run_ms(5);
	EXPECT_EQ(http_server_connection_count(srv), 1U);
	EXPECT_EQ(http_server_receiving_count(srv), 0U);
	send(fd, REQUEST.data(), 10, 0);
	run_ms(5);
	EXPECT_EQ(http_server_receiving_count(srv), 1U);
	send(fd, REQUEST.data() + 10, REQUEST.size() - 10, 0);
	run_ms(5);
	EXPECT_EQ(http_server_receiving_count(srv), 0U);
	EXPECT_TRUE(is_answered(fd));
	close(fd);
}
