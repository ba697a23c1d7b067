#include "memory.h"

#include "net.h"
#include "record.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>

#define WATCH_MS 2

static pthread_t watcher;
static atomic_uint ended;
static atomic_bool is_over;

/* Ends a process that has used too much. */
static void check_node(struct fleet_node *node)
{
	uint64_t bytes = fleet_peak_bytes(node);

	if (bytes <= MEMORY_BYTES_MAX)
		return;
	record_line("node %s has used %" PRIu64 " bytes: the platform ends its process", node->ip,
		    bytes);
	fleet_signal(node, SIGKILL);
	while (!fleet_has_ended(node))
		net_sleep_ms(1);
	ended++;
}

static void *watch_always(void *user)
{
	struct fleet *fleet = user;

	while (!is_over) {
		for (uint32_t i = 0; i < fleet->count; i++)
			check_node(&fleet->nodes[i]);
		net_sleep_ms(WATCH_MS);
	}
	return NULL;
}

void memory_watch(struct fleet *fleet)
{
	pthread_create(&watcher, NULL, watch_always, fleet);
}

uint32_t memory_watch_end(const struct fleet *fleet)
{
	is_over = true;
	pthread_join(watcher, NULL);
	for (uint32_t i = 0; i < fleet->count; i++)
		record_line("node %s: most memory used %" PRIu64 " bytes", fleet->nodes[i].ip,
			    fleet_peak_bytes(&fleet->nodes[i]));
	record_line("processes that used more than %llu bytes: %u", MEMORY_BYTES_MAX, ended);
	return ended;
}
