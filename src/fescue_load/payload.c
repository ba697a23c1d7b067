/*
 * Payload: pseudo-random body bytes derived from the id of a call, and body checksums.
 */
#include "fescue_load/payload.h"

#include <stdio.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define SPLITMIX64_INCREMENT 0x9e3779b97f4a7c15ULL

/* Returns the byte at an offset of the sequence: SplitMix64 over the index of the 8-byte word. */
static char byte_at(uint64_t state, uint64_t offset)
{
	uint64_t word = state + (offset / 8 + 1) * SPLITMIX64_INCREMENT;

	word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
	word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
	word ^= word >> 31;
	return (char)(word >> (8 * (offset % 8)));
}

/* Starts the sequence of a call id. */
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

/*
 * Returns true if data equals the next bytes of the sequence, and advances over them. Stops at the
 * first wrong byte.
 */
bool payload_check(struct payload *payload, const char *data, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++) {
		if (data[i] != byte_at(payload->state, payload->offset++))
			return false;
	}
	return true;
}

/* Writes the checksum of a complete body as 16 hex digits. */
void payload_checksum(const void *data, size_t bytes, char text[PAYLOAD_CHECKSUM_BYTES])
{
	snprintf(text, PAYLOAD_CHECKSUM_BYTES, "%016llx",
		 (unsigned long long)XXH3_64bits(data, bytes));
}
