// Unit tests of reading fields of JSON objects: the values read, and the kind of each error.
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/base/json_read.h"
}

namespace
{

class JsonRead : public ::testing::Test
{
      protected:
	json_t *object =
		json_loads(R"({"t":"abc","e":"","n":7,"f":7.5,"big":5000000000})", 0, nullptr);
	char text[4] = "";
	uint32_t number = 1;
	uint64_t large = 1;
	error err{};

	void TearDown() override
	{
		json_decref(object);
	}
};

TEST_F(JsonRead, StringsAreCheckedForTypeAndSize)
{
	EXPECT_EQ(0, json_read_text(object, "t", text, sizeof(text), &err));
	EXPECT_STREQ("abc", text);
	EXPECT_EQ(-1, json_read_text(object, "t", text, 3, &err));
	EXPECT_EQ(ERROR_RANGE, err.kind);
	EXPECT_EQ(-1, json_read_text(object, "e", text, sizeof(text), &err));
	EXPECT_EQ(ERROR_RANGE, err.kind);
	EXPECT_EQ(-1, json_read_text(object, "n", text, sizeof(text), &err));
	EXPECT_EQ(ERROR_TYPE, err.kind);
	EXPECT_EQ(-1, json_read_text(object, "none", text, sizeof(text), &err));
	EXPECT_EQ(ERROR_MISSING, err.kind);
}

TEST_F(JsonRead, NumbersMustBeIntegersInRange)
{
	EXPECT_EQ(0, json_read_u32(object, "n", 7, 7, &number, &err));
	EXPECT_EQ(7u, number);
	EXPECT_EQ(-1, json_read_u32(object, "n", 8, 9, &number, &err));
	EXPECT_EQ(ERROR_RANGE, err.kind);
	EXPECT_EQ(0u, number);
	EXPECT_EQ(-1, json_read_u32(object, "f", 0, 9, &number, &err));
	EXPECT_EQ(ERROR_TYPE, err.kind);
	EXPECT_EQ(-1, json_read_u32(nullptr, "n", 0, 9, &number, &err));
	EXPECT_EQ(ERROR_MISSING, err.kind);
	EXPECT_EQ(0, json_read_u64(object, "big", 0, INT64_MAX, &large, &err));
	EXPECT_EQ(5000000000u, large);
}

} // namespace
