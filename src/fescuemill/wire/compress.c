/*
 * Compression of texts between nodes, with zlib.
 */
#include "fescuemill/wire/compress.h"

#include <stdlib.h>
#include <zlib.h>

/* Compresses a text. */
int compress_text(const char *text, size_t size, uint8_t **out, size_t *out_size, struct error *err)
{
	uLongf room = compressBound(size);
	uint8_t *data = malloc(room);

	/* compress2() fails only for lack of memory: the buffer is large enough. */
	if (!data || compress2(data, &room, (const Bytef *)text, size, Z_BEST_SPEED) != Z_OK) {
		free(data);
		return error_set(err, ERROR_MEMORY, "no memory to compress %zu bytes", size);
	}
	*out = data;
	*out_size = room;
	return 0;
}

/* Restores a text of a stated size. */
int decompress_text(const uint8_t *data, size_t size, size_t text_size, char **out,
		    struct error *err)
{
	uLongf room = text_size;
	char *text = malloc(text_size + 1);

	if (!text)
		return error_set(err, ERROR_MEMORY, "no memory for a text of %zu bytes", text_size);
	if (uncompress((Bytef *)text, &room, data, size) != Z_OK || room != text_size) {
		free(text);
		return error_set(err, ERROR_SYNTAX, "compressed text is not one of %zu bytes",
				 text_size);
	}
	text[text_size] = '\0';
	*out = text;
	return 0;
}
