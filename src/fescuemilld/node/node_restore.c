/*
 * Node restore. Every answer of the store and every version of the configuration that a peer
 * announces tells how often the store was restored.
 */
#include "fescuemilld/node/node_restore.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/list_watch.h"
#include "fescuemill/store/version.h"

#include <inttypes.h>

/* After a restore, operators have this long to write again what the copy lacks. Then an object that
 * a list lacks counts as deleted again. */
#define REWRITE_WAIT_US (10 * USEC_PER_SEC)

/* Returns the number of restores that this node has heard of. The store's client uses it too, so
 * that it does not send a version of before. */
static uint64_t heard_restores(struct node *node)
{
	uint64_t by_peers = store_version_restores(config_newest_version(node->config));

	if (by_peers > node->store->restores)
		node->store->restores = by_peers;
	return node->store->restores;
}

/* Keeps what is in force until it was written again, and has the rosters checked. The watches find
 * the restore by themselves. A node that starts after a restore has nothing to keep. */
static void handle_restore(struct node *node, uint64_t restores, uint64_t now_us)
{
	counter_add(COUNTER_PLATFORM_RESTORES, 1);
	log_write(LOG_WARNING, LOG_PART_PLATFORM,
		  "The store was restored from a copy and may lack its latest changes.",
		  "restores=%" PRIu64 " earlier_restores=%" PRIu64 " config_version=%" PRIu64,
		  restores, node->store_restores, config_version(node->config));
	config_store_restored(node->config, restores);
	evacuation_store_restored(&node->evacuations, restores);
	registration_store_restored(node->registration);
	node->store_settled_us = now_us + REWRITE_WAIT_US;
}

/* Lists all objects once more, so that those which were deleted meanwhile are found. */
static void handle_settled(struct node *node)
{
	config_store_settled(node->config);
	evacuation_store_settled(&node->evacuations);
	list_watch_list_again(node->list_watch);
	if (node->evacuation_watch)
		list_watch_list_again(node->evacuation_watch);
	node->store_settled_us = 0;
}

void node_restore_check(struct node *node, uint64_t now_us)
{
	uint64_t restores = heard_restores(node);

	if (node->knows_restores && restores > node->store_restores)
		handle_restore(node, restores, now_us);
	node->knows_restores = node->knows_restores || node->store->knows_restores ||
			       config_newest_version(node->config) > 0;
	node->store_restores = restores;
	if (node->store_settled_us && now_us >= node->store_settled_us)
		handle_settled(node);
}
