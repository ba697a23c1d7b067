/*
 * Edit: a change of one service. Rights, version and limits are checked before the change is
 * applied.
 */
#include "fescuemill/admin/edit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Parses a JSON object and sets one member to `text`; the object may already have the member with
 * this value. Errors: ERROR_SYNTAX, ERROR_RANGE for another value. */
static json_t *load_object_with_member(const char *json, size_t size, const char *key,
				       const char *text, struct error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json ? json : "", size, JSON_REJECT_DUPLICATES, &fault);
	const char *found;

	if (!root) {
		error_set(err, ERROR_SYNTAX, "line %d, column %d: %s", fault.line, fault.column,
			  fault.text);
		return NULL;
	}
	found = json_string_value(json_object_get(root, key));
	if (found && strcmp(found, text) != 0) {
		error_set(err, ERROR_RANGE, "$.%s: found \"%.40s\", allowed \"%s\"", key, found,
			  text);
		json_decref(root);
		return NULL;
	}
	if (json_is_object(root))
		json_object_set_new(root, key, json_string(text));
	return root;
}

/* Reads the body of a PUT of a class: rank, latency_ms, percentile, calls_per_s. Errors: those of
 * service_parse(), with the JSON path. */
int edit_read_class(struct edit *edit, const char *name, const char *json, size_t size,
		    struct error *err)
{
	json_t *root = load_object_with_member(json, size, "name", name, err);
	int status;

	if (!root)
		return -1;
	status = service_read_class(root, &edit->target, err);
	json_decref(root);
	return status;
}

/* Reads the body of a PUT of a service: its classes, and optionally its team. Errors: those of
 * service_parse(), with the JSON path; ERROR_DENIED if the body names another team. */
int edit_read_service(struct edit *edit, const char *json, size_t size, struct error *err)
{
	json_t *root = load_object_with_member(json, size, "service", edit->service, err);
	struct service_object object;
	int status = -1;

	if (!root)
		return -1;
	if (json_is_object(root) && !json_object_get(root, "team"))
		json_object_set_new(root, "team", json_string(edit->team));
	if (service_read(root, &object, err) == 0) {
		edit->config = object.config;
		status = 0;
		if (strcmp(object.team, edit->team) != 0)
			status =
				error_set(err, ERROR_DENIED, "$.team: found \"%s\", allowed \"%s\"",
					  object.team, edit->team);
	}
	json_decref(root);
	return status;
}

/* Returns true if the object's history contains the change. */
bool edit_is_applied(const struct edit *edit, const struct service_object *base)
{
	return base && service_has_change(base, edit->change.id);
}

static int check_version(const struct edit *edit, const struct service_object *base,
			 uint64_t version, struct error *err)
{
	const struct service_change *last;

	if (version == edit->if_version)
		return 0;
	if (!base)
		return error_set(err, ERROR_CONFLICT,
				 "service %s does not exist, not at version %" PRIu64,
				 edit->service, edit->if_version);
	if (!base->change_count)
		return error_set(err, ERROR_CONFLICT, "now version %" PRIu64 ", not %" PRIu64,
				 version, edit->if_version);
	last = &base->changes[base->change_count - 1];
	return error_set(err, ERROR_CONFLICT,
			 "changed by %s at %" PRIu64 " ms, now version %" PRIu64 ", not %" PRIu64,
			 last->by, last->at_ms, version, edit->if_version);
}

static int check_rights(const struct edit *edit, const struct auth *auth,
			const struct service_object *base, struct error *err)
{
	if (base && strcmp(base->team, edit->team) != 0)
		return error_set(err, ERROR_DENIED, "service %s is of team %s, not of %s",
				 edit->service, base->team, edit->team);
	if (!base && !auth_may_create(auth, edit->team, edit->service))
		return error_set(err, ERROR_DENIED, "team %s may not create service %s", edit->team,
				 edit->service);
	return 0;
}

static struct class_target *find_class(struct service_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (strcmp(config->classes[i].name, name) == 0)
			return &config->classes[i];
	}
	return NULL;
}

static int put_class(struct service_config *config, const struct class_target *target,
		     struct error *err)
{
	struct class_target *found = find_class(config, target->name);

	if (!found && config->class_count == CLASSES_PER_SERVICE_MAX)
		return error_set(err, ERROR_RANGE, "found %d classes, allowed 1 to %d",
				 CLASSES_PER_SERVICE_MAX + 1, CLASSES_PER_SERVICE_MAX);
	if (!found)
		found = &config->classes[config->class_count++];
	*found = *target;
	return 0;
}

static int delete_class(struct service_config *config, const char *name, struct error *err)
{
	struct class_target *found = find_class(config, name);
	const struct class_target *end = config->classes + config->class_count;

	if (!found)
		return error_set(err, ERROR_NOT_FOUND, "service %s has no class %s",
				 config->service, name);
	if (config->class_count == 1)
		return error_set(err, ERROR_STATE,
				 "%s is the last class of %s; delete the service instead", name,
				 config->service);
	memmove(found, found + 1, (size_t)(end - found - 1) * sizeof(*found));
	config->class_count--;
	return 0;
}

/* Applies an edit. `next` is invalid after an error. Errors: ERROR_CONFLICT with the author and
 * time of the last change, ERROR_DENIED, ERROR_NOT_FOUND, ERROR_RANGE, ERROR_STATE. */
int edit_apply(const struct edit *edit, const struct auth *auth, const struct service_object *base,
	       uint64_t base_version, struct service_object *next, struct error *err)
{
	int status = 0;

	if (check_rights(edit, auth, base, err) || check_version(edit, base, base_version, err))
		return -1;
	if (!base && (edit->type == EDIT_DELETE_CLASS || edit->type == EDIT_DELETE_SERVICE))
		return error_set(err, ERROR_NOT_FOUND, "no service %s", edit->service);
	memset(next, 0, sizeof(*next));
	if (base)
		*next = *base;
	memcpy(next->config.service, edit->service, sizeof(edit->service));
	memcpy(next->team, edit->team, sizeof(edit->team));
	switch (edit->type) {
	case EDIT_PUT_CLASS:
		status = put_class(&next->config, &edit->target, err);
		break;
	case EDIT_DELETE_CLASS:
		status = delete_class(&next->config, edit->name, err);
		break;
	case EDIT_PUT_SERVICE:
		next->config = edit->config;
		break;
	case EDIT_DELETE_SERVICE:
		break;
	}
	service_add_change(next, &edit->change);
	return status;
}
