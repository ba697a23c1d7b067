/*
 * Node parts: opens and closes the parts of a node.
 */
#include "fescuemilld/node/node_parts.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/chart/chart.h"
#include "fescuemill/store/client.h"
#include "fescuemilld/node/node_evacuation.h"
#include "fescuemilld/node/node_events.h"
#include "fescuemilld/node/node_limits.h"
#include "fescuemilld/node/node_proof.h"
#include "fescuemilld/node/node_stop.h"

#include <string.h>

/* Part of memory_limit_bytes for bodies of attempts to come; a body that is alone has room. */
#define PIECES_DIVISOR 4

const struct node_dialects native_node_dialects = {
	.dialect = &native_dialect,
	.store_dialect = &native_store_dialect,
};

/* Initializes this node's own member record. */
static void init_self(struct node *node)
{
	const struct settings *settings = &node->settings;
	struct member *self = &node->self;

	memcpy(self->name, settings->name, sizeof(self->name));
	memcpy(self->region, settings->region, sizeof(self->region));
	memcpy(self->domain, settings->failure_domain, sizeof(self->domain));
	node->place.region = region_id_of(settings->region);
	self->identity.node_id = member_id_of(settings->name);
	/* Never reused: the wall clock does not return to the exact time of an earlier start. */
	self->identity.incarnation = clock_wall_us();
	self->state = MEMBER_ALIVE;
	self->internal.ip = settings->node_address.ip;
	self->external.ip = settings->external_ip;
	self->external.node_port = (uint16_t)settings->external_node_port;
	self->external.gossip_port = (uint16_t)settings->external_gossip_port;
}

/* Opens the listeners for callers, for the backend server's announcements and for readiness. */
static int open_listeners(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	struct caller_options caller = {
		.ip = settings->caller_address.ip,
		.port = settings->caller_address.port,
		.body_bytes_max = settings->body_limit_bytes,
		.memory_bytes_max = settings->memory_limit_bytes,
		.guard = node->guard,
		.dialect = node->dialects.dialect,
		.on_call = entry_handle_request,
		.on_disconnect = entry_caller_gone,
		.user = node->entry,
	};
	struct announce_options announce = {
		.ip = settings->backend_address.ip,
		.port = settings->backend_address.port,
		.lease_ms = settings->backend_lease_ms,
		.guard = node->guard,
		.dialect = node->dialects.dialect,
		.on_change = node_on_announcement,
		.on_heartbeat = node_on_heartbeat,
		.in_use = node_slots_in_use,
		.user = node,
	};

	if (caller_open(&node->caller, &node->loop, &caller, err) != 0)
		return -1;
	if (announce_open(&node->announce, &node->loop, &announce, err) != 0)
		return -1;
	return ready_open(&node->ready, &node->loop, &settings->ready_address, node->guard,
			  node_is_ready, node, err);
}

/* Opens the entry and the gate, and the channel to other nodes that both use. */
static int open_roles(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	struct entry_options entry = {
		.settings = settings,
		.identity = node->self.identity,
		.config = node->config,
		.members = node->members,
		.burn = node->burn.calls,
		.budget = &node->budget,
		.key_members = node->key_members,
		.customer_header = node->dialects.dialect->customer_header,
		.evacuations = &node->evacuations,
		.keys_are_fresh = node_keys_are_fresh,
		.on_proof = settings->revoke_ms ? node_proof_hear : NULL,
		.refusal = node_refusal_reason,
		.has_time_for = node_has_time_for,
		.repeat_permille = node_repeat_permille,
		.region_is_usable = node_region_is_usable,
		.on_unreachable = node_on_gate_unreachable,
		.on_new_incarnation = node_on_new_gate_incarnation,
		.user = node,
	};
	struct gate_shell_options gate = {
		.burn = node->burn,
		.budget = &node->budget,
		.node_id = node->self.identity.node_id,
		.incarnation = node->self.identity.incarnation,
		.key_retention_ms = settings->key_retention_ms,
		.key_spread_ms = settings->key_spread_ms,
		.dialect = node->dialects.dialect,
		.backend_server = settings->backend_server,
		.slots_used_percent = settings->slots_used_percent,
		.answer_bytes_max = settings->body_limit_bytes,
		.memory_bytes_max = settings->memory_limit_bytes,
		.on_backend_found = node_on_backend_found,
		.on_backend_refused = node_on_backend_refused,
		.on_unreachable = node_on_backend_unreachable,
		.on_leaving = node_on_backend_leaving,
		.get_proof = node_proof_tell,
		.user = node,
	};

	if (channel_open(&node->channel, &node->loop, settings->node_address.ip,
			 settings->node_address.port, node_on_message, node, err) != 0)
		return -1;
	gate_pieces_init(&node->pieces, settings->memory_limit_bytes / PIECES_DIVISOR);
	node->self.internal.node_port = channel_port(node->channel);
	entry.channel = node->channel;
	gate.channel = node->channel;
	if (entry_open(&node->entry, &node->loop, &entry, err) != 0)
		return -1;
	if (gate_shell_open(&node->gate, &node->loop, &gate, err) != 0)
		return -1;
	channel_set_reading_callback(node->channel, node_on_reading);
	return 0;
}

