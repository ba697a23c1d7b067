/*
 * Latencies: histograms and their output in the Prometheus text format.
 */
#include "fescuemill/base/latency.h"

#include "fescuemill/base/histogram.h"

#include <inttypes.h>
#include <stdio.h>

/*
 * Upper bounds of the exposed buckets. They grow by a factor of about 2 to 2.5, from the time of a
 * network hop within a host to the longest time that callers wait.
 */
static const uint64_t bounds_us[] = {250,    500,     1000,    2500,	5000,
				     10000,  25000,   50000,   100000,	250000,
				     500000, 1000000, 2500000, 5000000, 10000000};

#define BOUND_COUNT (sizeof(bounds_us) / sizeof(bounds_us[0]))

static struct histogram histograms[LATENCY_COUNT];

static const char *const names[LATENCY_COUNT] = {
	[LATENCY_CALL] = "call",
	[LATENCY_ATTEMPT] = "attempt",
	[LATENCY_GATE_QUEUE] = "gate_queue",
	[LATENCY_RUN] = "run",
	[LATENCY_STORE_CALL] = "store_call",
};

void latency_record(enum latency id, uint64_t elapsed_us)
{
	histogram_record(&histograms[id], elapsed_us);
}

/* Returns the number of recorded values. */
uint64_t latency_count(enum latency id)
{
	return histograms[id].count;
}

/*
 * Appends a line to a text of used bytes, as far as it fits. Returns the new length of the text,
 * counting what did not fit.
 */
static size_t append_line(char *text, size_t size, size_t used, const char *name,
			  const char *suffix, uint64_t value)
{
	size_t available = used < size ? size - used : 0;
	int length = snprintf(available ? text + used : NULL, available,
			      "fescuemill_latency_%s_us%s %" PRIu64 "\n", name, suffix, value);

	return used + (size_t)length;
}

/* Appends all lines of one histogram. Returns the new length, as append_line() does. */
static size_t write_histogram(char *text, size_t size, size_t used, enum latency id)
{
	const struct histogram *hist = &histograms[id];
	char suffix[48];

	for (size_t i = 0; i < BOUND_COUNT; i++) {
		snprintf(suffix, sizeof(suffix), "_bucket{le=\"%" PRIu64 "\"}", bounds_us[i]);
		used = append_line(text, size, used, names[id], suffix,
				   hist->count - histogram_count_above(hist, bounds_us[i]));
	}
	used = append_line(text, size, used, names[id], "_bucket{le=\"+Inf\"}", hist->count);
	used = append_line(text, size, used, names[id], "_sum", hist->sum_us);
	return append_line(text, size, used, names[id], "_count", hist->count);
}

/*
 * Writes all histograms in the Prometheus text format. Returns the length of the whole text in
 * bytes; if that is size or more, the text was truncated.
 */
size_t latency_write_text(char *text, size_t size)
{
	size_t used = 0;

	for (int id = 0; id < LATENCY_COUNT; id++)
		used = write_histogram(text, size, used, (enum latency)id);
	return used;
}
