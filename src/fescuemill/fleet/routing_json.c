/*
 * Routing objects, in this format (members with ? are optional):
 *   {"number": N,
 *    "routes": [{"name", "host", "prefix", "idempotent", "timeout_ms", "latency_ms", "rank",
 *                "attempts", "services": [{"service", "weight"}], "regions"?: [REGION],
 *                "customer_exempt"?}],
 *    "services": [{"name", "health_path"?, "cold_per_s"?, "cold_start_s"?}],
 *    "customers"?: [{"name", "keys": [KEY], "rank"?, "calls_per_s"?, "burst"?, "regions"?}],
 *    "limits"?: {"header_bytes_max"?, "body_bytes_max"?, "header_timeout_ms"?, "idle_timeout_ms"?}}
 */
#include "fescuemill/fleet/routing_json.h"

#include "fescuemill/base/json_read.h"

#include <stdlib.h>
#include <string.h>

#define TIME_MS_MAX    600000 /* the longest deadline of a call */
#define ATTEMPTS_MAX   UINT8_MAX
#define TEXT_DEPTH_MAX 8

/* What is filled while a routing object is read. */
struct reading {
	struct routing *out;
	size_t text_size;    /* used bytes of out->texts */
	uint32_t part_count; /* used elements of out->parts */
	struct error *err;
};

/* Returns the bytes that copies of all texts in a value take, each with its terminating NUL. Texts
 * nested deeper than any field of a routing object are left out. */
static size_t text_bytes(const json_t *value, uint32_t depth)
{
	size_t size = 0;
	const char *key;
	const json_t *item;
	size_t index;

	if (json_is_string(value))
		return json_string_length(value) + 1;
	if (depth == TEXT_DEPTH_MAX)
		return 0;
	json_object_foreach((json_t *)value, key, item)
	{
		size += text_bytes(item, depth + 1);
	}
	json_array_foreach(value, index, item)
	{
		size += text_bytes(item, depth + 1);
	}
	return size;
}

/* Returns the number of parts of all routes. */
static size_t count_parts(const json_t *routes)
{
	size_t count = 0;
	const json_t *route;
	size_t index;

	json_array_foreach(routes, index, route)
	{
		count += json_array_size(json_object_get(route, "services"));
	}
	return count;
}

/* Copies a text of any length but 0. */
static int read_text(struct reading *rd, const json_t *object, const char *key, const char **out)
{
	const char *text = json_read_string(object, key, rd->err);
	size_t size;

	if (!text)
		return -1;
	size = strlen(text) + 1;
	*out = memcpy(rd->out->texts + rd->text_size, text, size);
	rd->text_size += size;
	return 0;
}

/* Reads an integer. One out of range is replaced by the nearest number in range, as an object that
 * the platform has accepted must come into force. */
static int read_number(struct reading *rd, const json_t *object, const char *key, json_int_t lowest,
		       json_int_t highest, uint32_t *out)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	if (!value)
		return error_set(rd->err, ERROR_MISSING, "%s: required", key);
	if (!json_is_integer(value))
		return error_set(rd->err, ERROR_TYPE, "%s: must be an integer", key);
	*out = (uint32_t)(number < lowest ? lowest : number > highest ? highest : number);
	rd->out->adjusted_count += number != (json_int_t)*out;
	return 0;
}

/* Reads a weight, which is a number of any size that is not negative. */
static int read_weight(struct reading *rd, const json_t *object, double *out)
{
	const json_t *value = json_object_get(object, "weight");

	if (!value)
		return error_set(rd->err, ERROR_MISSING, "weight: required");
	if (!json_is_number(value))
		return error_set(rd->err, ERROR_TYPE, "weight: must be a number");
	*out = json_number_value(value);
	if (*out < 0)
		return error_set(rd->err, ERROR_RANGE, "weight: found %g, allowed 0 or more", *out);
	return 0;
}

/* Reads an optional number that is not negative as thousandths. */
static int read_optional_milli(struct reading *rd, const json_t *object, const char *key,
			       uint32_t *out)
{
	const json_t *value = json_object_get(object, key);
	double milli = json_number_value(value) * 1000;

	*out = 0;
	if (!value)
		return 0;
	if (!json_is_number(value))
		return error_set(rd->err, ERROR_TYPE, "%s: must be a number", key);
	if (milli < 0)
		return error_set(rd->err, ERROR_RANGE, "%s: must not be negative", key);
	*out = milli > UINT32_MAX ? UINT32_MAX : (uint32_t)milli;
	return 0;
}

/* Reads the optional list of the regions in which calls may be served. An empty list allows every
 * region. */
