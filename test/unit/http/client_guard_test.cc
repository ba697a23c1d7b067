// Client guard: clients that are too slow, idle or too large are ended by the limits in force, and
// the others are served.
#include <gtest/gtest.h>

#include "support/connect.h"

#include <string>
#include <vector>

extern "C" {
#include "fescuemill/http/client_guard.h"
#include "fescuemill/http/server.h"
}

namespace
{
constexpr uint32_t HEADER_MS = 400;
constexpr uint32_t IDLE_MS = 1200;
constexpr uint64_t MEMORY_BYTES = 1 << 20;
constexpr uint32_t CONNECTIONS = 20;
const std::string REQUEST = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";
const std::string POST = "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 1000\r\n\r\n";

class ClientGuard : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	client_guard *guard = nullptr;
	http_server *srv = nullptr;
	std::vector<int> fds;
	std::string body = "lots";

	void SetUp() override
	{
		client_rules rules = {2000, HEADER_MS, IDLE_MS};
		client_guard_budget budget = {MEMORY_BYTES, CONNECTIONS, 0, 200};
		http_server_options options{};

		signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
		ASSERT_EQ(client_guard_open(&guard, &loop, &budget, nullptr), 0);
		client_guard_set_rules(guard, &rules);
		options.ip = INADDR_LOOPBACK;
		options.body_bytes_max = 100000;
		options.idle_ms = 60000;
		options.guard = guard;
		options.user = this;
		options.on_request = [](void *user, h2o_req_t *req) {
			const std::string &text = static_cast<ClientGuard *>(user)->body;

			http_respond(req, 200, text.data(), text.size());
		};
		ASSERT_EQ(http_server_open(&srv, &loop, &options, nullptr), 0);
	}

	void TearDown() override
	{
		for (int fd : fds)
			close(fd);
		run_ms(50);
		http_server_detach(srv);
		client_guard_close(guard);
		for (int i = 0; i < 3000 && http_server_connection_count(srv) > 0; i++)
			run_ms(1);
		ASSERT_EQ(http_server_connection_count(srv), 0U);
		run_ms(5);
		http_server_free(srv);
		uv_loop_close(&loop);
	}

	void run_ms(uint64_t ms)
	{
		uint64_t end = uv_hrtime() + ms * 1000000;

		while (uv_hrtime() < end) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
	}

	int client(const std::string &text)
	{
		int fd = support::connect_to(http_server_port(srv));

		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), (ssize_t)text.size());
		fds.push_back(fd);
		return fd;
	}

	// Returns what has arrived; sets *closed if the server has closed the connection.
	static std::string received(int fd, bool *closed)
	{
		std::string text;
		char buf[4096];
		ssize_t size;

		while ((size = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			text.append(buf, (size_t)size);
		*closed = size == 0 || errno != EAGAIN;
		return text;
	}
};
} // namespace

TEST_F(ClientGuard, HalfAHeadGets408)
{
	int fd = client("GET / HTTP/1.1\r\nho");
	bool closed;

	run_ms(HEADER_MS - 100);
	EXPECT_EQ(received(fd, &closed), "");
	EXPECT_FALSE(closed);
	run_ms(1000);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 408 "), 0U);
	EXPECT_TRUE(closed);
}

TEST_F(ClientGuard, HalfABodyGets408AfterTheIdleTime)
{
	int fd = client(POST + "x");
	bool closed;

	run_ms(IDLE_MS - 100);
	EXPECT_EQ(received(fd, &closed), "");
	run_ms(1000);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 408 "), 0U);
	EXPECT_TRUE(closed);
}

TEST_F(ClientGuard, BodyThatMakesProgressIsServed)
{
	int fd = client(POST);
	bool closed;

	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(send(fd, std::string(100, 'x').data(), 100, MSG_NOSIGNAL), 100);
		run_ms(IDLE_MS / 4);
	}
	std::string answer = received(fd, &closed);
	EXPECT_EQ(answer.find("HTTP/1.1 200 "), 0U) << answer;
	EXPECT_FALSE(closed);
}

TEST_F(ClientGuard, ConnectionIdleForFourFifthsOfTheLimitIsServedAgain)
{
	int fd = client(REQUEST);
	bool closed;

	for (int i = 0; i < 3; i++) {
		run_ms(IDLE_MS * 4 / 5);
		EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
		ASSERT_FALSE(closed);
		send(fd, REQUEST.data(), REQUEST.size(), MSG_NOSIGNAL);
	}
	run_ms(50);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
	run_ms(IDLE_MS + 600);
	EXPECT_EQ(received(fd, &closed), "");
	EXPECT_TRUE(closed);
}

