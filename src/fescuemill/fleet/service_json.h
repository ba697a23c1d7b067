/*
 * Service objects: parsing, checking and serialization of the platform's "service" objects.
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
	char by[SERVICE_BY_BYTES]; /* who made the change */
	uint64_t at_ms;		   /* wall clock of the writer, in ms since the epoch */
};

struct service_object {
	struct service_config config;
	char team[SERVICE_TEAM_BYTES];
	uint32_t change_count;
	struct service_change changes[SERVICE_CHANGES_MAX]; /* newest last */
};

/* Parses and checks a service object. Sets the version to 0, as it is not part of the value. Errors
 * name the JSON path: ERROR_SYNTAX, ERROR_MISSING, ERROR_UNKNOWN_KEY, ERROR_TYPE, ERROR_RANGE. */
int service_parse(const char *json, size_t size, struct service_object *out, struct error *err);
/* Like service_parse(), from a JSON value that is already parsed. */
int service_read(json_t *json, struct service_object *out, struct error *err);
/* Serializes an object to malloc'ed JSON text. Errors: ERROR_MEMORY. */
int service_write(const struct service_object *object, char **json, size_t *size,
		  struct error *err);
/* Returns the object as a new JSON value, or NULL if out of memory. */
json_t *service_pack(const struct service_object *object);
/* Parse and serialize a single class, in the format that it has within a service object. */
int service_read_class(json_t *json, struct class_target *out, struct error *err);
json_t *service_pack_class(const struct class_target *target);
/* Adds a change; removes the oldest one if there are already SERVICE_CHANGES_MAX. */
void service_add_change(struct service_object *object, const struct service_change *change);
bool service_has_change(const struct service_object *object, const char *id);

#endif
