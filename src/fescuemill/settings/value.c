/*
 * Value: checked reading of JSON values, for settings and platform objects.
 */
#include "fescuemill/settings/value.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SOURCE_SUFFIX_BYTES 60
#define NAME_CHARS	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
#define DESCRIPTION_BYTES   48
#define FILE_BYTES_MAX	    ((size_t)1024 * 1024)

/*
 * Returns the last SOURCE_SUFFIX_BYTES of a longer source name, so that an error detail has room
 * for the rest of its text.
 */
const char *value_source_suffix(const char *source)
{
	size_t size = strlen(source);

	return size > SOURCE_SUFFIX_BYTES ? source + size - SOURCE_SUFFIX_BYTES : source;
}

/* Formats a JSON value as compact JSON, truncated to size - 1 bytes. */
static void format_value(const json_t *json, char *text, size_t size)
{
	char *dump = json ? json_dumps(json, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	snprintf(text, size, "%s", dump ? dump : "nothing");
	free(dump);
}

/* Fills an error with the source, path, found value and what is allowed. Returns -1. */
int value_error(const struct value *value, enum error_kind kind, struct error *err,
		const char *allowed)
{
	char found[DESCRIPTION_BYTES];

	if (value->is_secret)
		snprintf(found, sizeof(found), "a value that is not shown");
	else
		format_value(value->json, found, sizeof(found));
	return error_set(err, kind, "%s: %s: found %s, allowed %s",
			 value_source_suffix(value->source), value->path, found, allowed);
}

/* Checks that a value is an object without other keys than names, a list that ends with NULL. */
int value_check_keys(const struct value *value, const char *const *names, struct error *err)
{
	const char *key;
	json_t *unused;

	if (!json_is_object(value->json))
		return value_error(value, ERROR_TYPE, err, "an object");
	json_object_foreach(value->json, key, unused)
	{
		size_t i = 0;

		while (names[i] && strcmp(names[i], key) != 0)
			i++;
		if (!names[i])
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: %s.%.40s: unknown key",
					 value_source_suffix(value->source), value->path, key);
	}
	return 0;
}

/* Looks up a required member of an object. Errors: ERROR_MISSING. */
int value_get_member(const struct value *value, const char *name, struct value *out,
		     struct error *err)
{
	out->json = json_object_get(value->json, name);
	out->source = value->source;
	out->is_secret = value->is_secret;
	snprintf(out->path, sizeof(out->path), "%.*s.%s", VALUE_PATH_BYTES / 2, value->path, name);
	if (!out->json)
		return error_set(err, ERROR_MISSING, "%s: %s: missing",
				 value_source_suffix(value->source), out->path);
	return 0;
}

/* Returns an entry of a list. */
struct value value_get_item(const struct value *value, uint32_t index)
{
	struct value item = {.json = json_array_get(value->json, index),
			     .source = value->source,
			     .is_secret = value->is_secret};

	snprintf(item.path, sizeof(item.path), "%.*s[%" PRIu32 "]", VALUE_PATH_BYTES / 2,
		 value->path, index);
	return item;
}

/* Copies a string of lowest to size - 1 bytes, without control characters. */
int value_read_text(const struct value *value, char *out, size_t size, size_t lowest,
		    struct error *err)
{
	const char *text = json_string_value(value->json);
	size_t length = json_string_length(value->json);
	char allowed[DESCRIPTION_BYTES];

	snprintf(allowed, sizeof(allowed), "a string of %zu to %zu bytes", lowest, size - 1);
	if (!text)
		return value_error(value, ERROR_TYPE, err, allowed);
	if (length < lowest || length >= size || strlen(text) != length)
		return value_error(value, ERROR_RANGE, err, allowed);
	for (size_t i = 0; i < length; i++) {
		if ((unsigned char)text[i] < ' ')
			return value_error(value, ERROR_RANGE, err, "no control characters");
	}
	memcpy(out, text, length + 1);
	return 0;
}

