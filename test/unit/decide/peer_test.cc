// State of an entry's link to a gate: pings, silence, lost connections.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/chart/chart.h"
#include "fescuemill/decide/peer.h"
}

namespace
{
const peer_settings settings = {100, 150, 10000, 1000000};
uint32_t connections;

peer open_peer()
{
	peer peer;
	error err;

	EXPECT_EQ(0, charts_load(&err)) << err.detail;
	connections = 0;
	peer_init(&peer, LINK_BULK, &connections);
	EXPECT_EQ(PEER_REPLACE, peer_before_use(&peer, &settings, 0));
	EXPECT_EQ(link_epoch(LINK_BULK, 1), peer_opened(&peer, 0));
	return peer;
}
} // namespace

// Guards against calls that a gate takes for those of an older connection: an entry drops its link
// to a gate that it believes dead, and opens a new one to the same process.
TEST(Peer, EpochsGrowOverAllLinks)
{
	peer first = open_peer();
	peer again;
	peer calls;

	peer_opened(&first, 100);
	peer_init(&again, LINK_BULK, &connections);
	EXPECT_GT(peer_opened(&again, 200), first.epoch);
	peer_init(&calls, LINK_CALLS, &connections);
	peer_opened(&calls, 300);
	EXPECT_EQ(LINK_CALLS, link_kind_of(calls.epoch));
	EXPECT_GT(calls.epoch / LINK_KIND_COUNT, again.epoch / LINK_KIND_COUNT);
}

TEST(Peer, IdleLinkIsNotPinged)
{
	peer peer = open_peer();

	EXPECT_EQ(UINT64_MAX, peer_next_due_us(&peer, &settings));
	EXPECT_EQ(PEER_NOTHING, peer_tick(&peer, &settings, 9999));
}

TEST(Peer, SilenceWithAnswerDueSendsPingThenReplaces)
{
	peer peer = open_peer();

	peer_attempt_sent(&peer, 50);
	EXPECT_EQ(150U, peer_next_due_us(&peer, &settings));
	EXPECT_EQ(PEER_NOTHING, peer_tick(&peer, &settings, 149));
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 150));
	EXPECT_EQ(PEER_NOTHING, peer_tick(&peer, &settings, 299));
	EXPECT_EQ(PEER_REPLACE, peer_tick(&peer, &settings, 300));
	EXPECT_EQ(link_epoch(LINK_BULK, 2), peer_opened(&peer, 300));
	EXPECT_EQ(PEER_NOTHING, peer_tick(&peer, &settings, 399));
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 400));
}

TEST(Peer, AnyMessageEndsThePing)
{
	peer peer = open_peer();

	peer_attempt_sent(&peer, 0);
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 100));
	peer_message_received(&peer, 120);
	EXPECT_EQ(220U, peer_next_due_us(&peer, &settings));
	peer_attempt_done(&peer);
	EXPECT_EQ(UINT64_MAX, peer_next_due_us(&peer, &settings));
}

TEST(Peer, PausedEntryPingsAgainBeforeItReplaces)
{
	peer peer = open_peer();

	peer_attempt_sent(&peer, 0);
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 100));
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 5000));
	EXPECT_EQ(PEER_REPLACE, peer_tick(&peer, &settings, 5150));
}

TEST(Peer, LinkUnusedForLongIsReplacedBeforeUse)
{
	peer peer = open_peer();

	EXPECT_EQ(PEER_NOTHING, peer_before_use(&peer, &settings, 9999));
	EXPECT_EQ(PEER_REPLACE, peer_before_use(&peer, &settings, 10000));
	peer_attempt_sent(&peer, 100);
	EXPECT_EQ(PEER_NOTHING, peer_before_use(&peer, &settings, 10100));
	peer_closed(&peer);
	EXPECT_EQ(PEER_REPLACE, peer_before_use(&peer, &settings, 200));
}

