// Unit tests of payloads: a body can be checked in parts of any size, and any wrong byte is
// detected.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "fescue_load/payload.h"
}

namespace
{
std::string body_of(const std::string &id, size_t bytes)
{
	struct payload payload;
	std::string body(bytes, '\0');

	payload_start(&payload, id.data(), id.size());
	payload_fill(&payload, body.data(), bytes);
	return body;
}
} // namespace

TEST(Payload, CheckAcceptsPartsOfAnySize)
{
	std::string body = body_of("abc-1", 1000);

	for (size_t part : {1u, 7u, 8u, 333u, 1000u}) {
		struct payload expected;

		payload_start(&expected, "abc-1", 5);
		for (size_t at = 0; at < body.size(); at += part) {
			size_t bytes = std::min(part, body.size() - at);

			ASSERT_TRUE(payload_check(&expected, body.data() + at, bytes));
		}
		EXPECT_EQ(body.size(), expected.offset);
	}
}

TEST(Payload, CheckDetectsWrongBytesAndTheBodyOfAnotherCall)
{
	std::string body = body_of("abc-1", 64);
	struct payload expected;

	for (size_t at = 0; at < body.size(); at++) {
		std::string wrong = body;

		wrong[at] ^= 1;
		payload_start(&expected, "abc-1", 5);
		EXPECT_FALSE(payload_check(&expected, wrong.data(), wrong.size()));
	}
	payload_start(&expected, "abc-2", 5);
	EXPECT_FALSE(payload_check(&expected, body.data(), body.size()));
}
