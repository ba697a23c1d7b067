// Edits by operators: which are rejected with which error, and that a rejected edit changes
// nothing.
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>

extern "C" {
#include "fescuemill/admin/edit.h"
}

static const uint64_t base_version = 7;

class Edit : public testing::Test
{
      protected:
	void SetUp() override
	{
		s->team_rights_count = 1;
		s->team_rights[0] = {"ledger-team", 1, {"ledger"}};
		auth_init(&auth, s.get(), 1);
		strcpy(base->config.service, "ledger");
		strcpy(base->team, "ledger-team");
		add_class("purchase");
		add_class("balance");
		base->change_count = 1;
		base->changes[0] = {"00000000000000000000000000000001", "anna", 1234};
		*before = *base;
	}

	void add_class(const std::string &name)
	{
		class_target *target = &base->config.classes[base->config.class_count++];

		strcpy(target->name, name.c_str());
		*target = {{}, 1, 50000, 990, 100};
		strcpy(target->name, name.c_str());
	}

	static edit make(edit_type type, uint64_t if_version = base_version)
	{
		edit e = {};

		e.type = type;
		strcpy(e.service, "ledger");
		strcpy(e.team, "ledger-team");
		e.if_version = if_version;
		e.change = {"00000000000000000000000000000002", "bert", 5678};
		return e;
	}

	static edit put_class(const std::string &name)
	{
		edit e = make(EDIT_PUT_CLASS);
		std::string json =
			R"({"rank":0,"latency_ms":20,"percentile":99.0,"calls_per_s":9})";

		EXPECT_EQ(0, edit_read_class(&e, name.c_str(), json.data(), json.size(), nullptr));
		return e;
	}

	static edit delete_class(const char *name)
	{
		edit e = make(EDIT_DELETE_CLASS);

		strcpy(e.name, name);
		return e;
	}

	error_kind apply(const edit &e, bool has_base = true)
	{
		err = {};
		edit_apply(&e, &auth, has_base ? base.get() : nullptr, has_base ? base_version : 0,
			   next.get(), &err);
		EXPECT_EQ(0, memcmp(before.get(), base.get(), sizeof(*base)));
		return err.kind;
	}

	std::unique_ptr<settings> s = std::make_unique<settings>();
	std::unique_ptr<service_object> base = std::make_unique<service_object>();
	std::unique_ptr<service_object> before = std::make_unique<service_object>();
	std::unique_ptr<service_object> next = std::make_unique<service_object>();
	struct auth auth;
	error err = {};
};

TEST_F(Edit, PuttingAClassReplacesOrAddsItAndRecordsTheChange)
{
	EXPECT_EQ(ERROR_NONE, apply(put_class("purchase")));
	EXPECT_EQ(2U, next->config.class_count);
	EXPECT_EQ(20000U, next->config.classes[0].latency_us);
	EXPECT_TRUE(edit_is_applied(std::make_unique<edit>(put_class("x")).get(), next.get()));
	EXPECT_EQ(ERROR_NONE, apply(put_class("statement")));
	EXPECT_EQ(3U, next->config.class_count);
	EXPECT_STREQ("bert", next->changes[1].by);
}

TEST_F(Edit, AConflictNamesTheLastAuthorAndChangesNothing)
{
	edit e = put_class("purchase");

	e.if_version = base_version - 1;
	EXPECT_EQ(ERROR_CONFLICT, apply(e));
	for (const char *part : {"anna", "1234", "now version 7", "not 6"})
		EXPECT_NE(nullptr, strstr(err.detail, part)) << err.detail;
	EXPECT_EQ(ERROR_CONFLICT, apply(e, false));
	e.if_version = 0;
	EXPECT_EQ(ERROR_CONFLICT, apply(e));
	EXPECT_EQ(ERROR_CONFLICT, apply(make(EDIT_DELETE_SERVICE, base_version + 1)));
}

