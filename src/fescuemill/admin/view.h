/*
 * View: the answers of the administration API as JSON.
 */
#ifndef FESCUEMILL_ADMIN_VIEW_H
#define FESCUEMILL_ADMIN_VIEW_H

#include "fescuemill/http/admin.h"

#include <jansson.h>

/* Each function returns a new JSON value, or NULL if out of memory. */
json_t *view_error(const struct error *err);
json_t *view_service(const struct service_object *object);
json_t *view_class(const struct service_object *object, const struct class_target *target);
json_t *view_services(const struct admin_node *node);
json_t *view_versions(const struct admin_node *node);
json_t *view_status(const struct admin_node *node);
json_t *view_members(const struct admin_node *node);
json_t *view_counters(void);

#endif
