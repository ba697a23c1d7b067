// The questions to the store by which a node proves its keys current: what counts as an answer,
// when the store was changed meanwhile, lost its history, answers late, or its watches hear
// nothing.
#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <string>
#include <unistd.h>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemilld/node/key_proof_shell.h"
}

namespace
{

constexpr uint32_t REVOKE_MS = 400; // 380 ms with the margin
constexpr int WATCHER_WAIT_MS = 1000;

struct Call {
	platform_call_type type;
	uint64_t version;
	std::string after_name;
	platform_done_fn done;
	void *user;
};

// A store whose calls the test answers.
struct FakeStore {
	struct platform base; // first member: a pointer to it is one to the store
	platform_ops ops;
	std::deque<Call> calls;

	FakeStore()
	{
		ops.start = [](struct platform *store, const platform_request *request,
			       platform_done_fn done, void *user) {
			((FakeStore *)store)
				->calls.push_back({request->type, request->version,
						   request->after_name ? request->after_name : "",
						   done, user});
		};
		ops.close = nullptr;
		base.ops = &ops;
		base.crosses_link = false;
	}

	Call take()
	{
		EXPECT_FALSE(calls.empty());
		Call call = calls.front();

		calls.pop_front();
		return call;
	}
	static void answer(const Call &call, uint64_t version, const std::string &items = "")
	{
		std::string body =
			R"({"version":)" + std::to_string(version) + R"(,"items":[)" + items + "]}";
		platform_result result = {};

		result.version = version;
		result.body = body.c_str();
		result.body_size = body.size();
		call.done(call.user, &result);
	}
	static void fail(const Call &call, error_kind kind)
	{
		platform_result result = {};

		error_set(&result.err, kind, "test");
		call.done(call.user, &result);
	}
};

std::string customers(uint64_t version, const std::string &keys)
{
	return R"({"name":"main","version":)" + std::to_string(version) + R"(,"value":{"number":)" +
	       std::to_string(version) +
	       R"(,"routes":[],"services":[],"customers":[{"name":"shop","keys":)" + keys + "}]}}";
}

class KeyProofShell : public ::testing::Test
{
      protected:
	FakeStore store;
	config_store *config = nullptr;
	member_table *members = nullptr;
	budget bud{};
	gossip *gsp = nullptr;
	key_proof_shell *shell = nullptr;

	void SetUp() override
	{
		member self = {};
		gossip_io io = {};
		key_proof_options options = {};

		strcpy(self.name, "self");
		strcpy(self.domain, "d");
		self.identity = {member_id_of("self"), 1};
		self.state = MEMBER_ALIVE;
		io.send = [](void *, uint32_t, uint16_t, const uint8_t *, size_t) {};
		config_open(&config, 1, nullptr);
		member_table_open(&members, nullptr);
		budget_init(&bud, 1000000, 1000000, 1);
		gossip_open(&gsp, &self, members, &bud, &io, 1, clock_monotonic_us(), nullptr);
		options.revoke_ms = REVOKE_MS;
		options.store = &store.base;
		options.config = config;
		options.gossip = gsp;
		options.members = members;
		options.domain = "d";
		options.seed = 1;
		ASSERT_EQ(0, key_proof_shell_open(&shell, &options, nullptr));
	}
	void TearDown() override
	{
		key_proof_shell_close(shell);
		while (!store.calls.empty())
			FakeStore::fail(store.take(), ERROR_STATE);
		free(shell);
		gossip_close(gsp);
		member_table_close(members);
		config_close(config);
	}

	// Applies the answer to a list or a watch of the list-and-watch.
	void apply(uint64_t from, uint64_t version, const std::string &items)
	{
		std::string batch =
			R"({"version":)" + std::to_string(version) + R"(,"items":[)" + items + "]}";

		ASSERT_EQ(0, config_apply_batch(config, from, batch.data(), batch.size(), nullptr));
	}
	bool is_fresh()
	{
		return key_proof_shell_is_fresh(shell);
	}
	bool knows(const std::string &key)
	{
		return customer_find_by_key(&config_routing(config)->customers, key.data(),
					    key.size()) != nullptr;
	}
};

TEST_F(KeyProofShell, WithoutCustomersNothingIsAskedAndNothingTold)
{
	key_proof_item item;

	apply(0, 5, "");
	key_proof_shell_tick(shell, true);
	EXPECT_TRUE(store.calls.empty());
	EXPECT_TRUE(is_fresh());
	key_proof_shell_answered(shell, true, clock_boottime_us());
	key_proof_shell_tell(shell, &item);
	EXPECT_FALSE(item.is_set);
}

TEST_F(KeyProofShell, AWatcherAsksBySmallListsAndEachAnswerProves)
{
	key_proof_item item;

	apply(0, 5, customers(5, R"(["k1"])"));
	EXPECT_FALSE(is_fresh());
	key_proof_shell_tick(shell, true);
	key_proof_shell_tick(shell, true);
	ASSERT_EQ(1u, store.calls.size());
	Call call = store.take();
	EXPECT_EQ(PLATFORM_LIST, call.type);
	EXPECT_EQ("~", call.after_name);
	FakeStore::answer(call, 5);
	EXPECT_TRUE(is_fresh());
	key_proof_shell_tell(shell, &item);
	EXPECT_TRUE(item.is_set);
	EXPECT_EQ(5u, item.version);
	usleep(REVOKE_MS * 1000);
	EXPECT_FALSE(is_fresh());
	usleep((WATCHER_WAIT_MS - REVOKE_MS) * 1000);
	key_proof_shell_tick(shell, true);
	EXPECT_EQ(1u, store.calls.size());
}

// Guards against a list that was answered before the removal came into force here.
TEST_F(KeyProofShell, AStoreThatIsAheadProvesNothingUntilItsChangesAreHere)
{
	apply(0, 5, customers(5, R"(["k1","k2"])"));
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	EXPECT_FALSE(is_fresh());
	ASSERT_EQ(1u, store.calls.size());
	Call watch = store.take();
	EXPECT_EQ(PLATFORM_WATCH, watch.type);
	EXPECT_EQ(5u, watch.version);
	FakeStore::answer(watch, 9, customers(8, R"(["k2"])"));
	EXPECT_TRUE(is_fresh());
	EXPECT_FALSE(knows("k1"));
}

// Other objects were written: the configuration is the same.
TEST_F(KeyProofShell, AnEmptyWatchThatReachesTheStoresVersionProves)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	FakeStore::answer(store.take(), 9);
	EXPECT_TRUE(is_fresh());
	EXPECT_EQ(5u, config_version(config));
}

