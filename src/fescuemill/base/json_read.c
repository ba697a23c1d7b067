/*
 * JSON read: reads fields of an object and checks their type and range.
 */
#include "fescuemill/base/json_read.h"

#include <string.h>

/* Copies a string of 1 to size - 1 bytes. */
int json_read_text(const json_t *object, const char *key, char *out, size_t size, struct error *err)
{
	const json_t *value = json_object_get(object, key);
	size_t length = json_string_length(value);

	if (!value)
		return error_set(err, ERROR_MISSING, "%s: required", key);
	if (!json_is_string(value))
		return error_set(err, ERROR_TYPE, "%s: must be a string", key);
	if (length == 0 || length >= size)
		return error_set(err, ERROR_RANGE, "%s: found %zu bytes, allowed 1 to %zu", key,
				 length, size - 1);
	memcpy(out, json_string_value(value), length + 1);
	return 0;
}

/* Returns a string of any length but 0, which belongs to the object. */
const char *json_read_string(const json_t *object, const char *key, struct error *err)
{
	const json_t *value = json_object_get(object, key);

	if (!value)
		error_set(err, ERROR_MISSING, "%s: required", key);
	else if (!json_is_string(value))
		error_set(err, ERROR_TYPE, "%s: must be a string", key);
	else if (json_string_length(value) == 0)
		error_set(err, ERROR_RANGE, "%s: must not be empty", key);
	else
		return json_string_value(value);
	return NULL;
}

/* Reads an integer into 64 bits. After an error *out is 0. */
int json_read_u64(const json_t *object, const char *key, json_int_t lowest, json_int_t highest,
		  uint64_t *out, struct error *err)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	*out = 0;
	if (!value)
		return error_set(err, ERROR_MISSING, "%s: required", key);
	if (!json_is_integer(value))
		return error_set(err, ERROR_TYPE, "%s: must be an integer", key);
	if (number < lowest || number > highest)
		return error_set(err, ERROR_RANGE, "%s: found %lld, allowed %lld to %lld", key,
				 (long long)number, (long long)lowest, (long long)highest);
	*out = (uint64_t)number;
	return 0;
}

/* Reads an integer into 32 bits. After an error *out is 0. */
int json_read_u32(const json_t *object, const char *key, json_int_t lowest, json_int_t highest,
		  uint32_t *out, struct error *err)
{
	uint64_t number;
	int status = json_read_u64(object, key, lowest, highest, &number, err);

	*out = (uint32_t)number;
	return status;
}
