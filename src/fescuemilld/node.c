/*
 * Node: puts the parts of fescuemilld together. charts/node.json says which state follows which.
 */
#include "fescuemilld/node.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node_defs.h"
#include "fescuemilld/node_events.h"
#include "fescuemilld/node_parts.h"
#include "fescuemilld/node_reload.h"
#include "fescuemilld/node_stop.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_PERIOD_US		   (500 * USEC_PER_MSEC)
#define REGION_FAILURE_DOMAINS_MAX 32 /* of one region that are told apart */

/* The nodes and failure domains of this node's region. */
struct region_census {
	uint32_t nodes;
	uint32_t domains;
	const char *domain_names[REGION_FAILURE_DOMAINS_MAX];
};

/* Counts a failure domain once. */
static void count_domain(struct region_census *census, const char *domain)
{
	for (uint32_t i = 0; i < census->domains; i++) {
		if (strcmp(census->domain_names[i], domain) == 0)
			return;
	}
	if (census->domains < REGION_FAILURE_DOMAINS_MAX)
		census->domain_names[census->domains++] = domain;
}

/* Counts what shares the region's link. */
static void take_census(const struct node *node, struct region_census *census)
{
	memset(census, 0, sizeof(*census));
	for (size_t i = 0; i < member_count(node->members); i++) {
		const struct member *member = member_at(node->members, i);

		if (member->state == MEMBER_DEAD ||
		    strcmp(member->region, node->settings.region) != 0)
			continue;
		census->nodes++;
		count_domain(census, member->domain);
	}
}

/* Tells whether this node watches the platform for its failure domain. */
static bool is_watcher(const struct node *node)
{
	return config_is_watcher(node->members, gossip_self(node->gossip),
				 node->settings.platform_watchers);
}

/* Divides the budget of the link between regions among the nodes of this region. */
static void share_link(struct node *node)
{
	bool is_far = node->store->crosses_link;
	struct region_census census;

	take_census(node, &census);
	budget_share_link(&node->budget, census.nodes,
			  is_far ? census.domains * node->settings.platform_watchers : 0,
			  is_watcher(node));
}

/* Sets the homes of keys at every change of members, and now and then: a gate whose view is old
 * serves no keys. */
static void apply_key_members(struct node *node, bool has_changed)
{
	uint64_t now_us = clock_monotonic_us();

	if (!has_changed && now_us < node->keys_applied_us + KEYS_PERIOD_US)
		return;
	node->keys_applied_us = now_us;
	key_members_note(node->key_members);
	gate_shell_set_members(node->gate, node->key_members);
}

/* Passes on what has changed in the configuration and in the member table. */
static void pass_changes(struct node *node)
{
	uint64_t config = config_revision(node->config);
	uint64_t members = member_table_revision(node->members);

	if (config != node->config_revision || members != node->members_revision)
		node_apply_config(node);
	if (members != node->members_revision)
		share_link(node);
	apply_key_members(node, members != node->members_revision);
	node->config_revision = config;
	node->members_revision = members;
	entry_sweep(node->entry);
}

/* Tells whether a node that has its configuration has waited long enough for a peer to confirm its
 * table of members. */
static bool has_waited_for_peers(struct node *node, uint64_t now_us)
{
	if (node->config_ready_us == 0)
		node->config_ready_us = now_us;
	return now_us >= node->config_ready_us + node->settings.join_wait_ms * USEC_PER_MSEC;
}

/* Keeps up with the configuration: few nodes watch the platform, the others ask their peers. A
 * node that is not ready does both. */
static void keep_up(struct node *node, uint64_t now_us)
{
	bool is_ready = config_is_ready(node->config);

	follow_set_on(node->follow, !is_ready || is_watcher(node));
	config_pull_tick(node->pull, now_us);
	if (!is_ready) {
		node->config_ready_us = 0;
		return;
	}
	gossip_set_config_version(node->gossip, config_version(node->config));
	if (gossip_is_joined(node->gossip) || has_waited_for_peers(node, now_us))
		node_move(node, NODE_INPUT_CAUGHT_UP);
}

/* Does what is due from time to time. */
static void on_housekeeping(uv_timer_t *timer)
{
	struct node *node = timer->data;
	uint64_t now_us = clock_monotonic_us();

	node_check_time(node, now_us);
	pass_changes(node);
	keep_up(node, now_us);
	demand_shell_tick(node->demand, now_us);
	if (gossip_is_superseded(node->gossip))
		node_on_drain(node);
	if (node->stop.phase == STOP_NONE)
		gate_shell_discover_backend(node->gate);
	node_reload_check(node, now_us);
	node_stop_advance(node, now_us);
}

/* Takes a signal. SIGHUP reads the settings again. Of the others the first begins a stop, unless an
 * operator's drain has begun it; the second ends it at once. */
static void on_signal(uv_signal_t *handle, int number)
{
	struct node *node = handle->data;

	log_write(LOG_INFO, LOG_PART_MAIN, "A signal came.", "number=%d", number);
	if (number == SIGHUP) {
		node_reload(node);
		return;
	}
	if (!node->was_signalled) {
		node->was_signalled = true;
		node_on_drain(node);
		return;
	}
	node->was_cut = true;
	uv_stop(&node->loop);
}

/* Starts the timers and signals of a node whose parts are open. */
static void start_handles(struct node *node)
{
	static const int numbers[NODE_SIGNALS] = {SIGTERM, SIGINT, SIGHUP};

	uv_timer_init(&node->loop, &node->housekeeping);
	node->housekeeping.data = node;
	uv_timer_start(&node->housekeeping, on_housekeeping, NODE_HOUSEKEEPING_MS,
		       NODE_HOUSEKEEPING_MS);
	for (int i = 0; i < NODE_SIGNALS; i++) {
		uv_signal_init(&node->loop, &node->signals[i]);
		node->signals[i].data = node;
		uv_signal_start(&node->signals[i], on_signal, numbers[i]);
	}
}

/* Opens every part. After an error the process is expected to end. */
int node_open(struct node **out, const struct settings *settings, const struct outside *outside,
	      struct error *err)
{
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return error_set(err, ERROR_MEMORY, "no memory for the node");
	*out = node;
	signal(SIGPIPE, SIG_IGN);
	node->settings = *settings;
	node->outside = *outside;
	node->time_checked_us = clock_monotonic_us();
	uv_loop_init(&node->loop);
	if (node_open_parts(node, err) != 0)
		return -1;
	start_handles(node);
	node_move(node, NODE_INPUT_LISTENING);
	keep_up(node, node->time_checked_us);
	return 0;
}

/* Looks for changes of the settings file from now on. */
void node_watch_settings(struct node *node, const char *path)
{
	node_reload_watch(node, path);
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
				 entry_call_count(node->entry), gate_shell_live_count(node->gate));
	node_close_parts(node);
	for (int i = 0; i < 4; i++)
		uv_run(&node->loop, UV_RUN_NOWAIT);
	log_write(LOG_INFO, LOG_PART_MAIN, "The node has stopped.", NULL);
	return 0;
}