/* Opens the platform client, and the parts that use it for the configuration and the roster. */
static int open_platform(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	uint64_t seed = node->self.identity.node_id ^ node->self.identity.incarnation;
	uint32_t calls_per_minute = settings->platform_calls_per_minute;
	struct session_limits limits;

	/* The evacuations take one more session, within the same budget of calls. */
	if (settings->evacuation_ms)
		calls_per_minute = calls_per_minute / (SESSIONS_PER_NODE + 1) * SESSIONS_PER_NODE;
	limits = session_limits_for(calls_per_minute, settings->platform_watchers,
				    settings->platform_watch_ms);
	limits.backoff_max_us = settings->platform_backoff_ms * USEC_PER_MSEC;
	if (platform_client_open(&node->store, &node->loop, settings, node->dialects.store_dialect,
				 &node->budget, err) != 0)
		return -1;
	if (list_watch_open(&node->list_watch, &node->loop, node->store, CONFIG_KIND, &limits, seed,
			    node_on_config_batch, node, err) != 0)
		return -1;
	if (node_evacuation_open(node, &limits, seed + 4, err) != 0)
		return -1;
	return registration_open(&node->registration, &node->loop, node->store, node->members,
				 &limits, seed + 1, err);
}

/* Opens gossip and the fetching of configuration from peers. */
static int open_gossip(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	uint64_t seed = node->self.identity.node_id ^ node->self.identity.incarnation;
	struct gossip_shell_options gossip = {
		.ip = settings->gossip_address.ip,
		.port = settings->gossip_address.port,
		.members = node->members,
		.budget = &node->budget,
		.on_newer_config = node_on_newer_config,
		.on_demand = node_on_demand,
		.on_allotment = node_on_allotment,
		.on_crashes = node_on_crashes,
		.allow_new_incarnation = node_on_new_own_incarnation,
		.proof_tell = node_proof_tell,
		.proof_hear = node_proof_hear_gossip,
		.user = node,
	};
	struct config_pull_options pull = {
		.channel = node->channel,
		.config = node->config,
		.members = node->members,
		.budget = &node->budget,
		.self_id = node->self.identity.node_id,
		.evacuations = settings->evacuation_ms ? &node->evacuations : NULL,
		.region = settings->region,
		.seed = seed + 2,
		.on_applied = node_on_config_applied,
		.user = node,
	};

	budget_init(&node->budget, settings->node_bytes_per_s, settings->region_link_bytes_per_s,
		    clock_monotonic_us());
	node->config_reply.channel = node->channel;
	node->config_reply.config = node->config;
	node->config_reply.evacuations = pull.evacuations;
	node->config_reply.budget = &node->budget;
	if (config_pull_open(&node->pull, &pull, err) != 0)
		return -1;
	if (gossip_shell_open(&node->gossip_shell, &node->loop, &gossip, err) != 0)
		return -1;
	node->self.internal.gossip_port = gossip_shell_port(node->gossip_shell);
	if (gossip_shell_start(node->gossip_shell, &node->self, seed + 3, err) != 0)
		return -1;
	node->gossip = gossip_shell_gossip(node->gossip_shell);
	return 0;
}

/* Opens the demand shell, which sets this gate's share of the service's rates. The gate must be
 * open. */
static int open_demand(struct node *node, struct error *err)
{
	struct demand_shell_options options = {
		.gossip = node->gossip,
		.members = node->members,
		.config = node->config,
		.admission = gate_shell_admission(node->gate),
		.seed = node->self.identity.node_id ^ node->self.identity.incarnation,
	};

	return demand_shell_open(&node->demand, &options, clock_monotonic_us(), err);
}

