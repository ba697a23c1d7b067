/*
 * Node: connects the parts of fescuemilld. charts/node.json defines its states and transitions.
 */
#include "fescuemilld/node/node.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node/node_defs.h"
#include "fescuemilld/node/node_evacuation.h"
#include "fescuemilld/node/node_events.h"
#include "fescuemilld/node/node_parts.h"
#include "fescuemilld/node/node_reload.h"
#include "fescuemilld/node/node_restore.h"
#include "fescuemilld/node/node_stop.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_PERIOD_US		   (500 * USEC_PER_MSEC)
#define WATCHER_SETTLE_US	   (2 * USEC_PER_SEC) /* for the member table of a new process */
#define REGION_FAILURE_DOMAINS_MAX 32 /* counted in one region; further ones are ignored */

/* Counts of what shares the region's link to other regions. */
struct region_counts {
	uint32_t nodes;
	uint32_t domains; /* number of failure domains */
	const char *domain_names[REGION_FAILURE_DOMAINS_MAX];
};

/* Adds a failure domain unless it has been counted already. */
static void count_domain(struct region_counts *counts, const char *domain)
{
	for (uint32_t i = 0; i < counts->domains; i++) {
		if (strcmp(counts->domain_names[i], domain) == 0)
			return;
	}
	if (counts->domains < REGION_FAILURE_DOMAINS_MAX)
		counts->domain_names[counts->domains++] = domain;
}

/* Counts the nodes that are not dead and the failure domains of this node's region. */
static void count_region(const struct node *node, struct region_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	for (size_t i = 0; i < member_count(node->members); i++) {
		const struct member *member = member_at(node->members, i);

		if (member->state == MEMBER_DEAD ||
		    strcmp(member->region, node->settings.region) != 0)
			continue;
		counts->nodes++;
		count_domain(counts, member->domain);
	}
}

/* Returns true if this node is one of those of its failure domain that watch the platform. While
 * its member table fills, every node would take itself for one. */
static bool is_watcher(const struct node *node)
{
	return clock_monotonic_us() >= node->opened_us + WATCHER_SETTLE_US &&
	       config_is_watcher(node->members, gossip_self(node->gossip),
				 node->settings.platform_watchers);
}

/* Sets this node's share of the budget for the link between regions, which the nodes of the region
 * share. */
static void update_link_share(struct node *node)
{
	bool crosses_link = node->store->crosses_link;
	struct region_counts counts;

	count_region(node, &counts);
	budget_share_link(&node->budget, counts.nodes,
			  crosses_link ? counts.domains * node->settings.platform_watchers : 0,
			  is_watcher(node));
}

/* Updates the owners of keys when the members have changed, and otherwise every KEYS_PERIOD_US: a
 * gate serves no keys when its view of the members is too old. */
static void update_key_members(struct node *node, bool has_changed)
{
	uint64_t now_us = clock_monotonic_us();

	if (!has_changed && now_us < node->keys_applied_us + KEYS_PERIOD_US)
		return;
	node->keys_applied_us = now_us;
	key_members_record_leaving(node->key_members);
	gate_shell_set_members(node->gate, node->key_members);
}

/* Applies changes of the configuration and of the member table to the parts that depend on them. */
static void propagate_changes(struct node *node)
{
	uint64_t config = config_revision(node->config);
	uint64_t members = member_table_revision(node->members);

	if (config != node->config_revision || members != node->members_revision)
		node_apply_config(node);
	if (members != node->members_revision)
		update_link_share(node);
	update_key_members(node, members != node->members_revision);
	node->config_revision = config;
	node->members_revision = members;
	entry_sweep(node->entry);
}

/* Returns true if the node has waited join_wait_ms since its configuration became ready. It then
 * becomes ready even if no peer has confirmed its member table. */
static bool has_waited_for_peers(struct node *node, uint64_t now_us)
{
	if (node->config_ready_us == 0)
		node->config_ready_us = now_us;
	return now_us >= node->config_ready_us + node->settings.join_wait_ms * USEC_PER_MSEC;
}

/* Keeps the configuration up to date: a few nodes of each failure domain watch the platform, the
 * others fetch changes from their peers. A node whose configuration is not ready does both. The
 * node catches up with the evacuations, too. */
