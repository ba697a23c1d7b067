/*
 * Service objects: the classes of a service with their targets, its team and its last changes, as
 * JSON.
 */
#include "fescuemill/fleet/service_json.h"

#include "fescuemill/settings/value.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define LATENCY_MS_MIN	 0.1
#define LATENCY_MS_MAX	 600000.0
#define PERCENTILE_MIN	 50.0
#define PERCENTILE_MAX	 99.9
#define CALLS_PER_S_MAX	 1000000
#define WALL_MS_MAX	 9007199254740991ULL /* 2^53 - 1, exact in a double */
#define PERCENTILE_SCALE 10.0
#define USEC_PER_MS	 1000.0

static const char *const object_keys[] = {"service", "team", "classes", "changes", NULL};
static const char *const class_keys[] = {"name",       "rank",	      "latency_ms",
					 "percentile", "calls_per_s", NULL};
static const char *const change_keys[] = {"id", "by", "at_ms", NULL};

/* Reads the required member `name` of an object as a name. */
static int read_name(const struct value *object, const char *name, char *out, size_t size,
		     struct error *err)
{
	struct value value;

	if (value_get_member(object, name, &value, err))
		return -1;
	return value_read_name(&value, out, size, err);
}

/* Reads the required member `name` of an object as an integer from 0 to `highest`. */
static int read_number(const struct value *object, const char *name, uint64_t highest,
		       const char *unit, uint64_t *out, struct error *err)
{
	struct value value;

	if (value_get_member(object, name, &value, err))
		return -1;
	return value_read_number(&value, 0, highest, unit, out, err);
}

static int read_latency(const struct value *object, struct class_target *out, struct error *err)
{
	struct value value;
	double number;

	if (value_get_member(object, "latency_ms", &value, err) ||
	    value_read_real(&value, LATENCY_MS_MIN, LATENCY_MS_MAX, "ms", &number, err))
		return -1;
	out->latency_us = (uint32_t)lround(number * USEC_PER_MS);
	if (value_get_member(object, "percentile", &value, err) ||
	    value_read_real(&value, PERCENTILE_MIN, PERCENTILE_MAX, "percent", &number, err))
		return -1;
	out->percentile_x10 = (uint32_t)lround(number * PERCENTILE_SCALE);
	return 0;
}

static int read_class(const struct value *value, struct class_target *out, struct error *err)
{
	uint64_t number;

	if (value_check_keys(value, class_keys, err) ||
	    read_name(value, "name", out->name, sizeof(out->name), err) ||
	    read_number(value, "rank", SERVICE_RANK_MAX, "", &number, err))
		return -1;
	out->rank = (uint32_t)number;
	if (read_latency(value, out, err) ||
	    read_number(value, "calls_per_s", CALLS_PER_S_MAX, "calls/s", &number, err))
		return -1;
	out->calls_per_s = (uint32_t)number;
	return 0;
}

/* Checks that no class before `index` has the same name. */
static int check_name(const struct service_config *config, uint32_t index,
		      const struct value *entry, struct error *err)
{
	for (uint32_t i = 0; i < index; i++) {
		if (strcmp(config->classes[i].name, config->classes[index].name) == 0)
			return error_set(err, ERROR_RANGE, "%s.name: found \"%s\" a second time",
					 entry->path, config->classes[i].name);
	}
	return 0;
}

static int read_classes(const struct value *root, struct service_config *out, struct error *err)
{
	struct value list;

	if (value_get_member(root, "classes", &list, err) ||
	    value_check_list_size(&list, 1, CLASSES_PER_SERVICE_MAX, &out->class_count, err))
		return -1;
	for (uint32_t i = 0; i < out->class_count; i++) {
		struct value entry = value_get_item(&list, i);

		if (read_class(&entry, &out->classes[i], err) || check_name(out, i, &entry, err))
			return -1;
	}
	return 0;
}

static int read_change(const struct value *value, struct service_change *out, struct error *err)
{
	struct value by;

	if (value_check_keys(value, change_keys, err) ||
	    read_name(value, "id", out->id, sizeof(out->id), err) ||
	    value_get_member(value, "by", &by, err) ||
	    value_read_text(&by, out->by, sizeof(out->by), 1, err))
		return -1;
	return read_number(value, "at_ms", WALL_MS_MAX, "ms", &out->at_ms, err);
}

