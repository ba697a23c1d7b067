/*
 * Classifies requests. A request either names its service and class itself, or is matched to a
 * configured route by its host and path.
 */
#include "fescuemilld/entry/entry_classify.h"

#include "fescuemill/base/clock.h"
#include "fescuemilld/entry/entry_customer.h"

#include <stdio.h>
#include <string.h>

/* Looks up the class named in `out` in the configuration of its service. */
static enum call_reason find_class(const struct entry *entry, struct call_class *out)
{
	const struct service_config *config = config_find(entry->options.config, out->service);
	const struct class_target *target;

	if (!config)
		return REASON_UNKNOWN_SERVICE;
	target = config_find_class(config, out->name);
	if (!target)
		return REASON_UNKNOWN_CLASS;
	out->index = (uint8_t)(target - config->classes);
	out->objective_us = target->latency_us;
	return REASON_NONE;
}

/* Classifies a request that names its service and class. */
static enum call_reason classify_by_service(const struct entry *entry,
					    const struct call_request *req, struct call_class *out)
{
	enum call_reason reason;

	memcpy(out->service, req->service, sizeof(out->service));
	memcpy(out->name, req->class_name, sizeof(out->name));
	out->idempotent = req->idempotent;
	reason = entry_customer_find(entry, req, NULL, out);
	return reason == REASON_NONE ? find_class(entry, out) : reason;
}

/* Classifies a request by the configured routes. */
static enum call_reason classify_by_route(const struct entry *entry, const struct call_request *req,
					  struct call_class *out)
{
	struct routing *routing = config_routing(entry->options.config);
	struct route *route;
	const struct route_part *part;
	enum call_reason reason;

	if (!routing)
		return REASON_NOT_READY;
	route = routing_find_route(routing, (const char *)req->host.data, req->host.size,
				   (const char *)req->path.data, req->path.size);
	if (!route)
		return REASON_UNKNOWN_SERVICE;
	snprintf(out->route, sizeof(out->route), "%s", route->name);
	reason = entry_customer_find(entry, req, route, out);
	if (reason != REASON_NONE)
		return reason;
	part = route_pick_part(route);
	snprintf(out->service, sizeof(out->service), "%s", part->service);
	memcpy(out->name, part->class_name, sizeof(out->name));
	entry_customer_set_class(entry, route, out);
	out->idempotent = route->idempotent;
	out->servers_max = route->attempts_max;
	out->regions = &route->regions;
	if (out->time_left_us > route->timeout_ms * USEC_PER_MSEC)
		out->time_left_us = route->timeout_ms * USEC_PER_MSEC;
	return find_class(entry, out);
}

/* Classifies a request. Returns REASON_NONE, or why it is refused. */
enum call_reason entry_classify(const struct entry *entry, const struct call_request *req,
				struct call_class *out)
{
	enum call_reason reason = entry->options.refusal(entry->options.user);

	memset(out, 0, sizeof(*out));
	out->time_left_us = req->time_left_us;
	if (reason != REASON_NONE)
		return reason;
	switch (req->address) {
	case CALL_ADDRESS_SERVICE:
		reason = classify_by_service(entry, req, out);
		break;
	case CALL_ADDRESS_ROUTE:
		reason = classify_by_route(entry, req, out);
		break;
	}
	if (reason != REASON_NONE)
		return reason;
	if (!entry->options.has_time_for(entry->options.user, out->time_left_us))
		return REASON_DRAINING;
	return entry->free_count > 0 ? REASON_NONE : REASON_OVERLOAD;
}
