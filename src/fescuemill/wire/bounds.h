/*
 * Bounds: checks msgpack bytes before they are unpacked, so that a false length field cannot make
 * the unpacker allocate far more memory than the message takes.
 */
#ifndef FESCUEMILL_WIRE_BOUNDS_H
#define FESCUEMILL_WIRE_BOUNDS_H

#include "fescuemill/base/error.h"

#include <stddef.h>
#include <stdint.h>

#define BOUNDS_ITEMS_MAX 1024

/* Accepts exactly one msgpack value of at most BOUNDS_ITEMS_MAX items that takes up all bytes.
 * Errors: ERROR_TRUNCATED, ERROR_SYNTAX, ERROR_TOO_LARGE. */
int bounds_check(const uint8_t *data, size_t size, struct error *err);

#endif
