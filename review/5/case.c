/*
 * The operator moves the purchases to another service, and adds a route with a long prefix in the
 * same change. Which service runs purchases once the change must be in force?
 */
#include "../standin/scene.h"
#include "../standin/store.h"
#include "../standin/text.h"

#include <stdlib.h>
#include <string.h>

#define APPLY_MS     2000 /* the bound of the deployment */
#define WORK_MS	     100
#define TIME_LEFT_MS 5000
#define PER_S	     10 /* purchases a second, in all */
#define BEFORE_MS    4000
#define AFTER_MS     12000
#define REQUESTS_MAX 512

static struct request requests[REQUESTS_MAX];
static uint32_t sent;

/* Sends purchases for a time, to all nodes in turn. */
static void send_traffic(uint64_t for_ms)
{
	uint64_t from_ms = scene_now();

	for (uint64_t at = 0; at < for_ms && sent < REQUESTS_MAX; at += 1000 / PER_S) {
		struct request *request = &requests[sent];

		scene_sleep_until(from_ms + at);
		request->entry = &scene.hosts[sent % scene.host_count];
		strcpy(request->method, "POST");
		strcpy(request->host_name, "shop.example");
		snprintf(request->path, sizeof(request->path), "/buy/%d", WORK_MS);
		request->left_ms = TIME_LEFT_MS;
		request_send(request);
		sent++;
	}
}

/* Counts the purchases that were sent when the change had to be in force and that the service of
 * the earlier manifest ran. */
static uint32_t judge(uint64_t changed_ms)
{
	uint32_t judged = 0;
	uint32_t stale = 0;

	for (uint32_t i = 0; i < sent; i++) {
		const struct run *run = scene_find_run(requests[i].id);

		if (requests[i].sent_ms <= changed_ms + APPLY_MS)
			continue;
		judged++;
		if (!run || strcmp(run->host->service, "ledger") != 0)
			continue;
		stale++;
		scene_note(
			"CONFIG: %s, sent %llu ms after the change was acknowledged, was run by %s",
			requests[i].id, (unsigned long long)(requests[i].sent_ms - changed_ms),
			run->host->service);
	}
	scene_note("%u purchases sent over %d ms after the change, %u run by the service before it",
		   judged, APPLY_MS, stale);
	printf("%u purchases judged, %u run by the earlier service\n", judged, stale);
	return stale;
}

int main(void)
{
	const char *next = scene_has_trouble() ? "review/5/next.json" : "review/5/next-short.json";
	uint64_t changed_ms;
	uint32_t stale;
	char *manifest;

	scene_open("review/5/manifest.json");
	scene_add_host("front-1", "p-1", "front", 6);
	scene_add_host("ledger-1", "p-1", "ledger", 6);
	scene_add_host("ledger-2", "p-2", "ledger", 6);
	scene_add_host("depot-1", "p-1", "depot", 6);
	scene_add_host("depot-2", "p-2", "depot", 6);
	scene_start();
	send_traffic(BEFORE_MS);
	manifest = text_read_file(next);
	if (!manifest)
		return 2;
	store_put("config", "main", manifest);
	free(manifest);
	changed_ms = scene_now();
	scene_note("the store has acknowledged the change (%s)", next);
	send_traffic(AFTER_MS);
	scene_wait_requests();
	stale = judge(changed_ms);
	scene_close();
	return stale > 0;
}