static void sync_config(struct node *node, uint64_t now_us)
{
	bool is_ready = config_is_ready(node->config);
	bool watches = is_watcher(node);

	list_watch_set_enabled(node->list_watch, !is_ready || watches);
	node_evacuation_tick(node, watches, now_us);
	config_pull_tick(node->pull, now_us);
	key_proof_shell_tick(node->key_proof,
			     key_proof_shell_is_active(node->key_proof) && is_watcher(node));
	if (!is_ready) {
		node->config_ready_us = 0;
		return;
	}
	gossip_set_config_version(node->gossip, config_version(node->config));
	if (!node_evacuation_is_known(node))
		return;
	if (gossip_is_joined(node->gossip) || has_waited_for_peers(node, now_us))
		node_apply_input(node, NODE_INPUT_CAUGHT_UP);
}

/* Runs the periodic work, every NODE_HOUSEKEEPING_MS. */
static void on_housekeeping(uv_timer_t *timer)
{
	struct node *node = timer->data;
	uint64_t now_us = clock_monotonic_us();

	node_detect_stall(node, now_us);
	node_restore_check(node, now_us);
	propagate_changes(node);
	sync_config(node, now_us);
	demand_shell_tick(node->demand, now_us);
	crash_shell_tick(node->crashes, now_us);
	gate_pieces_sweep(&node->pieces, now_us);
	if (gossip_is_superseded(node->gossip))
		node_on_drain(node);
	if (node->stop.phase == STOP_NONE)
		gate_shell_discover_backend(node->gate);
	node_reload_check(node, now_us);
	node_stop_advance(node, now_us);
}

/* Handles a signal. SIGHUP reads the settings again. The first SIGTERM or SIGINT starts a graceful
 * stop, unless a drain has already started one; the second aborts the stop and ends the process. */
static void on_signal(uv_signal_t *handle, int number)
{
	struct node *node = handle->data;

	log_write(LOG_INFO, LOG_PART_MAIN, "The node received a signal.", "number=%d", number);
	if (number == SIGHUP) {
		node_reload(node);
		return;
	}
	if (!node->was_signalled) {
		node->was_signalled = true;
		node_on_drain(node);
		return;
	}
	node->stop_was_aborted = true;
	uv_stop(&node->loop);
}

/* Starts the housekeeping timer and the signal handlers. All parts must be open. */
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

/* Opens every part. After an error the process must exit, as open parts are not closed. */
int node_open(struct node **out, const struct settings *settings,
	      const struct node_dialects *dialects, struct error *err)
{
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return error_set(err, ERROR_MEMORY, "no memory for the node");
	*out = node;
	signal(SIGPIPE, SIG_IGN);
	node->settings = *settings;
	node->dialects = *dialects;
	node->time_checked_us = clock_monotonic_us();
	node->opened_us = node->time_checked_us;
	uv_loop_init(&node->loop);
	if (node_open_parts(node, err) != 0)
		return -1;
	start_handles(node);
	node_apply_input(node, NODE_INPUT_LISTENING);
	sync_config(node, node->time_checked_us);
	return 0;
}

/* Watches the settings file for changes from now on. */
void node_watch_settings(struct node *node, const char *path)
{
	node_reload_watch(node, path);
}

/* Prints the ports that the node listens on, as one line of JSON. */
static void print_startup_line(const struct node *node)
{
	printf("{\"name\":\"%s\",\"caller_port\":%u,\"node_port\":%u,\"gossip_port\":%u,"
	       "\"backend_port\":%u,\"admin_port\":%u}\n",
	       node->settings.name, caller_port(node->caller), channel_port(node->channel),
	       gossip_shell_port(node->gossip_shell), announce_port(node->announce),
	       admin_shell_port(node->admin));
	fflush(stdout);
}

/* Runs a node until it has stopped. Errors: ERROR_TIMEOUT if the stop was not graceful. */
int node_run(struct node *node, struct error *err)
{
	print_startup_line(node);
	uv_run(&node->loop, UV_RUN_DEFAULT);
	if (node->stop_was_aborted)
		return error_set(err, ERROR_TIMEOUT, "cut off: %u calls and %u attempts",
				 entry_call_count(node->entry), gate_shell_live_count(node->gate));
	node_close_parts(node);
	/* Run the close callbacks of the handles. */
	for (int i = 0; i < 4; i++)
		uv_run(&node->loop, UV_RUN_NOWAIT);
	log_write(LOG_INFO, LOG_PART_MAIN, "The node has stopped.", NULL);
	return 0;
}
