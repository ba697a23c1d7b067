// Unit tests of the latency histogram.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/base/histogram.h"
}

TEST(Histogram, QuantileErrorIsAtMostOneSixteenth)
{
	struct histogram hist;

	histogram_clear(&hist);
	for (uint64_t v = 1; v <= 100000; v++)
		histogram_record(&hist, v);
	for (double q : {0.5, 0.9, 0.99, 0.999}) {
		double exact = q * 100000;
		double got = (double)histogram_quantile_us(&hist, q);

		EXPECT_GE(got, exact);
		EXPECT_LE(got, exact * (1 + 1.0 / 16) + 1);
	}
}

TEST(Histogram, HugeValuesGoToTheLastBucket)
{
	struct histogram hist;

	histogram_clear(&hist);
	histogram_record(&hist, UINT64_MAX);
	EXPECT_EQ(UINT64_MAX, histogram_quantile_us(&hist, 0.99));
}
