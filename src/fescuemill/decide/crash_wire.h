/*
 * Crash wire: the message by which nodes tell each other of requests that ran when backend servers
 * ended. Numbers are least significant byte first. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_CRASH_WIRE_H
#define FESCUEMILL_DECIDE_CRASH_WIRE_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/crash_table.h"

#include <stddef.h>

#define CRASH_MESSAGE_ITEMS_MAX 32
#define CRASH_ITEM_BYTES	27 /* digest, generation, state, ends, age */
#define CRASH_MESSAGE_BYTES_MAX (1 + CRASH_MESSAGE_ITEMS_MAX * CRASH_ITEM_BYTES)

struct crash_message {
	uint32_t count;
	struct crash_item items[CRASH_MESSAGE_ITEMS_MAX];
};

/* Writes a message into `data`, which has room for CRASH_MESSAGE_BYTES_MAX. Returns its size. */
size_t crash_write(const struct crash_message *message, uint8_t *data);
/* Reads a message. Errors: ERROR_TRUNCATED, ERROR_TYPE, ERROR_RANGE. */
int crash_read(const uint8_t *data, size_t size, struct crash_message *message, struct error *err);

#endif
