// Unit tests of the member table: which update is newer, both indexes, choice by rendezvous
// hashing.
#include <cstring>
#include <gtest/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "fescuemill/fleet/member.h"
}

static member make(const std::string &name, const std::string &service = "ledger",
		   uint64_t incarnation = 1, uint32_t revision = 1)
{
	member m = {};

	strcpy(m.name, name.c_str());
	strcpy(m.service, service.c_str());
	strcpy(m.domain, "north-a");
	m.identity = {member_id_of(name.c_str()), incarnation};
	m.revision = revision;
	return m;
}

class MemberTable : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(0, member_table_open(&table, nullptr));
	}
	void TearDown() override
	{
		member_table_close(table);
	}

	std::set<std::string> names_of(const char *service)
	{
		std::set<std::string> names;

		for (const member *m = nullptr; (m = member_next_of_service(table, service, m));)
			names.insert(m->name);
		return names;
	}

	member_table *table = nullptr;
};

TEST_F(MemberTable, UpdatesAreOrderedByIncarnationThenRevisionThenState)
{
	member m = make("a", "ledger", 5, 5);

	EXPECT_EQ(MEMBER_ADDED, member_upsert(table, &m));
	EXPECT_EQ(MEMBER_UNCHANGED, member_upsert(table, &m));
	m.state = MEMBER_SUSPECT;
	EXPECT_EQ(MEMBER_UPDATED, member_upsert(table, &m));
	m.state = MEMBER_ALIVE;
	EXPECT_EQ(MEMBER_UNCHANGED, member_upsert(table, &m));
	m.revision = 6;
	EXPECT_EQ(MEMBER_UPDATED, member_upsert(table, &m));
	m.identity.incarnation = 4;
	m.revision = 9;
	EXPECT_EQ(MEMBER_UNCHANGED, member_upsert(table, &m));
	EXPECT_EQ(MEMBER_ALIVE, member_find(table, m.identity.node_id)->state);
	EXPECT_EQ(6U, member_find(table, m.identity.node_id)->revision);
}

TEST_F(MemberTable, ChangedServiceMovesMemberInServiceIndex)
{
	member m = make("a", "ledger");

	member_upsert(table, &m);
	strcpy(m.service, "assay");
	m.revision++;
	member_upsert(table, &m);
	EXPECT_TRUE(names_of("ledger").empty());
	EXPECT_EQ(std::set<std::string>{"a"}, names_of("assay"));
}

TEST_F(MemberTable, FullTableRefusesNewMemberAndKeepsItsMembers)
{
	for (int i = 0; i < FLEET_MEMBERS_MAX; i++) {
		member m = make("n" + std::to_string(i), "s" + std::to_string(i % 150));

		ASSERT_EQ(MEMBER_ADDED, member_upsert(table, &m));
	}
	member extra = make("extra");

	EXPECT_EQ(MEMBER_REFUSED, member_upsert(table, &extra));
	EXPECT_EQ((size_t)FLEET_MEMBERS_MAX, member_count(table));
	EXPECT_EQ((size_t)FLEET_MEMBERS_MAX / 150, member_count_service(table, "s149"));
}

TEST_F(MemberTable, RemovalKeepsBothIndexesConsistent)
{
	const int count = 2000;

	for (int i = 0; i < count; i++) {
		member m = make("n" + std::to_string(i), i % 2 ? "odd" : "even");

		member_upsert(table, &m);
	}
	for (int i = 0; i < count; i += 3)
		EXPECT_TRUE(member_remove(table, member_id_of(("n" + std::to_string(i)).c_str())));
	std::set<std::string> odd = names_of("odd");

	for (int i = 0; i < count; i++) {
		std::string name = "n" + std::to_string(i);
		const member *found = member_find(table, member_id_of(name.c_str()));

		ASSERT_EQ(i % 3 != 0, found != nullptr) << name;
		ASSERT_EQ(i % 3 != 0 && i % 2, odd.count(name) == 1) << name;
		if (found) {
			ASSERT_EQ(name, found->name);
		}
	}
	EXPECT_FALSE(member_remove(table, member_id_of("n0")));
}

TEST_F(MemberTable, InvalidMembersAreRefused)
{
	member m = make("a");

	m.identity.node_id = 0;
	EXPECT_EQ(MEMBER_REFUSED, member_upsert(table, &m));
	m = make("a");
	m.state = MEMBER_STATE_COUNT;
	EXPECT_EQ(MEMBER_REFUSED, member_upsert(table, &m));
}

TEST_F(MemberTable, ChoosesTheWantedNumberAndReplacesADeadMember)
{
	auto chosen = [&] {
		std::set<std::string> names;

		for (size_t i = 0; i < member_count(table); i++) {
			if (member_is_chosen(table, member_at(table, i), "service", 2))
				names.insert(member_at(table, i)->name);
		}
		return names;
	};

	for (int i = 0; i < 180; i++) {
		member m = make("n" + std::to_string(i));

		member_upsert(table, &m);
	}
	std::set<std::string> before = chosen();

	ASSERT_EQ(2U, before.size());
	member dead = *member_find(table, member_id_of(before.begin()->c_str()));

	dead.state = MEMBER_DEAD;
	member_upsert(table, &dead);
	EXPECT_EQ(2U, chosen().size());
	EXPECT_EQ(0U, chosen().count(dead.name));
	EXPECT_EQ(1U, chosen().count(*before.rbegin()));
}

TEST_F(MemberTable, ChoiceIgnoresMembersOfOtherFailureDomains)
{
	member self = make("self");

	for (int i = 0; i < 50; i++) {
		member m = make("n" + std::to_string(i));

		strcpy(m.domain, "south-a");
		member_upsert(table, &m);
	}
	EXPECT_TRUE(member_is_chosen(table, &self, "service", 1));
	self.state = MEMBER_LEAVING;
	EXPECT_FALSE(member_is_chosen(table, &self, "service", 1));
}
