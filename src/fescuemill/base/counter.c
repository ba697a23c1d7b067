/*
 * Counters: values, descriptions and output in the Prometheus text format.
 */
#include "fescuemill/base/counter.h"

#include <inttypes.h>
#include <stdio.h>

static uint64_t values[COUNTER_COUNT];

static const struct counter_info infos[COUNTER_COUNT] = {
#define COUNTER_INFO(symbol, name, unit, help) {name, unit, help},
	COUNTER_LIST(COUNTER_INFO)
#undef COUNTER_INFO
};

void counter_add(enum counter id, uint64_t amount)
{
	values[id] += amount;
}

/* Sets the value of a gauge. */
void counter_set(enum counter id, uint64_t value)
{
	values[id] = value;
}

uint64_t counter_get(enum counter id)
{
	return values[id];
}

/* Returns the name, unit and help text of a counter. */
const struct counter_info *counter_get_info(enum counter id)
{
	return &infos[id];
}

/*
 * Writes all counters in the Prometheus text format. Returns the length of the whole text in bytes;
 * if that is size or more, the text was truncated.
 */
size_t counter_write_text(char *text, size_t size)
{
	size_t used = 0;

	for (int i = 0; i < COUNTER_COUNT; i++) {
		size_t available = used < size ? size - used : 0;
		int length = snprintf(available ? text + used : NULL, available,
				      "# HELP fescuemill_%s %s (%s)\n# TYPE fescuemill_%s "
				      "untyped\nfescuemill_%s %" PRIu64 "\n",
				      infos[i].name, infos[i].help, infos[i].unit, infos[i].name,
				      infos[i].name, values[i]);

		used += (size_t)length;
	}
	return used;
}
