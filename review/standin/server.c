/*
 * Stand-in for a backend server. A request's path ends with the milliseconds that it works.
 */
#include "server.h"

#include "http.h"
#include "text.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define QUEUE_MAX     12
#define BEAT_MS	      1500
#define BEAT_WAIT_MS  1000
#define KEEP_ALIVE_MS 10000
#define DRAIN_WAIT_MS 6000

struct served {
	struct host *host;
	int fd;
	struct http_message msg;
	struct run *run;
	uint64_t until_ms; /* when the time budget of the request ends */
};

static struct run *add_run(const struct host *host, const char *id)
{
	struct run *run = NULL;

	pthread_mutex_lock(&scene.lock);
	if (scene.run_count < SCENE_RUNS_MAX) {
		run = &scene.runs[scene.run_count++];
		snprintf(run->id, sizeof(run->id), "%s", id);
		run->host = host;
		run->at_ms = scene_now();
	}
	pthread_mutex_unlock(&scene.lock);
	if (!run)
		abort();
	return run;
}

static void answer(const struct served *served, int status, const char *headers, const char *body)
{
	char id[64];
	char *text;

	http_header(&served->msg, name_of("h_id"), id, sizeof(id));
	text = text_format("HTTP/1.1 %d X\r\n%s%s%s%s%s: %u,%u,%u,100\r\n%s: %s\r\n%s"
			   "Keep-Alive: timeout=%d\r\nContent-Length: %zu\r\n\r\n%s",
			   status, id[0] ? name_of("h_id") : "", id[0] ? ": " : "", id,
			   id[0] ? "\r\n" : "", name_of("h_load"), served->host->running,
			   served->host->waiting, served->host->slots, name_of("h_instance"),
			   served->host->instance, headers, KEEP_ALIVE_MS / 1000, strlen(body),
			   body);
	http_write(served->fd, text, strlen(text));
	free(text);
}

static void answer_not_run(const struct served *served, int status)
{
	char *header = text_format("%s: 1\r\n", name_of("h_not_run"));

	answer(served, status, header, "");
	free(header);
}

/* Returns true if the caller has closed the connection or the backend server has ended. */
static bool has_gone(const struct served *served)
{
	struct pollfd at = {.fd = served->fd, .events = POLLRDHUP};

	return served->host->has_left || poll(&at, 1, 0) > 0;
}

/* Waits for a slot. Returns false if there is none in time; the request has not run. */
static bool take_slot(const struct served *served)
{
	struct host *host = served->host;
	bool has_slot = false;
	bool may_wait;

	pthread_mutex_lock(&host->lock);
	may_wait = host->running < host->slots || host->waiting < QUEUE_MAX;
	host->waiting += may_wait;
	while (may_wait && !has_slot && clock_ms() < served->until_ms && !has_gone(served)) {
		has_slot = host->running < host->slots;
		host->running += has_slot;
		if (has_slot)
			break;
		pthread_mutex_unlock(&host->lock);
		usleep(1000);
		pthread_mutex_lock(&host->lock);
	}
	host->waiting -= may_wait;
	pthread_mutex_unlock(&host->lock);
	return has_slot;
}

static void free_slot(struct host *host)
{
	pthread_mutex_lock(&host->lock);
	host->running--;
	pthread_mutex_unlock(&host->lock);
}

/* Runs a request that has a slot. */
static void work(struct served *served, uint64_t work_ms)
{
	uint64_t end_ms = clock_ms() + work_ms;
	char *seal = text_format("%s: 1.2.3.%s\r\n", name_of("h_seal"), served->host->instance);
	char *body = text_format("work of %s by %s", served->run->id, served->host->instance);

	served->run->begun_ms = scene_now();
	scene_note("  %s runs %s (%llu ms)", served->host->name, served->run->id,
		   (unsigned long long)work_ms);
	while (clock_ms() < end_ms && clock_ms() < served->until_ms && !has_gone(served))
		usleep(2000);
	free_slot(served->host);
	if (has_gone(served)) {
		scene_note("  %s: its run of %s is cut off", served->host->name, served->run->id);
	} else {
		served->run->ended_ms = scene_now();
		scene_note("  %s: its run of %s ends", served->host->name, served->run->id);
		answer(served, clock_ms() < served->until_ms ? 200 : 504, seal, body);
	}
	free(seal);
	free(body);
}

/* Handles a request for the health path. */
static void answer_health(const struct served *served)
{
	answer(served, served->host->is_draining ? 503 : 200, "", "");
}

static void handle(struct served *served)
{
	struct host *host = served->host;
	char path[256];
	char id[64];
	char expected[64];
	char left[32];
	const char *last;

	http_word(&served->msg, 1, path, sizeof(path));
	if (strcmp(path, "/health") == 0) {
		answer_health(served);
		return;
	}
	http_header(&served->msg, name_of("h_id"), id, sizeof(id));
	http_header(&served->msg, name_of("h_expect"), expected, sizeof(expected));
	http_header(&served->msg, name_of("h_left"), left, sizeof(left));
	if (expected[0] && strcmp(expected, host->instance) != 0) {
		answer_not_run(served, 421);
		return;
	}
	served->run = add_run(host, id);
	served->until_ms = clock_ms() + (left[0] ? (uint64_t)atoll(left) : 60000);
	scene_note("  %s reaches the server of %s", id, host->name);
	last = strrchr(path, '/');
	if (take_slot(served))
		work(served, (uint64_t)atoll(last + 1));
	else if (!has_gone(served))
		answer_not_run(served, 503);
}

/* Waits for the next request of a connection. Returns false if there will be none. */
static bool wait_for_request(const struct served *served)
{
	uint64_t until_ms = clock_ms() + KEEP_ALIVE_MS;
	struct pollfd at = {.fd = served->fd, .events = POLLIN};

	while (!served->host->has_left && clock_ms() < until_ms) {
		if (poll(&at, 1, 20) > 0)
			return true;
	}
	return false;
}

