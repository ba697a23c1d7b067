/*
 * A backend server drains while many callers come at once. Do purchases still reach it when its
 * drain time is over?
 */
#include "../standin/scene.h"

#include <stdlib.h>
#include <string.h>

#define DRAIN_MS      2000 /* the bound of the deployment */
#define SERVE_MS      2400 /* how long the server goes on: the bound and a little longer */
#define WORK_MS	      290  /* mean work of a purchase */
#define TIME_LEFT_MS  5000
#define LEDGERS	      4
#define BASE_PER_S    52  /* purchases a second, in all: 0.63 of what 24 slots take */
#define BURST_PERCENT 250 /* x = 2.5 */
#define BURST_FROM_MS 3000
#define BURST_FOR_MS  5900
#define DRAIN_AT_MS   8000 /* within the burst */
#define END_MS	      14000
#define REQUESTS_MAX  4096

static struct request requests[REQUESTS_MAX];
static uint32_t sent;
static uint64_t zero_ms; /* when the traffic starts */

static void *send_traffic(void *arg)
{
	double due_ms = 0;

	(void)arg;
	while (due_ms < END_MS && sent < REQUESTS_MAX) {
		struct request *request = &requests[sent];
		bool is_burst = scene_has_trouble() && due_ms >= BURST_FROM_MS &&
				due_ms < BURST_FROM_MS + BURST_FOR_MS;

		scene_sleep_until(zero_ms + (uint64_t)due_ms);
		request->entry = &scene.hosts[sent % scene.host_count];
		strcpy(request->method, "POST");
		strcpy(request->host_name, "shop.example");
		snprintf(request->path, sizeof(request->path), "/buy/%d", WORK_MS);
		request->left_ms = TIME_LEFT_MS;
		if (host_is_in(request->entry)) {
			request_send(request);
			sent++;
		}
		due_ms += 1000.0 / BASE_PER_S * 100 / (is_burst ? BURST_PERCENT : 100);
	}
	return NULL;
}

/* Counts what reached the leaving server after the bound, and what its end cut off. */
static uint32_t judge(const struct host *leaving)
{
	uint32_t late = 0;
	uint32_t lost = 0;
	uint32_t statuses[6] = {0};

	for (uint32_t i = 0; i < scene.run_count; i++) {
		const struct run *run = &scene.runs[i];

		if (run->host != leaving || run->at_ms <= leaving->drain_ack_ms + DRAIN_MS)
			continue;
		late++;
		lost += run->begun_ms && !run->ended_ms;
		scene_note("DRAIN: %s reached %s %llu ms after the acknowledgement%s", run->id,
			   leaving->name, (unsigned long long)(run->at_ms - leaving->drain_ack_ms),
			   run->begun_ms && !run->ended_ms ? "; its run was cut off" : "");
	}
	for (uint32_t i = 0; i < sent; i++)
		statuses[requests[i].status / 100 % 6]++;
	scene_note("%u requests: %u with 2xx, %u with 4xx, %u with 5xx, %u without an answer", sent,
		   statuses[2], statuses[4], statuses[5], statuses[0]);
	scene_note("%u reached the leaving server after %d ms; %u of these were cut off by its end",
		   late, DRAIN_MS, lost);
	printf("%u late, of these %u begun and cut off\n", late, lost);
	return late;
}

int main(void)
{
	pthread_t traffic;
	uint32_t late;
	struct host *leaving;

	scene_open("review/3/manifest.json");
	scene_add_host("front-1", "p-1", "front", 6);
	for (int i = 1; i <= LEDGERS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "ledger-%d", i);
		scene_add_host(name, i % 2 ? "p-1" : "p-2", "ledger", 6);
	}
	scene_start();
	leaving = &scene.hosts[1];
	zero_ms = scene_now();
	pthread_create(&traffic, NULL, send_traffic, NULL);
	scene_sleep_until(zero_ms + DRAIN_AT_MS);
	host_drain(leaving, SERVE_MS);
	host_signal(leaving, 15);
	pthread_join(traffic, NULL);
	scene_wait_requests();
	late = judge(leaving);
	scene_close();
	return late > 0;
}
