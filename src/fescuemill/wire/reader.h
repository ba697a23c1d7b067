/*
 * Reader: reads the items of an unpacked msgpack array one by one and checks their types and
 * ranges.
 */
#ifndef FESCUEMILL_WIRE_READER_H
#define FESCUEMILL_WIRE_READER_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#include <msgpack.h>

/* Position in one array. The first failure is stored in err; reads after it return zero. */
struct reader {
	const msgpack_object_array *items;
	uint32_t next; /* index of the next item */
	bool failed;
	struct error *err;
};

void reader_fail(struct reader *rd, enum error_kind kind, const char *what);
uint64_t reader_uint(struct reader *rd, uint64_t max);
struct wire_bytes reader_bytes(struct reader *rd, uint32_t max);
void reader_name(struct reader *rd, char *name, size_t size);
struct reader reader_array(struct reader *rd);
bool reader_has_more(const struct reader *rd);

/* Unpacks exactly one value that takes up all bytes. After success the caller destroys unpacked.
 * Errors: ERROR_SYNTAX, ERROR_TRUNCATED, ERROR_TOO_LARGE. */
int reader_unpack(const uint8_t *data, size_t size, msgpack_unpacked *unpacked, struct error *err);
/* Starts reading a value, which must be an array. Errors: ERROR_TYPE. */
int reader_start(struct reader *rd, const msgpack_object *root, struct error *err);

#endif