static void *serve(void *arg)
{
	struct served *served = arg;

	while (wait_for_request(served) && http_read(served->fd, &served->msg, 5000) == 1) {
		handle(served);
		http_free(&served->msg);
		if (has_gone(served))
			break;
	}
	close(served->fd);
	free(served);
	return NULL;
}

static void *accept_calls(void *arg)
{
	struct host *host = arg;
	int fd;

	while ((fd = accept4(host->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct served *served = calloc(1, sizeof(*served));
		pthread_t thread;

		if (!served)
			abort();
		served->host = host;
		served->fd = fd;
		if (pthread_create(&thread, NULL, serve, served) != 0)
			abort();
		pthread_detach(thread);
	}
	return NULL;
}

static char *next_sequence(struct host *host)
{
	char *text;

	pthread_mutex_lock(&host->lock);
	text = text_format("%u", ++host->sequence);
	pthread_mutex_unlock(&host->lock);
	return text;
}

static uint64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* What a status report says of its sender. */
struct report {
	const char *prefix;
	const char *template;
	const char *instance;
	const char *service;
	uint64_t born_ms;
	uint32_t late_ms; /* how late it arrives */
};

/* A report that is under way. */
struct late_report {
	struct host *host;
	char *path;
	char *body;
	uint32_t late_ms;
};

static bool deliver(const struct late_report *late)
{
	char *control = text_format("%s:8306", late->host->ip);
	struct http_message reply;
	int status = http_call(control, "POST", late->path, "Content-Type: application/json\r\n",
			       late->body, BEAT_WAIT_MS, &reply);

	http_free(&reply);
	free(control);
	return status >= 200 && status <= 299;
}

/* Delivers a report that is late, as a slow path does: after its sender has given up the answer. */
static void *deliver_late(void *arg)
{
	struct late_report *late = arg;

	usleep(late->late_ms * 1000);
	late->host->last_late_ms = scene_now();
	scene_note("a status report of %s that is %u ms late arrives: %s", late->host->name,
		   late->late_ms, deliver(late) ? "answered 2xx" : "no 2xx");
	free(late->path);
	free(late->body);
	free(late);
	return NULL;
}

/* Sends a report to the node of a host. Returns true if it was acknowledged in time. */
static bool send_report(struct host *host, const struct report *report)
{
	char *app = text_format("%s:8301", host->ip);
	char *path = text_format("%s%s", report->prefix, report->instance);
	char *slots = text_format("%u", host->slots);
	char *sequence = next_sequence(host);
	char *born = text_format("%llu", (unsigned long long)report->born_ms);
	struct pair pairs[] = {
		{"service", report->service},
		{"app", app},
		{"place", host->place},
		{"slots", slots},
		{"sequence", sequence},
		{"born", born},
		{"state", host->is_draining ? "draining" : "ready"},
	};
	char *body = text_render(report->template, pairs, sizeof(pairs) / sizeof(pairs[0]));
	struct late_report now = {host, path, body, report->late_ms};
	struct late_report *late = malloc(sizeof(*late));
	pthread_t thread;
	bool is_acknowledged = false;

	free(app);
	free(slots);
	free(sequence);
	free(born);
	if (!late)
		abort();
	*late = now;
	if (now.late_ms > 0 && pthread_create(&thread, NULL, deliver_late, late) == 0) {
		pthread_detach(thread);
		return false;
	}
	is_acknowledged = deliver(&now);
	free(path);
	free(body);
	free(late);
	return is_acknowledged;
}

static bool send_beat(struct host *host)
{
	struct report report = {name_of("p_beat"), name_of("beat"), host->instance,
				host->service,	   host->born_ms,   host->late_ms};

	return send_report(host, &report);
}

static void *send_beats(void *arg)
{
	struct host *host = arg;

	while (!scene.is_over && !host->has_left && !host->is_silent) {
		send_beat(host);
		usleep(BEAT_MS * 1000);
	}
	return NULL;
}

int server_start(struct host *host)
{
	char *address = text_format("%s:8301", host->ip);
	pthread_t thread;

	host->born_ms = wall_ms();
	host->listener = http_listen(address);
	free(address);
	if (host->listener < 0)
		return -1;
	pthread_create(&thread, NULL, accept_calls, host);
	pthread_create(&thread, NULL, send_beats, host);
	return 0;
}

void host_leave(struct host *host)
{
	struct report leave = {name_of("p_leave"), name_of("leave"), host->instance,
			       host->service,	   host->born_ms,    0};

	host->is_silent = true;
	host->is_draining = true;
	if (send_report(host, &leave) && !host->drain_ack_ms)
		host->drain_ack_ms = scene_now();
	scene_note("the server of %s deregisters: %s", host->name,
		   host->drain_ack_ms ? "acknowledged" : "not acknowledged");
}

void host_end(struct host *host)
{
	host->has_left = true;
	shutdown(host->listener, SHUT_RDWR);
	close(host->listener);
	scene_note("the server of %s has ended", host->name);
}

void host_drain(struct host *host, uint64_t serve_ms)
{
	uint64_t limit_ms = clock_ms() + DRAIN_WAIT_MS;

	host->is_draining = true;
	scene_note("the server of %s says that it is draining", host->name);
	while (!host->drain_ack_ms && clock_ms() < limit_ms) {
		if (send_beat(host))
			host->drain_ack_ms = scene_now();
	}
	scene_note("node %s has acknowledged that its server is draining", host->name);
	scene_sleep_until(host->drain_ack_ms + serve_ms);
	host_leave(host);
	host_end(host);
}
