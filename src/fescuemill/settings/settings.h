/*
 * Settings: reading and checking of a node's JSON settings.
 */
#ifndef FESCUEMILL_SETTINGS_SETTINGS_H
#define FESCUEMILL_SETTINGS_SETTINGS_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stddef.h>

/* What docs/OPERATING.md says of one key; a test compares the two. */
struct settings_key_info {
	const char *name;
	const char *type;     /* "text", "address", "number", "choice" or "list" */
	const char *unit;     /* "" when there is none */
	const char *fallback; /* the value when the key is absent; NULL when it is required */
	uint64_t lowest;
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
