#include "memory.h"

#include "net.h"
#include "record.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>

#define WATCH_MS	2
#define RESTART_MS	300
#define READY_MS_MAX	8000
#define SETTLE_MS	2000
#define ENDS_OF_MACHINE 3
#define MACHINES_MIN	2

static pthread_t watcher;
static atomic_bool is_over;
static atomic_uint ends[FLEET_NODES_MAX];
static uint64_t restart_ms[FLEET_NODES_MAX]; /* 0: the process runs */

/* Ends a process that has used too much, and starts it again when that is due. */
static void check_node(struct fleet *fleet, uint32_t number)
{
	struct fleet_node *node = &fleet->nodes[number];
	uint64_t bytes;

	if (restart_ms[number] > 0) {
		if (net_now_ms() < restart_ms[number])
			return;
		restart_ms[number] = 0;
		fleet_start_process(node);
		record_line("node %s is started again", node->ip);
		return;
	}
	bytes = fleet_peak_bytes(node);
	if (bytes <= MEMORY_BYTES_MAX)
		return;
	record_line("node %s has used %" PRIu64 " bytes: the platform ends its process", node->ip,
		    bytes);
	fleet_signal(node, SIGKILL);
	while (!fleet_has_ended(node))
		net_sleep_ms(1);
	ends[number]++;
	restart_ms[number] = net_now_ms() + RESTART_MS;
}

static void *watch_always(void *user)
{
	struct fleet *fleet = user;

	while (!is_over) {
		for (uint32_t i = 0; i < fleet->count; i++)
			check_node(fleet, i);
		net_sleep_ms(WATCH_MS);
	}
	return NULL;
}

void memory_watch(struct fleet *fleet)
{
	pthread_create(&watcher, NULL, watch_always, fleet);
}

void memory_wait_ready(struct fleet *fleet)
{
	uint64_t end_ms = net_now_ms() + READY_MS_MAX;

	net_sleep_ms(RESTART_MS + 100);
	for (uint32_t i = 0; i < fleet->count; i++) {
		while (!fleet_is_ready(&fleet->nodes[i]) && net_now_ms() < end_ms)
			net_sleep_ms(50);
	}
	net_sleep_ms(SETTLE_MS);
}

bool memory_rule_is_broken(const struct fleet *fleet)
{
	uint32_t machines_min = (fleet->count + 9) / 10;
	uint32_t machines = 0;

	for (uint32_t i = 0; i < fleet->count; i++)
		machines += ends[i] >= ENDS_OF_MACHINE;
	return machines >= (machines_min > MACHINES_MIN ? machines_min : MACHINES_MIN);
}

uint32_t memory_watch_end(const struct fleet *fleet)
{
	uint32_t sum = 0;

	is_over = true;
	pthread_join(watcher, NULL);
	for (uint32_t i = 0; i < fleet->count; i++) {
		record_line("node %s: ended %u times for its memory; most memory of the last "
			    "process %" PRIu64 " bytes",
			    fleet->nodes[i].ip, ends[i], fleet_peak_bytes(&fleet->nodes[i]));
		sum += ends[i];
	}
	return sum;
}
