// Requests that a caller sends ahead on one connection (HTTP pipelining): the order of their
// answers, the bound on what is read ahead, and requests behind an answer that closes the
// connection.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "fescuemill/http/caller.h"
}

namespace
{

constexpr uint32_t BODY_BYTES_MAX = 100000;
// What one read of the connection may take: h2o reads no more while a request is being handled.
constexpr size_t AHEAD_BYTES_MAX = 128 * 1024;

std::string request(int number, const std::string &headers = "", const std::string &version = "1.1")
{
	return "GET /intake/" + std::to_string(number) + " HTTP/" + version +
	       "\r\nhost: n\r\nx-fescue-class: photo\r\n" + headers + "\r\n";
}

class Pipeline : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	struct caller *caller = nullptr;
	std::vector<struct caller_call *> held;
	std::vector<std::string> paths; // of the requests that were handled, in order
	bool holds = false;		// answer by answer_next()
	int fd = -1;
	std::string received;

	void SetUp() override
	{
		caller_options options{};
		sockaddr_in address{};

		signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
		options.ip = INADDR_LOOPBACK;
		options.body_bytes_max = BODY_BYTES_MAX;
		options.memory_bytes_max = 10 * BODY_BYTES_MAX;
		options.dialect = &native_dialect;
		options.user = this;
		options.on_call = [](void *user, struct caller_call *call,
				     const struct call_request *req) {
			auto *test = (Pipeline *)user;

			test->paths.emplace_back((const char *)req->path.data, req->path.size);
			test->held.push_back(call);
			if (!test->holds)
				test->answer_next();
		};
		options.on_disconnect = [](void *user, struct caller_call *call) {
			auto *test = (Pipeline *)user;
			struct caller_answer answer = {};

			answer.outcome = OUTCOME_UNKNOWN;
			answer.reason = REASON_CANCELLED;
			test->held.clear();
			caller_answer(call, &answer);
		};
		ASSERT_EQ(0, caller_open(&caller, &loop, &options, nullptr));
		address.sin_family = AF_INET;
		address.sin_port = htons(caller_port(caller));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(0, connect(fd, (sockaddr *)&address, sizeof(address)));
	}

	void TearDown() override
	{
		close(fd);
		caller_close(caller);
		for (int i = 0; i < 8000 && caller_connection_count(caller) > 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
		ASSERT_EQ(0u, caller_connection_count(caller));
		caller_free(caller);
		for (int i = 0; i < 5; i++)
			uv_run(&loop, UV_RUN_NOWAIT);
		uv_loop_close(&loop);
	}

	// Answers the oldest held call with its path as the body.
	void answer_next()
	{
		struct wire_headers headers = {};
		struct caller_answer answer = {};
		struct caller_call *call = held.front();
		const std::string &body = paths[paths.size() - held.size()];

		held.erase(held.begin());
		answer.outcome = OUTCOME_ANSWERED;
		answer.status = 200;
		answer.headers = &headers;
		answer.body = {(const uint8_t *)body.data(), (uint32_t)body.size()};
		caller_answer(call, &answer);
	}

	void send_text(const std::string &text)
	{
		ASSERT_EQ((ssize_t)text.size(), send(fd, text.data(), text.size(), MSG_NOSIGNAL));
	}

	// Runs the loop and receives, for a time or until the server closes the connection.
	void run_for_ms(int ms)
	{
		char buf[65536];

		for (int i = 0; i < ms; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			ssize_t size = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (size > 0)
				received.append(buf, (size_t)size);
			usleep(1000);
		}
	}

	size_t count(const std::string &text) const
	{
		size_t found = 0;

		for (size_t at = 0; (at = received.find(text, at)) != std::string::npos; at++)
			found++;
		return found;
	}

	// Returns the descriptor of the server's end of the connection.
	int server_fd() const
	{
		sockaddr_in own{};
		socklen_t size = sizeof(own);

		getsockname(fd, (sockaddr *)&own, &size);
		for (int i = 3; i < 100; i++) {
			sockaddr_in peer{};

			size = sizeof(peer);
			if (i != fd && getpeername(i, (sockaddr *)&peer, &size) == 0 &&
			    peer.sin_port == own.sin_port)
				return i;
		}
		return -1;
	}
};

TEST_F(Pipeline, RequestsSentAheadAreAnsweredInOrder)
{
	std::string all;

	for (int i = 0; i < 50; i++)
		all += request(i);
	send_text(all);
	run_for_ms(100);
	ASSERT_EQ(50u, paths.size());
	size_t at = 0;
	for (int i = 0; i < 50; i++) {
		std::string body = "\r\n\r\n/" + std::to_string(i);

		at = received.find(body, at);
		ASSERT_NE(std::string::npos, at) << i;
	}
	EXPECT_EQ(50u, count("HTTP/1.1 200 "));
}

// Guards against an answer that overtakes an earlier one: a request is handled only after the one
// before it was answered.
TEST_F(Pipeline, ARequestWaitsForTheAnswerBeforeIt)
{
	holds = true;
	send_text(request(1) + request(2) + request(3));
	for (size_t i = 1; i <= 3; i++) {
		run_for_ms(30);
		ASSERT_EQ(i, paths.size());
		ASSERT_EQ(1u, held.size());
		answer_next();
	}
	run_for_ms(30);
	EXPECT_EQ(3u, count("HTTP/1.1 200 "));
}

// Guards against a caller that fills the memory of a node with requests sent ahead.
TEST_F(Pipeline, WhatIsReadAheadIsBounded)
{
	std::string block;
	size_t sent = 0;
	int unsent = 0;
	int unread = 0;

	holds = true;
	while (block.size() < 64 * 1024)
		block += request(1);
	for (int i = 0; i < 500; i++) {
		ssize_t size = send(fd, block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);

		sent += size > 0 ? (size_t)size : 0;
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
	ASSERT_EQ(1u, held.size());
	ASSERT_EQ(0, ioctl(fd, SIOCOUTQ, &unsent));
	ASSERT_EQ(0, ioctl(server_fd(), SIOCINQ, &unread));
	EXPECT_GT(sent, AHEAD_BYTES_MAX);
	EXPECT_LE(sent - (size_t)unsent - (size_t)unread, AHEAD_BYTES_MAX);
	answer_next();
	holds = false;
}

// Guards against work for a caller that can get no answer, and against requests of another party
// behind a smuggled one.
TEST_F(Pipeline, RequestsBehindAnAnswerThatClosesAreNotRun)
{
	send_text(request(1) + request(2, "connection: close\r\n") + request(3) + request(4));
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{"/1", "/2"}), paths);
	EXPECT_EQ(2u, count("HTTP/1.1 200 "));
	EXPECT_EQ(1u, count("connection: close") + count("Connection: close")) << received;
}

