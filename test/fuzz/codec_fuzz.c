/*
 * Fuzz target: messages between nodes. A message that can be decoded must encode to one that
 * decodes to the same type and attempt id.
 */
#include "fescuemill/wire/codec.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct message first;
	struct message second;
	struct error err;
	uint8_t *encoded;
	size_t encoded_size;

	if (codec_decode(data, size, &first, &err) != 0)
		return 0;
	if (codec_encode(&first, &encoded, &encoded_size, &err) != 0)
		abort();
	if (codec_decode(encoded, encoded_size, &second, &err) != 0)
		abort();
	if (first.type != second.type || !attempt_id_equal(&first.id, &second.id))
		abort();
	free(encoded);
	return 0;
}