// A watch that hears nothing: its answer is empty and of an earlier version, or it is cut.
TEST_F(KeyProofShell, AWatchThatHearsNothingProvesNothing)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	FakeStore::answer(store.take(), 8);
	EXPECT_FALSE(is_fresh());
	usleep(WATCHER_WAIT_MS * 1000);
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	FakeStore::fail(store.take(), ERROR_UNREACHABLE);
	EXPECT_FALSE(is_fresh());
	// The answer to a watch of the list-and-watch proves nothing either.
	apply(8, 9, "");
	key_proof_shell_answered(shell, false, clock_boottime_us());
	EXPECT_FALSE(is_fresh());
}

TEST_F(KeyProofShell, AStoreWithoutTheHistoryIsAskedForAllObjects)
{
	apply(0, 5, customers(5, R"(["k1","k2"])"));
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	FakeStore::fail(store.take(), ERROR_VERSION);
	Call list = store.take();
	EXPECT_EQ(PLATFORM_LIST, list.type);
	EXPECT_EQ("", list.after_name);
	FakeStore::answer(list, 9, customers(8, R"(["k2"])"));
	EXPECT_TRUE(is_fresh());
	EXPECT_FALSE(knows("k1"));
}

// Guards against a proof that is counted from the receipt of a late answer.
TEST_F(KeyProofShell, AnAnswerThatIsOlderThanTheBoundProvesNothing)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	key_proof_shell_tick(shell, true);
	Call call = store.take();
	usleep((REVOKE_MS + 20) * 1000);
	FakeStore::answer(call, 5);
	EXPECT_FALSE(is_fresh());
}

// After a pause the configuration must be read again: an answer from before must not make it ready.
TEST_F(KeyProofShell, ChangesThatWereAskedForBeforeAPauseAreDropped)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.take(), 9);
	config_mark_stale(config);
	FakeStore::answer(store.take(), 9);
	EXPECT_FALSE(config_is_ready(config));
	EXPECT_FALSE(is_fresh());
}

TEST_F(KeyProofShell, QuestionsThatHangDoNotHoldUpLaterOnesAndAreBounded)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	for (int i = 0; i < 6; i++) {
		key_proof_shell_tick(shell, true);
		usleep(WATCHER_WAIT_MS * 1000);
	}
	EXPECT_EQ(4u, store.calls.size());
	FakeStore::answer(store.calls.back(), 5);
	store.calls.pop_back();
	EXPECT_FALSE(is_fresh()); // it is 2 s old
	key_proof_shell_tick(shell, true);
	FakeStore::answer(store.calls.back(), 5);
	store.calls.pop_back();
	EXPECT_TRUE(is_fresh());
}

// A node that does not watch asks only when its proof has become old, and after a random wait.
TEST_F(KeyProofShell, ANodeThatDoesNotWatchAsksOnlyWithAnOldProof)
{
	apply(0, 5, customers(5, R"(["k1"])"));
	key_proof_shell_answered(shell, true, clock_boottime_us());
	EXPECT_TRUE(is_fresh());
	key_proof_shell_tick(shell, false);
	EXPECT_TRUE(store.calls.empty());
	usleep(REVOKE_MS * 1000);
	key_proof_shell_tick(shell, false);
	EXPECT_TRUE(store.calls.empty());
	for (int i = 0; i < 20 && store.calls.empty(); i++) {
		usleep(100000);
		key_proof_shell_tick(shell, false);
	}
	ASSERT_EQ(1u, store.calls.size());
	FakeStore::answer(store.take(), 5);
	EXPECT_TRUE(is_fresh());
}

// The claim of a peer about a later version has the node pull that version.
TEST_F(KeyProofShell, AProofOfALaterVersionCountsAfterThePull)
{
	key_proof_item item = {true, 10, 9};

	apply(0, 5, customers(5, R"(["k1","k2"])"));
	key_proof_shell_hear(shell, &item, KEY_PROOF_ANSWER, clock_boottime_us());
	EXPECT_FALSE(is_fresh());
	EXPECT_TRUE(config_is_behind(config));
	apply(5, 9, customers(9, R"(["k2"])"));
	EXPECT_TRUE(is_fresh());
}

} // namespace
