// Unit tests of the counters, and of the page that lists them.
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/base/counter.h"
}

namespace
{
std::string row_of(const struct counter_info *info)
{
	return std::string("| `fescuemill_") + info->name + "` | " + info->unit + " | " +
	       info->help + " |";
}

std::string read_page()
{
	std::ifstream in(std::string(FESCUEMILL_SOURCE_DIR) + "/docs/COUNTERS.md");
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}
} // namespace

TEST(Counter, ThePageListsExactlyTheCounters)
{
	std::string page = read_page();
	size_t rows = 0;

	for (int i = 0; i < COUNTER_COUNT; i++) {
		std::string row = row_of(counter_info_of((enum counter)i));

		EXPECT_NE(std::string::npos, page.find(row)) << "missing in docs/COUNTERS.md:\n"
							     << row;
	}
	for (size_t at = page.find("| `fescuemill_"); at != std::string::npos;
	     at = page.find("| `fescuemill_", at + 1))
		rows++;
	EXPECT_EQ((size_t)COUNTER_COUNT, rows);
}

TEST(Counter, TextTellsItsSizeAndIsCutToTheBuffer)
{
	size_t whole = counter_write_text(nullptr, 0);
	std::vector<char> text(whole + 1, 'x');

	counter_add(COUNTER_CALLS_RECEIVED, 3);
	EXPECT_EQ(whole, counter_write_text(text.data(), text.size()));
	EXPECT_NE(nullptr, strstr(text.data(), "\nfescuemill_entry_calls_received 3\n"));
	counter_write_text(text.data(), 10);
	EXPECT_EQ(9u, strlen(text.data()));
}
