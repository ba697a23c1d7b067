/*
 * Node: puts the parts of fescuemilld together. charts/node.json says which state follows which.
 */
#include "fescuemilld/node.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/keeper.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/http/caller.h"
#include "fescuemill/platform/client.h"
#include "fescuemill/platform/follow.h"
#include "fescuemilld/admin_shell.h"
#include "fescuemilld/config_pull.h"
#include "fescuemilld/entry.h"
#include "fescuemilld/gate_shell.h"
#include "fescuemilld/gossip_shell.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOUSEKEEPING_MS	   100
#define TIME_SKIP_US	   GOSSIP_PAUSE_US
#define LEAVE_GRACE_US	   USEC_PER_SEC
#define ACK_WAIT_US	   (2 * USEC_PER_SEC)
#define BACKOFF_FIRST_US   (200 * USEC_PER_MSEC)
#define BACKOFF_HIGHEST_US (10 * USEC_PER_SEC)

/* How far a stop has come. */
enum stop_phase {
	STOP_NONE,
	STOP_FINISHING, /* work in progress ends */
	STOP_ACKED,	/* the last answers are on their way to the entries */
	STOP_LEAVING,	/* the roster is told */
	STOP_LEFT,	/* the others hear of it; new work is still refused properly */
};

struct node {
	uv_loop_t loop;
	struct settings settings;
	struct member self; /* as at the start; gossip keeps what is said of it now */
	uint32_t state;	    /* enum node_state */
	enum stop_phase stop_phase;
	uint64_t phase_since_us;
	uint64_t stop_since_us;
	uint64_t housekept_us;
	uint64_t config_revision;
	uint64_t members_revision;
	bool was_cut;
	uv_timer_t housekeeping;
	uv_signal_t signals[2];
	struct config_store *config;
	struct member_table *members;
	struct channel *channel;
	struct caller *caller;
	struct announce *announce;
	struct platform_client *platform;
	struct follow *follow;
	struct keeper *keeper;
	struct budget budget;
	struct gossip_shell *gossip_shell;
	struct gossip *gossip;
	struct config_pull *pull;
	struct entry *entry;
	struct gate_shell *gate;
	struct admin_shell *admin;
};

/* Moves the node along its chart; an input that the present state does not take is ignored. */
static void move(struct node *node, enum node_input input)
{
	uint32_t next;

	if (chart_next(CHART_NODE, node->state, input, &next, NULL) != 0 || next == node->state)
		return;
	node->state = next;
	log_write(LOG_INFO, LOG_PART_MAIN, "The node changed its state.", "state=%s",
		  chart_names_of(CHART_NODE)->states[next]);
}

/* Tells the entry why it may not take calls. */
static enum call_reason refusal(void *user)
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
static bool region_is_usable(void *user, const char *region)
{
	const struct node *node = user;

	return gossip_region_is_reachable(node->gossip, region);
}

/* Has a gate probed that the entry could not reach. */
static void on_unreachable(void *user, uint64_t node_id)
{
	struct node *node = user;

	gossip_report_failure(node->gossip, node_id, clock_monotonic_us());
}

/* Notes that a peer has a newer configuration, and fetches it. */
static void on_newer_config(void *user, uint64_t node_id, uint64_t version)
{
	struct node *node = user;

	config_note_version(node->config, version);
	if (config_is_behind(node->config))
		config_pull_from(node->pull, node_id, clock_monotonic_us());
}

/* Gives the gate the classes of its service, and its part of their rates. */
static void apply_config(struct node *node)
{
	const char *service = gossip_self(node->gossip)->service;
	const struct service_config *config = config_find(node->config, service);
	size_t gates = member_count_service(node->members, service);

	if (config)
		gate_shell_set_config(node->gate, config, (uint32_t)gates);
}

/* Takes what the backend server announced, or the end of its lease. */
static void on_announcement(void *user, const struct announcement *now)
{
	struct node *node = user;

	log_write(LOG_INFO, LOG_PART_GATE, "The backend server changed.",
		  "service=%s port=%u slots=%u state=%s", now->service, now->port, now->slots,
		  backend_state_name(now->state));
	gossip_set_backend(node->gossip, now->service, now->state, now->slots);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
	apply_config(node);
	gate_shell_set_backend(node->gate, now);
}

/* Tells the backend server how many of its slots are in use. */
static uint32_t slots_in_use(void *user)
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
static void on_node_message(void *user, const struct channel_route *from, const struct message *msg)
{
	struct node *node = user;

	if (msg->type == MESSAGE_CONFIG_PULL)
		reply_config(node, from, msg);
	else
		gate_shell_message(node->gate, from, msg);
}

