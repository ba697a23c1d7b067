/*
 * Edit: a change of one service that an operator asks for, checked and applied to the service's
 * present object. Pure.
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
	char team[SERVICE_TEAM_BYTES]; /* of the key that asks */
	uint64_t if_version;	       /* 0: the service must not exist */
	struct service_change change;
	union {
		struct class_target target;   /* put class */
		char name[CLASS_NAME_BYTES];  /* delete class */
		struct service_config config; /* put service */
	};
};

/* Reads the body of a put. Errors: those of service_parse(), with the JSON path. */
int edit_read_class(struct edit *edit, const char *name, const char *json, size_t size,
		    struct error *err);
int edit_read_service(struct edit *edit, const char *json, size_t size, struct error *err);
/* Whether the change already took effect: an operator repeats it after a lost answer. */
bool edit_is_done(const struct edit *edit, const struct service_object *base);
/* Applies the edit to the present object (NULL: there is none) at its version. Errors:
 * ERROR_CONFLICT with who and when, ERROR_DENIED, ERROR_NOT_FOUND, ERROR_RANGE, ERROR_STATE. */
int edit_apply(const struct edit *edit, const struct auth *auth, const struct service_object *base,
	       uint64_t base_version, struct service_object *next, struct error *err);

#endif
