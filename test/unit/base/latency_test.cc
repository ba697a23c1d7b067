// Unit tests of the latency histograms in the Prometheus text format.
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/base/latency.h"
}

namespace
{

std::string write_text(size_t size)
{
	std::string text(size, '\0');
	size_t needed = latency_write_text(text.data(), size);

	if (needed < size)
		text.resize(needed);
	return text;
}

TEST(Latency, BucketsAreCumulative)
{
	latency_record(LATENCY_RUN, 400);
	latency_record(LATENCY_RUN, 40000);
	latency_record(LATENCY_RUN, 60ULL * 1000 * 1000);
	std::string text = write_text(64 * 1024);

	EXPECT_NE(std::string::npos, text.find("fescuemill_latency_run_us_bucket{le=\"250\"} 0\n"));
	EXPECT_NE(std::string::npos, text.find("fescuemill_latency_run_us_bucket{le=\"500\"} 1\n"));
	EXPECT_NE(std::string::npos,
		  text.find("fescuemill_latency_run_us_bucket{le=\"50000\"} 2\n"));
	EXPECT_NE(std::string::npos,
		  text.find("fescuemill_latency_run_us_bucket{le=\"+Inf\"} 3\n"));
	EXPECT_NE(std::string::npos, text.find("fescuemill_latency_run_us_count 3\n"));
	EXPECT_EQ(3u, latency_count(LATENCY_RUN));
	EXPECT_EQ(0u, latency_count(LATENCY_CALL));
}

TEST(Latency, WriteTextReturnsWholeLengthOfTruncatedText)
{
	size_t needed = latency_write_text(nullptr, 0);

	EXPECT_GT(needed, 100u);
	EXPECT_EQ(needed, latency_write_text(write_text(100).data(), 100));
}

} // namespace
