/*
 * Customer view: the customers in force and the age of the proof for their keys, as JSON.
 */
#ifndef FESCUEMILL_ADMIN_CUSTOMER_VIEW_H
#define FESCUEMILL_ADMIN_CUSTOMER_VIEW_H

#include "fescuemill/http/admin.h"

#include <jansson.h>

/* Returns a new JSON value. Keys are counted, never shown. */
json_t *view_customers(const struct admin_node *node);

#endif