/* Opens the shell of the customers' limits. */
static int open_allotment(struct node *node, struct error *err)
{
	struct allotment_shell_options options = {
		.gossip = node->gossip,
		.members = node->members,
		.config = node->config,
		.seed = node->self.identity.node_id ^ node->self.identity.incarnation,
	};

	if (allotment_shell_open(&node->allotment, &node->loop, &options, err) != 0)
		return -1;
	entry_set_allotment(node->entry, node->allotment);
	return 0;
}

/* Opens the shell of requests that ran when backend servers ended. */
static int open_crashes(struct node *node, struct error *err)
{
	if (crash_shell_open(&node->crashes, node->gossip, node->self.identity.node_id,
			     node->dialects.dialect->caller_header, err) != 0)
		return -1;
	entry_set_crashes(node->entry, node->crashes);
	gate_shell_set_crashes(node->gate, node->crashes);
	return 0;
}

static int open_admin(struct node *node, struct error *err)
{
	struct admin_shell_options options = {
		.settings = &node->settings,
		.config = node->config,
		.members = node->members,
		.burn = &node->burn,
		.platform = node->store,
		.evacuations = node->settings.evacuation_ms ? &node->evacuations : NULL,
		.guard = node->guard,
		.entry = node->entry,
		.gate = node->gate,
		.gossip = node->gossip,
		.key_proof = node->key_proof,
		.state = node_state_name,
		.self = node_self,
		.drain = node_on_drain,
		.user = node,
	};

	return admin_shell_open(&node->admin, &node->loop, &options, err);
}

/* Opens the tables that count calls and attempts by outcome. */
static int open_burn(struct node *node, struct error *err)
{
	uint64_t now_us = clock_monotonic_us();

	if (burn_open(&node->burn.calls, now_us, err) != 0 ||
	    burn_open(&node->burn.in_profile, now_us, err) != 0)
		return -1;
	return burn_open(&node->burn.out_of_profile, now_us, err);
}

/* Opens every part, each after those that it uses. */
int node_open_parts(struct node *node, struct error *err)
{
	init_self(node);
	if (charts_load(err) != 0 ||
	    config_open(&node->config, node->self.identity.incarnation, err) != 0)
		return -1;
	if (member_table_open(&node->members, err) != 0 || open_burn(node, err) != 0)
		return -1;
	if (key_members_open(&node->key_members, node->members, &node->evacuations, err) != 0)
		return -1;
	if (open_roles(node, err) != 0 || open_gossip(node, err) != 0 ||
	    open_demand(node, err) != 0 || open_allotment(node, err) != 0 ||
	    open_crashes(node, err) != 0)
		return -1;
	if (open_platform(node, err) != 0 || node_proof_open(node, err) != 0 ||
	    node_open_guard(node, err) != 0 || open_listeners(node, err) != 0)
		return -1;
	if (open_admin(node, err) != 0)
		return -1;
	registration_set_watching(node->registration, false);
	registration_set_fleet_is_new(node->registration, node->settings.fleet_is_new);
	registration_set_self(node->registration, gossip_self(node->gossip));
	return 0;
}

/* Closes the parts, so that the loop has no open handles and ends. The tables that they share, such
 * as the member table, are not freed: the process exits next. */
void node_close_parts(struct node *node)
{
	admin_shell_close(node->admin);
	gossip_shell_close(node->gossip_shell);
	config_pull_close(node->pull);
	config_reply_free(&node->config_reply);
	demand_shell_close(node->demand);
	allotment_shell_close(node->allotment);
	registration_close(node->registration);
	list_watch_close(node->list_watch);
	list_watch_close(node->evacuation_watch);
	key_proof_shell_close(node->key_proof);
	platform_close(node->store);
	entry_close(node->entry);
	gate_shell_close(node->gate);
	channel_close(node->channel);
	announce_close(node->announce);
	ready_close(node->ready);
	caller_close(node->caller);
	client_guard_close(node->guard);
	crash_shell_close(node->crashes);
	uv_close((uv_handle_t *)&node->housekeeping, NULL);
	for (int i = 0; i < NODE_SIGNALS; i++)
		uv_close((uv_handle_t *)&node->signals[i], NULL);
}
