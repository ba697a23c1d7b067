/*
 * Limits on what the clients of a node may send.
 */
#include "fescuemilld/node/node_limits.h"

#include "fescuemill/base/log.h"

#include <malloc.h>
#include <string.h>

/* Above the largest answer of the users' downloads (540 KB), which are served as before. */
#define MAPPED_BLOCK_BYTES (1 << 20)

/* 200 for files, which the users' hosts reserve, and 200 for links to gates and from entries (83 to
 * 99 connections a node were measured, docs/CAPACITY.md), the store and the backend server. */
#define DESCRIPTORS_SPARE 400

/* Has large blocks go back to the system when they are freed. By default, malloc() raises its limit
 * for such blocks to the size of those that were freed, up to 32 MB, and keeps later ones. */
static void limit_kept_memory(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, 2 * MAPPED_BLOCK_BYTES);
}

/* Opens the guard of the node's HTTP listeners. Until a configuration states limits, the listeners'
 * own apply. */
int node_open_guard(struct node *node, struct error *err)
{
	struct client_guard_budget budget = {
		.memory_bytes_max = node->settings.memory_limit_bytes,
		.connections_max = node->settings.connections_max,
		.descriptors_max = node->settings.descriptors_max,
		.descriptors_spare = DESCRIPTORS_SPARE,
	};

	limit_kept_memory();
	return client_guard_open(&node->guard, &node->loop, &budget, err);
}

/* Returns the largest body that a caller may send. */
static uint32_t body_bytes_max(const struct node *node, const struct caller_limits *limits)
{
	if (limits->body_bytes_max == 0)
		return node->settings.body_limit_bytes;
	return limits->body_bytes_max < CALL_PIECED_BYTES_MAX ? (uint32_t)limits->body_bytes_max
							      : CALL_PIECED_BYTES_MAX;
}

/* Puts the limits of the configuration in force. */
void node_apply_limits(struct node *node)
{
	static const struct caller_limits none;
	const struct routing *routing = config_routing(node->config);
	const struct caller_limits *limits = routing ? &routing->limits : &none;
	struct client_rules rules = {
		.header_bytes_max = limits->header_bytes_max,
		.header_timeout_ms = limits->header_timeout_ms,
		.idle_timeout_ms = limits->idle_timeout_ms,
	};
	uint32_t bytes = body_bytes_max(node, limits);

	if (node->has_limits && memcmp(&rules, &node->rules, sizeof(rules)) == 0 &&
	    bytes == node->body_bytes_max)
		return;
	node->has_limits = true;
	node->rules = rules;
	node->body_bytes_max = bytes;
	client_guard_set_rules(node->guard, &rules);
	caller_set_body_bytes_max(node->caller, bytes);
	log_write(LOG_INFO, LOG_PART_HTTP, "Limits on clients are in force.",
		  "header_bytes=%u body_bytes=%u header_ms=%u idle_ms=%u", rules.header_bytes_max,
		  bytes, rules.header_timeout_ms, rules.idle_timeout_ms);
}
