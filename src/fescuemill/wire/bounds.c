/*
 * Bounds: scans msgpack values without allocating memory. Nesting needs no stack: a container only
 * adds its items to the number of items that must follow.
 */
#include "fescuemill/wire/bounds.h"

/* Format of a value, as given by its first byte. */
struct format {
	uint8_t length_bytes;	/* size of the length that follows the first byte */
	uint8_t fixed_bytes;	/* payload bytes in addition to those that the length counts */
	uint8_t items_per_unit; /* items per unit of length; 0: the length counts payload bytes */
	uint32_t length;	/* length that is part of the first byte */
};

/* Formats of the first bytes from 0xc0 to 0xdf, in order. */
static const struct format formats_from_c0[32] = {
	{0, 0, 0, 0},		    /* nil */
	{0, 0, 0, 0},		    /* 0xc1, never used; skip_value_head() refuses it */
	{0, 0, 0, 0}, {0, 0, 0, 0}, /* false, true */
	{1, 0, 0, 0}, {2, 0, 0, 0}, {4, 0, 0, 0},			       /* bin */
	{1, 1, 0, 0}, {2, 1, 0, 0}, {4, 1, 0, 0},			       /* ext */
	{0, 4, 0, 0}, {0, 8, 0, 0},					       /* float */
	{0, 1, 0, 0}, {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0},		       /* uint */
	{0, 1, 0, 0}, {0, 2, 0, 0}, {0, 4, 0, 0}, {0, 8, 0, 0},		       /* int */
	{0, 2, 0, 0}, {0, 3, 0, 0}, {0, 5, 0, 0}, {0, 9, 0, 0}, {0, 17, 0, 0}, /* fixext */
	{1, 0, 0, 0}, {2, 0, 0, 0}, {4, 0, 0, 0},			       /* str */
	{2, 0, 1, 0}, {4, 0, 1, 0},					       /* array */
	{2, 0, 2, 0}, {4, 0, 2, 0},					       /* map */
};

/* Returns the format that the first byte of a value stands for. */
static struct format decode_first_byte(uint8_t byte)
{
	struct format format = {0, 0, 0, 0};

	if (byte >= 0xc0 && byte <= 0xdf)
		return formats_from_c0[byte - 0xc0];
	if (byte >= 0xa0 && byte <= 0xbf) {
		format.length = byte & 0x1f;
	} else if (byte >= 0x90 && byte <= 0x9f) {
		format.length = byte & 0x0f;
		format.items_per_unit = 1;
	} else if (byte >= 0x80 && byte <= 0x8f) {
		format.length = byte & 0x0f;
		format.items_per_unit = 2;
	}
	return format;
}

/* Reads a big-endian length of 0 to 4 bytes. */
static uint32_t read_length(const uint8_t *data, uint8_t bytes)
{
	uint32_t length = 0;

	for (uint8_t i = 0; i < bytes; i++)
		length = length << 8 | data[i];
	return length;
}

/* Skips the first byte, length and payload of the value at offset *at. If it is a container, adds
 * the number of its items to *items. */
static int skip_value_head(const uint8_t *data, size_t size, size_t *at, uint64_t *items,
			   struct error *err)
{
	uint8_t byte = data[(*at)++];
	struct format format = decode_first_byte(byte);
	uint64_t payload = format.fixed_bytes;

	if (byte == 0xc1)
		return error_set(err, ERROR_SYNTAX, "invalid msgpack byte 0xc1 at offset %zu",
				 *at - 1);
	if (size - *at < format.length_bytes)
		return error_set(err, ERROR_TRUNCATED, "message ends within a length at offset %zu",
				 *at);
	if (format.length_bytes)
		format.length = read_length(data + *at, format.length_bytes);
	*at += format.length_bytes;
	if (format.items_per_unit)
		*items += (uint64_t)format.length * format.items_per_unit;
	else
		payload += format.length;
	if (size - *at < payload)
		return error_set(err, ERROR_TRUNCATED,
				 "message ends within a payload at offset %zu", *at);
	*at += payload;
	return 0;
}

/* Accepts exactly one complete value of at most BOUNDS_ITEMS_MAX items with no bytes after it. */
int bounds_check(const uint8_t *data, size_t size, struct error *err)
{
	uint64_t items = 1;
	uint64_t items_read = 0;
	size_t at = 0;

	while (items_read < items) {
		if (at >= size)
			return error_set(err, ERROR_TRUNCATED,
					 "message is incomplete after %zu bytes", size);
		if (skip_value_head(data, size, &at, &items, err))
			return -1;
		items_read++;
		if (items > BOUNDS_ITEMS_MAX)
			return error_set(err, ERROR_TOO_LARGE, "message has more than %d items",
					 BOUNDS_ITEMS_MAX);
	}
	if (at != size)
		return error_set(err, ERROR_SYNTAX, "%zu extra bytes after the message", size - at);
	return 0;
}
