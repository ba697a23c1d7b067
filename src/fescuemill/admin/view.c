/*
 * View: builds the JSON answers of the administration API.
 */
#include "fescuemill/admin/view.h"

#include "fescuemill/base/counter.h"

#include <stdio.h>
#include <string.h>

#define ADDRESS_BYTES 24

/* Returns an error with its kind, place and detail. */
json_t *view_error(const struct error *err)
{
	return json_pack("{s:{s:s, s:s, s:s}}", "error", "kind", error_kind_name(err->kind),
			 "where", err->where ? err->where : "-", "detail", err->detail);
}

/* Returns a service in force with its version, team, classes and last changes. */
json_t *view_service(const struct service_object *object)
{
	json_t *view = service_pack(object);

	json_object_set_new(view, "version", json_integer((json_int_t)object->config.version));
	return view;
}

/* Returns one class with its service and version. */
json_t *view_class(const struct service_object *object, const struct class_target *target)
{
	json_t *view = service_pack_class(target);

	json_object_set_new(view, "service", json_string(object->config.service));
	json_object_set_new(view, "version", json_integer((json_int_t)object->config.version));
	return view;
}

/* Returns all services in force at this node. */
json_t *view_services(const struct admin_node *node)
{
	json_t *list = json_array();
	size_t count = config_count(node->config);

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, view_service(config_at(node->config, i)));
	return json_pack("{s:b, s:I, s:o}", "ready", config_is_ready(node->config),
			 "config_version", (json_int_t)config_version(node->config), "services",
			 list);
}

/* Returns the version of each service in force at this node, and the region and failure domain of
 * the node. */
json_t *view_versions(const struct admin_node *node)
{
	json_t *versions = json_object();
	size_t count = config_count(node->config);

	for (size_t i = 0; i < count; i++) {
		const struct service_config *config = &config_at(node->config, i)->config;

		json_object_set_new(versions, config->service,
				    json_integer((json_int_t)config->version));
	}
	return json_pack("{s:s, s:s, s:s, s:b, s:I, s:o}", "name", node->settings->name, "region",
			 node->settings->region, "failure_domain", node->settings->failure_domain,
			 "ready", config_is_ready(node->config), "config_version",
			 (json_int_t)config_version(node->config), "versions", versions);
}

/* Returns the state and load of this node. */
json_t *view_status(const struct admin_node *node)
{
	struct admin_status status = {.state = "unknown"};
	json_t *view;

	node->status(node->user, &status);
	view = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "name", node->settings->name,
			 "region", node->settings->region, "failure_domain",
			 node->settings->failure_domain, "state", status.state, "service",
			 status.service, "incarnation", (json_int_t)status.incarnation, "uptime_ms",
			 (json_int_t)status.uptime_ms);
	json_object_set_new(view, "calls_in_flight", json_integer(status.calls_in_flight));
	json_object_set_new(view, "attempts_waiting", json_integer(status.attempts_waiting));
	json_object_set_new(view, "slots", json_integer(status.slots));
	json_object_set_new(view, "slots_in_use", json_integer(status.slots_in_use));
	json_object_set_new(view, "config_ready", json_boolean(config_is_ready(node->config)));
	json_object_set_new(view, "config_version",
			    json_integer((json_int_t)config_version(node->config)));
	json_object_set_new(view, "members", json_integer((json_int_t)member_count(node->members)));
	json_object_set_new(
		view, "members_alive",
		json_integer((json_int_t)member_count_state(node->members, MEMBER_ALIVE)));
	return view;
}

static json_t *view_member(const struct member *member)
{
	uint32_t ip = member->internal.ip;
	char address[ADDRESS_BYTES];

	snprintf(address, sizeof(address), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
		 (ip >> 8) & 255, ip & 255);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I}", "name",
			 member->name, "region", member->region, "failure_domain", member->domain,
			 "state", member_state_name(member->state), "service", member->service,
			 "backend", backend_state_name(member->backend), "address", address,
			 "node_port", member->internal.node_port, "gossip_port",
			 member->internal.gossip_port, "slots", (json_int_t)member->slots,
			 "incarnation", (json_int_t)member->identity.incarnation, "revision",
			 (json_int_t)member->revision);
}

/* Returns all members that this node knows. */
json_t *view_members(const struct admin_node *node)
{
	json_t *list = json_array();

	for (size_t i = 0; i < member_count(node->members); i++)
		json_array_append_new(list, view_member(member_at(node->members, i)));
	return json_pack("{s:o}", "members", list);
}

/* Returns all counters with their units. */
json_t *view_counters(void)
{
	json_t *list = json_object();

	for (int i = 0; i < COUNTER_COUNT; i++) {
		const struct counter_info *info = counter_get_info((enum counter)i);
		json_t *entry =
			json_pack("{s:I, s:s}", "value", (json_int_t)counter_get((enum counter)i),
				  "unit", info->unit);

		json_object_set_new(list, info->name, entry);
	}
	return json_pack("{s:o}", "counters", list);
}
