// The gate of a real node refuses calls that may not be served in its region, whatever its entry
// took for granted: the entry's configuration may be older than the call's regions.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <unistd.h>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/wire/channel.h"
}

using namespace support;

namespace
{
constexpr uint32_t LOOPBACK = 0x7f000001;

// An entry of the test: a channel to one node.
class TestEntry
{
      public:
	explicit TestEntry(const Host &host) : host_(host)
	{
		error err;

		uv_loop_init(&loop_);
		EXPECT_EQ(0, channel_open(&channel_, &loop_, LOOPBACK, 0, on_request, this, &err));
		EXPECT_EQ(0, channel_link_open(channel_, LOOPBACK, host.node->port("node_port"),
					       on_reply, this, &link_, &err));
		incarnation_ =
			(uint64_t)get_json_number(admin(host, "GET", "/v1/status"), "incarnation");
		EXPECT_NE(0u, incarnation_);
	}

	~TestEntry()
	{
		channel_link_close(link_);
		channel_close(channel_);
		uv_run(&loop_, UV_RUN_DEFAULT);
		uv_loop_close(&loop_);
	}

	// Sends a call that may be served in the given regions, and returns its answer.
	message_answer call(const std::vector<std::string> &regions, const std::string &id)
	{
		auto msg = std::make_unique<message>();
		error err;

		memset(msg.get(), 0, sizeof(*msg));
		msg->type = MESSAGE_CALL;
		msg->epoch = 1;
		msg->id.entry = {77, 1};
		msg->id.sequence = ++sequence_;
		msg->call.gate_incarnation = incarnation_;
		strcpy(msg->call.service, "ledger");
		strcpy(msg->call.class_name, "purchase");
		msg->call.time_left_us = 5 * USEC_PER_SEC;
		msg->call.method = bytes("POST");
		msg->call.path = bytes("/ledger/buy");
		msg->call.headers.count = 1;
		msg->call.headers.list[0] = {bytes("x-call"), bytes(id)};
		for (const std::string &region : regions)
			region_set_add(&msg->call.regions, region_id_of(region.c_str()));
		EXPECT_EQ(0, channel_link_send(link_, msg.get(), &err)) << err.detail;
		for (int i = 0; i < 50000 && answers_.count(sequence_) == 0; i++) {
			uv_run(&loop_, UV_RUN_NOWAIT);
			usleep(100);
		}
		EXPECT_EQ(1u, answers_.count(sequence_));
		return answers_[sequence_];
	}

      private:
	static wire_bytes bytes(const std::string &text)
	{
		return {(const uint8_t *)text.data(), (uint32_t)text.size()};
	}

	static wire_bytes bytes(const char *text)
	{
		return {(const uint8_t *)text, (uint32_t)strlen(text)};
	}

	static void on_request(void *, const struct channel_route *, const struct message *)
	{
	}

	static void on_reply(void *user, const struct message *msg)
	{
		if (msg->type == MESSAGE_ANSWER)
			static_cast<TestEntry *>(user)->answers_[msg->id.sequence] = msg->answer;
	}

	const Host &host_;
	uv_loop_t loop_;
	struct channel *channel_ = nullptr;
	struct channel_link *link_ = nullptr;
	uint64_t incarnation_ = 0;
	uint64_t sequence_ = 0;
	std::map<uint64_t, message_answer> answers_;
};
} // namespace

TEST(Region, GateRunsOnlyCallsThatMayBeServedInItsRegion)
{
	Fleet fleet(FleetOptions::small(1));

	fleet.start();
	TestEntry entry(fleet.hosts[0]);
	message_answer any = entry.call({}, "any");
	EXPECT_EQ(any.outcome, OUTCOME_ANSWERED) << any.reason;
	message_answer own = entry.call({"south-island", "north-island"}, "own");
	EXPECT_EQ(own.outcome, OUTCOME_ANSWERED) << own.reason;
	message_answer other = entry.call({"south-island"}, "other");
	EXPECT_EQ(other.outcome, OUTCOME_NOT_RUN);
	EXPECT_EQ(other.reason, REASON_REGION);
	CallStarts starts = read_call_starts(fleet);
	EXPECT_EQ(starts["own"], 1);
	EXPECT_EQ(starts["other"], 0);
	HttpAnswer counters = admin(fleet.hosts[0], "GET", "/v1/counters");
	EXPECT_NE(counters.body.find("gate_misplaced"), std::string::npos);
}
