/*
 * Node evacuation. The watchers of each failure domain watch the store; the other nodes learn of
 * orders by gossip. After a start or a pause, a node learns the orders from a peer's answer to a
 * configuration pull or from the store, whichever comes first, and serves no call before.
 */
#include "fescuemilld/node/node_evacuation.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_placement.h"

/* A watcher lists all orders this often in place of a watch. That finds an order that all watches
 * missed: the two watchers of each of three domains together list every 1.7 s on average. */
#define LIST_PERIOD_US (10 * USEC_PER_SEC)

/* A node that is no watcher asks the store if no peer has told it the orders by then. */
#define PEER_WAIT_US (300 * USEC_PER_MSEC)

/* Applies the store's answer. An answer to a question of before a pause is not delivered, so any
 * answer makes the table current. */
static void on_batch(void *user, uint64_t after, json_t *root)
{
	struct node *node = user;
	uint64_t now_us = clock_monotonic_us();
	struct error err = {0};

	if (evacuation_apply_answer(&node->evacuations, after, root, now_us, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_CONFIG,
			    "Evacuations from the platform were rejected.", &err);
		return;
	}
	evacuation_set_current(&node->evacuations, now_us);
	/* Run housekeeping in the next loop iteration, to apply the changes at once. */
	uv_timer_start(&node->housekeeping, node->housekeeping.timer_cb, 0, NODE_HOUSEKEEPING_MS);
}

int node_evacuation_open(struct node *node, const struct session_limits *limits, uint64_t seed,
			 struct error *err)
{
	uint64_t now_us = clock_monotonic_us();
	struct session_limits own = *limits;

	if (node->settings.evacuation_ms == 0)
		return 0;
	/* Orders are rare, and many watchers tell each other: a longer watch saves calls. */
	if (own.watch_ms < node->settings.evacuation_ms)
		own.watch_ms = node->settings.evacuation_ms;
	evacuation_mark_stale(&node->evacuations, now_us);
	node->evacuations_listed_us = now_us;
	gossip_set_evacuations(node->gossip, &node->evacuations);
	return list_watch_open(&node->evacuation_watch, &node->loop, node->store, EVACUATION_KIND,
			       &own, seed, on_batch, node, err);
}

/* Applies the orders in force to this node's gate, and announces the gate by gossip as draining
 * while it is evacuated. By that the other nodes know that it has given up the keys that it owns.
 */
static void apply(struct node *node)
{
	struct member self = *gossip_self(node->gossip);

	node->evacuations_revision = node->evacuations.revision;
	node->place.is_evacuated =
		evacuation_is_ordered(&node->evacuations, node->settings.failure_domain);
	gate_shell_set_evacuated(node->gate, node->place.is_evacuated);
	gossip_set_backend(node->gossip, self.service, node_evacuation_backend_state(node),
			   self.slots);
	gate_shell_set_members(node->gate, node->key_members);
}

void node_evacuation_tick(struct node *node, bool is_watcher, uint64_t now_us)
{
	const struct evacuation_table *table = &node->evacuations;

	if (!node->evacuation_watch)
		return;
	if (table->revision != node->evacuations_revision ||
	    (table->is_current && !node->evacuations_were_current))
		apply(node);
	node->evacuations_were_current = table->is_current;
	list_watch_set_enabled(node->evacuation_watch,
			       is_watcher || (!table->is_current &&
					      now_us >= table->stale_since_us + PEER_WAIT_US));
	if (now_us < node->evacuations_listed_us + LIST_PERIOD_US)
		return;
	node->evacuations_listed_us = now_us;
	list_watch_list_again(node->evacuation_watch);
}

void node_evacuation_paused(struct node *node, uint64_t now_us)
{
	if (!node->evacuation_watch)
		return;
	evacuation_mark_stale(&node->evacuations, now_us);
	list_watch_refresh(node->evacuation_watch);
	list_watch_list_again(node->evacuation_watch);
}

bool node_evacuation_is_known(const struct node *node)
{
	return !node->evacuation_watch || node->evacuations.is_current;
}

enum call_reason node_evacuation_refusal(struct node *node, const struct message *msg)
{
	if (!node_evacuation_is_known(node))
		return REASON_NOT_READY;
	if (node->evacuations.revision != node->evacuations_revision)
		apply(node);
	return gate_placement_refusal(&node->place, msg);
}

enum backend_state node_evacuation_backend_state(const struct node *node)
{
	enum backend_state state = node->announced_state;

	if (node->place.is_evacuated || !node_evacuation_is_known(node))
		return state == BACKEND_READY ? BACKEND_DRAINING : state;
	return state;
}

struct member node_evacuation_roster_entry(const struct node *node)
{
	struct member self = *gossip_self(node->gossip);

	self.backend = node->announced_state;
	return self;
}
