/*
 * Service objects: reading, checking and writing of the platform's "service" objects.
 */
#ifndef FESCUEMILL_FLEET_SERVICE_JSON_H
#define FESCUEMILL_FLEET_SERVICE_JSON_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <jansson.h>
#include <stddef.h>

#define SERVICE_TEAM_BYTES  32
#define SERVICE_BY_BYTES    48
#define CHANGE_ID_BYTES	    33
#define SERVICE_CHANGES_MAX 16
#define SERVICE_RANK_MAX    15

/* One accepted change of a service object. */
struct service_change {
	char id[CHANGE_ID_BYTES];
	char by[SERVICE_BY_BYTES];
	uint64_t at_ms; /* wall time of the writer */
};

struct service_object {
	struct service_config config;
	char team[SERVICE_TEAM_BYTES];
	uint32_t change_count;
	struct service_change changes[SERVICE_CHANGES_MAX]; /* newest last */
};

/* Errors name the JSON path. ERROR_SYNTAX, ERROR_MISSING, ERROR_UNKNOWN_KEY, ERROR_TYPE,
 * ERROR_RANGE. The version is left at 0: it stands outside of the value. */
int service_parse(const char *json, size_t size, struct service_object *out, struct error *err);
/* The same from a JSON value. */
int service_read(json_t *json, struct service_object *out, struct error *err);
/* Writes a malloc'ed text. Errors: ERROR_MEMORY. */
int service_write(const struct service_object *object, char **json, size_t *size,
		  struct error *err);
/* The object as a new JSON value, or NULL without memory. */
json_t *service_pack(const struct service_object *object);
/* One class alone, as it stands in a service object. */
int service_read_class(json_t *json, struct class_target *out, struct error *err);
json_t *service_pack_class(const struct class_target *target);
/* Adds a change, forgetting the oldest when there are SERVICE_CHANGES_MAX. */
void service_add_change(struct service_object *object, const struct service_change *change);
bool service_has_change(const struct service_object *object, const char *id);

#endif
