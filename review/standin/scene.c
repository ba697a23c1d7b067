/*
 * A small deployment for a case: processes, callers and the record.
 */
#include "scene.h"

#include "http.h"
#include "server.h"
#include "store.h"
#include "text.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_WAIT_MS	20000
#define READY_PERIOD_MS 1000
#define MISSES_MAX	2

struct scene scene = {.lock = PTHREAD_MUTEX_INITIALIZER};
static uint32_t open_requests;

static void fail(const char *what)
{
	fprintf(stderr, "the case could not run: %s\n", what);
	scene_close();
	exit(2);
}

uint64_t scene_now(void)
{
	return clock_ms() - scene.start_ms;
}

void scene_sleep_until(uint64_t at_ms)
{
	uint64_t now = scene_now();

	if (at_ms > now)
		usleep((useconds_t)((at_ms - now) * 1000));
}

bool scene_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

void scene_note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&scene.lock);
	fprintf(scene.record, "%7llu ms  ", (unsigned long long)scene_now());
	va_start(args, format);
	vfprintf(scene.record, format, args);
	va_end(args);
	fputc('\n', scene.record);
	pthread_mutex_unlock(&scene.lock);
}

void scene_open(const char *manifest_path)
{
	const char *record = getenv("RECORD");
	char template[] = "/tmp/fescue-review-XXXXXX";
	char *manifest = text_read_file(manifest_path);
	pid_t own = getpid();

	signal(SIGPIPE, SIG_IGN);
	scene.start_ms = clock_ms();
	scene.record = fopen(record ? record : "record.txt", "w");
	if (!scene.record || !manifest || !mkdtemp(template) ||
	    names_load("review/standin/names.txt") != 0)
		fail("its files");
	snprintf(scene.directory, sizeof(scene.directory), "%s", template);
	scene.net[0] = 10 + (uint32_t)own % 200;
	scene.net[1] = 1 + (uint32_t)own / 200 % 250;
	snprintf(scene.store, sizeof(scene.store), "127.%u.%u.200:8309", scene.net[0],
		 scene.net[1]);
	if (store_start(scene.store) != 0)
		fail("the store");
	store_put("config", "main", manifest);
	free(manifest);
}

struct host *scene_add_host(const char *name, const char *place, const char *service,
			    uint32_t slots)
{
	struct host *host = &scene.hosts[scene.host_count++];

	snprintf(host->name, sizeof(host->name), "%s", name);
	snprintf(host->place, sizeof(host->place), "%s", place);
	snprintf(host->service, sizeof(host->service), "%s", service);
	snprintf(host->instance, sizeof(host->instance), "i-%s", name);
	snprintf(host->ip, sizeof(host->ip), "127.%u.%u.%u", scene.net[0], scene.net[1],
		 scene.host_count);
	host->slots = slots;
	pthread_mutex_init(&host->lock, NULL);
	return host;
}

/* Writes the settings file of a node from the template of the deploy file. */
static char *write_settings(const struct host *host)
{
	char *template = text_read_file("deploy/node.json");
	char *app = text_format("%s:8301", host->ip);
	struct pair pairs[] = {
		{"node", host->name}, {"place", host->place},
		{"ip", host->ip},     {"service", host->service},
		{"app", app},	      {"store", scene.store},
		{"new", "true"},
	};
	char *text = template ? names_apply_fields(template, pairs, 7) : NULL;
	char *path = text_format("%s/%s.json", scene.directory, host->name);
	FILE *file = fopen(path, "w");

	if (!text || !file)
		fail("the settings");
	fputs(text, file);
	fclose(file);
	free(template);
	free(app);
	free(text);
	return path;
}

static void start_node(struct host *host)
{
	char *settings = write_settings(host);
	char *log = text_format("%s/%s.log", scene.directory, host->name);
	char *variable = text_format("%s=%s", name_of("settings_variable"), settings);
	char *arguments[] = {"target/fescuemilld-platform", NULL};
	char *environment[] = {variable, NULL};

	host->pid = fork();
	if (host->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execve(arguments[0], arguments, environment);
		_exit(127);
	}
	scene_note("node %s is started", host->name);
	free(settings);
	free(log);
	free(variable);
}

static bool is_ready(const struct host *host)
{
	char *address = text_format("%s:8302", host->ip);
	struct http_message answer;
	int status = http_call(address, "GET", "/ready", "", "", 1000, &answer);

	http_free(&answer);
	free(address);
	return status == 200;
}

/* Asks a node every second whether it is ready, as the platform does. */
static void *ask_ready(void *arg)
{
	struct host *host = arg;

	while (!scene.is_over) {
		bool was_in = host_is_in(host);

		host->misses = is_ready(host) ? 0 : host->misses + 1;
		if (was_in != host_is_in(host))
			scene_note("callers of %s %s new work", host->name,
				   host_is_in(host) ? "send" : "send no");
		usleep(READY_PERIOD_MS * 1000);
	}
	return NULL;
}

