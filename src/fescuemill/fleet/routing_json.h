/*
 * Routing objects: reading and checking of the store's "routing" object. It stands beside the
 * service objects and states routes; the classes of the services follow from them.
 */
#ifndef FESCUEMILL_FLEET_ROUTING_JSON_H
#define FESCUEMILL_FLEET_ROUTING_JSON_H

#include "fescuemill/decide/route.h"

#include <jansson.h>

/* Tells whether a JSON value is a routing object rather than a service object. */
bool routing_is(const json_t *json);
/* Errors name what is wrong: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE, ERROR_MEMORY. */
int routing_read(const json_t *json, struct random *rng, struct routing *out, struct error *err);

#endif
