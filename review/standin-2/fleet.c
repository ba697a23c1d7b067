#include "fleet.h"

#include "net.h"
#include "record.h"
#include "store.h"

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM	       "target/fescuemilld-platform" /* `run` of deploy/system.toml */
#define TEMPLATE       "deploy/node.json"
#define DEPLOYMENT     "review/standin-2/deployment.json"
#define SERVER_PORT    8301
#define READY_PORT     8302
#define REPORT_PORT    8306
#define STORE_PORT     8309
#define INTERNAL_PORT  7620
#define TEMPLATE_BYTES 65536
#define READY_LIMIT_MS 15000
#define SETTLE_MS      2500 /* for all nodes to know each other */

/* A field of the template and its value. */
struct field {
	const char *name;
	char value[64];
};

static int read_template(char *out)
{
	FILE *file = fopen(TEMPLATE, "r");
	size_t size;

	if (!file)
		return -1;
	size = fread(out, 1, TEMPLATE_BYTES - 1, file);
	out[size] = '\0';
	fclose(file);
	return 0;
}

/* Removes the sections of fields that these settings do not have. */
static void remove_sections(char *text)
{
	char *from;

	while ((from = strstr(text, "{{#")) != NULL) {
		char *end = strstr(from, "{{/");

		end = end ? strstr(end, "}}") : NULL;
		if (!end)
			return;
		memmove(from, end + 2, strlen(end + 2) + 1);
	}
}

/* Returns the value of a field: one of the node's own, or one of its place or of the deployment. */
static const char *find_value(const struct fleet *fleet, uint32_t number,
			      const struct field *fields, const char *name, size_t size)
{
	const json_t *places = json_object_get(fleet->deployment, "places");
	const json_t *place = json_array_get(places, number % json_array_size(places));
	const json_t *common = json_object_get(fleet->deployment, "common");
	char key[64];
	const json_t *value;

	for (; fields->name; fields++) {
		if (strlen(fields->name) == size && strncmp(fields->name, name, size) == 0)
			return fields->value;
	}
	snprintf(key, sizeof(key), "%.*s", (int)size, name);
	value = json_object_get(place, key);
	value = value ? value : json_object_get(common, key);
	if (value)
		return json_string_value(value);
	fprintf(stderr, "no value for %s\n", key);
	exit(2);
}

/* Writes the settings of a node: the template with the values of its fields. */
static int write_settings(const struct fleet *fleet, uint32_t number, const char *path,
			  const struct field *fields)
{
	static char text[TEMPLATE_BYTES];
	FILE *file = fopen(path, "w");
	const char *at = text;
	const char *open;

	if (!file || read_template(text) != 0)
		return -1;
	remove_sections(text);
	while ((open = strstr(at, "{{")) != NULL) {
		const char *value =
			find_value(fleet, number, fields, open + 2, strcspn(open + 2, "|}"));

		fprintf(file, "%.*s%s", (int)(open - at), at, value);
		at = strstr(open, "}}") + 2;
	}
	fputs(at, file);
	return fclose(file);
}

int fleet_open(struct fleet *fleet, const char *folder, const char *configuration)
{
	uint32_t pid = (uint32_t)getpid();

	memset(fleet, 0, sizeof(*fleet));
	fleet->folder = folder;
	fleet->deployment = json_load_file(DEPLOYMENT, 0, NULL);
	if (!fleet->deployment)
		return -1;
	for (uint32_t i = 0; i < 20; i++) {
		uint32_t place = pid * 7 + i * 977;

		snprintf(fleet->net, sizeof(fleet->net), "127.%u.%u", 16 + place / 250 % 200,
			 1 + place % 250);
		snprintf(fleet->store, sizeof(fleet->store), "%s.250", fleet->net);
		if (store_start(fleet->store, STORE_PORT) == 0)
			return store_put_file("config", "main", configuration);
	}
	return -1;
}

struct fleet_node *fleet_add(struct fleet *fleet, const char *service)
{
	uint32_t number = ++fleet->count;
	struct fleet_node *node = &fleet->nodes[number - 1];
	struct server *server = &node->server;
	struct field fields[] = {
		{"node_name", ""},
		{"listen.outbound", ""},
		{"ip", ""},
		{"internal_ports.0", ""},
		{"internal_ports.1", ""},
		{"listen.control", ""},
		{"app_addr", ""},
		{"listen.ready_addr", ""},
		{"service", ""},
		{"platform.address", ""},
		{NULL, ""},
	};

