/*
 * Choice of the gate of an attempt, within the regions of its call. The regions are taken again
 * from the configuration in force before each attempt, so that a call between two attempts obeys a
 * change.
 */
#include "fescuemilld/entry/entry_placement.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/decide/placement.h"
#include "fescuemilld/entry/entry_service.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LOG_ID_BYTES_MAX 64

/* Returns the regions of a call for the choice of a gate; NULL: any. */
static const struct region_set *limited_regions(const struct entry_call *call)
{
	return call->placement.regions.is_limited ? &call->placement.regions : NULL;
}

void entry_placement_start(struct entry_call *call, const struct region_set *route,
			   const struct customer *customer)
{
	struct entry_placement *placement = &call->placement;

	placement->config_revision = config_revision(call->entry->options.config);
	placement->customer_id = customer ? customer->id : 0;
	placement_regions(route, customer ? &customer->regions : NULL, &placement->regions);
}

/* Returns true if a route is the one that the call was classified by. */
static bool is_own_route(const struct entry_call *call, const struct route *route)
{
	char name[ENTRY_ROUTE_BYTES];

	snprintf(name, sizeof(name), "%s", route->name);
	return strcmp(name, call->route) == 0;
}

/* Returns the regions that the configuration in force states for a call. A call whose route or
 * customer is gone keeps the regions that it had; another route for its path limits them further.
 */
static struct region_set regions_in_force(const struct entry_call *call, struct routing *routing)
{
	const struct call_request *req = call->request;
	const struct region_set *had = &call->placement.regions;
	const struct route *route =
		routing_find_route(routing, (const char *)req->host.data, req->host.size,
				   (const char *)req->path.data, req->path.size);
	const struct customer *customer =
		call->placement.customer_id
			? customer_find_by_id(&routing->customers, call->placement.customer_id)
			: NULL;
	bool has_same_customer = customer || !call->placement.customer_id;
	struct region_set regions;

	placement_regions(route ? &route->regions : NULL, customer ? &customer->regions : NULL,
			  &regions);
	if (!route || !is_own_route(call, route) || !has_same_customer)
		region_set_intersect(&regions, had);
	return regions;
}

/* Logs that a new configuration changed where a call may be served. */
static void log_changed(const struct entry_call *call, const struct region_set *had)
{
	const struct region_set *now = &call->placement.regions;
	struct wire_bytes id = call->request->id;

	if (had->is_limited == now->is_limited && had->count == now->count &&
	    memcmp(had->regions, now->regions, had->count * sizeof(had->regions[0])) == 0)
		return;
	log_write(LOG_INFO, LOG_PART_ENTRY, "A new configuration changed the regions of a call.",
		  "request=%.*s route=%s had=%d regions=%d attempts=%u config_revision=%" PRIu64,
		  (int)(id.size < LOG_ID_BYTES_MAX ? id.size : LOG_ID_BYTES_MAX),
		  (const char *)id.data, call->route, had->is_limited ? had->count : -1,
		  now->is_limited ? now->count : -1, call->state.attempts,
		  call->placement.config_revision);
}

/* Applies a configuration that came into force since the last attempt. A request that names its
 * service has no route. */
static void refresh_regions(struct entry_call *call)
{
	struct config_store *config = call->entry->options.config;
	uint64_t revision = config_revision(config);
	struct region_set had = call->placement.regions;
	struct routing *routing;

	if (revision == call->placement.config_revision)
		return;
	call->placement.config_revision = revision;
	routing = config_routing(config);
	if (!routing || call->route[0] == '\0')
		return;
	call->placement.regions = regions_in_force(call, routing);
	log_changed(call, &had);
}

enum call_reason entry_placement_last_reason(const struct entry_call *call)
{
	if (call->state.attempts == 0)
		return REASON_NO_BACKEND;
	return (enum call_reason)call->state.last_reason;
}

