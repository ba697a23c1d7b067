// The platform's HTTP dialect: header names, statuses, and the verdicts on a backend server's
// answers.
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "adapter.h"
#include "names.h"
}

namespace
{

wire_bytes bytes_of(const char *text)
{
	return {(const uint8_t *)text, (uint32_t)strlen(text)};
}

std::string text_of(wire_bytes bytes)
{
	return std::string((const char *)bytes.data, bytes.size);
}

struct Head {
	std::vector<wire_header> list;

	Head(std::initializer_list<std::pair<const char *, const char *>> headers)
	{
		for (auto &[name, value] : headers)
			list.push_back({bytes_of(name), bytes_of(value)});
	}
	call_head head(const char *host = "shop.example:8300") const
	{
		call_head out = {};
		out.authority = bytes_of(host);
		out.method = bytes_of("POST");
		out.path = bytes_of("/a/b?c=1");
		out.headers = list.data();
		out.header_count = (uint32_t)list.size();
		return out;
	}
	wire_headers wire() const
	{
		wire_headers out = {};
		for (const wire_header &header : list)
			out.list[out.count++] = header;
		return out;
	}
};

std::string find(const wire_headers &headers, const char *name)
{
	std::string out;
	for (uint32_t i = 0; i < headers.count; i++) {
		if (text_of(headers.list[i].name) == name)
			out += (out.empty() ? "" : "|") + text_of(headers.list[i].value);
	}
	return out;
}

const http_dialect &dialect()
{
	return *platform_http_dialect("ledger");
}

call_reason read(const Head &head, call_request *out)
{
	call_head raw = head.head();
	error err = {};
	return dialect().read_call(&raw, out, &err);
}

TEST(PlatformHttp, ReadsClientRequest)
{
	call_request request;

	ASSERT_EQ(REASON_NONE,
		  read({{HEADER_REQUEST_ID, "id-1"}, {HEADER_TIME_LEFT_MS, "2000"}, {"x-own", "1"}},
		       &request));
	EXPECT_EQ(CALL_ADDRESS_ROUTE, request.address);
	EXPECT_EQ("id-1", text_of(request.id));
	EXPECT_EQ("shop.example", text_of(request.host));
	EXPECT_EQ("/a/b?c=1", text_of(request.path));
	EXPECT_EQ(2000000u, request.time_left_us);
	EXPECT_EQ("shop.example:8300", find(request.headers, "host"));
	EXPECT_EQ("id-1", find(request.headers, HEADER_REQUEST_ID));
	EXPECT_EQ("1", find(request.headers, "x-own"));
}

TEST(PlatformHttp, DropsClientValuesOfHeadersTheNodeSets)
{
	call_request request;

	ASSERT_EQ(REASON_NONE, read({{HEADER_CALLER_SERVICE, "forged"},
				     {HEADER_EXPECTED_INSTANCE, "i-1"},
				     {"connection", "close, x-once"},
				     {"x-once", "1"},
				     {"te", "trailers"}},
				    &request));
	EXPECT_EQ("ledger", find(request.headers, HEADER_CALLER_SERVICE));
	EXPECT_EQ("", find(request.headers, HEADER_EXPECTED_INSTANCE));
	EXPECT_EQ("", find(request.headers, "x-once"));
	EXPECT_EQ("", find(request.headers, "te"));
}

TEST(PlatformHttp, RefusesMalformedTimeLeftAndTooManyHeaders)
{
	call_request request;
	std::vector<std::string> names;
	Head many = {};

	EXPECT_EQ(REASON_BAD_REQUEST, read({{HEADER_TIME_LEFT_MS, "soon"}}, &request));
	EXPECT_EQ(REASON_BAD_REQUEST, read({{HEADER_TIME_LEFT_MS, "-1"}}, &request));
	for (int i = 0; i < WIRE_HEADERS_MAX; i++)
		many.list.push_back({bytes_of("x"), bytes_of("1")});
	EXPECT_EQ(REASON_BAD_REQUEST, read(many, &request));
}

answer_lines write_outcome(call_outcome outcome, call_reason reason, uint32_t retry_after_ms = 0)
{
	answer_lines lines = {};
	caller_answer answer = {};

	answer.outcome = outcome;
	answer.reason = reason;
	answer.retry_after_ms = retry_after_ms;
	dialect().write_outcome(&answer, nullptr, &lines);
	return lines;
}

// 502, 504 and a closed connection leave open whether the call ran. Every other status that the
// node sets itself means that the call did not run.
TEST(PlatformHttp, OnlyCallsThatDidNotRunGetANotRunStatus)
{
	for (int reason = 0; reason < REASON_COUNT; reason++) {
		int unknown = write_outcome(OUTCOME_UNKNOWN, (call_reason)reason).status;
		int not_run = write_outcome(OUTCOME_NOT_RUN, (call_reason)reason).status;
		EXPECT_TRUE(unknown == 502 || unknown == 504) << reason;
		EXPECT_TRUE(not_run == 503 || not_run == 429 || not_run == 400 || not_run == 404 ||
			    not_run == 413 || not_run == 401)
			<< reason;
		EXPECT_EQ(reason == REASON_UNKNOWN_KEY, not_run == 401) << reason;
	}
	EXPECT_EQ(404, write_outcome(OUTCOME_NOT_RUN, REASON_UNKNOWN_SERVICE).status);
	EXPECT_EQ(503, write_outcome(OUTCOME_NOT_RUN, REASON_NOT_READY).status);
}

TEST(PlatformHttp, RetryAfterIsInSecondsWithThreeDecimals)
{
	answer_lines lines = write_outcome(OUTCOME_NOT_RUN, REASON_OVERLOAD, 1250);

	ASSERT_EQ(1u, lines.count);
	EXPECT_STREQ("retry-after", lines.list[0].name);
	EXPECT_STREQ("1.250", lines.list[0].value);
	EXPECT_EQ(0u, write_outcome(OUTCOME_UNKNOWN, REASON_EXPIRED, 1250).count);
}

answer_verdict judge(uint32_t status, const Head &answer, const char *asked = "id-1",
		     bool probe = false, bool reused = false)
{
	message_call call = {};
	backend_request request = {};
	wire_headers headers = answer.wire();

	call.headers.list[call.headers.count++] = {bytes_of(HEADER_REQUEST_ID), bytes_of(asked)};
	request.call = &call;
	request.is_probe = probe;
	request.is_connection_reused = reused;
	return dialect().judge_answer(&request, status, &headers);
}

TEST(PlatformHttp, JudgesAnswerByRequestIdSignatureAndNotRunHeader)
{
	EXPECT_EQ(ANSWER_RUN, judge(200, {{HEADER_REQUEST_ID, "id-1"}, {HEADER_SIGNATURE, "s"}}));
	EXPECT_EQ(ANSWER_EARLIER_CALL,
		  judge(200, {{HEADER_REQUEST_ID, "id-2"}, {HEADER_SIGNATURE, "s"}}));
	EXPECT_EQ(ANSWER_INVALID, judge(200, {{HEADER_REQUEST_ID, "id-1"}}));
	EXPECT_EQ(ANSWER_INVALID, judge(200, {{HEADER_SIGNATURE, "s"}}));
	EXPECT_EQ(ANSWER_INVALID, judge(200, {{HEADER_REQUEST_ID, "id-1"},
					      {HEADER_SIGNATURE, "s"},
					      {"content-encoding", "gzip"}}));
	EXPECT_EQ(ANSWER_RUN, judge(500, {{HEADER_REQUEST_ID, "id-1"}, {HEADER_SIGNATURE, "s"}}));
	EXPECT_EQ(ANSWER_NOT_RUN, judge(503, {{HEADER_NOT_RUN, "1"}}));
	EXPECT_EQ(ANSWER_NOT_RUN, judge(421, {}));
	EXPECT_EQ(ANSWER_RUN, judge(503, {}));
	EXPECT_EQ(ANSWER_RUN, judge(200, {}, "", true));
	EXPECT_EQ(ANSWER_EARLIER_CALL, judge(200, {{HEADER_REQUEST_ID, "id-9"}}, "", true));
	// A late copy of an earlier answer may lack the id.
	EXPECT_EQ(ANSWER_INVALID, judge(503, {{HEADER_NOT_RUN, "1"}}, "id-1", false, true));
	EXPECT_EQ(ANSWER_INVALID, judge(421, {}, "id-1", false, true));
	EXPECT_EQ(ANSWER_INVALID, judge(500, {{HEADER_SIGNATURE, "s"}}, "id-1", false, true));
	EXPECT_EQ(ANSWER_NOT_RUN, judge(503, {{HEADER_REQUEST_ID, "id-1"}, {HEADER_NOT_RUN, "1"}},
					"id-1", false, true));
}

TEST(PlatformHttp, LoadHasThreeOrFourFields)
{
	backend_load load = {};
	auto reads = [&load](const char *text) {
		wire_headers headers = Head({{HEADER_LOAD, text}}).wire();
		return dialect().read_load(&headers, &load);
	};

	EXPECT_TRUE(reads("3,1,8"));
	EXPECT_EQ(8u, load.slots);
	EXPECT_EQ(100u, load.slowdown_percent);
	EXPECT_TRUE(reads("3,1,8,500"));
	EXPECT_EQ(500u, load.slowdown_percent);
	EXPECT_TRUE(reads("3,1,8,500,7"));
	for (const char *bad : {"", "3,1", "3,,8", "a,b,c", "3,1,8,x", "-1,1,8"})
		EXPECT_FALSE(reads(bad)) << bad;
}

// Guards against a value that is no number taken for the end of being cold.
TEST(PlatformHttp, ColdIsANumberOfMilliseconds)
{
	uint32_t left_ms = 77;
	auto reads = [&left_ms](const char *name, const char *text) {
		wire_headers headers = Head({{name, text}}).wire();
		return dialect().read_cold(&headers, &left_ms);
	};

	EXPECT_TRUE(reads(HEADER_COLD, "1250"));
	EXPECT_EQ(1250u, left_ms);
	EXPECT_TRUE(reads("X-Fescuemill-Cold-Ms", "0"));
	EXPECT_EQ(0u, left_ms);
	for (const char *bad : {"", "-1", "1.5", "soon", "99999999999999"})
		EXPECT_FALSE(reads(HEADER_COLD, bad)) << bad;
	EXPECT_FALSE(reads("x-other", "5"));
}

// A value that is not a rate must be told from no value: a limit ends only where it is not stated.
TEST(PlatformHttp, LimitIsADecimalNumberAndLeavingIsOne)
{
	backend_notice notice = {};
	auto read = [&notice](std::initializer_list<std::pair<const char *, const char *>> list) {
		wire_headers headers = Head(list).wire();
		dialect().read_notice(&headers, &notice);
		return notice.rate;
	};

	EXPECT_EQ(BACKEND_RATE_NONE, read({}));
	EXPECT_FALSE(notice.is_leaving);
	for (auto [text, milli] : {std::pair{"2.7", 2700u},
				   {"0", 0u},
				   {"0.0", 0u},
				   {"12", 12000u},
				   {"0.0049", 4u},
				   {"3.30000", 3300u},
				   {"007", 7000u},
				   {"99999999999999999999.5", 1000000000u}}) {
		EXPECT_EQ(BACKEND_RATE_STATED, read({{HEADER_RATE_LIMIT, text}})) << text;
		EXPECT_EQ(milli, notice.rate_milli) << text;
	}
	for (const char *bad : {"", ".", "5.", ".5", "-1", "+1", "1e3", "nan", "inf", "1,5", "1 ",
				" 1", "1.2.3", "0x10", "2.7/s"})
		EXPECT_EQ(BACKEND_RATE_INVALID, read({{HEADER_RATE_LIMIT, bad}})) << bad;
	read({{HEADER_LEAVING, "1"}});
	EXPECT_TRUE(notice.is_leaving);
	for (const char *other : {"0", "", "yes", "11"}) {
		read({{HEADER_LEAVING, other}});
		EXPECT_FALSE(notice.is_leaving) << other;
	}
}

TEST(PlatformHttp, CallHeadHasTimeLeftAndExpectedInstance)
{
	char room[512];
	text_buffer head = {room, 0, sizeof(room)};
	message_call call = {};
	backend_request request = {};

	call.headers.list[call.headers.count++] = {bytes_of("host"), bytes_of("shop.example")};
	request.call = &call;
	request.time_left_us = 1234567;
	request.instance = "i-1";
	dialect().write_call(&request, &head);
	EXPECT_EQ(std::string("host: shop.example\r\n") + HEADER_TIME_LEFT_MS + ": 1234\r\n" +
			  HEADER_EXPECTED_INSTANCE + ": i-1\r\n",
		  std::string(head.data, head.size));
}

} // namespace
