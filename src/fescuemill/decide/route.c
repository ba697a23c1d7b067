/*
 * Lookup of the route of a request, the split of its traffic, and the classes that follow from it.
 */
#include "fescuemill/decide/route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* 1/phi: its multiples modulo 1 are evenly distributed over [0,1). */
#define GOLDEN_RATIO_STEP 0.6180339887498949

/* Compares host names case-insensitively. Returns a value below, equal to or above 0, like
 * strcmp(). */
static int compare_host(const char *a, size_t a_size, const char *b)
{
	size_t b_size = strlen(b);
	int order = strncasecmp(a, b, a_size < b_size ? a_size : b_size);

	if (order != 0)
		return order;
	return (a_size > b_size) - (a_size < b_size);
}

/* Orders routes by host, then by prefix length, longest first, then by prefix. */
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

static struct route_service *find_service(const struct routing *routing, const char *name)
{
	for (uint32_t i = 0; i < routing->service_count; i++) {
		if (strcmp(routing->services[i].name, name) == 0)
			return &routing->services[i];
	}
	return NULL;
}

/* Finds a service by name. Returns NULL if it is not listed. */
const struct route_service *routing_find_service(const struct routing *routing, const char *name)
{
	return find_service(routing, name);
}

/* Returns how much a class differs from a rank and an objective. A difference in rank outweighs any
 * difference in the objective. */
static uint64_t class_distance(const struct class_target *class, uint32_t rank, uint32_t latency_ms)
{
	uint64_t target_us = latency_ms * 1000ULL;
	uint64_t difference_us = class->latency_us > target_us ? class->latency_us - target_us
							       : target_us - class->latency_us;
	uint64_t ranks = class->rank > rank ? class->rank - rank : rank - class->rank;

	return (ranks << 40) + difference_us;
}

/* Returns the class nearest to a rank and an objective, or NULL if the service has none. */
const struct class_target *route_nearest_class(const struct service_config *config, uint32_t rank,
					       uint32_t latency_ms)
{
	const struct class_target *nearest = NULL;

	for (uint32_t i = 0; i < config->class_count; i++) {
		const struct class_target *class = &config->classes[i];

		if (!nearest || class_distance(class, rank, latency_ms) <
					class_distance(nearest, rank, latency_ms))
			nearest = class;
	}
	return nearest;
}

/* Returns the class that matches a rank and an objective, and adds it if needed. If the service
 * already has CLASSES_PER_SERVICE_MAX classes, returns the nearest one. */
static const struct class_target *find_or_add_class(struct service_config *config, uint32_t rank,
						    uint32_t latency_ms)
{
	const struct class_target *nearest = route_nearest_class(config, rank, latency_ms);
	struct class_target *added;

	if (nearest && (class_distance(nearest, rank, latency_ms) == 0 ||
			config->class_count == CLASSES_PER_SERVICE_MAX))
		return nearest;
	added = &config->classes[config->class_count++];
	snprintf(added->name, sizeof(added->name), "rank%u-%ums", rank, latency_ms);
	added->rank = rank;
	added->latency_us = latency_ms * 1000U;
	added->percentile_x10 = CLASS_PERCENTILE_UNSET_X10;
	added->calls_per_s = CLASS_CALLS_PER_S_UNSET;
	return added;
}

/* Replaces the marks of the ranks in use by their positions among them, and returns their number.
 */
static uint32_t set_positions(uint8_t *marks)
{
	uint32_t count = 0;

	for (uint32_t rank = 0; rank <= UINT8_MAX; rank++) {
		if (marks[rank])
			marks[rank] = (uint8_t)count++;
	}
	return count;
}

/* Returns the rank that most customers have. */
static uint32_t usual_rank(const struct customer_table *customers)
{
	uint32_t counts[UINT8_MAX + 1] = {0};
	uint32_t usual = 0;

	for (uint32_t i = 0; i < customers->count; i++)
		counts[customers->list[i].rank & UINT8_MAX]++;
	for (uint32_t rank = 1; rank <= UINT8_MAX; rank++) {
		if (counts[rank] > counts[usual])
			usual = rank;
	}
	return usual;
}

/* Collects the ranks of all customers and routes, in order. */
static void order_ranks(struct routing *routing)
{
	struct rank_order *order = &routing->rank_order;

	memset(order, 0, sizeof(*order));
	for (uint32_t i = 0; i < routing->customers.count; i++)
		order->has_customers[routing->customers.list[i].rank & UINT8_MAX] = true;
	for (uint32_t rank = 0; rank <= UINT8_MAX; rank++)
		order->customer_positions[rank] = order->has_customers[rank];
	for (uint32_t i = 0; i < routing->route_count; i++)
		order->route_positions[routing->routes[i].rank & UINT8_MAX] = 1;
	set_positions(order->customer_positions);
	order->route_ranks = set_positions(order->route_positions);
	order->usual_customer_rank = usual_rank(&routing->customers);
}