TEST_F(Edit, AnEditOfAnotherTeamsServiceIsDeniedWithoutRevealingItsVersion)
{
	edit e = put_class("purchase");

	strcpy(e.team, "assay-team");
	e.if_version = 1;
	EXPECT_EQ(ERROR_DENIED, apply(e));
	e.if_version = 0;
	EXPECT_EQ(ERROR_DENIED, apply(e, false));
}

TEST_F(Edit, DeletingWhatDoesNotExistOrTheLastClassFails)
{
	EXPECT_EQ(ERROR_NOT_FOUND, apply(delete_class("statement")));
	EXPECT_EQ(ERROR_NOT_FOUND, apply(make(EDIT_DELETE_SERVICE, 0), false));
	EXPECT_EQ(ERROR_NONE, apply(delete_class("purchase")));
	EXPECT_EQ(1U, next->config.class_count);
	EXPECT_STREQ("balance", next->config.classes[0].name);
	*base = *next;
	*before = *base;
	EXPECT_EQ(ERROR_STATE, apply(delete_class("balance")));
}

TEST_F(Edit, TheNumberOfClassesIsLimited)
{
	while (base->config.class_count < CLASSES_PER_SERVICE_MAX)
		add_class("class-" + std::to_string(base->config.class_count));
	*before = *base;
	EXPECT_EQ(ERROR_RANGE, apply(put_class("one-more")));
	EXPECT_EQ(ERROR_NONE, apply(put_class("balance")));
}

TEST_F(Edit, AnInvalidBodyIsRejectedWithTheJsonPath)
{
	struct {
		const char *json;
		error_kind kind;
		const char *path;
	} cases[] = {
		{"{", ERROR_SYNTAX, "line 1"},
		{"", ERROR_SYNTAX, "line 1"},
		{"[]", ERROR_TYPE, "$"},
		{R"({"name":"other"})", ERROR_RANGE, "$.name"},
		{R"({"rank":16,"latency_ms":20,"percentile":99.0,"calls_per_s":9})", ERROR_RANGE,
		 "$.rank"},
		{R"({"rank":0,"latency_ms":20,"percentile":99.0})", ERROR_MISSING, "$.calls_per_s"},
		{R"({"rank":0,"latency_ms":20,"percentile":99.0,"calls_per_s":9,"weight":1})",
		 ERROR_UNKNOWN_KEY, "$.weight"},
		{R"({"rank":0,"rank":1})", ERROR_SYNTAX, "line 1"},
	};

	for (const auto &c : cases) {
		edit e = make(EDIT_PUT_CLASS);

		err = {};
		EXPECT_EQ(-1, edit_read_class(&e, "purchase", c.json, strlen(c.json), &err));
		EXPECT_EQ(c.kind, err.kind) << c.json << ": " << err.detail;
		EXPECT_NE(nullptr, strstr(err.detail, c.path)) << err.detail;
	}
}

TEST_F(Edit, PuttingAServiceReplacesItAndRequiresItsOwnTeam)
{
	const std::string classes =
		R"("classes":[{"name":"p","rank":0,"latency_ms":5,"percentile":99.0,"calls_per_s":1}])";
	const std::string other = R"({"team":"assay-team",)" + classes + "}";
	const std::string good = "{" + classes + "}";
	edit e = make(EDIT_PUT_SERVICE);

	EXPECT_EQ(-1, edit_read_service(&e, other.data(), other.size(), &err));
	EXPECT_EQ(ERROR_DENIED, err.kind);
	EXPECT_NE(nullptr, strstr(err.detail, "$.team"));
	ASSERT_EQ(0, edit_read_service(&e, good.data(), good.size(), &err));
	EXPECT_EQ(ERROR_NONE, apply(e));
	EXPECT_EQ(1U, next->config.class_count);
	e.if_version = 0;
	EXPECT_EQ(ERROR_NONE, apply(e, false));
	EXPECT_STREQ("ledger-team", next->team);
}
