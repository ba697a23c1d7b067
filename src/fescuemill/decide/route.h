/*
 * Routes: which service a request goes to, by its host and the longest matching path prefix, and
 * the operators' targets for it. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_ROUTE_H
#define FESCUEMILL_DECIDE_ROUTE_H

#include "fescuemill/base/error.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/customer.h"

#include <stddef.h>

/* One service of a route and its share of the route's requests. The share is its weight in relation
 * to the sum of all weights of the route. */
struct route_part {
	const char *service;
	char class_name[CLASS_NAME_BYTES]; /* class within the service; set by routing_finish() */
	double weight;
};

struct route {
	const char *name;
	const char *host;
	const char *prefix;
	bool idempotent;
	uint32_t timeout_ms;   /* maximum time that a client waits for the answer */
	uint32_t latency_ms;   /* latency objective */
	uint32_t rank;	       /* urgency; 0 is the most urgent */
	uint32_t attempts_max; /* maximum number of backend servers tried for one request */
	bool customer_exempt;  /* calls need no key, and none is checked */
	struct region_set regions;
	uint32_t part_count;
	struct route_part *parts;
	double split_position; /* in [0,1); selects the next part, see route_pick_part() */
};

/* A service that is the destination of routes. */
struct route_service {
	char name[SERVICE_NAME_BYTES];
	const char *health_path;  /* empty if not configured */
	uint32_t cold_rate_milli; /* calls per 1000 s that a cold server bears; 0: any */
	uint32_t cold_start_ms;	  /* how long a server stays cold after its start; 0: unknown */
	/* Classes derived from rank and objective of its routes; where calls need a key, from the
	 * customers' ranks, too. */
	struct service_config config;
};

/* What callers may send, and how long they may take for it or stay idle; 0: not configured. */
struct caller_limits {
	uint32_t header_bytes_max;
	uint64_t body_bytes_max;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/* The ranks in use: the position of each among them. */
struct rank_order {
	uint32_t usual_customer_rank; /* that most customers have */
	uint32_t route_ranks;	      /* number of different ranks of routes */
	bool has_customers[UINT8_MAX + 1];
	uint8_t customer_positions[UINT8_MAX + 1];
	uint8_t route_positions[UINT8_MAX + 1];
};

/* All routes of one configuration version, sorted by host, longer prefixes first. The texts and the
 * lists of the operators are kept whole, whatever their length. */
struct routing {
	uint64_t number; /* version number set by the operators */
	uint32_t route_count;
	struct route *routes;
	uint32_t service_count;
	struct route_service *services;
	struct route_part *parts;	 /* of all routes */
	struct customer_table customers; /* empty: calls need no key */
	struct caller_limits limits;
	struct rank_order rank_order; /* set by routing_finish() */
	char *texts;		      /* names, hosts, prefixes and health paths of all routes */
	uint32_t adjusted_count;      /* numbers that were replaced by the nearest usable ones */
};

int routing_finish(struct routing *routing, struct random *rng, struct error *err);
void routing_free(struct routing *routing);
struct route *routing_find_route(struct routing *routing, const char *host, size_t host_size,
				 const char *path, size_t path_size);
const struct route_service *routing_find_service(const struct routing *routing, const char *name);
const struct route_part *route_pick_part(struct route *route);
/* Returns the rank of the class for calls of a customer of a rank on a route of a rank. */
uint32_t routing_class_rank(const struct routing *routing, uint32_t customer_rank,
			    uint32_t route_rank);
/* Returns the class of a service for calls of a rank on a route with this objective; NULL if the
 * service has no class. */
const struct class_target *route_nearest_class(const struct service_config *config, uint32_t rank,
					       uint32_t latency_ms);

#endif