/* Returns the rank of the class for calls of a customer on a route: by the customer's rank, and
 * among customers of the same rank by the route's. Positions among the ranks in use keep them apart
 * within the few ranks that classes have. */
uint32_t routing_class_rank(const struct routing *routing, uint32_t customer_rank,
			    uint32_t route_rank)
{
	const struct rank_order *order = &routing->rank_order;
	uint32_t rank = order->customer_positions[customer_rank & UINT8_MAX] * order->route_ranks +
			order->route_positions[route_rank & UINT8_MAX];

	return rank < CLASS_RANK_MAX ? rank : CLASS_RANK_MAX;
}

/* Adds the classes of a route's calls to a service, and returns the one for calls without a
 * customer. These have the rank that most customers have, so that the route's rank decides beside
 * them. All ranks of a route are added before the next route's: if there is no room for all
 * classes, the ranks are kept apart rather than the objectives. */
static const struct class_target *add_route_classes(const struct routing *routing,
						    const struct route *route,
						    struct service_config *config)
{
	const struct rank_order *order = &routing->rank_order;
	uint32_t usual;

	if (routing->customers.count == 0)
		return find_or_add_class(config, route->rank, route->latency_ms);
	for (uint32_t rank = 0; rank <= UINT8_MAX && !route->customer_exempt; rank++) {
		if (order->has_customers[rank])
			find_or_add_class(config, routing_class_rank(routing, rank, route->rank),
					  route->latency_ms);
	}
	usual = routing_class_rank(routing, order->usual_customer_rank, route->rank);
	return find_or_add_class(config, usual, route->latency_ms);
}

/* Sets the class of each part of a route. Returns -1 with ERROR_RANGE if a service is not listed.
 */
static int assign_classes(struct routing *routing, struct route *route, struct error *err)
{
	for (uint32_t i = 0; i < route->part_count; i++) {
		struct route_part *part = &route->parts[i];
		struct route_service *service = find_service(routing, part->service);

		if (!service)
			return error_set(err, ERROR_RANGE, "route %s: service %s is not listed",
					 route->name, part->service);
		memcpy(part->class_name, add_route_classes(routing, route, &service->config)->name,
		       sizeof(part->class_name));
	}
	return 0;
}

/* Sorts the routes and derives the classes of each service; called once after all are filled in. A
 * random draw sets the start of each traffic split. Returns -1 with ERROR_RANGE if two routes have
 * the same host and prefix, or if a route names a service that is not listed; ERROR_MEMORY. */
int routing_finish(struct routing *routing, struct random *rng, struct error *err)
{
	for (uint32_t i = 0; i < routing->service_count; i++) {
		struct route_service *service = &routing->services[i];

		memcpy(service->config.service, service->name, sizeof(service->name));
		service->config.class_count = 0;
	}
	if (customer_table_finish(&routing->customers, err) != 0)
		return -1;
	order_ranks(routing);
	if (routing->route_count > 1)
		qsort(routing->routes, routing->route_count, sizeof(*routing->routes),
		      compare_routes);
	for (uint32_t i = 0; i < routing->route_count; i++) {
		struct route *route = &routing->routes[i];

		if (i > 0 && compare_routes(route, route - 1) == 0)
			return error_set(err, ERROR_RANGE,
					 "host %s has two routes with the prefix %s", route->host,
					 route->prefix);
		if (assign_classes(routing, route, err) != 0)
			return -1;
		route->split_position = random_unit(rng);
	}
	return 0;
}

/* Frees the routes and services and resets the structure to empty. */
void routing_free(struct routing *routing)
{
	free(routing->routes);
	free(routing->services);
	free(routing->parts);
	free(routing->texts);
	customer_table_free(&routing->customers);
	memset(routing, 0, sizeof(*routing));
}

/* Returns the index of the first route that is not sorted before a host: the host's first route if
 * it has any. The result is route_count if there is no such route. */
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

/* Finds the route of a request by its host and the longest matching path prefix. The query part of
 * the path is ignored. Returns NULL if there is no route. */
struct route *routing_find_route(struct routing *routing, const char *host, size_t host_size,
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

/* Returns the part that receives the next request. Over any run of consecutive requests, each part
 * gets its share to within about one request. */
const struct route_part *route_pick_part(struct route *route)
{
	double total = 0;
	double position;

	for (uint32_t i = 0; i < route->part_count; i++)
		total += route->parts[i].weight;
	route->split_position += GOLDEN_RATIO_STEP;
	if (route->split_position >= 1)
		route->split_position -= 1;
	position = route->split_position * total;
	for (uint32_t i = 0; i < route->part_count; i++) {
		if (position < route->parts[i].weight)
			return &route->parts[i];
		position -= route->parts[i].weight;
	}
	return &route->parts[0];
}
