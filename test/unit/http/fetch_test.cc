// Fetch: a connection that cannot be opened, or that goes silent, ends long before the timeout of
// the request.
#include "support/connect.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <chrono>
#include <fcntl.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C" {
#include "fescuemill/http/fetch.h"
}

namespace
{

struct Ended {
	int calls = 0;
	error_kind kind = ERROR_NONE;
	bool sent = false;
};

void on_done(void *user, const struct fetch_result *result)
{
	auto *ended = static_cast<Ended *>(user);

	ended->calls++;
	ended->kind = result->err.kind;
	ended->sent = result->sent;
}

// A listener whose accept queue is full, so that the kernel drops the SYN of the next connection.
struct FullListener {
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::vector<int> waiting;
	uint16_t port = 0;

	FullListener()
	{
		sockaddr_in addr{};
		socklen_t size = sizeof(addr);

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(fd, (sockaddr *)&addr, sizeof(addr)));
		EXPECT_EQ(0, listen(fd, 0));
		getsockname(fd, (sockaddr *)&addr, &size);
		port = ntohs(addr.sin_port);
		for (int i = 0; i < 8; i++) {
			int peer = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
			connect(peer, (sockaddr *)&addr, sizeof(addr));
			waiting.push_back(peer);
		}
		usleep(50 * 1000);
	}
	~FullListener()
	{
		for (int peer : waiting)
			close(peer);
		close(fd);
	}
};

// A server that reads one request and does not answer. From then on its host drops all packets of
// the connection, as a stateful middlebox does that has lost the state of the connection.
struct SilentServer {
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t port = 0;
	std::thread thread;

	SilentServer()
	{
		port = support::listen_on_loopback(fd, 1);
		EXPECT_NE(0, port);
		thread = std::thread([this] { serve(); });
	}
	~SilentServer()
	{
		thread.join();
		close(conn);
		close(fd);
	}

      private:
	int conn = -1;

	void serve()
	{
		sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
		sock_fprog program = {1, drop_all};
		char byte;

		conn = accept(fd, nullptr, nullptr);
		EXPECT_EQ(1, read(conn, &byte, 1));
		EXPECT_EQ(0, setsockopt(conn, SOL_SOCKET, SO_ATTACH_FILTER, &program,
					sizeof(program)));
	}
};

// Sends one request with a timeout of 20 s to a port, and returns how it ended.
Ended fetch_from(uint16_t port, std::chrono::steady_clock::duration *took)
{
	uv_loop_t loop;
	fetcher *fetcher = nullptr;
	fetch_request request{};
	Ended ended;
	error err{};

	uv_loop_init(&loop);
	EXPECT_EQ(0, fetcher_open(&fetcher, &loop, &err));
	request.to = {INADDR_LOOPBACK, port};
	request.method = "GET";
	request.path = "/";
	request.timeout_ms = 20000;
	auto begun = std::chrono::steady_clock::now();
	EXPECT_EQ(0, fetch_start(fetcher, &request, on_done, &ended, &err));
	while (ended.calls == 0)
		uv_run(&loop, UV_RUN_ONCE);
	*took = std::chrono::steady_clock::now() - begun;
	fetcher_close(fetcher);
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(0, uv_loop_close(&loop));
	return ended;
}

// A watch of the store is quiet for many seconds. When its connection went silent, a change of the
// configuration was in force 9 s late. Connections must be usable again 3 s after they went silent,
// and the change in force within 2 s of that.
TEST(Fetch, ASilentConnectionEndsLongBeforeTheRequestTimesOut)
{
	SilentServer server;
	std::chrono::steady_clock::duration took;
	Ended ended = fetch_from(server.port, &took);

	EXPECT_LT(took, std::chrono::seconds(5));
	EXPECT_EQ(ERROR_UNREACHABLE, ended.kind);
	EXPECT_TRUE(ended.sent);
}

TEST(Fetch, AConnectionThatIsNotAcceptedFailsWithinASecond)
{
	FullListener full;
	std::chrono::steady_clock::duration took;
	Ended ended = fetch_from(full.port, &took);

	EXPECT_LT(took, std::chrono::seconds(1));
	EXPECT_EQ(ERROR_UNREACHABLE, ended.kind);
	EXPECT_FALSE(ended.sent) << "a change that was not sent certainly took no effect";
}

} // namespace
