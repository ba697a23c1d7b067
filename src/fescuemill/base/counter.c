/*
 * Counters: storage, descriptions and the exposition text.
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

/* Adds an amount to a counter. */
void counter_add(enum counter id, uint64_t amount)
{
	values[id] += amount;
}

/* Sets a counter that is a gauge. */
void counter_set(enum counter id, uint64_t value)
{
	values[id] = value;
}

/* Reads a counter. */
uint64_t counter_get(enum counter id)
{
	return values[id];
}

/* Gives the name, unit and meaning of a counter. */
const struct counter_info *counter_info_of(enum counter id)
{
	return &infos[id];
}

/* Writes all counters in the usual exposition text format; returns the bytes that the whole text
 * needs, which may be more than size. */
size_t counter_write_text(char *text, size_t size)
{
	size_t used = 0;

	for (int i = 0; i < COUNTER_COUNT; i++) {
		size_t room = used < size ? size - used : 0;
		int length = snprintf(room ? text + used : NULL, room,
				      "# HELP fescuemill_%s %s (%s)\n# TYPE fescuemill_%s "
				      "untyped\nfescuemill_%s %" PRIu64 "\n",
				      infos[i].name, infos[i].help, infos[i].unit, infos[i].name,
				      infos[i].name, values[i]);

		used += (size_t)length;
	}
	return used;
}
