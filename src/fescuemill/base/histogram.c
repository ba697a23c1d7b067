/*
 * Histogram: each value below HISTOGRAM_SUBBUCKETS has a bucket of its own. Above, each octave
 * (from one power of two to the next) is divided into HISTOGRAM_SUBBUCKETS buckets of equal width.
 */
#include "fescuemill/base/histogram.h"

#include <string.h>

/* Returns the index of the bucket of a value. The last bucket holds all larger values too. */
static uint32_t bucket_of(uint64_t value_us)
{
	uint32_t octave;
	uint32_t index;

	if (value_us < HISTOGRAM_SUBBUCKETS)
		return (uint32_t)value_us;
	octave = 63 - (uint32_t)__builtin_clzll(value_us) - HISTOGRAM_SUBBUCKET_BITS;
	index = (octave + 1) * HISTOGRAM_SUBBUCKETS +
		(uint32_t)((value_us >> octave) & (HISTOGRAM_SUBBUCKETS - 1));
	return index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1;
}

/* Returns the largest value of a bucket. */
static uint64_t bucket_top_us(uint32_t index)
{
	uint32_t octave;
	uint64_t sub;

	if (index < HISTOGRAM_SUBBUCKETS)
		return index;
	if (index == HISTOGRAM_BUCKETS - 1)
		return UINT64_MAX;
	octave = index / HISTOGRAM_SUBBUCKETS - 1;
	sub = index % HISTOGRAM_SUBBUCKETS + HISTOGRAM_SUBBUCKETS;
	return ((sub + 1) << octave) - 1;
}

void histogram_clear(struct histogram *hist)
{
	memset(hist, 0, sizeof(*hist));
}

/* Records one value, in microseconds. */
void histogram_record(struct histogram *hist, uint64_t value_us)
{
	hist->count++;
	hist->sum_us += value_us;
	if (value_us > hist->max_us)
		hist->max_us = value_us;
	hist->buckets[bucket_of(value_us)]++;
}

/* Adds all values of one histogram to another. */
void histogram_merge(struct histogram *into, const struct histogram *from)
{
	into->count += from->count;
	into->sum_us += from->sum_us;
	if (from->max_us > into->max_us)
		into->max_us = from->max_us;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
}

/*
 * Returns an upper bound, in microseconds, of the value at a quantile in [0, 1]. Returns 0 if the
 * histogram is empty.
 */
uint64_t histogram_quantile_us(const struct histogram *hist, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)hist->count + 0.5);
	uint64_t seen = 0;

	if (hist->count == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += hist->buckets[i];
		if (seen >= rank) {
			uint64_t top_us = bucket_top_us(i);

			return top_us < hist->max_us ? top_us : hist->max_us;
		}
	}
	return hist->max_us;
}

/*
 * Returns the number of values above a limit in microseconds. Values in the bucket of the limit are
 * not counted.
 */
uint64_t histogram_count_above(const struct histogram *hist, uint64_t limit_us)
{
	uint64_t count = 0;

	for (uint32_t i = bucket_of(limit_us) + 1; i < HISTOGRAM_BUCKETS; i++)
		count += hist->buckets[i];
	return count;
}
