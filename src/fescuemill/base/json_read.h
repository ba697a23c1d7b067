/*
 * JSON read: reads fields of an object and checks their type and range.
 */
#ifndef FESCUEMILL_BASE_JSON_READ_H
#define FESCUEMILL_BASE_JSON_READ_H

#include "fescuemill/base/error.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/* Copies a string of 1 to size - 1 bytes. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int json_read_text(const json_t *object, const char *key, char *out, size_t size,
		   struct error *err);
/* Returns a string of any length but 0, which belongs to the object; NULL after an error. Errors:
 * ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
const char *json_read_string(const json_t *object, const char *key, struct error *err);
/*
 * Read an integer from lowest to highest into 32 or 64 bits. After an error *out is 0. Errors:
 * ERROR_MISSING, ERROR_TYPE, ERROR_RANGE.
 */
int json_read_u32(const json_t *object, const char *key, json_int_t lowest, json_int_t highest,
		  uint32_t *out, struct error *err);
int json_read_u64(const json_t *object, const char *key, json_int_t lowest, json_int_t highest,
		  uint64_t *out, struct error *err);

#endif
