// Reading of the platform's announcements: heartbeats and deregistrations of backend servers.
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "adapter.h"
}

namespace
{

error_kind read(const std::string &path, const std::string &body, announcement *out,
		const char *method = "POST")
{
	call_head head = {};
	error err = {};
	int status;

	head.method = {(const uint8_t *)method, (uint32_t)strlen(method)};
	head.path = {(const uint8_t *)path.data(), (uint32_t)path.size()};
	status = platform_read_announcement(
		&head, {(const uint8_t *)body.data(), (uint32_t)body.size()}, out, &err);
	EXPECT_EQ(status != 0, err.kind != ERROR_NONE);
	return err.kind;
}

const std::string heartbeat_path = "/Instances.Heartbeat/i-1";

std::string body(const std::string &change = "", const std::string &to = "")
{
	std::string text =
		R"({"service":"ledger","address":"10.1.0.9:8080","zone":"z","version":"v1",)"
		R"("slots":9,"state":"ready","cold_left_ms":250,"sequence":4,"born":1700000000000})";
	if (!change.empty())
		text.replace(text.find(change), change.size(), to);
	return text;
}

TEST(PlatformAnnouncement, ReadsHeartbeat)
{
	announcement announced;

	ASSERT_EQ(ERROR_NONE, read(heartbeat_path, body(), &announced));
	EXPECT_STREQ("i-1", announced.instance);
	EXPECT_STREQ("ledger", announced.service);
	EXPECT_EQ(0x0a010009u, announced.ip);
	EXPECT_EQ(8080, announced.port);
	EXPECT_EQ(9u, announced.slots);
	EXPECT_TRUE(announced.states_cold);
	EXPECT_EQ(250u, announced.cold_ms);
	EXPECT_EQ(4u, announced.sequence);
	EXPECT_EQ(1700000000000u, announced.started_ms);
	EXPECT_EQ(BACKEND_READY, announced.state);
	EXPECT_EQ(ERROR_NONE, read(heartbeat_path, body("\"ready\"", "\"draining\""), &announced));
	EXPECT_EQ(BACKEND_DRAINING, announced.state);
	EXPECT_EQ(ERROR_NONE,
		  read(heartbeat_path, body(R"(,"born":1700000000000)", ""), &announced));
	EXPECT_EQ(0u, announced.started_ms);
	EXPECT_EQ(ERROR_NONE, read(heartbeat_path, body("}", R"(,"new":[1]})"), &announced));
}

TEST(PlatformAnnouncement, DeregistrationNeedsNoBody)
{
	announcement announced;

	ASSERT_EQ(ERROR_NONE, read("/Instances.Deregister/i-1", "", &announced));
	EXPECT_EQ(BACKEND_LEAVING, announced.state);
	EXPECT_TRUE(announced.is_partial);
	EXPECT_STREQ("i-1", announced.instance);
}

TEST(PlatformAnnouncement, RefusesMalformedRequestWithErrorKind)
{
	announcement announced;

	EXPECT_EQ(ERROR_SYNTAX, read(heartbeat_path, "", &announced));
	EXPECT_EQ(ERROR_SYNTAX, read(heartbeat_path, "\x80\x01", &announced));
	EXPECT_EQ(ERROR_SYNTAX, read(heartbeat_path, "[]", &announced));
	EXPECT_EQ(ERROR_TYPE, read(heartbeat_path, body(R"("service":"ledger")", R"("service":7)"),
				   &announced));
	EXPECT_EQ(ERROR_MISSING, read(heartbeat_path, body(R"("zone":"z",)", ""), &announced));
	EXPECT_EQ(ERROR_TYPE,
		  read(heartbeat_path, body(R"("slots":9)", R"("slots":"9")"), &announced));
	EXPECT_EQ(ERROR_RANGE,
		  read(heartbeat_path, body(R"("slots":9)", R"("slots":0)"), &announced));
	EXPECT_EQ(ERROR_TYPE,
		  read(heartbeat_path, body(R"("sequence":4)", R"("sequence":4.5)"), &announced));
	EXPECT_EQ(ERROR_TYPE, read(heartbeat_path, body("1700000000000", "\"now\""), &announced));
	EXPECT_EQ(ERROR_RANGE, read(heartbeat_path, body("\"ready\"", "\"asleep\""), &announced));
	EXPECT_EQ(ERROR_RANGE, read(heartbeat_path, body("10.1.0.9:8080", "here"), &announced));
	EXPECT_EQ(ERROR_RANGE, read("/Instances.Heartbeat/", body(), &announced));
	EXPECT_EQ(ERROR_NOT_FOUND, read("/other", body(), &announced));
	EXPECT_EQ(ERROR_NOT_FOUND, read(heartbeat_path, body(), &announced, "GET"));
}

} // namespace
