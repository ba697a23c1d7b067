/*
 * The two nodes of a failure domain are stopped in turn. Is a purchase that the first of them takes
 * more than 3 s after its SIGTERM answered?
 */
#include "../standin/scene.h"

#include <stdlib.h>
#include <string.h>

#define GRACE_MS       6000 /* SIGKILL follows SIGTERM after this */
#define EXCUSED_MS     3000 /* what is sent later than this after SIGTERM has no excuse */
#define LONG_WORK_MS   5300 /* the longest work of a lookup */
#define LOOKUPS	       6
#define BUY_WORK_MS    1700 /* the longest work of a purchase */
#define BUY_LEFT_MS    5000
#define BUY_TIMEOUT_MS 2500 /* of the route */
#define BUY_PERIOD_MS  150
#define TERM_AT_MS     3000
#define TERM_GAP_MS    1000 /* between the two nodes */
#define END_MS	       9000
#define REQUESTS_MAX   256

static struct request lookups[LOOKUPS];
static struct request purchases[REQUESTS_MAX];
static uint32_t sent;
static uint64_t zero_ms;

static void fill(struct request *request, const struct host *entry, const char *path, int work_ms,
		 uint32_t left_ms)
{
	request->entry = entry;
	strcpy(request->method, strcmp(path, "/buy") == 0 ? "POST" : "GET");
	strcpy(request->host_name, "shop.example");
	snprintf(request->path, sizeof(request->path), "%s/%d", path, work_ms);
	request->left_ms = left_ms;
}

/* The callers beside the first node send purchases for as long as the platform lets them. */
static void *send_purchases(void *arg)
{
	const struct host *entry = arg;

	for (uint64_t at = 0; at < END_MS && sent < REQUESTS_MAX; at += BUY_PERIOD_MS) {
		scene_sleep_until(zero_ms + at);
		if (!host_is_in(entry))
			continue;
		fill(&purchases[sent], entry, "/buy", BUY_WORK_MS, BUY_LEFT_MS);
		request_send(&purchases[sent++]);
	}
	return NULL;
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

/* Counts the purchases that a server began to run and whose connection ended without an answer,
 * though they were sent when the stopping node need not have taken them. */
static uint32_t judge(const struct host *stopped)
{
	uint32_t lost = 0;
	uint32_t late = 0;

	for (uint32_t i = 0; i < sent; i++) {
		const struct request *request = &purchases[i];
		uint64_t after_ms = request->sent_ms - stopped->term_ms;

		if (!stopped->term_ms || request->sent_ms <= stopped->term_ms + EXCUSED_MS)
			continue;
		late += request->was_read_to_end;
		if (request->status || !request->was_read_to_end || !scene_find_run(request->id) ||
		    request->ended_ms >= request->sent_ms + BUY_TIMEOUT_MS)
			continue;
		lost++;
		scene_note("LOST: %s, sent %llu ms after SIGTERM, began to run; its connection "
			   "ended without an answer after %llu ms",
			   request->id, (unsigned long long)after_ms,
			   (unsigned long long)(request->ended_ms - request->sent_ms));
	}
	scene_note("%u purchases, %u sent over 3 s after SIGTERM, %u of these lost", sent, late,
		   lost);
	printf("%u purchases, %u late, %u lost\n", sent, late, lost);
	return lost;
}

int main(void)
{
	struct host *first;
	struct host *second;
	pthread_t traffic;
	pthread_t stop;
	uint32_t lost;

	scene_open("review/2/manifest.json");
	first = scene_add_host("assay-1", "p-1", "assay", 6);
	second = scene_add_host("assay-2", "p-1", "assay", 6);
	scene_add_host("ledger-1", "p-2", "ledger", 6);
	scene_add_host("ledger-2", "p-2", "ledger", 6);
	scene_add_host("assay-3", "p-2", "assay", 6);
	scene_start();
	zero_ms = scene_now();
	pthread_create(&traffic, NULL, send_purchases, first);
	/* Long lookups, two at each server, are under way when the node is stopped. */
	for (uint32_t i = 0; i < LOOKUPS; i++) {
		scene_sleep_until(zero_ms + TERM_AT_MS - (LOOKUPS - i) * 50);
		fill(&lookups[i], first, "/assay", LONG_WORK_MS, 15000);
		request_send(&lookups[i]);
	}
	scene_sleep_until(zero_ms + TERM_AT_MS);
	if (scene_has_trouble())
		pthread_create(&stop, NULL, stop_node, first);
	scene_sleep_until(zero_ms + TERM_AT_MS + TERM_GAP_MS);
	if (scene_has_trouble())
		stop_node(second);
	pthread_join(traffic, NULL);
	if (scene_has_trouble())
		pthread_join(stop, NULL);
	scene_wait_requests();
	lost = judge(first);
	scene_close();
	return lost > 0;
}
