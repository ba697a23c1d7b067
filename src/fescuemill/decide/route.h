/*
 * Routes: which service a request goes to, by its host and the longest path prefix that begins its
 * path, and what the operators want of it. Pure.
 */
#ifndef FESCUEMILL_DECIDE_ROUTE_H
#define FESCUEMILL_DECIDE_ROUTE_H

#include "fescuemill/base/error.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/call_defs.h"

#include <stddef.h>

#define ROUTE_HOST_BYTES   128
#define ROUTE_PREFIX_BYTES 128
#define ROUTE_NAME_BYTES   64
#define ROUTE_PARTS_MAX	   8
#define ROUTES_MAX	   16384
#define HEALTH_PATH_BYTES  64

/* One service of a route and its share of the route's requests. */
struct route_part {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES]; /* of the service; routing_finish() sets it */
	uint32_t weight;
};

struct route {
	char name[ROUTE_NAME_BYTES];
	char host[ROUTE_HOST_BYTES];
	char prefix[ROUTE_PREFIX_BYTES];
	bool idempotent;
	uint32_t timeout_ms;   /* the longest that a client is kept waiting */
	uint32_t latency_ms;   /* the objective */
	uint32_t rank;	       /* 0 is the most urgent */
	uint32_t attempts_max; /* backend servers that one request may be sent to */
	uint32_t part_count;
	struct route_part parts[ROUTE_PARTS_MAX];
	double turn; /* in [0,1): which part is next; see route_pick_part() */
};

/* A service that routes lead to. */
struct route_service {
	char name[SERVICE_NAME_BYTES];
	char health_path[HEALTH_PATH_BYTES]; /* empty: not stated */
	struct service_config config;	     /* its classes, by rank and objective of its routes */
};

/* All routes of one version. Routes are sorted by host, longer prefixes first. */
struct routing {
	uint64_t number; /* the version that the operators gave */
	uint32_t route_count;
	struct route *routes;
	uint32_t service_count;
	struct route_service *services;
};

/* Sorts the routes and gives each service its classes, once all are filled in. The draws decide
 * where each split begins. Errors: ERROR_RANGE for two routes of one host and prefix, and for a
 * route to a service that is not listed. */
int routing_finish(struct routing *routing, struct random *rng, struct error *err);
void routing_free(struct routing *routing);
/* Finds the route of a request, or NULL. The path ends at its query. */
struct route *routing_find(struct routing *routing, const char *host, size_t host_size,
			   const char *path, size_t path_size);
const struct route_service *routing_service(const struct routing *routing, const char *name);
/* Gives the part that takes the next request. Over any stretch of requests each part gets its
 * share but for about one request. */
const struct route_part *route_pick_part(struct route *route);

#endif
