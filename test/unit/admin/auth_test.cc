// Keys of the administration API: the team of a key, the rights of a team, and rate limits.
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>

extern "C" {
#include "fescuemill/admin/auth.h"
}

static const uint64_t second_us = 1000000;
static const std::string ledger_key = "key-of-the-ledger-team";
static const std::string assay_key = "key-of-the-assay-team-";

class Auth : public testing::Test
{
      protected:
	void SetUp() override
	{
		add_key("ledger-team", ledger_key);
		add_key("assay-team", assay_key);
		s->team_rights_count = 3;
		s->team_rights[0] = {"ledger-team", 1, {"ledger"}};
		s->team_rights[1] = {"assay-team", 1, {"assay"}};
		s->team_rights[2] = {"operators", 1, {"*"}};
		auth_init(&auth, s.get(), now);
	}

	void add_key(const char *team, const std::string &key)
	{
		admin_key *entry = &s->admin_keys[s->admin_key_count++];

		strcpy(entry->team, team);
		strcpy(entry->key, key.c_str());
	}

	error_kind check(const std::string &key)
	{
		error err = {};

		team = "";
		auth_check(&auth, key.data(), key.size(), now, &team, &err);
		return err.kind;
	}

	std::unique_ptr<settings> s = std::make_unique<settings>();
	struct auth auth;
	uint64_t now = 100 * second_us;
	const char *team = "";
};

TEST_F(Auth, AKeyIdentifiesItsTeam)
{
	EXPECT_EQ(ERROR_NONE, check(ledger_key));
	EXPECT_STREQ("ledger-team", team);
	EXPECT_EQ(ERROR_NONE, check(assay_key));
	EXPECT_STREQ("assay-team", team);
}

TEST_F(Auth, WrongAndMissingKeysAreDenied)
{
	error err = {};

	EXPECT_EQ(-1, auth_check(&auth, nullptr, 0, now, &team, &err));
	EXPECT_EQ(ERROR_DENIED, err.kind);
	for (const std::string &key :
	     {std::string(""), std::string("x"), ledger_key.substr(0, ledger_key.size() - 1),
	      ledger_key + "x", "x" + ledger_key.substr(1), std::string(ADMIN_KEY_BYTES, 'x'),
	      ledger_key + std::string(ADMIN_KEY_BYTES, '\0')}) {
		now += second_us;
		EXPECT_EQ(ERROR_DENIED, check(key)) << key;
		EXPECT_STREQ("", team);
	}
}

// All keys are compared even after a match, to keep the time constant. So of two equal keys the
// last one determines the team.
TEST_F(Auth, AllKeysAreComparedEvenAfterAMatch)
{
	add_key("operators", ledger_key);
	EXPECT_EQ(ERROR_NONE, check(ledger_key));
	EXPECT_STREQ("operators", team);
}

TEST_F(Auth, ATeamMayOnlyUseServicesInItsRights)
{
	EXPECT_TRUE(auth_may_create(&auth, "ledger-team", "ledger"));
	EXPECT_FALSE(auth_may_create(&auth, "ledger-team", "assay"));
	EXPECT_FALSE(auth_may_create(&auth, "ledger-team", "*"));
	EXPECT_TRUE(auth_may_create(&auth, "operators", "assay"));
	EXPECT_FALSE(auth_may_create(&auth, "nobody", "ledger"));
	EXPECT_TRUE(auth_may_operate(&auth, "ledger-team", "ledger"));
	EXPECT_FALSE(auth_may_operate(&auth, "ledger-team", "assay"));
	EXPECT_FALSE(auth_may_operate(&auth, "ledger-team", ""));
	EXPECT_TRUE(auth_may_operate(&auth, "operators", ""));
}

TEST_F(Auth, TheRateLimitOfATeamDoesNotAffectOtherTeams)
{
	for (int i = 0; i < (int)AUTH_REQUESTS_BURST; i++)
		EXPECT_EQ(ERROR_NONE, check(ledger_key));
	EXPECT_EQ(ERROR_LIMIT, check(ledger_key));
	EXPECT_EQ(ERROR_NONE, check(assay_key));
	now += second_us;
	for (int i = 0; i < (int)AUTH_REQUESTS_PER_S; i++)
		EXPECT_EQ(ERROR_NONE, check(ledger_key));
	EXPECT_EQ(ERROR_LIMIT, check(ledger_key));
}

TEST_F(Auth, TheRateLimitOfWrongKeysDoesNotAffectTeams)
{
	for (int i = 0; i < (int)AUTH_BAD_KEYS_BURST; i++)
		EXPECT_EQ(ERROR_DENIED, check("guess-" + std::to_string(i)));
	EXPECT_EQ(ERROR_LIMIT, check("guess"));
	EXPECT_EQ(ERROR_NONE, check(ledger_key));
	now += second_us;
	EXPECT_EQ(ERROR_DENIED, check("guess"));
}
