/*
 * Crash wire: a byte with the form of the message, then items of a fixed size.
 */
#include "fescuemill/decide/crash_wire.h"

#include <endian.h>
#include <string.h>

#define MESSAGE_FORM 1

/* State byte: number of ends in the lowest bits, then whether it was answered, relapses, and
 * whether it is sole. */
#define STATE_ENDS_MASK	     3U
#define STATE_ANSWERED	     4U
#define STATE_RELAPSES_SHIFT 3U
#define STATE_RELAPSES_MASK  15U
#define STATE_SOLE	     128U

static uint8_t *put32(uint8_t *at, uint32_t number)
{
	number = htole32(number);
	memcpy(at, &number, sizeof(number));
	return at + sizeof(number);
}

static const uint8_t *get32(const uint8_t *at, uint32_t *number)
{
	memcpy(number, at, sizeof(*number));
	*number = le32toh(*number);
	return at + sizeof(*number);
}

static uint8_t *put_item(uint8_t *at, const struct crash_item *item)
{
	uint64_t digest = htole64(item->digest);

	memcpy(at, &digest, sizeof(digest));
	at += sizeof(digest);
	*at++ = item->generation;
	*at++ = (uint8_t)(item->end_count | (item->is_answered ? STATE_ANSWERED : 0) |
			  (item->is_sole ? STATE_SOLE : 0) |
			  (uint32_t)item->relapses << STATE_RELAPSES_SHIFT);
	for (uint32_t i = 0; i < CRASH_ENDS_REFUSED; i++)
		at = put32(at, i < item->end_count ? item->ends[i] : 0);
	at = put32(at, item->age_ms);
	*at++ = 0; /* reserved */
	return at;
}

static void get_item(const uint8_t *at, struct crash_item *item)
{
	uint64_t digest;
	uint8_t state;

	memset(item, 0, sizeof(*item));
	memcpy(&digest, at, sizeof(digest));
	item->digest = le64toh(digest);
	at += sizeof(digest);
	item->generation = *at++;
	state = *at++;
	item->end_count = state & STATE_ENDS_MASK;
	item->is_answered = (state & STATE_ANSWERED) != 0;
	item->is_sole = (state & STATE_SOLE) != 0;
	item->relapses = (state >> STATE_RELAPSES_SHIFT) & STATE_RELAPSES_MASK;
	for (uint32_t i = 0; i < CRASH_ENDS_REFUSED; i++)
		at = get32(at, &item->ends[i]);
	get32(at, &item->age_ms);
}

size_t crash_write(const struct crash_message *message, uint8_t *data)
{
	uint8_t *at = data;

	*at++ = MESSAGE_FORM;
	for (uint32_t i = 0; i < message->count; i++)
		at = put_item(at, &message->items[i]);
	return (size_t)(at - data);
}

/* Returns true if the ends of an item are in ascending order, as in every item of a table. */
static bool has_valid_ends(const struct crash_item *item)
{
	for (uint32_t i = 1; i < item->end_count; i++) {
		if (item->ends[i] <= item->ends[i - 1])
			return false;
	}
	return true;
}

int crash_read(const uint8_t *data, size_t size, struct crash_message *message, struct error *err)
{
	message->count = 0;
	if (size == 0)
		return error_set(err, ERROR_TRUNCATED, "crash message is empty");
	if (data[0] != MESSAGE_FORM)
		return error_set(err, ERROR_TYPE, "crash message has the unknown form %u", data[0]);
	if (size > CRASH_MESSAGE_BYTES_MAX || (size - 1) % CRASH_ITEM_BYTES)
		return error_set(err, ERROR_RANGE, "crash message has an invalid size of %zu",
				 size);
	for (size_t at = 1; at < size; at += CRASH_ITEM_BYTES) {
		struct crash_item *item = &message->items[message->count];

		get_item(data + at, item);
		if (!has_valid_ends(item)) {
			message->count = 0;
			return error_set(err, ERROR_RANGE, "crash message has invalid ends");
		}
		message->count++;
	}
	return 0;
}
