/*
 * Bounds: walks the heads of msgpack values without building anything. Nesting needs no stack: a
 * container only adds its items to the number still to come.
 */
#include "fescuemill/wire/bounds.h"

/* What one head byte says: how many length bytes follow, how many fixed payload bytes, and how
 * many items one unit of the length stands for. */
struct head {
	uint8_t length_bytes;
	uint8_t fixed_bytes;
	uint8_t items_per_unit; /* 0: the length counts payload bytes */
	uint32_t length;	/* the length when it stands in the head byte itself */
};

/* The heads from 0xc0 to 0xdf, in order. */
static const struct head wide_heads[32] = {
	{0, 0, 0, 0},						/* nil */
	{0, 0, 0, 0},						/* never used; refused before */
	{0, 0, 0, 0}, {0, 0, 0, 0},				/* false, true */
	{1, 0, 0, 0}, {2, 0, 0, 0}, {4, 0, 0, 0},		/* bin */
	{1, 1, 0, 0}, {2, 1, 0, 0}, {4, 1, 0, 0},		/* ext */
	{0, 4, 0, 0}, {0, 8, 0, 0},				/* float */
	{0, 1, 0, 0}, {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0}, /* uint */
	{0, 1, 0, 0}, {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0}, /* int */
	{0, 2, 0, 0}, {0, 3, 0, 0}, {0, 5, 0, 0}, {0, 9, 0, 0}, {0, 17, 0, 0}, /* fixext */
	{1, 0, 0, 0}, {2, 0, 0, 0}, {4, 0, 0, 0},			       /* str */
	{2, 0, 1, 0}, {4, 0, 1, 0},					       /* array */
	{2, 0, 2, 0}, {4, 0, 2, 0},					       /* map */
};

/* Gives what a head byte says. */
static struct head head_of(uint8_t byte)
{
	struct head head = {0, 0, 0, 0};

	if (byte >= 0xc0 && byte <= 0xdf)
		return wide_heads[byte - 0xc0];
	if (byte >= 0xa0 && byte <= 0xbf) {
		head.length = byte & 0x1f;
	} else if (byte >= 0x90 && byte <= 0x9f) {
		head.length = byte & 0x0f;
		head.items_per_unit = 1;
	} else if (byte >= 0x80 && byte <= 0x8f) {
		head.length = byte & 0x0f;
		head.items_per_unit = 2;
	}
	return head;
}

/* Reads a big-endian length of 0 to 4 bytes. */
static uint32_t read_length(const uint8_t *data, uint8_t bytes)
{
	uint32_t length = 0;

	for (uint8_t i = 0; i < bytes; i++)
		length = length << 8 | data[i];
	return length;
}

/* Walks one head at *at; adds its items to *items and moves *at past its payload. */
static int walk_head(const uint8_t *data, size_t size, size_t *at, uint64_t *items,
		     struct error *err)
{
	uint8_t byte = data[(*at)++];
	struct head head = head_of(byte);
	uint64_t payload = head.fixed_bytes;

	if (byte == 0xc1)
		return error_set(err, ERROR_SYNTAX, "byte 0xc1 at offset %zu", *at - 1);
	if (size - *at < head.length_bytes)
		return error_set(err, ERROR_TRUNCATED, "length cut at offset %zu", *at);
	if (head.length_bytes)
		head.length = read_length(data + *at, head.length_bytes);
	*at += head.length_bytes;
	if (head.items_per_unit)
		*items += (uint64_t)head.length * head.items_per_unit;
	else
		payload += head.length;
	if (size - *at < payload)
		return error_set(err, ERROR_TRUNCATED, "payload cut at offset %zu", *at);
	*at += payload;
	return 0;
}

/* Accepts exactly one whole value with few enough items and nothing behind it. */
int bounds_check(const uint8_t *data, size_t size, struct error *err)
{
	uint64_t items = 1;
	uint64_t walked = 0;
	size_t at = 0;

	while (walked < items) {
		if (at >= size)
			return error_set(err, ERROR_TRUNCATED, "ends after %zu bytes", size);
		if (walk_head(data, size, &at, &items, err))
			return -1;
		walked++;
		if (items > BOUNDS_ITEMS_MAX)
			return error_set(err, ERROR_TOO_LARGE, "more than %d items",
					 BOUNDS_ITEMS_MAX);
	}
	if (at != size)
		return error_set(err, ERROR_SYNTAX, "%zu bytes behind the message", size - at);
	return 0;
}
