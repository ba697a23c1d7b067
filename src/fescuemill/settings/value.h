/*
 * Value: checked reading of JSON values. An error detail names the source, the JSON path, the found
 * value and what is allowed.
 */
#ifndef FESCUEMILL_SETTINGS_VALUE_H
#define FESCUEMILL_SETTINGS_VALUE_H

#include "fescuemill/base/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VALUE_PATH_BYTES 96

/* A JSON value and its location. */
struct value {
	json_t *json;		     /* a borrowed reference; NULL if there is no value */
	const char *source;	     /* name of the file or object, for error details */
	char path[VALUE_PATH_BYTES]; /* JSON path, for error details */
	bool is_secret;		     /* error details must not show what was found */
};

const char *value_source_suffix(const char *source);
int value_error(const struct value *value, enum error_kind kind, struct error *err,
		const char *allowed);
int value_check_keys(const struct value *value, const char *const *names, struct error *err);
int value_get_member(const struct value *value, const char *name, struct value *out,
		     struct error *err);
struct value value_get_item(const struct value *value, uint32_t index);
int value_read_text(const struct value *value, char *out, size_t size, size_t lowest,
		    struct error *err);
int value_read_name(const struct value *value, char *out, size_t size, struct error *err);
int value_read_secret(const struct value *value, char *out, size_t size, size_t lowest,
		      struct error *err);
int value_read_number(const struct value *value, uint64_t lowest, uint64_t highest,
		      const char *unit, uint64_t *out, struct error *err);
int value_read_real(const struct value *value, double lowest, double highest, const char *unit,
		    double *out, struct error *err);
int value_check_list_size(const struct value *value, uint32_t lowest, uint32_t highest,
			  uint32_t *count, struct error *err);
int value_read_file(const char *path, char **text, size_t *size, struct error *err);

#endif
