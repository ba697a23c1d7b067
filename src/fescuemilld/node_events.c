/*
 * Node events: what the parts of a node ask of it and tell it.
 */
#include "fescuemilld/node_events.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"

#include <stdlib.h>

/* Moves the node along its chart; an input that the present state does not take is ignored. */
void node_move(struct node *node, enum node_input input)
{
	uint32_t next;

	if (chart_next(CHART_NODE, node->state, input, &next, NULL) != 0 || next == node->state)
		return;
	node->state = next;
	log_write(LOG_INFO, LOG_PART_MAIN, "The node changed its state.", "state=%s",
		  chart_names_of(CHART_NODE)->states[next]);
}

/* Tells the entry why it may not take calls. */
enum call_reason node_refusal(void *user)
{
	const struct node *node = user;

	switch (node->state) {
	case NODE_READY:
		return REASON_NONE;
	case NODE_DRAINING:
	case NODE_STOPPED:
		return REASON_DRAINING;
	default:
		return REASON_NOT_READY;
	}
}

/* Tells the entry whether a region can be reached. */
bool node_region_is_usable(void *user, const char *region)
{
	const struct node *node = user;

	return gossip_region_is_reachable(node->gossip, region);
}

/* Has a gate probed that the entry could not reach. */
void node_on_unreachable(void *user, uint64_t node_id)
{
	struct node *node = user;

	gossip_report_failure(node->gossip, node_id, clock_monotonic_us());
}

/* Notes that a peer has a newer configuration, and fetches it. */
void node_on_newer_config(void *user, uint64_t node_id, uint64_t version)
{
	struct node *node = user;

	config_note_version(node->config, version);
	if (config_is_behind(node->config))
		config_pull_from(node->pull, node_id, clock_monotonic_us());
}

/* Gives the gate the classes of its service, and its part of their rates. */
void node_apply_config(struct node *node)
{
	const char *service = gossip_self(node->gossip)->service;
	const struct service_config *config = config_find(node->config, service);
	size_t gates = member_count_service(node->members, service);

	if (config)
		gate_shell_set_config(node->gate, config, (uint32_t)gates);
}

/* Takes what the backend server announced, or the end of its lease. */
void node_on_announcement(void *user, const struct announcement *now)
{
	struct node *node = user;

	log_write(LOG_INFO, LOG_PART_GATE, "The backend server changed.",
		  "service=%s port=%u slots=%u state=%s", now->service, now->port, now->slots,
		  backend_state_name(now->state));
	gossip_set_backend(node->gossip, now->service, now->state, now->slots);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
	node_apply_config(node);
	gate_shell_set_backend(node->gate, now);
}

/* Tells the backend server how many of its slots are in use. */
uint32_t node_slots_in_use(void *user)
{
	const struct node *node = user;
	struct gate_load load;

	gate_shell_get_load(node->gate, &load);
	return load.in_use;
}

/* Sends a peer the configuration that it lacks. */
static void reply_config(struct node *node, const struct channel_route *from,
			 const struct message *pull)
{
	struct message msg = {.type = MESSAGE_CONFIG_BODY, .epoch = pull->epoch};
	struct error err;
	char *json;
	size_t size;

	if (config_write_batch(node->config, pull->config_pull.after, pull->config_pull.content,
			       &json, &size, &err) != 0)
		return;
	msg.config_body.ticket = pull->config_pull.ticket;
	msg.config_body.json.data = (const uint8_t *)json;
	msg.config_body.json.size = (uint32_t)size;
	if (channel_reply(node->channel, from, &msg, &err) != 0)
		log_failure(LOG_DEBUG, LOG_PART_CONFIG, "Configuration could not be sent.", &err);
	free(json);
}

/* Takes a message of another node. */
void node_on_message(void *user, const struct channel_route *from, const struct message *msg)
{
	struct node *node = user;

	if (msg->type == MESSAGE_CONFIG_PULL)
		reply_config(node, from, msg);
	else
		gate_shell_message(node->gate, from, msg);
}

/* Takes configuration from the platform. */
void node_on_config_batch(void *user, uint64_t from, const char *json, size_t size)
{
	struct node *node = user;
	struct error err = {0};

	if (config_apply_batch(node->config, from, json, size, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "An answer was refused.", &err);
}

/* Gives the node's state by its name in the chart. */
const char *node_state_name(void *user)
{
	const struct node *node = user;

	return chart_names_of(CHART_NODE)->states[node->state];
}

/* Gives what this node says of itself now. */
const struct member *node_self(void *user)
{
	const struct node *node = user;

	return gossip_self(node->gossip);
}
