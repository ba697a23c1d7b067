// A backend server that names its leaving in answers: which heartbeats bring it into use again.
#include "support/connect.h"

#include <gtest/gtest.h>

#include <string>
#include <unistd.h>
#include <vector>

extern "C" {
#include "adapter.h"
#include "fescuemill/http/announce.h"
}

namespace
{

class Leaving : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	struct announce *announce = nullptr;
	struct announcement now {
	};
	int fd = -1;
	int sequence = 0;
	std::vector<uint32_t> heard_cold_ms; // of each heartbeat that is passed on

	void SetUp() override
	{
		announce_options options{};

		uv_loop_init(&loop);
		options.ip = INADDR_LOOPBACK;
		options.lease_ms = 60000;
		options.dialect = platform_http_dialect("ledger");
		options.user = this;
		options.on_change = [](void *user, const struct announcement *update) {
			static_cast<Leaving *>(user)->now = *update;
		};
		options.on_heartbeat = [](void *user, const struct announcement *heard) {
			static_cast<Leaving *>(user)->heard_cold_ms.push_back(heard->cold_ms);
		};
		options.in_use = [](void *) -> uint32_t { return 0; };
		ASSERT_EQ(announce_open(&announce, &loop, &options, nullptr), 0);
		fd = support::connect_to(announce_port(announce));
		ASSERT_GE(fd, 0);
	}

	void TearDown() override
	{
		close(fd);
		announce_close(announce);
		for (int i = 0; i < 20; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
		announce_free(announce);
		uv_run(&loop, UV_RUN_NOWAIT);
		uv_loop_close(&loop);
	}

	// Sends a heartbeat that says ready.
	void beat(const std::string &instance, int born_ms, int cold_ms = 0)
	{
		std::string body =
			R"({"service":"ledger","address":"127.0.0.1:81","zone":"z","version":"v1",)"
			R"("slots":6,"state":"ready","cold_left_ms":)" +
			std::to_string(cold_ms) + R"(,"sequence":)" + std::to_string(++sequence) +
			R"(,"born":)" + std::to_string(born_ms) + "}";
		std::string text =
			"POST /Instances.Heartbeat/" + instance +
			" HTTP/1.1\r\nhost: n\r\ncontent-length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body;
		char reply[1024];
		ssize_t size = 0;

		ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), (ssize_t)text.size());
		for (int i = 0; i < 1000 && size <= 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			size = recv(fd, reply, sizeof(reply), MSG_DONTWAIT);
			usleep(1000);
		}
		EXPECT_EQ(std::string(reply, size > 0 ? (size_t)size : 0).find("HTTP/1.1 200"), 0u);
	}

	void find_by_health_check()
	{
		announcement found = {};

		found.slots = 6;
		found.port = 81;
		found.state = BACKEND_READY;
		snprintf(found.service, sizeof(found.service), "ledger");
		snprintf(found.instance, sizeof(found.instance), "i-1");
		announce_backend_found(announce, &found);
	}
};

} // namespace

// Guards against calls to a backend server that has named its leaving and goes on to send ready.
TEST_F(Leaving, HeartbeatsOfTheSameStartDoNotUndoIt)
{
	beat("i-1", 100);
	EXPECT_EQ(now.state, BACKEND_READY);
	announce_backend_leaving(announce, 100);
	EXPECT_EQ(now.state, BACKEND_DRAINING);
	beat("i-1", 100);
	EXPECT_EQ(now.state, BACKEND_DRAINING);
	announce_expire_lease(announce);
	EXPECT_EQ(now.state, BACKEND_NONE);
	find_by_health_check();
	EXPECT_EQ(now.state, BACKEND_NONE) << "a health check may still be answered";
	beat("i-1", 100);
	EXPECT_EQ(now.state, BACKEND_DRAINING);
}

TEST_F(Leaving, NextStartIsInUse)
{
	beat("i-1", 100);
	announce_backend_leaving(announce, 100);
	beat("i-1", 200);
	EXPECT_EQ(now.state, BACKEND_READY) << "the same name, started again";
	announce_backend_leaving(announce, 200);
	beat("i-2", 300);
	EXPECT_EQ(now.state, BACKEND_READY);
}

// After a restart the node knows the server from a health check, which does not tell its start, and
// its leaving from an entry, which has heard of an earlier start.
TEST_F(Leaving, EarlierStartThatAnEntryHasHeardOfDoesNotHoldTheNextOne)
{
	find_by_health_check();
	EXPECT_EQ(now.state, BACKEND_READY);
	announce_backend_leaving(announce, 100);
	EXPECT_EQ(now.state, BACKEND_DRAINING);
	beat("i-1", 200);
	EXPECT_EQ(now.state, BACKEND_READY);
}

// Guards against a server that becomes cold while its announcements are otherwise the same, and
// against a late heartbeat that says it is not.
TEST_F(Leaving, EachHeartbeatIsPassedOnUnlessItIsLate)
{
	beat("i-1", 100);
	beat("i-1", 100, 5000);
	EXPECT_EQ(heard_cold_ms, (std::vector<uint32_t>{0, 5000}));
	sequence -= 2; // both arrive again, late
	beat("i-1", 100);
	beat("i-0", 99);
	EXPECT_EQ(heard_cold_ms, (std::vector<uint32_t>{0, 5000}));
	beat("i-2", 101, 7000);
	EXPECT_EQ(heard_cold_ms, (std::vector<uint32_t>{0, 5000, 7000}));
}
