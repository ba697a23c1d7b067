/*
 * Counters: one array per process, without locks: only the event loop writes to it.
 */
#ifndef FESCUEMILL_BASE_COUNTER_H
#define FESCUEMILL_BASE_COUNTER_H

#include "fescuemill/base/counter_defs.h"

#include <stddef.h>
#include <stdint.h>

struct counter_info {
	const char *name; /* without the prefix "fescuemill_" */
	const char *unit;
	const char *help; /* text of the HELP line */
};

void counter_add(enum counter id, uint64_t amount);
void counter_set(enum counter id, uint64_t value);
uint64_t counter_get(enum counter id);
const struct counter_info *counter_get_info(enum counter id);
size_t counter_write_text(char *text, size_t size);

#endif
