/*
 * Customers at the entry: keys, ranks, and the headers that a request is forwarded with.
 */
#include "fescuemilld/entry/entry_customer.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/http/credential.h"

#include <h2o.h>

#include <string.h>

/* Returns the customers in force, or NULL if none are configured: then calls need no key. */
static const struct customer_table *customers_of(const struct entry *entry)
{
	const struct routing *routing = config_routing(entry->options.config);

	return routing && routing->customers.count > 0 ? &routing->customers : NULL;
}

/* Counts a request that is refused for its key. */
static enum call_reason refuse(enum call_reason reason)
{
	counter_add(reason == REASON_KEYS_STALE ? COUNTER_CALLS_KEYS_STALE
						: COUNTER_CALLS_UNKNOWN_KEY,
		    1);
	return reason;
}

/* Finds the customer of a request. On an exempt route no key is judged, not even an unknown one. */
enum call_reason entry_customer_find(const struct entry *entry, const struct call_request *req,
				     const struct route *route, struct call_class *out)
{
	const struct customer_table *customers = customers_of(entry);

	if (!customers)
		return REASON_NONE;
	out->hides_keys = true;
	if (route && route->customer_exempt)
		return REASON_NONE;
	if (req->credential.size == 0)
		return refuse(REASON_UNKNOWN_KEY);
	/* An unknown key is not judged either: it may have been added. */
	if (entry->options.keys_are_fresh && !entry->options.keys_are_fresh(entry->options.user))
		return refuse(REASON_KEYS_STALE);
	out->customer = customer_find_by_key(customers, req->credential.data, req->credential.size);
	return out->customer ? REASON_NONE : refuse(REASON_UNKNOWN_KEY);
}

/* Sets the class for the ranks of the customer and the route and the route's objective. */
void entry_customer_set_class(const struct entry *entry, const struct route *route,
			      struct call_class *out)
{
	const struct service_config *config = config_find(entry->options.config, out->service);
	const struct routing *routing = config_routing(entry->options.config);
	const struct class_target *target;
	uint32_t rank;

	if (!out->customer || !config || !routing)
		return;
	rank = routing_class_rank(routing, out->customer->rank, route->rank);
	target = route_nearest_class(config, rank, route->latency_ms);
	if (target)
		memcpy(out->name, target->name, sizeof(out->name));
}

/* Copies a text into the arena of a caller's call: a configuration may end before its calls. */
static const char *copy_text(struct caller_call *caller, const char *text)
{
	return h2o_strdup(caller_call_pool(caller), text, SIZE_MAX).base;
}

/* Returns true if a header of a caller must not reach a backend server. */
static bool is_hidden(const struct entry *entry, struct wire_bytes name)
{
	return wire_bytes_equal_nocase(name, HEADER_AUTHORIZATION) ||
	       wire_bytes_equal_nocase(name, entry->options.customer_header);
}

/* Copies the headers of a request that may be forwarded. An Authorization header of an exempt route
 * is left out, too: whether it holds a customer's key can't be told from the keys that are in force
 * here, as keys are added and withdrawn. */
static void copy_headers(const struct entry *entry, const struct wire_headers *from,
			 struct wire_headers *to)
{
	to->count = 0;
	for (uint32_t i = 0; i < from->count; i++) {
		if (!is_hidden(entry, from->list[i].name))
			to->list[to->count++] = from->list[i];
	}
}

/* Writes the headers of a call of a deployment with customers. The only call for which there can be
 * no room is one that names its Authorization header in a Connection header. */
enum call_reason entry_customer_prepare(const struct entry *entry, struct caller_call *caller,
					struct call_class *out, const struct call_request **req)
{
	const char *name = entry->options.customer_header;
	struct call_request *own;
	struct wire_headers *headers;

	if (!out->hides_keys)
		return REASON_NONE;
	own = h2o_mem_alloc_pool(caller_call_pool(caller), sizeof(*own));
	*own = **req;
	headers = &own->headers;
	copy_headers(entry, &(*req)->headers, headers);
	*req = own;
	if (!out->customer)
		return REASON_NONE;
	if (headers->count == WIRE_HEADERS_MAX)
		return REASON_BAD_REQUEST;
	out->customer_name = copy_text(caller, out->customer->name);
	headers->list[headers->count++] = (struct wire_header){
		{(const uint8_t *)name, (uint32_t)strlen(name)},
		{(const uint8_t *)out->customer_name, (uint32_t)strlen(out->customer_name)},
	};
	return REASON_NONE;
}