	snprintf(node->ip, sizeof(node->ip), "%s.%u", fleet->net, number);
	snprintf(node->settings, sizeof(node->settings), "%s/node-%u.json", fleet->folder, number);
	snprintf(fields[0].value, 64, "node-%u", number);
	snprintf(fields[1].value, 64, "%s:%d", node->ip, FLEET_CALLER_PORT);
	snprintf(fields[2].value, 64, "%s", node->ip);
	snprintf(fields[3].value, 64, "%d", INTERNAL_PORT);
	snprintf(fields[4].value, 64, "%d", INTERNAL_PORT + 15);
	snprintf(fields[5].value, 64, "%s:%d", node->ip, REPORT_PORT);
	snprintf(fields[6].value, 64, "%s:%d", node->ip, SERVER_PORT);
	snprintf(fields[7].value, 64, "%s:%d", node->ip, READY_PORT);
	snprintf(fields[8].value, 64, "%s", service);
	snprintf(fields[9].value, 64, "%s:%d", fleet->store, STORE_PORT);
	if (write_settings(fleet, number - 1, node->settings, fields) != 0) {
		fprintf(stderr, "cannot write %s\n", node->settings);
		exit(2);
	}
	memcpy(server->ip, node->ip, sizeof(server->ip));
	server->port = SERVER_PORT;
	server->report_port = REPORT_PORT;
	server->report = "review/standin-2/report.json";
	snprintf(server->service, sizeof(server->service), "%s", service);
	snprintf(server->instance, sizeof(server->instance), "i-%u", number);
	server->slots = 9;
	server->queue = 36;
	server->work_ms = 50;
	server->answer_bytes = 400;
	return node;
}

/* Starts the process of a node, whose log goes to a file beside its settings. */
int fleet_start_process(struct fleet_node *node)
{
	char variable[300];
	char log[300];
	char *const arguments[] = {PROGRAM, NULL};
	char *const environment[] = {variable, "PATH=/usr/bin:/bin", NULL};
	posix_spawn_file_actions_t actions;
	int status;

	snprintf(variable, sizeof(variable), "FESCUEMILL_CONFIG=%s", node->settings);
	snprintf(log, sizeof(log), "%s.log", node->settings);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	status = posix_spawn(&node->pid, PROGRAM, &actions, NULL, arguments, environment);
	posix_spawn_file_actions_destroy(&actions);
	if (status != 0)
		node->pid = 0;
	return status;
}

bool fleet_is_ready(const struct fleet_node *node)
{
	int fd = net_connect(node->ip, READY_PORT, 0);
	struct net_head head;
	bool is_ready;

	if (fd < 0)
		return false;
	net_set_timeout(fd, 1000);
	net_printf(fd, "GET /ready HTTP/1.1\r\nhost: node\r\n\r\n");
	is_ready = net_read_head(fd, &head) == 0 && net_status(&head) == 200;
	close(fd);
	return is_ready;
}

int fleet_start(struct fleet *fleet)
{
	uint64_t end_ms = net_now_ms() + READY_LIMIT_MS;

	for (uint32_t i = 0; i < fleet->count; i++) {
		struct server *server = &fleet->nodes[i].server;

		if (!server->is_delayed && server_start(server) != 0)
			return -1;
		if (fleet_start_process(&fleet->nodes[i]) != 0)
			return -1;
	}
	for (uint32_t i = 0; i < fleet->count; i++) {
		while (!fleet_is_ready(&fleet->nodes[i])) {
			if (net_now_ms() > end_ms || fleet_has_ended(&fleet->nodes[i]))
				return -1;
			net_sleep_ms(50);
		}
	}
	net_sleep_ms(SETTLE_MS);
	record_line("%u nodes are ready", fleet->count);
	return 0;
}

uint64_t fleet_peak_bytes(const struct fleet_node *node)
{
	char path[64];
	char line[256];
	uint64_t kib = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
	file = node->pid ? fopen(path, "r") : NULL;
	while (file && fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmHWM: %" SCNu64, &kib) == 1)
			break;
	}
	if (file)
		fclose(file);
	return kib * 1024;
}

bool fleet_has_ended(struct fleet_node *node)
{
	if (node->pid != 0 && waitpid(node->pid, NULL, WNOHANG) == node->pid)
		node->pid = 0;
	return node->pid == 0;
}

void fleet_signal(const struct fleet_node *node, int number)
{
	if (node->pid != 0)
		kill(node->pid, number);
}

void fleet_close(struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct fleet_node *node = &fleet->nodes[i];

		if (fleet_has_ended(node))
			continue;
		kill(node->pid, SIGKILL);
		waitpid(node->pid, NULL, 0);
		node->pid = 0;
	}
}