static int read_regions(struct reading *rd, const json_t *object, struct region_set *out)
{
	const json_t *list = json_object_get(object, "regions");
	const json_t *item;
	size_t index;

	if (!list)
		return 0;
	if (!json_is_array(list))
		return error_set(rd->err, ERROR_TYPE, "regions: must be a list");
	json_array_foreach(list, index, item)
	{
		if (!json_is_string(item))
			return error_set(rd->err, ERROR_TYPE, "regions: must be names");
		if (!region_set_add(out, region_id_of(json_string_value(item))))
			return error_set(rd->err, ERROR_RANGE, "regions: allowed are %d",
					 REGION_SET_MAX);
	}
	return 0;
}

/* Reads the services of a route and their weights. At least one weight must be above 0. */
static int read_parts(struct reading *rd, const json_t *json, struct route *out)
{
	const json_t *item;
	size_t index;
	double total = 0;

	out->parts = rd->out->parts + rd->part_count;
	json_array_foreach(json_object_get(json, "services"), index, item)
	{
		struct route_part *part = &out->parts[out->part_count++];

		if (read_text(rd, item, "service", &part->service) != 0 ||
		    read_weight(rd, item, &part->weight) != 0)
			return -1;
		total += part->weight;
	}
	rd->part_count += out->part_count;
	if (total <= 0)
		return error_set(rd->err, ERROR_RANGE,
				 "services: at least one weight must be above 0");
	return 0;
}

static int read_route(struct reading *rd, const json_t *json, struct route *out)
{
	const json_t *idempotent = json_object_get(json, "idempotent");

	if (read_text(rd, json, "name", &out->name) != 0 ||
	    read_text(rd, json, "host", &out->host) != 0 ||
	    read_text(rd, json, "prefix", &out->prefix) != 0 ||
	    read_number(rd, json, "timeout_ms", 1, TIME_MS_MAX, &out->timeout_ms) != 0 ||
	    read_number(rd, json, "latency_ms", 1, TIME_MS_MAX, &out->latency_ms) != 0 ||
	    read_number(rd, json, "rank", 0, UINT8_MAX, &out->rank) != 0 ||
	    read_number(rd, json, "attempts", 1, ATTEMPTS_MAX, &out->attempts_max) != 0)
		return -1;
	if (out->prefix[0] != '/' || out->prefix[strlen(out->prefix) - 1] != '/')
		return error_set(rd->err, ERROR_RANGE, "prefix: must begin and end with \"/\"");
	if (!json_is_boolean(idempotent))
		return error_set(rd->err, ERROR_TYPE, "idempotent: must be true or false");
	out->idempotent = json_is_true(idempotent);
	out->customer_exempt = json_is_true(json_object_get(json, "customer_exempt"));
	if (read_regions(rd, json, &out->regions) != 0)
		return -1;
	return read_parts(rd, json, out);
}

static int read_service(struct reading *rd, const json_t *json, struct route_service *out)
{
	out->health_path = "";
	if (json_read_text(json, "name", out->name, sizeof(out->name), rd->err) != 0)
		return -1;
	if (read_optional_milli(rd, json, "cold_per_s", &out->cold_rate_milli) != 0 ||
	    read_optional_milli(rd, json, "cold_start_s", &out->cold_start_ms) != 0)
		return -1;
	if (!json_object_get(json, "health_path"))
		return 0;
	return read_text(rd, json, "health_path", &out->health_path);
}

/* Reads the keys of the customer that was added last. */
static int read_keys(struct reading *rd, const json_t *keys)
{
	struct customer_table *table = &rd->out->customers;
	const json_t *item;
	size_t index;

	if (!json_is_array(keys))
		return error_set(rd->err, ERROR_TYPE, "keys: must be a list");
	json_array_foreach(keys, index, item)
	{
		struct customer_key *key = &table->keys[table->key_count];
		size_t size = json_string_length(item) + 1;

		if (!json_is_string(item) || size == 1)
			return error_set(rd->err, ERROR_TYPE, "keys: must be texts");
		key->text = memcpy(rd->out->texts + rd->text_size, json_string_value(item), size);
		key->customer = table->count - 1;
		rd->text_size += size;
		table->key_count++;
	}
	return 0;
}

static int read_customer(struct reading *rd, const json_t *json)
{
	struct customer_table *table = &rd->out->customers;
	struct customer *out = &table->list[table->count++];

	if (read_text(rd, json, "name", &out->name) != 0 ||
	    read_optional_milli(rd, json, "calls_per_s", &out->rate_milli) != 0 ||
	    read_regions(rd, json, &out->regions) != 0)
		return -1;
	if (json_object_get(json, "rank") &&
	    read_number(rd, json, "rank", 0, UINT8_MAX, &out->rank) != 0)
		return -1;
	if (json_object_get(json, "burst") &&
	    read_number(rd, json, "burst", 0, INT32_MAX, &out->burst) != 0)
		return -1;
	return read_keys(rd, json_object_get(json, "keys"));
}