TEST(Peer, LargeBodyInProgressExtendsPingTimeout)
{
	peer peer = open_peer();

	peer_attempt_sent(&peer, 0);
	peer_add_transfer(&peer, &settings, 2000); // 2000 us at 1 MB/s
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 100));
	EXPECT_EQ(PEER_NOTHING, peer_tick(&peer, &settings, 2249));
	EXPECT_EQ(PEER_REPLACE, peer_tick(&peer, &settings, 2250));
	peer_attempt_done(&peer);
	peer_opened(&peer, 3000);
	peer_attempt_sent(&peer, 3000);
	EXPECT_EQ(PEER_PING, peer_tick(&peer, &settings, 3100));
	EXPECT_EQ(PEER_REPLACE, peer_tick(&peer, &settings, 3250));
}

TEST(Peer, RepeatedSilentConnectionsMakeGateUnreachable)
{
	peer peer = open_peer();

	EXPECT_FALSE(peer_is_unreachable(&peer));
	peer_opened(&peer, 100);
	EXPECT_FALSE(peer_is_unreachable(&peer));
	peer_opened(&peer, 200);
	EXPECT_TRUE(peer_is_unreachable(&peer));
	peer_message_received(&peer, 300);
	EXPECT_FALSE(peer_is_unreachable(&peer));
}

// When all connections of a fleet were reset at once, their sockets accepted no messages. No answer
// was due, so no link was replaced, and 90 of 100 calls were refused for the rest of the day.
TEST(Peer, LostConnectionIsReplacedWithNoAnswerDue)
{
	peer peer = open_peer();

	peer_message_received(&peer, 10);
	EXPECT_EQ(PEER_REPLACE, peer_connection_lost(&peer));
	peer_opened(&peer, 20);
	EXPECT_TRUE(peer_is_unconfirmed(&peer));
	peer_message_received(&peer, 30);
	EXPECT_FALSE(peer_is_unconfirmed(&peer));
}

// If the gate's process has ended, new connections are refused. They must not be opened in a loop.
TEST(Peer, ConnectionLostAgainBeforeAnyMessageIsNotReplaced)
{
	peer peer = open_peer();

	peer_message_received(&peer, 10);
	EXPECT_EQ(PEER_REPLACE, peer_connection_lost(&peer));
	peer_opened(&peer, 20);
	EXPECT_EQ(PEER_NOTHING, peer_connection_lost(&peer));
	EXPECT_TRUE(peer_is_unconfirmed(&peer));
}

// A full queue accepts no message either, but messages from the gate show that it is being drained.
TEST(Peer, SocketBlockedForLongWithoutMessagesNeedsReconnect)
{
	peer peer = open_peer();

	peer_message_received(&peer, 10);
	EXPECT_FALSE(peer_needs_reconnect(&peer, &settings, 1000));
	peer_send_blocked(&peer, 1000);
	peer_send_blocked(&peer, 1050);
	EXPECT_FALSE(peer_needs_reconnect(&peer, &settings, 1099));
	EXPECT_TRUE(peer_needs_reconnect(&peer, &settings, 1100));
	peer_message_received(&peer, 1080);
	EXPECT_FALSE(peer_needs_reconnect(&peer, &settings, 1100));
}

TEST(Peer, UnconfirmedLinkReconnectsUntilTheGateAnswers)
{
	peer peer = open_peer();
	const uint64_t again = settings.ping_after_us + settings.ping_timeout_us;

	peer_message_received(&peer, 10);
	EXPECT_EQ(PEER_REPLACE, peer_connection_lost(&peer));
	peer_opened(&peer, 20);
	EXPECT_FALSE(peer_needs_reconnect(&peer, &settings, 20 + again - 1));
	EXPECT_TRUE(peer_needs_reconnect(&peer, &settings, 20 + again));
	peer_opened(&peer, 20 + again);
	EXPECT_TRUE(peer_is_unconfirmed(&peer));
	EXPECT_TRUE(peer_needs_reconnect(&peer, &settings, 20 + 2 * again));
	peer_message_received(&peer, 20 + 2 * again);
	EXPECT_FALSE(peer_needs_reconnect(&peer, &settings, 20 + 3 * again));
}

TEST(Peer, ClosedLinkIgnoresConnectionLoss)
{
	peer peer = open_peer();

	peer_closed(&peer);
	EXPECT_EQ(PEER_NOTHING, peer_connection_lost(&peer));
	EXPECT_FALSE(peer_is_unconfirmed(&peer));
}
