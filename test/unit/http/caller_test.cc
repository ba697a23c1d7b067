// HTTP listener for callers: checks of requests, answers with outcome headers, memory limits and
// disconnected callers.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "fescuemill/http/caller.h"
}

namespace
{

constexpr uint32_t kBodyBytesMax = 1000;
// LINGERING_CLOSE_MS_MAX (2 s), and as much again for a busy machine.
constexpr int kLingeringCloseWaitMs = 4000;
const char kChunked[] = "POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			"transfer-encoding: chunked\r\n\r\n";

wire_bytes bytes_of(const std::string &text)
{
	return {reinterpret_cast<const uint8_t *>(text.data()), static_cast<uint32_t>(text.size())};
}

std::string text_of(wire_bytes bytes)
{
	return {reinterpret_cast<const char *>(bytes.data), bytes.size};
}

class CallerTest : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	struct caller *caller = nullptr;
	std::function<void(struct caller_call *, const struct call_request *)> on_call;
	int disconnects = 0;
	int fd = -1;

	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
		caller_options options{};
		options.ip = INADDR_LOOPBACK;
		options.body_bytes_max = kBodyBytesMax;
		options.memory_bytes_max = 3 * kBodyBytesMax;
		options.dialect = &native_dialect;
		options.user = this;
		options.on_call = [](void *user, struct caller_call *call,
				     const struct call_request *req) {
			static_cast<CallerTest *>(user)->on_call(call, req);
		};
		options.on_disconnect = [](void *user, struct caller_call *call) {
			static_cast<CallerTest *>(user)->disconnects++;
			struct caller_answer answer = {};
			answer.outcome = OUTCOME_UNKNOWN;
			answer.reason = REASON_CANCELLED;
			caller_answer(call, &answer);
		};
		ASSERT_EQ(caller_open(&caller, &loop, &options, nullptr), 0);
		on_call = [](struct caller_call *call, const struct call_request *) {
			answer_ok(call);
		};
		fd = connect_caller();
	}

	void TearDown() override
	{
		if (fd >= 0)
			close(fd);
		caller_close(caller);
		for (int i = 0; i < 2000 && caller_connection_count(caller) > 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
		ASSERT_EQ(caller_connection_count(caller), 0u);
		caller_free(caller);
		for (int i = 0; i < 5; i++)
			uv_run(&loop, UV_RUN_NOWAIT);
		uv_loop_close(&loop);
	}

	static void answer_ok(struct caller_call *call)
	{
		struct wire_headers headers {
		};
		struct caller_answer answer = {};
		std::string body = "lots";
		std::string names[] = {"x-lot", "connection"};
		std::string values[] = {"7", "close"};

		for (int i = 0; i < 2; i++)
			headers.list[headers.count++] = {bytes_of(names[i]), bytes_of(values[i])};
		answer.outcome = OUTCOME_ANSWERED;
		answer.attempts = 1;
		answer.status = 200;
		answer.server_us = 1234;
		answer.headers = &headers;
		answer.body = bytes_of(body);
		caller_answer(call, &answer);
	}

	int connect_caller()
	{
		sockaddr_in addr{};
		int sock = socket(AF_INET, SOCK_STREAM, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons(caller_port(caller));
		EXPECT_EQ(connect(sock, reinterpret_cast<sockaddr *>(&addr), sizeof(addr)), 0);
		return sock;
	}

	void send_text(const std::string &text)
	{
		ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  static_cast<ssize_t>(text.size()));
	}

	// Runs the loop until an answer with its complete body was received; returns it in lower
	// case.
	std::string receive()
	{
		std::string seen;
		char buf[4096];
		for (int i = 0; i < 2000; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			ssize_t size = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			for (ssize_t j = 0; j < size; j++)
				seen += static_cast<char>(tolower(buf[j]));
			size_t head = seen.find("\r\n\r\n");
			size_t at = seen.find("content-length: ");

			if (head != std::string::npos && at != std::string::npos &&
			    seen.size() >= head + 4 + std::stoul(seen.substr(at + 16)))
				return seen;
			usleep(500);
		}
		ADD_FAILURE() << "no whole answer: " << seen;
		return seen;
	}

	void run_for_ms(int ms)
	{
		for (int i = 0; i < ms; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
	}

	// Sends a text without reading; returns the number of bytes that could be sent.
	size_t send_all(const std::string &text)
	{
		size_t sent = 0;
		for (int i = 0; i < 100000 && sent < text.size(); i++) {
			ssize_t size = send(fd, text.data() + sent, text.size() - sent,
					    MSG_NOSIGNAL | MSG_DONTWAIT);
			if (size < 0 && errno != EAGAIN)
				break;
			sent += size > 0 ? static_cast<size_t>(size) : 0;
			uv_run(&loop, UV_RUN_NOWAIT);
		}
		return sent;
	}

	std::string ask(const std::string &text)
	{
		send_text(text);
		return receive();
	}

	void expect_refused(const std::string &answer, int status, const std::string &reason)
	{
		EXPECT_EQ(answer.find("http/1.1 " + std::to_string(status)), 0u) << answer;
		EXPECT_NE(answer.find("x-fescue-outcome: not-run\r\n"), std::string::npos)
			<< answer;
		EXPECT_NE(answer.find("x-fescue-reason: " + reason + "\r\n"), std::string::npos)
			<< answer;
	}
};

const char kGet[] = "GET /catalogue/lots?page=2 HTTP/1.1\r\nhost: n\r\nx-fescue-class: browse\r\n";

TEST_F(CallerTest, PassesCheckedRequestToEntryAndSendsCompleteAnswer)
{
	on_call = [](struct caller_call *call, const struct call_request *req) {
		EXPECT_STREQ(req->service, "catalogue");
		EXPECT_STREQ(req->class_name, "browse");
		EXPECT_EQ(text_of(req->path), "/lots?page=2");
		EXPECT_EQ(req->time_left_us, CALL_DEADLINE_DEFAULT_US);
		EXPECT_TRUE(req->idempotent);
		EXPECT_EQ(req->headers.count, 1u);
		EXPECT_EQ(text_of(req->headers.list[0].name), "x-other");
		answer_ok(call);
	};
	std::string answer = ask(std::string(kGet) + "x-other: 1\r\nkeep-alive: 9\r\n\r\n");
	EXPECT_EQ(answer.find("http/1.1 200"), 0u);
	EXPECT_NE(answer.find("x-fescue-outcome: answered\r\n"), std::string::npos);
	EXPECT_NE(answer.find("x-fescue-attempts: 1\r\n"), std::string::npos);
	EXPECT_NE(answer.find("x-fescue-server-us: 1234\r\n"), std::string::npos);
	EXPECT_NE(answer.find("x-lot: 7\r\n"), std::string::npos);
	EXPECT_EQ(answer.find("connection: close"), std::string::npos);
	EXPECT_EQ(answer.substr(answer.size() - 4), "lots");
}

TEST_F(CallerTest, ServesSeveralRequestsOnOneConnection)
{
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(ask(std::string(kGet) + "\r\n").find("http/1.1 200"), 0u);
}

// Guards against work for a caller that gave up while its request waited unread: both the request
// and the end of the connection are there when the listener first reads.
TEST_F(CallerTest, RequestOfCallerThatHasLeftIsNotPassedToEntry)
{
	int passed = 0;

	on_call = [&passed](struct caller_call *call, const struct call_request *) {
		passed++;
		answer_ok(call);
	};
	send_text(std::string(kGet) + "\r\n");
	close(fd);
	fd = -1;
	run_for_ms(50);
	EXPECT_EQ(passed, 0);
	EXPECT_EQ(caller_connection_count(caller), 0u);
}

TEST_F(CallerTest, BodyOverLimitIsAnsweredWith413AndReason)
{
	std::string head = "POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: " +
			   std::to_string(kBodyBytesMax + 1) + "\r\n\r\n";
	expect_refused(ask(head + std::string(kBodyBytesMax + 1, 'x')), 413, "too-large");
}

// h2o refuses this request because of its content-length, before it receives the body.
TEST_F(CallerTest, ContentLengthFarOverLimitIsAnsweredWith413AndReason)
{
	expect_refused(ask("POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: 99999999\r\n\r\n"),
		       413, "too-large");
}

// The caller sends its whole body before it reads. Without a lingering close the connection would
// be reset, and the caller would lose the answer.
TEST_F(CallerTest, CallerThatSendsWholeOversizedBodyStillReceives413)
{
	const size_t size = 16UL << 20;
	std::string text = "POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: " +
			   std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
	EXPECT_EQ(send_all(text), text.size());
	expect_refused(receive(), 413, "too-large");
}

TEST_F(CallerTest, CallerThatSendsOversizedChunkedBodyStillReceives413)
{
	const size_t size = 16UL << 20;
	std::string text =
		std::string(kChunked) + "1000000\r\n" + std::string(size, 'x') + "\r\n0\r\n\r\n";
	EXPECT_EQ(send_all(text), text.size());
	expect_refused(receive(), 413, "too-large");
}

// A lingering close has a time limit: a peer that never closes must not hold the connection open.
TEST_F(CallerTest, LingeringCloseOfCallerThatNeverClosesTimesOut)
{
	expect_refused(ask("POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: 99999999\r\n\r\n"),
		       413, "too-large");
	for (int i = 0; i < kLingeringCloseWaitMs && caller_connection_count(caller) > 0; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
	EXPECT_EQ(caller_connection_count(caller), 0u);
}

TEST_F(CallerTest, BodyOfExactlyTheLimitIsAccepted)
{
	std::string head = "POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: " +
			   std::to_string(kBodyBytesMax) + "\r\n\r\n";
	EXPECT_EQ(ask(head + std::string(kBodyBytesMax, 'x')).find("http/1.1 200"), 0u);
}

// h2o generates this answer itself, before it has created a request.
TEST_F(CallerTest, MalformedHttpIsAnsweredWith400AndClosed)
{
	std::string answer = ask("GET /\x01 nonsense\r\n\r\n");
	EXPECT_EQ(answer.find("http/1.1 400"), 0u) << answer;
	EXPECT_NE(answer.find("connection: close"), std::string::npos) << answer;
}

TEST_F(CallerTest, InvalidHeadersAreAnsweredWith400AndReason)
{
	const char *const lines[] = {
		"x-fescue-deadline-ms: 0\r\n",
		"x-fescue-deadline-ms: 600001\r\n",
		"x-fescue-deadline-ms: soon\r\n",
		"x-fescue-deadline-ms: 99999999999999\r\n",
		"x-fescue-depth: -1\r\n",
		"x-fescue-retry-budget: 101\r\n",
		"idempotency-key: \r\n",
		"x-fescue-idempotent: yes\r\n",
		"x-fescue-class: no spaces here\r\n",
	};
	for (const char *line : lines)
		expect_refused(ask(std::string(kGet) + line + "\r\n"), 400, "bad-request");
	expect_refused(ask(std::string(kGet) + "x-fescue-depth: 21\r\n\r\n"), 400, "too-deep");
	expect_refused(ask("GET /catalogue/lots HTTP/1.1\r\nhost: n\r\n\r\n"), 400, "bad-request");
	expect_refused(ask("BREW /catalogue/lots HTTP/1.1\r\nhost: n\r\n\r\n"), 400, "bad-request");
	expect_refused(ask("GET / HTTP/1.1\r\nhost: n\r\nx-fescue-class: a\r\n\r\n"), 400,
		       "bad-request");
}

TEST_F(CallerTest, TooManyHeadersAreAnsweredWith400AndReason)
{
	std::string text = kGet;
	for (int i = 0; i <= WIRE_HEADERS_MAX; i++)
		text += "x-h" + std::to_string(i) + ": 1\r\n";
	expect_refused(ask(text + "\r\n"), 400, "bad-request");
}

TEST_F(CallerTest, BodiesOverMemoryLimitAreRefused)
{
	std::vector<struct caller_call *> held;
	std::vector<int> fds;
	std::string text = "POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
			   "content-length: " +
			   std::to_string(kBodyBytesMax) + "\r\n\r\n" +
			   std::string(kBodyBytesMax, 'x');
	on_call = [&held](struct caller_call *call, const struct call_request *) {
		held.push_back(call);
	};
	while (held.size() < 3) {
		send_text(text);
		for (size_t before = held.size(); held.size() == before;)
			uv_run(&loop, UV_RUN_ONCE);
		fds.push_back(fd);
		fd = connect_caller();
	}
	expect_refused(ask(text), 503, "overload");
	EXPECT_EQ(caller_call_count(caller), 3u);
	for (auto *call : held)
		answer_ok(call);
	EXPECT_EQ(caller_call_count(caller), 0u);
	for (int i = 0; i < 10; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	on_call = [](struct caller_call *call, const struct call_request *) { answer_ok(call); };
	EXPECT_EQ(ask(text).find("http/1.1 200"), 0u);
	for (int other : fds)
		close(other);
}

// Three incomplete bodies fit into the memory limit. A fourth, which begins last, does not and
// is refused, with content-length as well as chunked; the other three can be completed.
TEST_F(CallerTest, IncompleteBodiesCountTowardsMemoryLimit)
{
	const std::string part(kBodyBytesMax - 200, 'x');
	const std::string rest(200, 'x');
	const std::string head =
		"POST /intake/plate HTTP/1.1\r\nhost: n\r\nx-fescue-class: photo\r\n"
		"content-length: " +
		std::to_string(kBodyBytesMax) + "\r\n\r\n";
	std::vector<int> fds;

	for (int i = 0; i < 3; i++) {
		send_text(head + part);
		run_for_ms(20);
		fds.push_back(fd);
		fd = connect_caller();
	}
	for (const std::string &more : {head + part, kChunked + ("320\r\n" + part)}) {
		expect_refused(ask(more), 503, "overload");
		close(fd);
		fd = connect_caller();
	}
	close(fd);
	for (int other : fds) {
		fd = other;
		EXPECT_EQ(ask(rest).find("http/1.1 200"), 0u);
		close(fd);
	}
	fd = -1;
}

TEST_F(CallerTest, ReportsDisconnectedCaller)
{
	struct caller_call *held = nullptr;
	on_call = [&held](struct caller_call *call, const struct call_request *) { held = call; };
	send_text(std::string(kGet) + "\r\n");
	while (!held)
		uv_run(&loop, UV_RUN_ONCE);
	close(fd);
	fd = -1;
	for (int i = 0; i < 2000 && disconnects == 0; i++)
		uv_run(&loop, UV_RUN_ONCE);
	EXPECT_EQ(disconnects, 1);
}

TEST_F(CallerTest, DrainingListenerClosesConnectionAfterAnswer)
{
	caller_drain(caller);
	std::string answer = ask(std::string(kGet) + "\r\n");
	EXPECT_EQ(answer.find("http/1.1 200"), 0u);
	EXPECT_NE(answer.find("connection: close"), std::string::npos) << answer;
}

TEST(OutcomeStatusTest, MapsOutcomeAndReasonToHttpStatus)
{
	EXPECT_EQ(outcome_http_status(OUTCOME_UNKNOWN, REASON_CONNECTION_LOST), 504);
	EXPECT_EQ(outcome_http_status(OUTCOME_NOT_RUN, REASON_OVERLOAD), 503);
	EXPECT_EQ(outcome_http_status(OUTCOME_NOT_RUN, REASON_RETRY_BUDGET), 429);
	EXPECT_EQ(outcome_http_status(OUTCOME_NOT_RUN, REASON_UNKNOWN_SERVICE), 404);
	EXPECT_EQ(outcome_http_status(OUTCOME_NOT_RUN, REASON_TOO_LARGE), 413);
	EXPECT_EQ(outcome_http_status(OUTCOME_NOT_RUN, REASON_BAD_REQUEST), 400);
}

TEST(HeaderListTest, FindsWholeItemsOnly)
{
	std::string list = " x-a ,close,X-B";
	EXPECT_TRUE(header_is_listed(bytes_of("x-a"), bytes_of(list)));
	EXPECT_TRUE(header_is_listed(bytes_of("x-b"), bytes_of(list)));
	EXPECT_FALSE(header_is_listed(bytes_of("x-"), bytes_of(list)));
	EXPECT_FALSE(header_is_listed(bytes_of("x-c"), bytes_of(list)));
}

// Guards against request smuggling: requests on whose end or host two HTTP parsers could disagree
// are refused, and what follows on their connection is not handled as a request.
TEST_F(CallerTest, AmbiguousRequestsAreRefusedAndTheirConnectionCloses)
{
	const std::string chunked = "2\r\nok\r\n0\r\n\r\n";
	const std::string smuggled =
		"GET /catalogue/evil HTTP/1.1\r\nhost: n\r\nx-fescue-class: b\r\n\r\n";
	const std::string post = "POST /catalogue/lots HTTP/1.1\r\nx-fescue-class: browse\r\n";
	const std::string host = "host: n\r\n";
	int calls = 0;

	on_call = [&calls](struct caller_call *call, const struct call_request *) {
		calls++;
		answer_ok(call);
	};
	for (const std::string &text : {
		     post + host + "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n" +
			     chunked,
		     post + host + "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n" +
			     chunked,
		     post + host + "content-length: 2\r\ncontent-length: 2\r\n\r\nok",
		     post + host + "content-length: 2\r\ncontent-length: 60\r\n\r\nok",
		     post + "content-length: 2\r\n\r\nok",
		     post + host + "host: m\r\ncontent-length: 2\r\n\r\nok",
		     "POST /catalogue/lots HTTP/1.2\r\nx-fescue-class: browse\r\n" + host +
			     "content-length: 2\r\n\r\nok",
		     "POST /catalogue/lots HTTP/1.0\r\nx-fescue-class: browse\r\n" + host +
			     "transfer-encoding: chunked\r\n\r\n" + chunked,
	     }) {
		char byte;

		send_text(text + smuggled);
		EXPECT_EQ(receive().find("http/1.1 400"), 0u) << text;
		for (int i = 0; i < 200 && recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN;
		     i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
		EXPECT_LE(recv(fd, &byte, 1, MSG_DONTWAIT), 0) << text;
		close(fd);
		fd = connect_caller();
	}
	EXPECT_EQ(calls, 0);
}

} // namespace