/* Reads the customers into tables of the size that is needed. */
static int read_customers(struct reading *rd, const json_t *customers)
{
	struct customer_table *table = &rd->out->customers;
	size_t key_count = 0;
	const json_t *item;
	size_t index;

	if (!customers)
		return 0;
	if (!json_is_array(customers))
		return error_set(rd->err, ERROR_TYPE, "customers: must be a list");
	json_array_foreach(customers, index, item)
	{
		key_count += json_array_size(json_object_get(item, "keys"));
	}
	table->list = calloc(json_array_size(customers) + 1, sizeof(*table->list));
	table->keys = calloc(key_count + 1, sizeof(*table->keys));
	if (!table->list || !table->keys)
		return error_set(rd->err, ERROR_MEMORY, "no memory for customers");
	json_array_foreach(customers, index, item)
	{
		if (read_customer(rd, item) != 0)
			return -1;
	}
	return 0;
}

/* Reads an optional limit. One out of range is replaced by the nearest number in range. */
static int read_limit(struct reading *rd, const json_t *limits, const char *key, uint32_t *out)
{
	if (!json_object_get(limits, key))
		return 0;
	return read_number(rd, limits, key, 1, UINT32_MAX, out);
}

static int read_limits(struct reading *rd, const json_t *limits)
{
	struct caller_limits *out = &rd->out->limits;
	uint32_t body_bytes_max = 0;

	if (read_limit(rd, limits, "header_bytes_max", &out->header_bytes_max) != 0 ||
	    read_limit(rd, limits, "body_bytes_max", &body_bytes_max) != 0 ||
	    read_limit(rd, limits, "header_timeout_ms", &out->header_timeout_ms) != 0 ||
	    read_limit(rd, limits, "idle_timeout_ms", &out->idle_timeout_ms) != 0)
		return -1;
	out->body_bytes_max = body_bytes_max;
	return 0;
}

/* Reads both lists into the arrays of the routing, which the caller has allocated. */
static int read_lists(struct reading *rd, const json_t *routes, const json_t *services)
{
	struct routing *out = rd->out;
	const json_t *item;
	size_t index;

	json_array_foreach(services, index, item)
	{
		if (read_service(rd, item, &out->services[out->service_count++]) != 0)
			return -1;
	}
	json_array_foreach(routes, index, item)
	{
		if (read_route(rd, item, &out->routes[out->route_count++]) != 0)
			return -1;
	}
	return 0;
}

/* Allocates the memory for the lists and the texts of a routing object. */
static int allocate(struct routing *out, const json_t *json)
{
	const json_t *routes = json_object_get(json, "routes");
	const json_t *services = json_object_get(json, "services");

	out->routes = calloc(json_array_size(routes) + 1, sizeof(*out->routes));
	out->services = calloc(json_array_size(services) + 1, sizeof(*out->services));
	out->parts = calloc(count_parts(routes) + 1, sizeof(*out->parts));
	out->texts = malloc(text_bytes(json, 0) + 1);
	return out->routes && out->services && out->parts && out->texts ? 0 : -1;
}

/* Returns true if a JSON value is a routing object, that is, has "routes". */
bool routing_is_object(const json_t *json)
{
	return json_object_get(json, "routes") != NULL;
}

/* Parses and checks a routing object. The caller frees it with routing_free(); after an error there
 * is nothing to free. Errors: see the header. */
int routing_read(const json_t *json, struct random *rng, struct routing *out, struct error *err)
{
	const json_t *routes = json_object_get(json, "routes");
	const json_t *services = json_object_get(json, "services");
	struct reading rd = {.out = out, .err = err};

	memset(out, 0, sizeof(*out));
	if (!json_is_array(routes) || !json_is_array(services))
		return error_set(err, ERROR_TYPE, "routes, services: both must be lists");
	if (json_read_u64(json, "number", 0, INT64_MAX, &out->number, err) != 0)
		return -1;
	if (allocate(out, json) != 0) {
		routing_free(out);
		return error_set(err, ERROR_MEMORY, "no memory for routes");
	}
	if (read_lists(&rd, routes, services) != 0 ||
	    read_customers(&rd, json_object_get(json, "customers")) != 0 ||
	    read_limits(&rd, json_object_get(json, "limits")) != 0 ||
	    routing_finish(out, rng, err) != 0) {
		routing_free(out);
		return -1;
	}
	return 0;
}
