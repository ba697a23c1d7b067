/*
 * Histogram: log-linear buckets for values in microseconds. The relative error is at most 1/16.
 */
#ifndef FESCUEMILL_BASE_HISTOGRAM_H
#define FESCUEMILL_BASE_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_SUBBUCKET_BITS 4
#define HISTOGRAM_SUBBUCKETS	 (1U << HISTOGRAM_SUBBUCKET_BITS) /* buckets per octave */
#define HISTOGRAM_OCTAVES	 32 /* the last bucket begins at 31 * 2^30 us, about 9 hours */
#define HISTOGRAM_BUCKETS	 (HISTOGRAM_OCTAVES * HISTOGRAM_SUBBUCKETS)

struct histogram {
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_clear(struct histogram *hist);
void histogram_record(struct histogram *hist, uint64_t value_us);
void histogram_merge(struct histogram *into, const struct histogram *from);
uint64_t histogram_quantile_us(const struct histogram *hist, double quantile);
uint64_t histogram_count_above(const struct histogram *hist, uint64_t limit_us);

#endif
