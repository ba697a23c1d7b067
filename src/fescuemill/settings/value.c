/*
 * Value: the checks behind settings and platform objects.
 */
#include "fescuemill/settings/value.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SOURCE_BYTES_SHOWN 60
#define NAME_LETTERS	   "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
#define FOUND_BYTES	   48
#define FILE_BYTES_MAX	   ((size_t)1024 * 1024)

/* Gives the end of a long source name, so that the rest of an error keeps its room. */
const char *value_short_source(const char *source)
{
	size_t size = strlen(source);

	return size > SOURCE_BYTES_SHOWN ? source + size - SOURCE_BYTES_SHOWN : source;
}

/* Writes the found value in short. */
static void describe(const json_t *json, char *text, size_t size)
{
	char *dump = json ? json_dumps(json, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	snprintf(text, size, "%s", dump ? dump : "nothing");
	free(dump);
}

/* Fills an error with the source, path, found value and what is allowed; returns -1. */
int value_error(const struct value *value, enum error_kind kind, struct error *err,
		const char *allowed)
{
	char found[FOUND_BYTES];

	describe(value->json, found, sizeof(found));
	return error_set(err, kind, "%s: %s: found %s, allowed %s",
			 value_short_source(value->source), value->path, found, allowed);
}

/* Checks that a value is an object with no key but the given ones. */
int value_keys(const struct value *value, const char *const *names, struct error *err)
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
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: %s.%.40s: not a key here",
					 value_short_source(value->source), value->path, key);
	}
	return 0;
}

/* Gives a member that must be there. */
int value_member(const struct value *value, const char *name, struct value *out, struct error *err)
{
	out->json = json_object_get(value->json, name);
	out->source = value->source;
	snprintf(out->path, sizeof(out->path), "%.*s.%s", VALUE_PATH_BYTES / 2, value->path, name);
	if (!out->json)
		return error_set(err, ERROR_MISSING, "%s: %s: missing",
				 value_short_source(value->source), out->path);
	return 0;
}

/* Gives one entry of a list. */
struct value value_item(const struct value *value, uint32_t index)
{
	struct value item = {.json = json_array_get(value->json, index), .source = value->source};

	snprintf(item.path, sizeof(item.path), "%.*s[%" PRIu32 "]", VALUE_PATH_BYTES / 2,
		 value->path, index);
	return item;
}

/* Copies a text of lowest to size - 1 bytes without control characters. */
int value_text(const struct value *value, char *out, size_t size, size_t lowest, struct error *err)
{
	const char *text = json_string_value(value->json);
	size_t length = json_string_length(value->json);
	char allowed[FOUND_BYTES];

	snprintf(allowed, sizeof(allowed), "a text of %zu to %zu bytes", lowest, size - 1);
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

/* Copies a name: 1 to size - 1 letters, digits, "-", "_" or ".". */
int value_name(const struct value *value, char *out, size_t size, struct error *err)
{
	if (value_text(value, out, size, 1, err))
		return -1;
	if (out[strspn(out, NAME_LETTERS)])
		return value_error(value, ERROR_RANGE, err, "letters, digits, \"-\", \"_\", \".\"");
	return 0;
}

/* Like value_text(), but an error never shows the value. */
int value_secret(const struct value *value, char *out, size_t size, size_t lowest,
		 struct error *err)
{
	struct error inner;

	if (value_text(value, out, size, lowest, &inner) == 0)
		return 0;
	return error_set(err, inner.kind, "%s: %s: allowed a text of %zu to %zu bytes",
			 value_short_source(value->source), value->path, lowest, size - 1);
}

/* Reads a whole number within a range. */
int value_number(const struct value *value, uint64_t lowest, uint64_t highest, const char *unit,
		 uint64_t *out, struct error *err)
{
	char allowed[FOUND_BYTES + 32];
	json_int_t number = json_integer_value(value->json);

	snprintf(allowed, sizeof(allowed), "a whole number of %" PRIu64 " to %" PRIu64 " %.20s",
		 lowest, highest, unit);
	if (!json_is_integer(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (number < 0 || (uint64_t)number < lowest || (uint64_t)number > highest)
		return value_error(value, ERROR_RANGE, err, allowed);
	*out = (uint64_t)number;
	return 0;
}

/* Reads a number within a range. */
int value_real(const struct value *value, double lowest, double highest, const char *unit,
	       double *out, struct error *err)
{
	char allowed[FOUND_BYTES + 32];
	double number = json_number_value(value->json);

	snprintf(allowed, sizeof(allowed), "a number of %g to %g %.20s", lowest, highest, unit);
	if (!json_is_number(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (!(number >= lowest && number <= highest))
		return value_error(value, ERROR_RANGE, err, allowed);
	*out = number;
	return 0;
}

/* Checks the length of a list. */
int value_list(const struct value *value, uint32_t lowest, uint32_t highest, uint32_t *count,
	       struct error *err)
{
	char allowed[FOUND_BYTES];
	size_t size = json_array_size(value->json);

	snprintf(allowed, sizeof(allowed), "a list of %" PRIu32 " to %" PRIu32, lowest, highest);
	if (!json_is_array(value->json))
		return value_error(value, ERROR_TYPE, err, allowed);
	if (size < lowest || size > highest)
		return value_error(value, ERROR_RANGE, err, allowed);
	*count = (uint32_t)size;
	return 0;
}

/* Reads a whole file of at most 1 MiB into a malloc'ed text. Errors: ERROR_SYSTEM, ERROR_MEMORY,
 * ERROR_TOO_LARGE. */
int value_read_file(const char *path, char **text, size_t *size, struct error *err)
{
	FILE *file = fopen(path, "rb");
	int status = 0;

	if (!file)
		return error_set_errno(err, errno, "cannot open %s", path);
	*text = malloc(FILE_BYTES_MAX + 1);
	if (!*text) {
		fclose(file);
		return error_set(err, ERROR_MEMORY, "no memory to read %s", path);
	}
	*size = fread(*text, 1, FILE_BYTES_MAX + 1, file);
	if (ferror(file))
		status = error_set_errno(err, errno, "cannot read %s", path);
	else if (*size > FILE_BYTES_MAX)
		status = error_set(err, ERROR_TOO_LARGE, "%s is over %zu bytes", path,
				   FILE_BYTES_MAX);
	fclose(file);
	if (status)
		free(*text);
	return status;
}
