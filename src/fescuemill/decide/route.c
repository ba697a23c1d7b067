/*
 * Routes: which service a request goes to.
 */
#include "fescuemill/decide/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define GOLDEN_TURN 0.6180339887498949 /* steps by it spread evenly over [0,1) */

/* Compares hosts without regard to case. */
static int compare_host(const char *a, size_t a_size, const char *b)
{
	size_t b_size = strlen(b);
	int order = strncasecmp(a, b, a_size < b_size ? a_size : b_size);

	if (order != 0)
		return order;
	return (a_size > b_size) - (a_size < b_size);
}

/* Orders routes by host, then longer prefixes first, then by the prefix itself. */
static int compare_routes(const void *left, const void *right)
{
	const struct route *a = left;
	const struct route *b = right;
	int order = compare_host(a->host, strlen(a->host), b->host);
	size_t a_size = strlen(a->prefix);
	size_t b_size = strlen(b->prefix);

	if (order != 0)
		return order;
	if (a_size != b_size)
		return a_size > b_size ? -1 : 1;
	return strcmp(a->prefix, b->prefix);
}

/* Finds a service to be changed. */
static struct route_service *find_service(const struct routing *routing, const char *name)
{
	for (uint32_t i = 0; i < routing->service_count; i++) {
		if (strcmp(routing->services[i].name, name) == 0)
			return &routing->services[i];
	}
	return NULL;
}

/* Finds a service, or NULL. */
const struct route_service *routing_service(const struct routing *routing, const char *name)
{
	return find_service(routing, name);
}

/* Gives how far a class is from what a route wants: ranks count before objectives. */
static uint64_t class_distance(const struct class_target *class, const struct route *route)
{
	uint64_t wanted_us = route->latency_ms * 1000ULL;
	uint64_t away_us = class->latency_us > wanted_us ? class->latency_us - wanted_us
							 : wanted_us - class->latency_us;
	uint64_t ranks =
		class->rank > route->rank ? class->rank - route->rank : route->rank - class->rank;

	return (ranks << 40) + away_us;
}

/* Finds or adds the class of a service for a route. A service with too many kinds of routes gives
 * the rest the nearest class. */
static const struct class_target *class_for(struct service_config *config,
					    const struct route *route)
{
	struct class_target *nearest = NULL;

	for (uint32_t i = 0; i < config->class_count; i++) {
		struct class_target *class = &config->classes[i];

		if (!nearest || class_distance(class, route) < class_distance(nearest, route))
			nearest = class;
	}
	if (nearest &&
	    (class_distance(nearest, route) == 0 || config->class_count == CLASSES_PER_SERVICE_MAX))
		return nearest;
	nearest = &config->classes[config->class_count++];
	snprintf(nearest->name, sizeof(nearest->name), "rank%u-%ums", route->rank,
		 route->latency_ms);
	nearest->rank = route->rank;
	nearest->latency_us = route->latency_ms * 1000U;
	nearest->percentile_x10 = CLASS_PERCENTILE_UNSTATED_X10;
	nearest->calls_per_s = CLASS_CALLS_UNSTATED;
	return nearest;
}

/* Gives each part of a route the class of its service. */
static int set_classes(struct routing *routing, struct route *route, struct error *err)
{
	for (uint32_t i = 0; i < route->part_count; i++) {
		struct route_part *part = &route->parts[i];
		struct route_service *service = find_service(routing, part->service);

		if (!service)
			return error_set(err, ERROR_RANGE, "route %s: service %s is not listed",
					 route->name, part->service);
		memcpy(part->class_name, class_for(&service->config, route)->name,
		       sizeof(part->class_name));
	}
	return 0;
}

/* Sorts the routes and derives the classes. */
int routing_finish(struct routing *routing, struct random *rng, struct error *err)
{
	for (uint32_t i = 0; i < routing->service_count; i++) {
		struct route_service *service = &routing->services[i];

		memcpy(service->config.service, service->name, sizeof(service->name));
		service->config.class_count = 0;
	}
	if (routing->route_count > 1)
		qsort(routing->routes, routing->route_count, sizeof(*routing->routes),
		      compare_routes);
	for (uint32_t i = 0; i < routing->route_count; i++) {
		struct route *route = &routing->routes[i];

		if (i > 0 && compare_routes(route, route - 1) == 0)
			return error_set(err, ERROR_RANGE, "host %s has %s twice", route->host,
					 route->prefix);
		if (set_classes(routing, route, err) != 0)
			return -1;
		route->turn = random_unit(rng);
	}
	return 0;
}

/* Frees what a routing holds. */
void routing_free(struct routing *routing)
{
	free(routing->routes);
	free(routing->services);
	memset(routing, 0, sizeof(*routing));
}

/* Finds the first route of a host; the number of routes when it has none. */
static uint32_t first_of_host(const struct routing *routing, const char *host, size_t size)
{
	uint32_t low = 0;
	uint32_t high = routing->route_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (compare_host(host, size, routing->routes[middle].host) > 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Finds the route of a request. */
struct route *routing_find(struct routing *routing, const char *host, size_t host_size,
			   const char *path, size_t path_size)
{
	const char *query = memchr(path, '?', path_size);

	if (query)
		path_size = (size_t)(query - path);
	for (uint32_t i = first_of_host(routing, host, host_size); i < routing->route_count; i++) {
		struct route *route = &routing->routes[i];
		size_t prefix_size = strlen(route->prefix);

		if (compare_host(host, host_size, route->host) != 0)
			return NULL;
		if (prefix_size <= path_size && memcmp(path, route->prefix, prefix_size) == 0)
			return route;
	}
	return NULL;
}

/* Gives the part that takes the next request. */
const struct route_part *route_pick_part(struct route *route)
{
	uint64_t total = 0;
	double at;

	for (uint32_t i = 0; i < route->part_count; i++)
		total += route->parts[i].weight;
	route->turn += GOLDEN_TURN;
	if (route->turn >= 1)
		route->turn -= 1;
	at = route->turn * (double)total;
	for (uint32_t i = 0; i < route->part_count; i++) {
		if (at < route->parts[i].weight)
			return &route->parts[i];
		at -= route->parts[i].weight;
	}
	return &route->parts[0];
}
