/*
 * Payload: body bytes derived from the id of a call, so that either end can check a complete body
 * without storing it.
 */
#ifndef FESCUE_LOAD_PAYLOAD_H
#define FESCUE_LOAD_PAYLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PAYLOAD_CHECKSUM_BYTES 17 /* 16 hex digits and the terminating NUL */

struct payload {
	uint64_t state;	 /* hash of the call id, seed of the sequence */
	uint64_t offset; /* bytes written or checked so far */
};

void payload_start(struct payload *payload, const char *call_id, size_t bytes);
void payload_fill(struct payload *payload, char *into, size_t bytes);
bool payload_check(struct payload *payload, const char *data, size_t bytes);
void payload_checksum(const void *data, size_t bytes, char text[PAYLOAD_CHECKSUM_BYTES]);

#endif