/* Returns whether a call may go to a member's gate. */
static enum call_reason place_at(const struct entry_call *call, const struct member *member)
{
	struct placement_gate place = {
		.region = region_id_of(member->region),
		.is_evacuated =
			evacuation_is_ordered(call->entry->options.evacuations, member->domain),
	};

	return placement_decide(limited_regions(call), &place);
}

/* Finds the gate that owns the key of a call. Returns REASON_NONE, or why the call cannot go
 * there. */
static enum call_reason find_key_owner(const struct entry_call *call, struct node_incarnation *gate)
{
	const struct call_request *request = call->request;
	uint64_t now_ms = clock_wall_us() / USEC_PER_MSEC;
	const struct member *member;
	struct key_hash hash;
	uint64_t node_id;
	bool is_alive;

	key_hash_of(call->service->name, request->key.data, request->key.size, &hash);
	if (!key_owner(call->service->keys, &hash, now_ms, &node_id, &is_alive))
		return entry_placement_last_reason(call);
	member = member_find(call->entry->options.members, node_id);
	if (!member)
		return entry_placement_last_reason(call);
	if (!is_alive)
		return entry_placement_last_reason(call);
	*gate = member->identity;
	return place_at(call, member);
}

/* Returns what is left of the latency objective of a call; 0 if it has passed. */
static uint32_t objective_left_us(const struct entry_call *call, uint64_t now_us)
{
	uint64_t spent_us = now_us - call->received_us;

	return spent_us < call->objective_us ? call->objective_us - (uint32_t)spent_us : 0;
}

/* Selects the gate of the next attempt: by the service's choice, or the owner of the call's key.
 * There is none, too, when the best gate has already refused this call for lack of a free slot. */
enum call_reason entry_placement_select(struct entry_call *call, struct node_incarnation *gate)
{
	struct entry *entry = call->entry;
	uint64_t excluded[ENTRY_EXCLUDED_MAX];
	struct choice_query query = {.excluded = excluded,
				     .class_index = call->class_index,
				     .body_bytes = call->request->body.size};
	uint64_t now_us = clock_monotonic_us();
	struct choice_selection pick;
	enum call_reason reason;

	refresh_regions(call);
	query.excluded_count = attempt_entry_excluded(&call->state, excluded);
	query.regions = limited_regions(call);
	query.objective_us = objective_left_us(call, now_us);
	entry_service_refresh(entry, call->service);
	if (call->state.keyed) {
		entry_service_preconnect(entry, call->service);
		return find_key_owner(call, gate);
	}
	if (!choice_pick(call->service->choice, &query, &entry->rng, now_us, &pick)) {
		reason = choice_placement_reason(call->service->choice, query.regions, now_us);
		return reason == REASON_REGION || reason == REASON_EVACUATED
			       ? reason
			       : entry_placement_last_reason(call);
	}
	*gate = pick.gate;
	call->wait_max_us = pick.wait_max_us;
	return attempt_entry_gate_was_full(&call->state, gate->node_id)
		       ? entry_placement_last_reason(call)
		       : REASON_NONE;
}

/* Returns the distance of a member from this node. */
static enum choice_distance distance_of(const struct settings *settings,
					const struct member *member)
{
	if (strcmp(member->region, settings->region) != 0)
		return DISTANCE_OTHER_REGION;
	if (strcmp(member->domain, settings->failure_domain) != 0)
		return DISTANCE_SAME_REGION;
	return DISTANCE_SAME_DOMAIN;
}

uint64_t entry_placement_revision(const struct entry_options *options)
{
	return member_table_revision(options->members) + options->evacuations->revision;
}

void entry_placement_fill_member(const struct entry_options *options, const struct member *member,
				 struct choice_member *out)
{
	out->identity = member->identity;
	out->domain = (uint32_t)member_id_of(member->domain);
	out->slots = member->slots;
	out->distance = (uint8_t)distance_of(options->settings, member);
	out->usable = member_is_serving(member) &&
		      options->region_is_usable(options->user, member->region);
	out->region = region_id_of(member->region);
	out->is_evacuated = evacuation_is_ordered(options->evacuations, member->domain);
}
