/*
 * A node is suspended for some seconds and goes on. Later two other nodes are stopped in turn. Are
 * the lookups that the stopped nodes have taken answered?
 */
#include "../standin/scene.h"

#include <stdlib.h>
#include <string.h>

#define SIGNAL_CONTINUE 18
#define SIGNAL_STOP	19
#define GRACE_MS	6000 /* SIGKILL follows SIGTERM after this */
#define CONTACT_MS	3000
#define SLACK_MS	200   /* loss_slack_ms */
#define LEFT_MS		15000 /* time budget of a lookup */
#define TIMEOUT_MS	8000  /* of the route */
#define WORK_MS		880   /* mean work of a lookup */
#define ENTRIES		2     /* the first hosts; they are stopped, TERM_GAP_MS apart */
#define TERM_GAP_MS	1300
#define PERIOD_MS	300   /* of each entry */
#define USES		12    /* lookups before and after the quiet time */
#define QUIET_MS	33000 /* no lookup is sent */
#define FROZEN_MS	5000
#define AFTER_MS	(CONTACT_MS + 500) /* from the end of the suspension to the next lookup */
#define TERM_AFTER_MS	1200		   /* from that lookup to the first SIGTERM */
#define LATE_FOR_MS	3600
#define REQUESTS_MAX	256

static struct request requests[REQUESTS_MAX];
static uint32_t sent;

static void send_lookup(const struct host *entry)
{
	struct request *request = &requests[sent++];

	request->entry = entry;
	strcpy(request->method, "GET");
	strcpy(request->host_name, "shop.example");
	snprintf(request->path, sizeof(request->path), "/assay/%d", WORK_MS);
	request->left_ms = LEFT_MS;
	request_send(request);
}

/* Sends lookups to both entries for as long as the platform lets the callers. */
static void send_lookups(uint32_t for_ms)
{
	uint64_t from_ms = scene_now();

	for (uint64_t at = 0; at < for_ms; at += PERIOD_MS) {
		scene_sleep_until(from_ms + at);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			if (host_is_in(&scene.hosts[i]))
				send_lookup(&scene.hosts[i]);
		}
	}
}

/* Ends a node as the platform does: SIGTERM, and SIGKILL after the grace. */
static void *stop_node(void *arg)
{
	struct host *host = arg;

	host_signal(host, 15);
	scene_sleep_until(host->term_ms + GRACE_MS);
	host_signal(host, 9);
	return NULL;
}

/* Stops the entries in turn. */
static void *stop_entries(void *arg)
{
	uint64_t from_ms = scene_now();
	pthread_t threads[ENTRIES];

	(void)arg;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		scene_sleep_until(from_ms + i * TERM_GAP_MS);
		pthread_create(&threads[i], NULL, stop_node, &scene.hosts[i]);
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		pthread_join(threads[i], NULL);
	return NULL;
}

/* Counts the lookups from `first` on that were read and whose connections ended without an answer,
 * though neither their time nor the route's was over and no server was at work on them. */
static uint32_t judge(uint32_t first)
{
	uint32_t lost = 0;
	uint32_t answered = 0;

	for (uint32_t i = first; i < sent; i++) {
		const struct request *request = &requests[i];
		uint64_t for_ms = request->ended_ms - request->sent_ms;

		answered += request->status == 200;
		if (request->status || !request->was_read_to_end || for_ms >= TIMEOUT_MS ||
		    for_ms <= SLACK_MS)
			continue;
		if (scene_find_run(request->id))
			continue;
		lost++;
		scene_note("LOST: %s was sent, no server has ever got it, and its connection ended "
			   "without an answer after %llu ms",
			   request->id, (unsigned long long)for_ms);
	}
	scene_note("%u lookups around the stop, %u answered 200, %u lost", sent - first, answered,
		   lost);
	printf("%u lookups around the stop, %u answered 200, %u lost\n", sent - first, answered,
	       lost);
	return lost;
}

int main(void)
{
	struct host *suspended;
	pthread_t stop;
	uint32_t first;
	uint32_t lost;

	scene_open("review/1/manifest.json");
	scene_add_host("ledger-1", "p-1", "ledger", 6);
	scene_add_host("ledger-2", "p-1", "ledger", 6);
	suspended = scene_add_host("assay-1", "p-2", "assay", 6);
	scene_add_host("assay-2", "p-2", "assay", 6);
	scene_start();
	send_lookups(USES * PERIOD_MS);
	scene_sleep_until(scene_now() + QUIET_MS);
	send_lookups(USES * PERIOD_MS);
	scene_wait_requests();
	if (scene_has_trouble())
		host_signal(suspended, SIGNAL_STOP);
	scene_sleep_until(scene_now() + FROZEN_MS);
	if (scene_has_trouble())
		host_signal(suspended, SIGNAL_CONTINUE);
	scene_sleep_until(scene_now() + AFTER_MS);
	first = sent;
	send_lookups(TERM_AFTER_MS);
	pthread_create(&stop, NULL, stop_entries, NULL);
	send_lookups(LATE_FOR_MS);
	pthread_join(stop, NULL);
	scene_wait_requests();
	lost = judge(first);
	scene_close();
	return lost > 0;
}
