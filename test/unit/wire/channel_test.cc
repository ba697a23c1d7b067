// Tests of the channel over loopback: complete delivery in both directions, typed errors, lost
// connections, garbage on the port.
#include "support/connect.h"

#include <atomic>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <poll.h>
#include <string>
#include <thread>
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

// A loop with two channels. The server answers each request with a PENDING of the same sequence.
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

	static void on_lost(void *user)
	{
		((Channel *)user)->lost_++;
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
	int lost_ = 0;
};

// A TCP relay for one connection that resets it on demand.
class Relay
{
      public:
	explicit Relay(uint16_t target)
	{
		port = support::listen_on_loopback(listener_, 1);
		EXPECT_NE(0, port);
		thread_ = std::thread([this, target] { run(target); });
	}
	~Relay()
	{
		stopped_ = true;
		thread_.join();
		close(listener_);
	}

	void reset()
	{
		stopped_ = true;
	}

	uint16_t port = 0;

      private:
	void run(uint16_t target)
	{
		const linger at_once = {1, 0};
		pollfd ends[2] = {{accept(listener_, nullptr, nullptr), POLLIN, 0},
				  {support::connect_to(target), POLLIN, 0}};
		char bytes[4096];

		while (!stopped_ && poll(ends, 2, 10) >= 0) {
			for (int i = 0; i < 2; i++) {
				ssize_t size = 0;

				if (ends[i].revents & POLLIN)
					size = recv(ends[i].fd, bytes, sizeof(bytes), 0);
				if (size > 0)
					send(ends[1 - i].fd, bytes, (size_t)size, MSG_NOSIGNAL);
			}
		}
		for (pollfd &end : ends) {
			setsockopt(end.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
			close(end.fd);
		}
	}

	int listener_ = socket(AF_INET, SOCK_STREAM, 0);
	std::atomic<bool> stopped_{false};
	std::thread thread_;
};
} // namespace

TEST_F(Channel, BurstArrivesCompleteAndInOrder)
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

TEST_F(Channel, SendToAFullQueueReturnsALimitError)
{
	struct channel_link *link = open_link(1); // Nobody listens on port 1.
	struct message msg = make_ask(1);
	struct error err;
	int sent = 0;

	while (channel_link_send(link, &msg, &err) == 0)
		ASSERT_LT(++sent, 100000);
	EXPECT_EQ(ERROR_LIMIT, err.kind);
}

TEST_F(Channel, ResetConnectionIsReportedAsLostWithoutASend)
{
	Relay relay(channel_port(server_));
	struct channel_link *link = open_link(relay.port);
	struct message msg = make_ask(1);
	struct error err;

	channel_link_set_lost_callback(link, on_lost);
	ASSERT_EQ(0, channel_link_send(link, &msg, &err));
	ASSERT_TRUE(run_until([&] { return replies_.size() == 1; }));
	EXPECT_EQ(0, lost_);
	relay.reset();
	EXPECT_TRUE(run_until([&] { return lost_ == 1; }));
	EXPECT_EQ(-1, channel_link_send(link, &msg, &err));
}

TEST_F(Channel, ConnectionInUseIsNotReportedAsLost)
{
	struct channel_link *link = open_link(channel_port(server_));
	const uint64_t calls = 2000;
	// More than the queue of a link, and less than the reply queue of the other end.
	const uint64_t outstanding_max = 200;

	channel_link_set_lost_callback(link, on_lost);
	for (uint64_t i = 0; i < calls;) {
		struct message msg = make_ask(i);
		struct error err;

		if (i < replies_.size() + outstanding_max &&
		    channel_link_send(link, &msg, &err) == 0)
			i++;
		else
			uv_run(&loop_, UV_RUN_NOWAIT);
	}
	ASSERT_TRUE(run_until([&] { return replies_.size() == calls; }));
	EXPECT_EQ(0, lost_);
}

TEST_F(Channel, SendOnAClosedLinkReturnsAStateError)
{
	struct channel_link *link = open_link(channel_port(server_));
	struct message msg = make_ask(1);
	struct error err;

	channel_link_close(link);
	EXPECT_EQ(-1, channel_link_send(link, &msg, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
}

TEST_F(Channel, ReplyToALostConnectionReturnsUnreachable)
{
	struct channel_route route = {5, {0, 1, 2, 3, 4}};
	struct message msg = make_ask(1);
	struct error err;

	EXPECT_EQ(-1, channel_reply(server_, &route, &msg, &err));
	EXPECT_EQ(ERROR_UNREACHABLE, err.kind);
}

TEST_F(Channel, GarbageOnThePortDoesNotAffectOtherConnections)
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
