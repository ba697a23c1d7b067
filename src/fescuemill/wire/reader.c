/*
 * Reader: every read checks its item. The first failure is kept, and reads after it return zero, so
 * that a decoder can read all fields in a row and check for a failure once at the end.
 */
#include "fescuemill/wire/reader.h"

#include "fescuemill/wire/bounds.h"

#include <string.h>

/* Records a failure, unless there was one before. */
void reader_fail(struct reader *rd, enum error_kind kind, const char *what)
{
	if (rd->failed)
		return;
	rd->failed = true;
	error_set(rd->err, kind, "field %u: %s", rd->next, what);
}

/* Returns the next item, or NULL after a failure or at the end, which is a failure too. */
static const msgpack_object *reader_item(struct reader *rd)
{
	if (rd->failed)
		return NULL;
	if (rd->next >= rd->items->size) {
		reader_fail(rd, ERROR_TRUNCATED, "missing");
		return NULL;
	}
	return &rd->items->ptr[rd->next++];
}

/* Reads an unsigned number that must not exceed max. */
uint64_t reader_uint(struct reader *rd, uint64_t max)
{
	const msgpack_object *item = reader_item(rd);

	if (!item)
		return 0;
	if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		reader_fail(rd, ERROR_TYPE, "not an unsigned number");
		return 0;
	}
	if (item->via.u64 > max) {
		reader_fail(rd, ERROR_RANGE, "number is too large");
		return 0;
	}
	return item->via.u64;
}

/* Reads at most max bytes. They point into the unpacked message. */
struct wire_bytes reader_bytes(struct reader *rd, uint32_t max)
{
	const msgpack_object *item = reader_item(rd);
	struct wire_bytes bytes = {NULL, 0};

	if (!item)
		return bytes;
	if (item->type != MSGPACK_OBJECT_BIN) {
		reader_fail(rd, ERROR_TYPE, "not bytes");
		return bytes;
	}
	if (item->via.bin.size > max) {
		reader_fail(rd, ERROR_TOO_LARGE, "too many bytes");
		return bytes;
	}
	bytes.data = (const uint8_t *)item->via.bin.ptr;
	bytes.size = item->via.bin.size;
	return bytes;
}

/* Reads a name into a buffer of size bytes, including the terminating NUL. */
void reader_name(struct reader *rd, char *name, size_t size)
{
	const msgpack_object *item = reader_item(rd);

	name[0] = '\0';
	if (!item)
		return;
	if (item->type != MSGPACK_OBJECT_STR) {
		reader_fail(rd, ERROR_TYPE, "not a string");
		return;
	}
	if (item->via.str.size >= size || memchr(item->via.str.ptr, 0, item->via.str.size)) {
		reader_fail(rd, ERROR_RANGE, "name is too long or contains a NUL byte");
		return;
	}
	memcpy(name, item->via.str.ptr, item->via.str.size);
	name[item->via.str.size] = '\0';
}

/* Returns a reader of the next item, which must be an array. */
struct reader reader_array(struct reader *rd)
{
	static const msgpack_object_array none;
	const msgpack_object *item = reader_item(rd);
	struct reader inner = {.items = &none, .err = rd->err};

	if (item && item->type != MSGPACK_OBJECT_ARRAY)
		reader_fail(rd, ERROR_TYPE, "not an array");
	else if (item)
		inner.items = &item->via.array;
	inner.failed = rd->failed;
	return inner;
}

/* Returns true if there are items left to read and no failure occurred. */
bool reader_has_more(const struct reader *rd)
{
	return !rd->failed && rd->next < rd->items->size;
}

/* Unpacks the bytes of one value after checking their bounds. Errors: ERROR_SYNTAX,
 * ERROR_TRUNCATED, ERROR_TOO_LARGE. */
int reader_unpack(const uint8_t *data, size_t size, msgpack_unpacked *unpacked, struct error *err)
{
	if (bounds_check(data, size, err))
		return -1;
	msgpack_unpacked_init(unpacked);
	if (msgpack_unpack_next(unpacked, (const char *)data, size, NULL) !=
	    MSGPACK_UNPACK_SUCCESS) {
		msgpack_unpacked_destroy(unpacked);
		return error_set(err, ERROR_SYNTAX, "message is not valid msgpack");
	}
	return 0;
}

/* Starts reading the root of an unpacked message, which must be an array. Errors: ERROR_TYPE. */
int reader_start(struct reader *rd, const msgpack_object *root, struct error *err)
{
	memset(rd, 0, sizeof(*rd));
	rd->err = err;
	if (root->type != MSGPACK_OBJECT_ARRAY)
		return error_set(err, ERROR_TYPE, "message is not an array");
	rd->items = &root->via.array;
	return 0;
}