TEST_F(ClientGuard, HeadOverTheLimitGets431)
{
	const std::string field = "x-a: " + std::string(2000, 'a') + "\r\n";
	int whole = client("GET / HTTP/1.1\r\nhost: test\r\n" + field + "\r\n");
	int unfinished = client("GET / HTTP/1.1\r\nhost: test\r\n" + field);
	bool closed;

	run_ms(HEADER_MS);
	EXPECT_EQ(received(whole, &closed).find("HTTP/1.1 431 "), 0U);
	EXPECT_TRUE(closed);
	EXPECT_EQ(received(unfinished, &closed).find("HTTP/1.1 431 "), 0U);
	EXPECT_TRUE(closed);
}

TEST_F(ClientGuard, LimitsMayChangeWhileAClientWaits)
{
	client_rules longer = {2000, 60000, 60000};
	int fd = client("GET / HTTP/1.1\r\nho");
	bool closed;

	client_guard_set_rules(guard, &longer);
	run_ms(HEADER_MS + 600);
	EXPECT_EQ(send(fd, "st: test\r\n\r\n", 12, MSG_NOSIGNAL), 12);
	run_ms(50);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
}

TEST_F(ClientGuard, ClientThatDoesNotReadItsAnswerIsClosed)
{
	body = std::string(16 << 20, 'x');
	int fd = client(REQUEST);

	run_ms(100);
	EXPECT_EQ(http_server_connection_count(srv), 1U);
	run_ms(IDLE_MS + 600);
	EXPECT_EQ(http_server_connection_count(srv), 0U);
	(void)fd;
}

// A paused process finds what its clients sent meanwhile, and must not take them for silent.
TEST_F(ClientGuard, ClientsThatKeptTheirTimeDuringAPauseAreServed)
{
	int idle = client(REQUEST);
	int half = client("GET / HTTP/1.1\r\nho");
	int fresh = client("");
	bool closed;

	run_ms(300);
	EXPECT_EQ(received(idle, &closed).find("HTTP/1.1 200 "), 0U);
	EXPECT_EQ(send(idle, REQUEST.data(), REQUEST.size(), MSG_NOSIGNAL),
		  (ssize_t)REQUEST.size());
	EXPECT_EQ(send(half, "st: test\r\n\r\n", 12, MSG_NOSIGNAL), 12);
	EXPECT_EQ(send(fresh, REQUEST.data(), REQUEST.size(), MSG_NOSIGNAL),
		  (ssize_t)REQUEST.size());
	usleep(2 * IDLE_MS * 1000);
	run_ms(300);
	for (int fd : {idle, half, fresh})
		EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
}

// Bodies that stopped just short of their end give way to those that make progress.
TEST_F(ClientGuard, StalledBodiesAreRefusedWhenMemoryRunsShort)
{
	const std::string head = "POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 90000\r\n\r\n";
	std::vector<int> stalled;
	int refused = 0;
	bool closed;

	for (int i = 0; i < 7; i++) {
		stalled.push_back(client(head + std::string(89999, 'x')));
		run_ms(10);
	}
	run_ms(700);
	int first = client(head + std::string(80000, 'x'));
	run_ms(100);
	int second = client(head + std::string(80000, 'x'));
	run_ms(100);
	for (int fd : {first, second}) {
		EXPECT_EQ(send(fd, std::string(10000, 'x').data(), 10000, MSG_NOSIGNAL), 10000);
		run_ms(20);
		EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
	}
	for (int fd : stalled)
		refused += received(fd, &closed).find("HTTP/1.1 503 ") == 0;
	EXPECT_GE(refused, 1);
}

TEST_F(ClientGuard, ConnectionsWithoutARequestGiveWayToNewOnes)
{
	bool closed;
	int served = client(REQUEST);

	run_ms(20);
	EXPECT_EQ(received(served, &closed).find("HTTP/1.1 200 "), 0U);
	for (uint32_t i = 0; i < 5 * CONNECTIONS; i++) {
		client("GE");
		run_ms(2);
	}
	EXPECT_LE(http_server_connection_count(srv), CONNECTIONS + 1);
	int fd = client(REQUEST);
	run_ms(20);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
	EXPECT_EQ(received(served, &closed), "");
	EXPECT_FALSE(closed);
}

TEST_F(ClientGuard, BodyThatIsAloneIsServedWhateverItHolds)
{
	http_server_set_body_bytes_max(srv, 8 << 20);
	int fd = client("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 4000000\r\n\r\n");
	const std::string piece(10000, 'x');
	bool closed;

	for (int i = 0; i < 400; i++) {
		EXPECT_EQ(send(fd, piece.data(), piece.size(), MSG_NOSIGNAL), 10000);
		run_ms(1);
	}
	run_ms(50);
	EXPECT_EQ(received(fd, &closed).find("HTTP/1.1 200 "), 0U);
}