/* Takes configuration from the platform. */
static void on_config_batch(void *user, uint64_t from, const char *json, size_t size)
{
	struct node *node = user;
	struct error err = {0};

	if (config_apply_batch(node->config, from, json, size, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "An answer was refused.", &err);
}

/* Notices that the process was paused: what it knows may be old. */
static void check_time(struct node *node, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - node->housekept_us;

	node->housekept_us = now_us;
	if (elapsed_us < TIME_SKIP_US)
		return;
	log_write(LOG_WARNING, LOG_PART_MAIN, "The process was paused.", "for_us=%llu",
		  (unsigned long long)elapsed_us);
	config_mark_stale(node->config);
	follow_refresh(node->follow);
	move(node, NODE_INPUT_TIME_SKIPPED);
}

/* Divides the budget of the link between regions among the nodes of this region. */
static void share_link(struct node *node)
{
	uint32_t nodes = 0;

	for (size_t i = 0; i < member_count(node->members); i++) {
		const struct member *member = member_at(node->members, i);

		if (member->state != MEMBER_DEAD &&
		    strcmp(member->region, node->settings.region) == 0)
			nodes++;
	}
	budget_share_link(&node->budget, nodes);
}

/* Passes on what has changed in the configuration and in the member table. */
static void pass_changes(struct node *node)
{
	uint64_t config = config_revision(node->config);
	uint64_t members = member_table_revision(node->members);

	if (config != node->config_revision || members != node->members_revision)
		apply_config(node);
	if (members != node->members_revision)
		share_link(node);
	node->config_revision = config;
	node->members_revision = members;
	entry_sweep(node->entry);
}

/* Keeps up with the configuration: few nodes watch the platform, the others ask their peers. A
 * node that is not ready does both. */
static void keep_up(struct node *node, uint64_t now_us)
{
	bool is_ready = config_is_ready(node->config);
	const struct member *self = gossip_self(node->gossip);

	follow_set_on(node->follow, !is_ready || config_is_watcher(node->members, self));
	config_pull_tick(node->pull, now_us);
	if (!is_ready)
		return;
	gossip_set_config_version(node->gossip, config_version(node->config));
	if (gossip_is_joined(node->gossip))
		move(node, NODE_INPUT_CAUGHT_UP);
}

/* Closes every part, so that the loop can end. */
static void close_parts(struct node *node)
{
	admin_shell_close(node->admin);
	gossip_shell_close(node->gossip_shell);
	config_pull_close(node->pull);
	keeper_close(node->keeper);
	follow_close(node->follow);
	platform_client_close(node->platform);
	entry_close(node->entry);
	gate_shell_close(node->gate);
	channel_close(node->channel);
	announce_close(node->announce);
	caller_close(node->caller);
	uv_close((uv_handle_t *)&node->housekeeping, NULL);
	for (int i = 0; i < 2; i++)
		uv_close((uv_handle_t *)&node->signals[i], NULL);
}

/* Goes on to the next phase of a stop. */
static void enter_phase(struct node *node, enum stop_phase phase, uint64_t now_us)
{
	node->stop_phase = phase;
	node->phase_since_us = now_us;
}

/* Notes that this node is out of the roster, or that this could not be had. */
static void on_left(void *user)
{
	struct node *node = user;

	if (node->stop_phase == STOP_LEAVING)
		enter_phase(node, STOP_LEFT, clock_monotonic_us());
}

/* Takes a stop one phase further when it is due. */
static void advance_stop(struct node *node, uint64_t now_us)
{
	uint64_t in_phase_us = now_us - node->phase_since_us;

	switch (node->stop_phase) {
	case STOP_FINISHING:
		if (entry_calls(node->entry) == 0 && gate_shell_live(node->gate) == 0 &&
		    admin_shell_changes(node->admin) == 0)
			enter_phase(node, STOP_ACKED, now_us);
		break;
	case STOP_ACKED:
		if (gate_shell_records(node->gate) > 0 && in_phase_us < ACK_WAIT_US)
			break;
		enter_phase(node, STOP_LEAVING, now_us);
		gossip_leave(node->gossip, now_us);
		keeper_leave(node->keeper, on_left, node);
		break;
	case STOP_LEFT:
		if (in_phase_us < LEAVE_GRACE_US)
			break;
		move(node, NODE_INPUT_IDLE);
		uv_stop(&node->loop);
		break;
	case STOP_NONE:
	case STOP_LEAVING:
		break;
	}
}

/* Ends a stop that takes too long. */
static void check_stop_limit(struct node *node, uint64_t now_us)
{
	uint64_t limit_us = node->settings.stop_limit_ms * USEC_PER_MSEC;

	if (node->stop_phase == STOP_NONE || now_us < node->stop_since_us + limit_us)
		return;
	node->was_cut = true;
	uv_stop(&node->loop);
}

/* Begins a graceful stop: no new work from here on. */
static void begin_stop(struct node *node)
{
	uint64_t now_us = clock_monotonic_us();

	log_write(LOG_INFO, LOG_PART_MAIN, "The node stops.", "calls=%u attempts=%u",
		  entry_calls(node->entry), gate_shell_live(node->gate));
	move(node, NODE_INPUT_STOP);
	node->stop_since_us = now_us;
	enter_phase(node, STOP_FINISHING, now_us);
	caller_drain(node->caller);
	gate_shell_drain(node->gate);
	gossip_set_leaving(node->gossip);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
}

/* Does what is due from time to time. */
static void on_housekeeping(uv_timer_t *timer)
{
	struct node *node = timer->data;
	uint64_t now_us = clock_monotonic_us();

	check_time(node, now_us);
	pass_changes(node);
	keep_up(node, now_us);
	if (gossip_is_superseded(node->gossip) && node->stop_phase == STOP_NONE)
		begin_stop(node);
	advance_stop(node, now_us);
	check_stop_limit(node, now_us);
}

/* Takes a signal: the first begins a stop, the second ends it at once. */
static void on_signal(uv_signal_t *handle, int number)
{
	struct node *node = handle->data;

	(void)number;
	if (node->stop_phase == STOP_NONE) {
		begin_stop(node);
		return;
	}
	node->was_cut = true;
	uv_stop(&node->loop);
}

/* Fills what this node says of itself. */
static void init_self(struct node *node)
{
	const struct settings *settings = &node->settings;
	struct member *self = &node->self;

	memcpy(self->name, settings->name, sizeof(self->name));
	memcpy(self->region, settings->region, sizeof(self->region));
	memcpy(self->domain, settings->failure_domain, sizeof(self->domain));
	self->life.node_id = member_id_of(settings->name);
	/* Never reused, because the wall clock never shows a time of an earlier start again. */
	self->life.incarnation = clock_wall_us();
	self->state = MEMBER_ALIVE;
	self->internal.ip = settings->node_address.ip;
	self->external.ip = settings->external_ip;
	self->external.node_port = (uint16_t)settings->external_node_port;
	self->external.gossip_port = (uint16_t)settings->external_gossip_port;
}

/* Opens what faces callers, the backend server and other nodes. */
static int open_listeners(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	struct caller_options caller = {
		.ip = settings->caller_address.ip,
		.port = settings->caller_address.port,
		.body_bytes_max = settings->body_limit_bytes,
		.memory_bytes_max = settings->memory_limit_bytes,
		.on_call = entry_take_call,
		.on_gone = entry_caller_gone,
		.user = node->entry,
	};
	struct announce_options announce = {
		.ip = settings->backend_address.ip,
		.port = settings->backend_address.port,
		.on_change = on_announcement,
		.in_use = slots_in_use,
		.user = node,
	};

	if (caller_open(&node->caller, &node->loop, &caller, err) != 0)
		return -1;
	return announce_open(&node->announce, &node->loop, &announce, err);
}

/* Opens the entry and the gate over one channel. */
static int open_roles(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	struct entry_options entry = {
		.settings = settings,
		.life = node->self.life,
		.config = node->config,
		.members = node->members,
		.refusal = refusal,
		.region_is_usable = region_is_usable,
		.on_unreachable = on_unreachable,
		.user = node,
	};
	struct gate_shell_options gate = {
		.incarnation = node->self.life.incarnation,
		.answer_bytes_max = settings->body_limit_bytes,
		.memory_bytes_max = settings->memory_limit_bytes,
	};

	if (channel_open(&node->channel, &node->loop, settings->node_address.ip,
			 settings->node_address.port, on_node_message, node, err) != 0)
		return -1;
	node->self.internal.node_port = channel_port(node->channel);
	entry.channel = node->channel;
	gate.channel = node->channel;
	if (entry_open(&node->entry, &node->loop, &entry, err) != 0)
		return -1;
	return gate_shell_open(&node->gate, &node->loop, &gate, err);
}

/* Opens what faces the platform. */
static int open_platform(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	uint64_t seed = node->self.life.node_id ^ node->self.life.incarnation;
	struct platform *platform;
	struct session_limits limits = {
		.backoff_first_us = BACKOFF_FIRST_US,
		.backoff_highest_us = BACKOFF_HIGHEST_US,
		.calls_per_minute = settings->platform_calls_per_minute,
		.watch_ms = settings->platform_watch_ms,
	};

	if (platform_client_open(&node->platform, &node->loop, settings, err) != 0)
		return -1;
	platform = platform_client_interface(node->platform);
	if (follow_open(&node->follow, &node->loop, platform, CONFIG_KIND, &limits, seed,
			on_config_batch, node, err) != 0)
		return -1;
	return keeper_open(&node->keeper, &node->loop, platform, node->members, &limits, seed + 1,
			   err);
}

/* Opens membership and the exchange of configuration with peers. */
static int open_gossip(struct node *node, struct error *err)
{
	const struct settings *settings = &node->settings;
	uint64_t seed = node->self.life.node_id ^ node->self.life.incarnation;
	struct gossip_shell_options gossip = {
		.ip = settings->gossip_address.ip,
		.port = settings->gossip_address.port,
		.members = node->members,
		.budget = &node->budget,
		.newer_config = on_newer_config,
		.user = node,
	};
	struct config_pull_options pull = {
		.channel = node->channel,
		.config = node->config,
		.members = node->members,
		.budget = &node->budget,
		.self_id = node->self.life.node_id,
		.region = settings->region,
		.seed = seed + 2,
	};

	budget_init(&node->budget, settings->node_bytes_per_s, settings->region_link_bytes_per_s,
		    clock_monotonic_us());
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

/* Gives the node's state by its name in the chart. */
static const char *state_name(void *user)
{
	const struct node *node = user;

	return chart_names_of(CHART_NODE)->states[node->state];
}

static const struct member *self_now(void *user)
{
	const struct node *node = user;

	return gossip_self(node->gossip);
}

/* Begins a stop that an operator asked for, unless one is under way. */
static void on_drain(void *user)
{
	struct node *node = user;

	if (node->stop_phase == STOP_NONE)
		begin_stop(node);
}

static int open_admin(struct node *node, struct error *err)
{
	struct admin_shell_options options = {
		.settings = &node->settings,
		.config = node->config,
		.members = node->members,
		.platform = platform_client_interface(node->platform),
		.entry = node->entry,
		.gate = node->gate,
		.incarnation = node->self.life.incarnation,
		.state = state_name,
		.self = self_now,
		.drain = on_drain,
		.user = node,
	};

	return admin_shell_open(&node->admin, &node->loop, &options, err);
}

/* Starts the timers and signals of a node whose parts are open. */
static void start_handles(struct node *node)
{
	static const int numbers[2] = {SIGTERM, SIGINT};

	uv_timer_init(&node->loop, &node->housekeeping);
	node->housekeeping.data = node;
	uv_timer_start(&node->housekeeping, on_housekeeping, HOUSEKEEPING_MS, HOUSEKEEPING_MS);
	for (int i = 0; i < 2; i++) {
		uv_signal_init(&node->loop, &node->signals[i]);
		node->signals[i].data = node;
		uv_signal_start(&node->signals[i], on_signal, numbers[i]);
	}
}

/* Opens every part. After an error the process is expected to end. */
int node_open(struct node **out, const struct settings *settings, struct error *err)
{
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return error_set(err, ERROR_MEMORY, "no memory for the node");
	*out = node;
	signal(SIGPIPE, SIG_IGN);
	node->settings = *settings;
	node->housekept_us = clock_monotonic_us();
	uv_loop_init(&node->loop);
	init_self(node);
	if (charts_load(err) != 0 || config_open(&node->config, err) != 0)
		return -1;
	if (member_table_open(&node->members, err) != 0)
		return -1;
	if (open_roles(node, err) != 0 || open_gossip(node, err) != 0)
		return -1;
	if (open_platform(node, err) != 0 || open_listeners(node, err) != 0 ||
	    open_admin(node, err) != 0)
		return -1;
	keeper_set_watching(node->keeper, false);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
	start_handles(node);
	move(node, NODE_INPUT_LISTENING);
	return 0;
}

/* Prints the ports that the node really has. */
static void print_start_line(const struct node *node)
{
	printf("{\"name\":\"%s\",\"caller_port\":%u,\"node_port\":%u,\"gossip_port\":%u,"
	       "\"backend_port\":%u,\"admin_port\":%u}\n",
	       node->settings.name, caller_port(node->caller), channel_port(node->channel),
	       gossip_shell_port(node->gossip_shell), announce_port(node->announce),
	       admin_shell_port(node->admin));
	fflush(stdout);
}

/* Runs a node until it is stopped. */
int node_run(struct node *node, struct error *err)
{
	print_start_line(node);
	uv_run(&node->loop, UV_RUN_DEFAULT);
	if (node->was_cut)
		return error_set(err, ERROR_TIMEOUT, "cut off: %u calls and %u attempts",
				 entry_calls(node->entry), gate_shell_live(node->gate));
	close_parts(node);
	for (int i = 0; i < 4; i++)
		uv_run(&node->loop, UV_RUN_NOWAIT);
	log_write(LOG_INFO, LOG_PART_MAIN, "The node has stopped.", NULL);
	return 0;
}