TEST_F(Pipeline, RequestsBehindOneOfHttp10AreNotRun)
{
	send_text(request(1, "", "1.0") + request(2));
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{"/1"}), paths);
}

TEST_F(Pipeline, RequestsBehindOneWithAnUnclearEndAreNotRun)
{
	send_text("POST /intake/1 HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
		  "content-length: 5\r\ncontent-length: 5\r\n\r\nabcde" +
		  request(2));
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{}), paths);
	EXPECT_EQ(1u, count("HTTP/1.1 400 ")) << received;
	EXPECT_EQ(1u, count("connection: close") + count("Connection: close")) << received;
}

TEST_F(Pipeline, RequestsBehindATooLargeBodyAreNotRun)
{
	size_t size = BODY_BYTES_MAX + 2 * 1024 * 1024;

	send_text(
		"POST /intake/1 HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\ncontent-length: " +
		std::to_string(size) + "\r\n\r\n" + request(2));
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{}), paths);
	EXPECT_EQ(1u, count("HTTP/1.1 413 ")) << received;
	EXPECT_EQ(1u, count("connection: close") + count("Connection: close")) << received;
}

// A node that stops closes each connection after the answer to the next request that it reads.
TEST_F(Pipeline, RequestsBehindTheLastAnswerOfANodeThatStopsAreNotRun)
{
	holds = true;
	send_text(request(1) + request(2) + request(3));
	run_for_ms(30);
	caller_drain(caller);
	holds = false;
	answer_next();
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{"/1", "/2"}), paths);
	EXPECT_EQ(2u, count("HTTP/1.1 200 ")) << received;
	EXPECT_EQ(1u, count("connection: close") + count("Connection: close")) << received;
}

// A request with a body behind another one: its body is not taken for a request.
TEST_F(Pipeline, BodiesOfRequestsSentAheadAreReadWhole)
{
	std::string body = request(9);

	send_text(request(1) +
		  "PUT /intake/2 HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\ncontent-length: " +
		  std::to_string(body.size()) + "\r\n\r\n" + body +
		  "PUT /intake/3 HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
		  "transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n" +
		  request(4));
	run_for_ms(100);
	EXPECT_EQ((std::vector<std::string>{"/1", "/2", "/3", "/4"}), paths);
}

} // namespace