/* Reads the changes. They are optional, as an object written by hand may have none. */
static int read_changes(const struct value *root, struct service_object *out, struct error *err)
{
	struct value list;

	out->change_count = 0;
	if (!json_object_get(root->json, "changes"))
		return 0;
	if (value_get_member(root, "changes", &list, err) ||
	    value_check_list_size(&list, 0, SERVICE_CHANGES_MAX, &out->change_count, err))
		return -1;
	for (uint32_t i = 0; i < out->change_count; i++) {
		struct value entry = value_get_item(&list, i);

		if (read_change(&entry, &out->changes[i], err))
			return -1;
	}
	return 0;
}

/* Parses and checks one class. Errors: those of service_parse(), except ERROR_SYNTAX. */
int service_read_class(json_t *json, struct class_target *out, struct error *err)
{
	struct value root = {.json = json, .source = "class", .path = "$"};

	return read_class(&root, out, err);
}

/* Parses and checks a service object from a JSON value. Errors: those of service_parse(), except
 * ERROR_SYNTAX. */
int service_read(json_t *json, struct service_object *out, struct error *err)
{
	struct value root = {.json = json, .source = "service", .path = "$"};

	memset(out, 0, sizeof(*out));
	if (value_check_keys(&root, object_keys, err) ||
	    read_name(&root, "service", out->config.service, sizeof(out->config.service), err) ||
	    read_name(&root, "team", out->team, sizeof(out->team), err) ||
	    read_classes(&root, &out->config, err) || read_changes(&root, out, err))
		return -1;
	return 0;
}

/* Parses and checks a service object from JSON text. Errors: see the header. */
int service_parse(const char *json, size_t size, struct service_object *out, struct error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json, size, JSON_REJECT_DUPLICATES, &fault);
	int status;

	if (!root)
		return error_set(err, ERROR_SYNTAX, "line %d, column %d: %s", fault.line,
				 fault.column, fault.text);
	status = service_read(root, out, err);
	json_decref(root);
	return status;
}

/* Returns a class as a new JSON value, or NULL if out of memory. */
json_t *service_pack_class(const struct class_target *target)
{
	return json_pack("{s:s, s:I, s:f, s:f, s:I}", "name", target->name, "rank",
			 (json_int_t)target->rank, "latency_ms", target->latency_us / USEC_PER_MS,
			 "percentile", target->percentile_x10 / PERCENTILE_SCALE, "calls_per_s",
			 (json_int_t)target->calls_per_s);
}

/* Returns a service object as a new JSON value, or NULL if out of memory. */
json_t *service_pack(const struct service_object *object)
{
	json_t *classes = json_array();
	json_t *changes = json_array();

	for (uint32_t i = 0; i < object->config.class_count; i++)
		json_array_append_new(classes, service_pack_class(&object->config.classes[i]));
	for (uint32_t i = 0; i < object->change_count; i++) {
		const struct service_change *change = &object->changes[i];

		json_array_append_new(changes,
				      json_pack("{s:s, s:s, s:I}", "id", change->id, "by",
						change->by, "at_ms", (json_int_t)change->at_ms));
	}
	return json_pack("{s:s, s:s, s:o, s:o}", "service", object->config.service, "team",
			 object->team, "classes", classes, "changes", changes);
}

/* Serializes a service object to malloc'ed JSON text. Errors: ERROR_MEMORY. */
int service_write(const struct service_object *object, char **json, size_t *size, struct error *err)
{
	json_t *root = service_pack(object);

	*json = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	if (!*json)
		return error_set(err, ERROR_MEMORY, "no memory to write service %s",
				 object->config.service);
	*size = strlen(*json);
	return 0;
}

/* Adds a change; removes the oldest one if there are already SERVICE_CHANGES_MAX. */
void service_add_change(struct service_object *object, const struct service_change *change)
{
	if (object->change_count == SERVICE_CHANGES_MAX) {
		memmove(&object->changes[0], &object->changes[1],
			(SERVICE_CHANGES_MAX - 1) * sizeof(object->changes[0]));
		object->change_count--;
	}
	object->changes[object->change_count++] = *change;
}

/* Returns true if the change with an id is among the last SERVICE_CHANGES_MAX accepted ones. */
bool service_has_change(const struct service_object *object, const char *id)
{
	for (uint32_t i = 0; i < object->change_count; i++) {
		if (strcmp(object->changes[i].id, id) == 0)
			return true;
	}
	return false;
}
