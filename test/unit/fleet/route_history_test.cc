// Route history: what it tells a peer, and what it can no longer tell.
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/fleet/route_history.h"
}

namespace
{

json_t *object_of(int first, int last, int timeout_ms = 1)
{
	json_t *routes = json_array();

	for (int i = first; i < last; i++)
		json_array_append_new(routes, json_pack("{s:s, s:s, s:i}", "host", "h", "prefix",
							("/" + std::to_string(i) + "/").c_str(),
							"timeout_ms", timeout_ms));
	return json_pack("{s:o}", "routes", routes);
}

class RouteHistory : public ::testing::Test
{
      protected:
	struct route_history history {
	};
	struct error err {
	};

	void TearDown() override
	{
		route_history_clear(&history);
	}

	void record(uint64_t version, json_t *object)
	{
		route_history_record(&history, object, version);
		json_decref(object);
	}

	size_t count(const char *list, uint64_t after)
	{
		json_t *object = json_object();
		json_t *changes = route_history_changes(&history, object, after);
		size_t size = json_array_size(json_object_get(changes, list));

		json_decref(object);
		json_decref(changes);
		return size;
	}
};

} // namespace

TEST_F(RouteHistory, TellsWhatWasChangedAddedAndRemovedAfterAVersion)
{
	record(5, object_of(0, 10));
	record(7, object_of(2, 12));
	EXPECT_TRUE(route_history_covers(&history, 5));
	EXPECT_FALSE(route_history_covers(&history, 4));
	EXPECT_EQ(count("routes", 5), 2u);
	EXPECT_EQ(count("removed", 5), 2u);
	EXPECT_EQ(count("routes", 7), 0u);
	record(9, object_of(0, 12, 2));
	EXPECT_EQ(count("routes", 7), 12u);
	EXPECT_EQ(count("removed", 5), 0u) << "the removed routes exist again";
}

TEST_F(RouteHistory, ForgottenRemovalsAreNotCovered)
{
	record(1, object_of(0, ROUTES_REMOVED_MAX));
	record(2, object_of(1, ROUTES_REMOVED_MAX));
	record(3, object_of(0, 0));
	EXPECT_TRUE(route_history_covers(&history, 1));
	record(4, object_of(0, 2));
	record(5, object_of(5000, 5001));
	record(6, object_of(6000, 6001));
	record(7, object_of(7000, 7001));
	EXPECT_FALSE(route_history_covers(&history, 1));
	EXPECT_TRUE(route_history_covers(&history, 6));
}

TEST_F(RouteHistory, ChangesThatLeadToOtherRoutesAreRefused)
{
	struct route_history peer {
	};
	json_t *theirs = object_of(0, 4, 2);

	record(1, object_of(0, 3));
	route_history_record(&peer, theirs, 1);
	json_t *changes = route_history_changes(&peer, theirs, 1);

	EXPECT_EQ(route_history_apply(&history, changes, &err), nullptr);
	EXPECT_EQ(err.kind, ERROR_VERSION);
	json_decref(changes);
	json_decref(theirs);
	route_history_clear(&peer);
}

TEST_F(RouteHistory, MalformedChangesAreRefused)
{
	record(1, object_of(0, 3));
	for (const char *text : {"{}", R"({"digest":"1"})", R"({"digest":1,"routes":7})",
				 R"({"digest":1,"removed":[7],"routes":[null]})"}) {
		json_t *changes = json_loads(text, 0, nullptr);

		EXPECT_EQ(route_history_apply(&history, changes, &err), nullptr) << text;
		json_decref(changes);
	}
}
