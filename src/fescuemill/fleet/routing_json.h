/*
 * Routing objects: parsing and checking of the platform's "routing" object. It is delivered along
 * with the service objects and defines the routes, from which the classes of their services are
 * derived.
 */
#ifndef FESCUEMILL_FLEET_ROUTING_JSON_H
#define FESCUEMILL_FLEET_ROUTING_JSON_H

#include "fescuemill/decide/route.h"

#include <jansson.h>

/* Returns true if a JSON value is a routing object rather than a service object. */
bool routing_is_object(const json_t *json);
/* Parses and checks a routing object. Errors name the field and what is allowed: ERROR_MISSING,
 * ERROR_TYPE, ERROR_RANGE, ERROR_MEMORY. */
int routing_read(const json_t *json, struct random *rng, struct routing *out, struct error *err);

#endif
