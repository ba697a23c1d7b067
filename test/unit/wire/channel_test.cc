// Tests of the channel over loopback: whole delivery both ways, refusals, garbage on the port.
#include "support/connect.h"

#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/base/counter.h"
#include "fescuemill/wire/channel.h"
}

namespace
{
const uint32_t loopback = INADDR_LOOPBACK;
const int turns_max = 5000;

struct message make_ask(uint64_t sequence)
{
	struct message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = MESSAGE_ASK;
	msg.id.sequence = sequence;
	return msg;
}

// A loop with two channels: the server echoes the sequence of each request as a PENDING.
class Channel : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err;

		uv_loop_init(&loop_);
		ASSERT_EQ(0, channel_open(&server_, &loop_, loopback, 0, on_request, this, &err));
		ASSERT_EQ(0, channel_open(&client_, &loop_, loopback, 0, on_request, this, &err));
	}

	void TearDown() override
	{
		channel_close(client_);
		channel_close(server_);
		uv_run(&loop_, UV_RUN_DEFAULT);
		EXPECT_EQ(0, uv_loop_close(&loop_));
	}

	static void on_request(void *user, const struct channel_route *from,
			       const struct message *msg)
	{
		Channel *self = (Channel *)user;
		struct message reply = *msg;
		struct error err;

		self->requests_.push_back(msg->id.sequence);
		reply.type = MESSAGE_PENDING;
		EXPECT_EQ(0, channel_reply(self->server_, from, &reply, &err)) << err.detail;
	}

	static void on_reply(void *user, const struct message *msg)
	{
		((Channel *)user)->replies_.push_back(msg->id.sequence);
	}

	struct channel_link *open_link(uint16_t port)
	{
		struct channel_link *link = nullptr;
		struct error err;

		EXPECT_EQ(0,
			  channel_link_open(client_, loopback, port, on_reply, this, &link, &err));
		return link;
	}

	bool run_until(const std::function<bool()> &done)
	{
		uv_timer_t timer;

		uv_timer_init(&loop_, &timer);
		uv_timer_start(
			&timer, [](uv_timer_t *) {}, 1, 1);
		for (int i = 0; i < turns_max && !done(); i++)
			uv_run(&loop_, UV_RUN_ONCE);
		uv_close((uv_handle_t *)&timer, nullptr);
		uv_run(&loop_, UV_RUN_NOWAIT);
		return done();
	}

	uv_loop_t loop_;
	struct channel *server_ = nullptr;
	struct channel *client_ = nullptr;
	std::vector<uint64_t> requests_;
	std::vector<uint64_t> replies_;
};
} // namespace

TEST_F(Channel, BurstLongerThanOneTurnArrivesWholeAndInOrder)
{
	struct channel_link *link = open_link(channel_port(server_));
	const uint64_t burst = 60;

	for (uint64_t i = 0; i < burst; i++) {
		struct message msg = make_ask(i);
		struct error err;

		ASSERT_EQ(0, channel_link_send(link, &msg, &err)) << err.detail;
	}
	ASSERT_TRUE(run_until([&] { return replies_.size() == burst; }));
	for (uint64_t i = 0; i < burst; i++) {
		EXPECT_EQ(i, requests_[i]);
		EXPECT_EQ(i, replies_[i]);
	}
	EXPECT_EQ(channel_bytes_sent(client_), channel_bytes_received(server_));
}

TEST_F(Channel, FullQueueIsATypedErrorNotALoss)
{
	struct channel_link *link = open_link(1); // Nobody listens on port 1.
	struct message msg = make_ask(1);
	struct error err;
	int sent = 0;

	while (channel_link_send(link, &msg, &err) == 0)
		ASSERT_LT(++sent, 100000);
	EXPECT_EQ(ERROR_LIMIT, err.kind);
}

TEST_F(Channel, SendOnAClosedLinkIsATypedError)
{
	struct channel_link *link = open_link(channel_port(server_));
	struct message msg = make_ask(1);
	struct error err;

	channel_link_close(link);
	EXPECT_EQ(-1, channel_link_send(link, &msg, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
}

TEST_F(Channel, ReplyToAGoneConnectionIsATypedError)
{
	struct channel_route route = {5, {0, 1, 2, 3, 4}};
	struct message msg = make_ask(1);
	struct error err;

	EXPECT_EQ(-1, channel_reply(server_, &route, &msg, &err));
	EXPECT_EQ(ERROR_UNREACHABLE, err.kind);
}

TEST_F(Channel, GarbageOnThePortHarmsNobody)
{
	int plain = support::connect_to(channel_port(server_));
	std::string garbage(4096, '\x5a');
	struct channel_link *link;
	struct message msg = make_ask(7);
	struct error err;

	ASSERT_GE(plain, 0);
	ASSERT_GT(send(plain, garbage.data(), garbage.size(), MSG_NOSIGNAL), 0);
	link = open_link(channel_port(server_));
	ASSERT_EQ(0, channel_link_send(link, &msg, &err));
	EXPECT_TRUE(run_until([&] { return replies_.size() == 1; }));
	close(plain);
}
