/*
 * Codec of the messages between nodes: msgpack arrays, [version, type, epoch, id..., [fields...]].
 */
#ifndef FESCUEMILL_WIRE_CODEC_H
#define FESCUEMILL_WIRE_CODEC_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#include <stddef.h>

/* Encodes into a malloc'ed buffer that the caller frees. Errors: ERROR_MEMORY, ERROR_TOO_LARGE. */
int codec_encode(const struct message *msg, uint8_t **data, size_t *size, struct error *err);

/* Decodes a message, which points into data. Errors: ERROR_SYNTAX, ERROR_TRUNCATED, ERROR_VERSION,
 * ERROR_TYPE, ERROR_RANGE, ERROR_TOO_LARGE. */
int codec_decode(const uint8_t *data, size_t size, struct message *msg, struct error *err);

#endif
