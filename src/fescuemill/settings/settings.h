/*
 * Settings: reads and checks the JSON settings of a node.
 */
#ifndef FESCUEMILL_SETTINGS_SETTINGS_H
#define FESCUEMILL_SETTINGS_SETTINGS_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stddef.h>

/* Description of one key, as listed in docs/SETTINGS.md. A test compares the two. */
struct settings_key_info {
	const char *name;
	const char *type;	   /* "text", "address", "number", "choice" or "list" */
	const char *unit;	   /* "" if there is none; for a choice, the allowed values */
	const char *default_value; /* value of an absent key; NULL if the key is required */
	uint64_t lowest;	   /* of a number, or bytes of a text, or entries of a list */
	uint64_t highest;
	const char *help;
};

int settings_load(const char *path, struct settings *out, struct error *err);
int settings_parse(const char *text, size_t size, const char *source, struct settings *out,
		   struct error *err);
size_t settings_key_count(void);
struct settings_key_info settings_key_at(size_t index);
int endpoint_parse(const char *text, struct endpoint *out, struct error *err);
const char *choice_policy_name(enum choice_policy policy);

#endif
