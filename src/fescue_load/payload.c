/*
 * Payload: pseudo-random body bytes from a call's id, and body checksums.
 */
#include "fescue_load/payload.h"

#include <stdio.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define MIX 0x9e3779b97f4a7c15ULL

/* Gives the byte at an offset of the sequence (SplitMix64 over the word's index). */
static char byte_at(uint64_t state, uint64_t offset)
{
	uint64_t word = state + (offset / 8 + 1) * MIX;

	word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
	word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
	word ^= word >> 31;
	return (char)(word >> (8 * (offset % 8)));
}

/* Starts the sequence that belongs to a call's id. */
void payload_start(struct payload *payload, const char *call_id, size_t bytes)
{
	payload->state = XXH3_64bits(call_id, bytes);
	payload->offset = 0;
}

/* Writes the next bytes of the sequence. */
void payload_fill(struct payload *payload, char *into, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		into[i] = byte_at(payload->state, payload->offset++);
}

/* Tells whether data is the next part of the sequence, and steps over it. */
bool payload_check(struct payload *payload, const char *data, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++) {
		if (data[i] != byte_at(payload->state, payload->offset++))
			return false;
	}
	return true;
}

/* Writes the checksum of a whole body as 16 hex digits. */
void payload_sum(const void *data, size_t bytes, char text[PAYLOAD_SUM_BYTES])
{
	snprintf(text, PAYLOAD_SUM_BYTES, "%016llx", (unsigned long long)XXH3_64bits(data, bytes));
}
