/*
 * Edit: a change of one service requested by an operator, checked and applied to the current object
 * of the service. Pure.
 */
#ifndef FESCUEMILL_ADMIN_EDIT_H
#define FESCUEMILL_ADMIN_EDIT_H

#include "fescuemill/admin/auth.h"
#include "fescuemill/fleet/service_json.h"

enum edit_type {
	EDIT_PUT_CLASS,
	EDIT_DELETE_CLASS,
	EDIT_PUT_SERVICE,
	EDIT_DELETE_SERVICE,
};

struct edit {
	enum edit_type type;
	char service[SERVICE_NAME_BYTES];
	char team[SERVICE_TEAM_BYTES]; /* team that owns the key of the request */
	uint64_t if_version;	       /* version that is changed; 0: the service must not exist */
	struct service_change change;
	union {
		struct class_target target;   /* put class */
		char name[CLASS_NAME_BYTES];  /* delete class */
		struct service_config config; /* put service */
	};
};

/* Reads the body of a PUT. Errors: those of service_parse(), with the JSON path; ERROR_DENIED if
 * the body names another team. */
int edit_read_class(struct edit *edit, const char *name, const char *json, size_t size,
		    struct error *err);
int edit_read_service(struct edit *edit, const char *json, size_t size, struct error *err);
/* Returns true if the change already took effect: operators repeat a change whose answer was lost.
 */
bool edit_is_applied(const struct edit *edit, const struct service_object *base);
/* Applies the edit to the current object (NULL: there is none), which has version `base_version`.
 * Errors: ERROR_CONFLICT with the author and time of the last change, ERROR_DENIED,
 * ERROR_NOT_FOUND, ERROR_RANGE, ERROR_STATE. */
int edit_apply(const struct edit *edit, const struct auth *auth, const struct service_object *base,
	       uint64_t base_version, struct service_object *next, struct error *err);

#endif
