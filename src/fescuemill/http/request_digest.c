/*
 * Request digest. Each part is hashed with the hash of those before it as seed, so that bytes
 * cannot move from one part to the next.
 */
#include "fescuemill/http/request_digest.h"

#include "fescuemill/http/answer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

static uint64_t hash_bytes(struct wire_bytes bytes, uint64_t seed)
{
	seed += bytes.size;
	return bytes.size ? XXH3_64bits_withSeed(bytes.data, bytes.size, seed)
			  : XXH3_64bits_withSeed("", 0, seed);
}

uint64_t request_digest(const struct request_parts *parts)
{
	uint64_t digest = hash_bytes(parts->method, parts->customer);

	digest = hash_bytes(headers_find(parts->headers, "host"), digest);
	digest = hash_bytes(parts->path, digest);
	if (parts->caller_header)
		digest = hash_bytes(headers_find(parts->headers, parts->caller_header), digest);
	return hash_bytes(parts->body, digest);
}
