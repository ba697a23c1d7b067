// Unit tests of the counters.
#include <cstring>
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "fescuemill/base/counter.h"
}

TEST(Counter, WriteTextReturnsWholeLengthAndTruncates)
{
	size_t whole = counter_write_text(nullptr, 0);
	std::vector<char> text(whole + 1, 'x');

	counter_add(COUNTER_CALLS_RECEIVED, 3);
	EXPECT_EQ(whole, counter_write_text(text.data(), text.size()));
	EXPECT_NE(nullptr, strstr(text.data(), "\nfescuemill_entry_calls_received 3\n"));
	counter_write_text(text.data(), 10);
	EXPECT_EQ(9u, strlen(text.data()));
}
