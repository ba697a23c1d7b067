/*
 * Compression of texts between nodes.
 */
#ifndef FESCUEMILL_WIRE_COMPRESS_H
#define FESCUEMILL_WIRE_COMPRESS_H

#include "fescuemill/base/error.h"

#include <stddef.h>
#include <stdint.h>

/* Compresses a text into a malloc'ed buffer. Errors: ERROR_MEMORY. */
int compress_text(const char *text, size_t size, uint8_t **out, size_t *out_size,
		  struct error *err);
/* Restores a text of a stated size into a malloc'ed buffer. Errors: ERROR_MEMORY, and ERROR_SYNTAX
 * if the data is damaged or is not that of a text of this size. */
int decompress_text(const uint8_t *data, size_t size, size_t text_size, char **out,
		    struct error *err);

#endif