/* Two misses take a node out, unless fewer than half of its failure domain's nodes are in. */
bool host_is_in(const struct host *host)
{
	uint32_t all = 0;
	uint32_t in = 0;

	if (host->misses < MISSES_MAX)
		return true;
	for (uint32_t i = 0; i < scene.host_count; i++) {
		if (strcmp(scene.hosts[i].place, host->place) != 0)
			continue;
		all++;
		in += scene.hosts[i].misses < MISSES_MAX;
	}
	return in * 2 < all;
}

void scene_start(void)
{
	uint64_t limit_ms = clock_ms() + READY_WAIT_MS;

	if (access("target/fescuemilld-platform", X_OK) != 0)
		fail("target/fescuemilld-platform is not built");
	for (uint32_t i = 0; i < scene.host_count; i++) {
		if (server_start(&scene.hosts[i]) != 0)
			fail("a backend server");
		start_node(&scene.hosts[i]);
	}
	for (uint32_t i = 0; i < scene.host_count; i++) {
		pthread_t thread;

		while (!is_ready(&scene.hosts[i])) {
			if (clock_ms() > limit_ms)
				fail("a node is not ready");
			usleep(100000);
		}
		pthread_create(&thread, NULL, ask_ready, &scene.hosts[i]);
	}
	usleep(4000000); /* the members find each other */
	scene_note("all nodes are ready");
}

void host_signal(struct host *host, int number)
{
	scene_note("signal %d to node %s", number, host->name);
	if (number == SIGTERM)
		host->term_ms = scene_now();
	kill(host->pid, number);
}

void scene_close(void)
{
	scene.is_over = true;
	for (uint32_t i = 0; i < scene.host_count; i++) {
		if (scene.hosts[i].pid > 0) {
			kill(scene.hosts[i].pid, SIGKILL);
			waitpid(scene.hosts[i].pid, NULL, 0);
		}
	}
	if (scene.record)
		fflush(scene.record);
	if (scene.directory[0] && !getenv("KEEP_LOGS")) {
		for (uint32_t i = 0; i < scene.host_count; i++) {
			char *base = text_format("%s/%s", scene.directory, scene.hosts[i].name);
			char *log = text_format("%s.log", base);
			char *settings = text_format("%s.json", base);

			unlink(log);
			unlink(settings);
			free(base);
			free(log);
			free(settings);
		}
		rmdir(scene.directory);
	}
}

/* Sends one request on a connection of its own and waits for the answer. */
static void *send_request(void *arg)
{
	struct request *request = arg;
	char *address = text_format("%s:8304", request->entry->ip);
	char *text = text_format("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %u\r\n"
				 "Content-Length: 0\r\n\r\n",
				 request->method, request->path, request->host_name,
				 name_of("h_id"), request->id, name_of("h_left"), request->left_ms);
	struct http_message answer = {.body = NULL};
	int fd = http_connect(address, 1000);

	request->sent_ms = scene_now();
	scene_note("request %s sent to %s: %s %s", request->id, request->entry->name,
		   request->method, request->path);
	if (fd >= 0 && http_write(fd, text, strlen(text))) {
		request->was_read_to_end = true;
		if (http_read(fd, &answer, request->left_ms + 1000) == 1)
			request->status = http_status(&answer);
	}
	request->ended_ms = scene_now();
	if (request->status)
		scene_note("request %s answered %d", request->id, request->status);
	else
		scene_note("request %s: the connection ended without an answer", request->id);
	if (fd >= 0)
		close(fd);
	http_free(&answer);
	free(address);
	free(text);
	pthread_mutex_lock(&scene.lock);
	open_requests--;
	pthread_mutex_unlock(&scene.lock);
	return NULL;
}

void request_send(struct request *request)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_mutex_lock(&scene.lock);
	snprintf(request->id, sizeof(request->id), "%08x%08x", (unsigned int)getpid(),
		 ++scene.request_count);
	open_requests++;
	pthread_mutex_unlock(&scene.lock);
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, send_request, request) != 0)
		fail("a caller");
	pthread_attr_destroy(&attributes);
}

void scene_wait_requests(void)
{
	for (;;) {
		uint32_t left;

		pthread_mutex_lock(&scene.lock);
		left = open_requests;
		pthread_mutex_unlock(&scene.lock);
		if (left == 0)
			return;
		usleep(20000);
	}
}

const struct run *scene_find_run(const char *id)
{
	const struct run *found = NULL;

	for (uint32_t i = 0; i < scene.run_count; i++) {
		if (strcmp(scene.runs[i].id, id) == 0 && scene.runs[i].begun_ms)
			found = &scene.runs[i];
	}
	return found;
}