/* Copies a name of 1 to size - 1 characters: ASCII letters, digits, "-", "_" and ".". */
int value_read_name(const struct value *value, char *out, size_t size, struct error *err)
{
	if (value_read_text(value, out, size, 1, err))
		return -1;
	if (out[strspn(out, NAME_CHARS)])
		return value_error(value, ERROR_RANGE, err,
				   "letters, digits, \"-\", \"_\" and \".\"");
	return 0;
}

/* Like value_read_text(), but the error detail never contains the value. */
int value_read_secret(const struct value *value, char *out, size_t size, size_t lowest,
		      struct error *err)
{
	struct error text_err;

	if (value_read_text(value, out, size, lowest, &text_err) == 0)
		return 0;
	return error_set(err, text_err.kind, "%s: %s: must be a string of %zu to %zu bytes",
			 value_source_suffix(value->source), value->path, lowest, size - 1);
}

/* Reads an integer from lowest to highest; unit is for the error detail. */
int value_read_number(const struct value *value, uint64_t lowest, uint64_t highest,
		      const char *unit, uint64_t *out, struct error *err)
{
	char allowed[DESCRIPTION_BYTES + 32];
	json_int_t number = json_integer_value(value->json);

	snprintf(allowed, sizeof(allowed), "an integer of %" PRIu64 " to %" PRIu64 " %.20s", lowest,
		 highest, unit);
	if (!json_is_integer(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (number < 0 || (uint64_t)number < lowest || (uint64_t)number > highest)
		return value_error(value, ERROR_RANGE, err, allowed);
	*out = (uint64_t)number;
	return 0;
}

/* Reads a number from lowest to highest; unit is for the error detail. */
int value_read_real(const struct value *value, double lowest, double highest, const char *unit,
		    double *out, struct error *err)
{
	char allowed[DESCRIPTION_BYTES + 32];
	double number = json_number_value(value->json);

	snprintf(allowed, sizeof(allowed), "a number of %g to %g %.20s", lowest, highest, unit);
	if (!json_is_number(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (!(number >= lowest && number <= highest))
		return value_error(value, ERROR_RANGE, err, allowed);
	*out = number;
	return 0;
}

/* Checks that a value is a list of lowest to highest entries, and stores their number. */
int value_check_list_size(const struct value *value, uint32_t lowest, uint32_t highest,
			  uint32_t *count, struct error *err)
{
	char allowed[DESCRIPTION_BYTES];
	size_t size = json_array_size(value->json);

	snprintf(allowed, sizeof(allowed), "a list of size %" PRIu32 " to %" PRIu32, lowest,
		 highest);
	if (!json_is_array(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (size < lowest || size > highest)
		return value_error(value, ERROR_RANGE, err, allowed);
	*count = (uint32_t)size;
	return 0;
}

/*
 * Reads a file of at most 1 MiB (FILE_BYTES_MAX). On success the caller must free *text, which
 * has no terminating NUL. Errors: ERROR_SYSTEM, ERROR_MEMORY, ERROR_TOO_LARGE.
 */
int value_read_file(const char *path, char **text, size_t *size, struct error *err)
{
	FILE *file = fopen(path, "rb");
	int status = 0;

	if (!file)
		return error_set_errno(err, errno, "cannot open %s", path);
	*text = malloc(FILE_BYTES_MAX + 1);
	if (!*text) {
		fclose(file);
		return error_set(err, ERROR_MEMORY, "out of memory while reading %s", path);
	}
	*size = fread(*text, 1, FILE_BYTES_MAX + 1, file);
	if (ferror(file))
		status = error_set_errno(err, errno, "cannot read %s", path);
	else if (*size > FILE_BYTES_MAX)
		status = error_set(err, ERROR_TOO_LARGE, "%s is larger than %zu bytes", path,
				   FILE_BYTES_MAX);
	fclose(file);
	if (status)
		free(*text);
	return status;
}
