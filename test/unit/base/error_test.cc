// Unit tests of the error struct.
#include <gtest/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "fescuemill/base/error.h"
}

TEST(Error, SetFillsEveryFieldAndReturnsMinusOne)
{
	struct error err;

	error_clear(&err);
	EXPECT_EQ(-1, error_set(&err, ERROR_RANGE, "port %d, allowed 1 to 65535", 70000));
	EXPECT_EQ(ERROR_RANGE, err.kind);
	EXPECT_STREQ("port 70000, allowed 1 to 65535", err.detail);
	EXPECT_EQ("TestBody", std::string(err.where));
}

TEST(Error, LongDetailIsTruncated)
{
	struct error err;
	std::string text(4 * ERROR_DETAIL_BYTES, 'x');

	error_set(&err, ERROR_SYNTAX, "%s", text.c_str());
	EXPECT_EQ(ERROR_DETAIL_BYTES - 1, (int)std::string(err.detail).size());
}

TEST(Error, EveryKindHasUniqueNameAndExitCode)
{
	std::set<std::string> names;
	std::set<int> codes;

	for (int i = 0; i < ERROR_KIND_COUNT; i++) {
		names.insert(error_kind_name((enum error_kind)i));
		codes.insert(error_exit_code((enum error_kind)i));
	}
	EXPECT_EQ((size_t)ERROR_KIND_COUNT, names.size());
	EXPECT_EQ((size_t)ERROR_KIND_COUNT, codes.size());
}
