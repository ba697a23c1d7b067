/*
 * Allotment messages: one byte for the type, then rows of little-endian numbers.
 */
#include "fescuemill/decide/allotment_wire.h"

#include <string.h>

#define FLAG_LIMITED 1U
#define FLAG_TOLD    2U
#define FLAG_WAITING 4U

static uint8_t *put(uint8_t *at, uint64_t value, uint32_t bytes)
{
	for (uint32_t i = 0; i < bytes; i++)
		at[i] = (uint8_t)(value >> (8 * i));
	return at + bytes;
}

static uint64_t get(const uint8_t **at, uint32_t bytes)
{
	uint64_t value = 0;

	for (uint32_t i = 0; i < bytes; i++)
		value |= (uint64_t)(*at)[i] << (8 * i);
	*at += bytes;
	return value;
}

static uint8_t *put_report(uint8_t *at, const struct allotment_report *report)
{
	at = put(at, report->customer, 8);
	at = put(at, report->epoch, 4);
	at = put(at, report->offered, 4);
	at = put(at, report->admitted, 4);
	at = put(at, report->given_back, 4);
	at = put(at, report->recent, 2);
	return put(at,
		   (report->is_limited ? FLAG_LIMITED : 0) | (report->was_told ? FLAG_TOLD : 0) |
			   (report->is_waiting ? FLAG_WAITING : 0),
		   1);
}

static uint8_t *put_word(uint8_t *at, const struct allotment_word *word)
{
	at = put(at, word->customer, 8);
	at = put(at, word->epoch, 4);
	at = put(at, word->used, 4);
	at = put(at, word->rate_milli, 4);
	at = put(at, word->share, 2);
	at = put(at, word->credit, 2);
	at = put(at, word->interval, 2);
	return put(at, word->wait, 2);
}

static void get_report(const uint8_t *at, struct allotment_report *report)
{
	uint32_t flags;

	report->customer = get(&at, 8);
	report->epoch = (uint32_t)get(&at, 4);
	report->offered = (uint32_t)get(&at, 4);
	report->admitted = (uint32_t)get(&at, 4);
	report->given_back = (uint32_t)get(&at, 4);
	report->recent = (uint16_t)get(&at, 2);
	flags = (uint32_t)get(&at, 1);
	report->is_limited = (flags & FLAG_LIMITED) != 0;
	report->was_told = (flags & FLAG_TOLD) != 0;
	report->is_waiting = (flags & FLAG_WAITING) != 0;
}

static void get_word(const uint8_t *at, struct allotment_word *word)
{
	word->customer = get(&at, 8);
	word->epoch = (uint32_t)get(&at, 4);
	word->used = (uint32_t)get(&at, 4);
	word->rate_milli = (uint32_t)get(&at, 4);
	word->share = (uint16_t)get(&at, 2);
	word->credit = (uint16_t)get(&at, 2);
	word->interval = (uint16_t)get(&at, 2);
	word->wait = (uint16_t)get(&at, 2);
}

/* Writes a message into `data`, which has room for ALLOTMENT_BYTES_MAX; returns its size. */
size_t allotment_write(const struct allotment_message *message, uint8_t *data)
{
	uint8_t *at = put(data, message->type, 1);

	for (uint32_t i = 0; i < message->count; i++) {
		if (message->type == ALLOTMENT_REPORTS)
			at = put_report(at, &message->reports[i]);
		else
			at = put_word(at, &message->words[i]);
	}
	return (size_t)(at - data);
}

/* Reads a message. Errors: ERROR_TRUNCATED, ERROR_TYPE, ERROR_RANGE. */
int allotment_read(struct allotment_message *message, const uint8_t *data, size_t size,
		   struct error *err)
{
	size_t row;

	if (size < 1)
		return error_set(err, ERROR_TRUNCATED, "allotment message is empty");
	if (data[0] != ALLOTMENT_REPORTS && data[0] != ALLOTMENT_WORDS)
		return error_set(err, ERROR_TYPE, "allotment message has the unknown type %u",
				 data[0]);
	message->type = (enum allotment_message_type)data[0];
	row = message->type == ALLOTMENT_REPORTS ? ALLOTMENT_REPORT_BYTES : ALLOTMENT_WORD_BYTES;
	if (size > ALLOTMENT_BYTES_MAX || (size - 1) % row)
		return error_set(err, ERROR_RANGE, "allotment message has an invalid size of %zu",
				 size);
	message->count = (uint32_t)((size - 1) / row);
	for (uint32_t i = 0; i < message->count; i++) {
		if (message->type == ALLOTMENT_REPORTS)
			get_report(data + 1 + i * row, &message->reports[i]);
		else
			get_word(data + 1 + i * row, &message->words[i]);
	}
	return 0;
}
