// Unit tests of parsing, checking and serialization of service objects.
#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/fleet/service_json.h"
}

static const std::string good = R"({"service":"ledger","team":"ledger-team","classes":[
	{"name":"purchase","rank":0,"latency_ms":50,"percentile":99.0,"calls_per_s":200}],
	"changes":[{"id":"0123456789abcdef0123456789abcdef","by":"operator","at_ms":7}]})";

static error parse(const std::string &text)
{
	service_object object;
	error err;

	error_clear(&err);
	service_parse(text.data(), text.size(), &object, &err);
	return err;
}

static error parse_with(const std::string &from, const std::string &to)
{
	std::string text = good;
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return parse(text.replace(at, from.size(), to));
}

TEST(ServiceJson, SerializedObjectParsesToTheSame)
{
	service_object object;
	service_object back;
	char *json;
	size_t size;

	ASSERT_EQ(0, service_parse(good.data(), good.size(), &object, nullptr));
	EXPECT_EQ(50000U, object.config.classes[0].latency_us);
	EXPECT_EQ(990U, object.config.classes[0].percentile_x10);
	ASSERT_EQ(0, service_write(&object, &json, &size, nullptr));
	ASSERT_EQ(0, service_parse(json, size, &back, nullptr));
	EXPECT_EQ(0, memcmp(&object, &back, sizeof(object)));
	free(json);
}

TEST(ServiceJson, ErrorsHaveAKindAndNameThePath)
{
	struct {
		const char *from;
		const char *to;
		error_kind kind;
		const char *path;
	} cases[] = {
		{"\"rank\":0", "\"rank\":16", ERROR_RANGE, "$.classes[0].rank"},
		{"\"rank\":0", "\"rank\":\"0\"", ERROR_TYPE, "$.classes[0].rank"},
		{"\"rank\":0,", "", ERROR_MISSING, "$.classes[0].rank"},
		{"\"rank\":0", "\"rank\":0,\"weight\":3", ERROR_UNKNOWN_KEY, "$.classes[0].weight"},
		{"\"latency_ms\":50", "\"latency_ms\":0", ERROR_RANGE, "$.classes[0].latency_ms"},
		{"\"latency_ms\":50", "\"latency_ms\":1e99", ERROR_RANGE, "latency_ms"},
		{"99.0", "100", ERROR_RANGE, "$.classes[0].percentile"},
		{"\"calls_per_s\":200", "\"calls_per_s\":-1", ERROR_RANGE, "calls_per_s"},
		{"\"calls_per_s\":200", "\"calls_per_s\":1.5", ERROR_TYPE, "calls_per_s"},
		{"\"purchase\"", "\"\"", ERROR_RANGE, "$.classes[0].name"},
		{"\"ledger-team\"", "null", ERROR_TYPE, "$.team"},
		{"\"team\":\"ledger-team\",", "", ERROR_MISSING, "$.team"},
		{"\"at_ms\":7", "\"at_ms\":-7", ERROR_RANGE, "$.changes[0].at_ms"},
		{"\"id\":\"0", "\"id\":\"00", ERROR_RANGE, "$.changes[0].id"},
	};

	for (const auto &c : cases) {
		error err = parse_with(c.from, c.to);

		EXPECT_EQ(c.kind, err.kind) << c.to << ": " << err.detail;
		EXPECT_NE(nullptr, strstr(err.detail, c.path)) << err.detail;
	}
	EXPECT_EQ(ERROR_SYNTAX, parse("{").kind);
	EXPECT_EQ(ERROR_TYPE, parse("[]").kind);
}

TEST(ServiceJson, AcceptsOneToSixteenClassesWithUniqueNames)
{
	std::string one =
		good.substr(good.find("{\"name\""), good.find("}],") + 1 - good.find("{\"name\""));

	EXPECT_EQ(ERROR_RANGE, parse_with(one, one + "," + one).kind);
	EXPECT_EQ(ERROR_RANGE, parse_with(one, "").kind);
	std::string many;

	for (int i = 0; i < CLASSES_PER_SERVICE_MAX + 1; i++) {
		std::string next = one;

		next.replace(next.find("purchase"), 8, "c" + std::to_string(i));
		many += (i ? "," : "") + next;
	}
	EXPECT_EQ(ERROR_RANGE, parse_with(one, many).kind);
	EXPECT_EQ(ERROR_NONE, parse_with(one, many.substr(0, many.rfind(",{"))).kind);
}

TEST(ServiceJson, OldestChangeIsRemovedWhenTheHistoryIsFull)
{
	service_object object = {};

	for (int i = 0; i <= SERVICE_CHANGES_MAX; i++) {
		service_change change = {};

		snprintf(change.id, sizeof(change.id), "id-%d", i);
		service_add_change(&object, &change);
	}
	EXPECT_EQ((uint32_t)SERVICE_CHANGES_MAX, object.change_count);
	EXPECT_FALSE(service_has_change(&object, "id-0"));
	EXPECT_TRUE(service_has_change(&object, "id-1"));
	EXPECT_TRUE(service_has_change(&object, "id-16"));
}
