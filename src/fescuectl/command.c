/*
 * Commands: each sends requests to nodes and prints a table, or JSON with --json.
 */
#include "fescuectl/command.h"

#include "fescuectl/table.h"
#include "fescuectl/watch.h"
#include "fescuemill/base/random.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define PATH_BYTES	 128
#define HEADERS_BYTES	 256
#define CHANGE_ID_DIGITS 32

static void print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2));
	puts("");
}

static int format_path(char *path, const char *service, const char *class_name, struct error *err)
{
	int used = class_name ? snprintf(path, PATH_BYTES, "/v1/services/%s/classes/%s", service,
					 class_name)
			      : snprintf(path, PATH_BYTES, "/v1/services/%s", service);

	if (used >= PATH_BYTES || strpbrk(path, " \r\n?#%"))
		return error_set(err, ERROR_USAGE, "\"%.40s\" is not a name", service);
	return 0;
}

static int get_json(struct node_client *client, const char *path, json_t **json, struct error *err)
{
	struct node_request request = {.method = "GET", .path = path};

	return node_client_request_any(client, &request, json, err);
}

/*
 * Returns the version that a change is based on: that of --if-version, or else the one in force at
 * a node. A service that does not exist has version 0.
 */
static int get_base_version(struct node_client *client, const char *service, uint64_t *version,
			    struct error *err)
{
	char path[PATH_BYTES];
	json_t *json;

	*version = client->options->if_version;
	if (client->options->has_if_version)
		return 0;
	if (format_path(path, service, NULL, err))
		return -1;
	if (get_json(client, path, &json, err)) {
		*version = 0;
		return err->kind == ERROR_NOT_FOUND ? 0 : -1;
	}
	*version = (uint64_t)json_integer_value(json_object_get(json, "version"));
	json_decref(json);
	return 0;
}

/* Writes a change id of CHANGE_ID_DIGITS random hexadecimal digits. */
static void make_change_id(char *id)
{
	uint8_t bytes[CHANGE_ID_DIGITS / 2];

	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes))
		memset(bytes, 0, sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		snprintf(id + 2 * i, 3, "%02x", bytes[i]);
}

/* Prints an accepted change and, with --watch, watches it until it is in force. */
static int handle_accepted(struct node_client *client, const json_t *json, struct error *err)
{
	const char *service = json_string_value(json_object_get(json, "service"));
	json_int_t version = json_integer_value(json_object_get(json, "version"));
	const char *change_id = json_string_value(json_object_get(json, "change"));

	if (client->options->json)
		print_json(json);
	else
		printf("accepted: service %s, version %lld, change %s\n", service,
		       (long long)version, change_id);
	if (!client->options->watch_change)
		return 0;
	return watch_run(client, service, (uint64_t)version, err);
}

static int submit_change(struct node_client *client, const char *method, const char *service,
			 const char *class_name, const char *body, struct error *err)
{
	char path[PATH_BYTES];
	char headers[HEADERS_BYTES];
	char id[CHANGE_ID_DIGITS + 1];
	const char *by = client->options->by;
	struct node_request request = {
		.method = method, .path = path, .headers = headers, .body = body};
	uint64_t version;
	json_t *json;
	int status;

	if (format_path(path, service, class_name, err) ||
	    get_base_version(client, service, &version, err))
		return -1;
	make_change_id(id);
	snprintf(headers, sizeof(headers),
		 "if-version: %" PRIu64 "\r\nx-fescue-change-id: %s\r\n%s%s%s", version, id,
		 by[0] ? "x-fescue-by: " : "", by, by[0] ? "\r\n" : "");
	if (node_client_request_any(client, &request, &json, err))
		return -1;
	status = handle_accepted(client, json, err);
	json_decref(json);
	return status;
}

static int class_put(struct node_client *client, const char *const *words, struct error *err)
{
	const struct target_options *target = &client->options->target;
	json_t *body;
	char *text;
	int status;

	if (!target->is_complete)
		return error_set(err, ERROR_USAGE,
				 "class put needs --rank, --latency-ms, "
				 "--percentile and --calls-per-s");
	body = json_pack("{s:i, s:f, s:f, s:i}", "rank", target->rank, "latency_ms",
			 target->latency_ms, "percentile", target->percentile, "calls_per_s",
			 target->calls_per_s);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	status = submit_change(client, "PUT", words[0], words[1], text, err);
	free(text);
	return status;
}

static int class_delete(struct node_client *client, const char *const *words, struct error *err)
{
	return submit_change(client, "DELETE", words[0], words[1], NULL, err);
}

static int service_delete(struct node_client *client, const char *const *words, struct error *err)
{
	return submit_change(client, "DELETE", words[0], NULL, NULL, err);
}

/* Replaces a whole service with that of a JSON file like those under etc/. */
static int service_put(struct node_client *client, const char *const *words, struct error *err)
{
	json_error_t json_error;
	json_t *root = json_load_file(words[0], 0, &json_error);
	const char *service = json_string_value(json_object_get(root, "service"));
	char *text;
	int status;

	if (!root)
		return error_set(err, ERROR_SYNTAX, "%s:%d: %s", words[0], json_error.line,
				 json_error.text);
	if (!service) {
		json_decref(root);
		return error_set(err, ERROR_MISSING, "%s: $.service: missing", words[0]);
	}
	text = json_dumps(root, JSON_COMPACT);
	status = submit_change(client, "PUT", service, NULL, text, err);
	free(text);
	json_decref(root);
	return status;
}

static const char *const class_columns[] = {"service",	  "name",	 "rank",    "latency_ms",
					    "percentile", "calls_per_s", "version", NULL};

static int class_get(struct node_client *client, const char *const *words, struct error *err)
{
	char path[PATH_BYTES];
	json_t *rows;
	json_t *json;

	if (format_path(path, words[0], words[1], err) || get_json(client, path, &json, err))
		return -1;
	rows = json_pack("[O]", json);
	if (client->options->json)
		print_json(json);
	else
		table_print(class_columns, rows);
	json_decref(rows);
	json_decref(json);
	return 0;
}

/* Appends one row for each class of a service. */
static void append_classes(json_t *rows, const json_t *service)
{
	size_t index;
	json_t *cls;

	json_array_foreach(json_object_get(service, "classes"), index, cls)
	{
		json_object_set(cls, "service", json_object_get(service, "service"));
		json_object_set(cls, "version", json_object_get(service, "version"));
		json_array_append(rows, cls);
	}
}

static int class_list(struct node_client *client, const char *const *words, struct error *err)
{
	json_t *rows = json_array();
	size_t index;
	json_t *service;
	json_t *json;

	if (get_json(client, "/v1/services", &json, err)) {
		json_decref(rows);
		return -1;
	}
	json_array_foreach(json_object_get(json, "services"), index, service)
	{
		const char *name = json_string_value(json_object_get(service, "service"));

		if (!words[0] || (name && strcmp(words[0], name) == 0))
			append_classes(rows, service);
	}
	if (client->options->json)
		print_json(rows);
	else
		table_print(class_columns, rows);
	json_decref(rows);
	json_decref(json);
	return 0;
}

/*
 * Requests a path from all nodes and prints one row for each that answers. Prints an error for each
 * other node, and fails with the last of these errors.
 */
static int query_each_node(struct node_client *client, const char *path, const char *const *columns,
			   struct error *err)
{
	struct node_request request = {.method = "GET", .path = path};
	struct node_response responses[NODES_MAX];
	json_t *rows = json_array();
	int status = 0;

	if (!client->options->node_count) {
		json_decref(rows);
		return error_set(err, ERROR_USAGE, "no nodes are named");
	}
	node_client_request_all(client, &request, responses);
	for (uint32_t i = 0; i < client->options->node_count; i++) {
		if (!responses[i].err.kind) {
			json_array_append(rows, responses[i].json);
			continue;
		}
		status = error_set(err, responses[i].err.kind, "%u.%u.%u.%u:%u: %.120s",
				   responses[i].node.ip >> 24, (responses[i].node.ip >> 16) & 255,
				   (responses[i].node.ip >> 8) & 255, responses[i].node.ip & 255,
				   responses[i].node.port, responses[i].err.detail);
		fprintf(stderr, "fescuectl: %s\n", err->detail);
	}
	if (client->options->json)
		print_json(rows);
	else
		table_print(columns, rows);
	json_decref(rows);
	node_responses_free(responses, client->options->node_count);
	return status;
}

static int show_status(struct node_client *client, const char *const *words, struct error *err)
{
	static const char *const columns[] = {
		"name",	 "failure_domain",  "state",	     "service",	       "slots_in_use",
		"slots", "calls_in_flight", "members_alive", "config_version", "uptime_ms",
		NULL};

	(void)words;
	return query_each_node(client, "/v1/status", columns, err);
}

static int show_members(struct node_client *client, const char *const *words, struct error *err)
{
	static const char *const columns[] = {
		"name",	 "region",  "failure_domain", "state",	     "service", "backend",
		"slots", "address", "node_port",      "incarnation", NULL};
	json_t *json;

	(void)words;
	if (get_json(client, "/v1/members", &json, err))
		return -1;
	if (client->options->json)
		print_json(json);
	else
		table_print(columns, json_object_get(json, "members"));
	json_decref(json);
	return 0;
}

/* Prints the customers that are in force at one node, and how current their keys are there. */
static int show_customers(struct node_client *client, const char *const *words, struct error *err)
{
	static const char *const columns[] = {"name", "rank",	 "calls_per_s", "burst",
					      "keys", "regions", NULL};
	json_t *json;
	json_t *age;

	(void)words;
	if (get_json(client, "/v1/customers", &json, err))
		return -1;
	age = json_object_get(json, "proof_age_ms");
	if (client->options->json) {
		print_json(json);
	} else {
		table_print(columns, json_object_get(json, "customers"));
		printf("node %s, configuration %lld, bound %lld ms, ",
		       json_string_value(json_object_get(json, "node")),
		       (long long)json_integer_value(json_object_get(json, "config_version")),
		       (long long)json_integer_value(json_object_get(json, "revoke_ms")));
		if (json_is_integer(age))
			printf("proof %lld ms old\n", (long long)json_integer_value(age));
		else
			puts("no proof");
	}
	json_decref(json);
	return 0;
}

/* Prints the counters of one node as a table. */
static int show_counters(struct node_client *client, const char *const *words, struct error *err)
{
	static const char *const columns[] = {"counter", "value", "unit", NULL};
	json_t *rows = json_array();
	const char *name;
	json_t *counter;
	json_t *json;

	(void)words;
	if (get_json(client, "/v1/counters", &json, err)) {
		json_decref(rows);
		return -1;
	}
	json_object_foreach(json_object_get(json, "counters"), name, counter)
	{
		json_object_set_new(counter, "counter", json_string(name));
		json_array_append(rows, counter);
	}
	if (client->options->json)
		print_json(json);
	else
		table_print(columns, rows);
	json_decref(rows);
	json_decref(json);
	return 0;
}

static int drain(struct node_client *client, const char *const *words, struct error *err)
{
	struct node_request request = {.method = "POST", .path = "/v1/drain"};
	json_t *json;

	(void)words;
	if (client->options->node_count != 1)
		return error_set(err, ERROR_USAGE, "drain needs exactly one node, found %u",
				 client->options->node_count);
	if (node_client_request_any(client, &request, &json, err))
		return -1;
	if (client->options->json)
		print_json(json);
	else
		puts("draining");
	json_decref(json);
	return 0;
}

/* Shows for each node which evacuations it knows. */
static int show_evacuations(struct node_client *client, struct error *err)
{
	static const char *const columns[] = {"name",  "failure_domain", "evacuated",
					      "known", "evacuations",	 NULL};

	return query_each_node(client, "/v1/evacuations", columns, err);
}

/* Orders the evacuation of a failure domain, withdraws it, or shows what the nodes know. */
static int evacuate(struct node_client *client, const char *const *words, struct error *err)
{
	struct node_request request = {.method = client->options->cancel ? "DELETE" : "PUT"};
	char path[PATH_BYTES];
	json_t *json;

	if (client->options->word_count == 1 && client->options->cancel)
		return error_set(err, ERROR_USAGE, "--cancel: which failure domain?");
	if (client->options->word_count == 1)
		return show_evacuations(client, err);
	if (snprintf(path, sizeof(path), "/v1/evacuations/%s", words[0]) >= PATH_BYTES ||
	    strpbrk(words[0], " /\r\n?#%"))
		return error_set(err, ERROR_USAGE, "\"%.40s\" is not a name", words[0]);
	request.path = path;
	if (node_client_request_any(client, &request, &json, err))
		return -1;
	if (client->options->json)
		print_json(json);
	else
		printf("%s %s version %lld\n", words[0],
		       client->options->cancel ? "withdrawn" : "ordered",
		       (long long)json_integer_value(json_object_get(json, "version")));
	json_decref(json);
	return 0;
}

static int watch(struct node_client *client, const char *const *words, struct error *err)
{
	char *end;
	uint64_t version;

	errno = 0;
	version = strtoull(words[1], &end, 10);
	if (*end || errno || !version)
		return error_set(err, ERROR_USAGE,
				 "version: found \"%.40s\", allowed a number above 0", words[1]);
	return watch_run(client, words[0], version, err);
}

struct command {
	const char *words[3];  /* words that name the command */
	int arguments_min;     /* fewest arguments after these words */
	int arguments_max;     /* most arguments after these words */
	const char *arguments; /* as shown in errors */
	int (*fn)(struct node_client *client, const char *const *words, struct error *err);
};

static const struct command commands[] = {
	{{"class", "put", NULL}, 2, 2, "SERVICE CLASS", class_put},
	{{"class", "get", NULL}, 2, 2, "SERVICE CLASS", class_get},
	{{"class", "list", NULL}, 0, 1, "[SERVICE]", class_list},
	{{"class", "delete", NULL}, 2, 2, "SERVICE CLASS", class_delete},
	{{"service", "put", NULL}, 1, 1, "FILE", service_put},
	{{"service", "delete", NULL}, 1, 1, "SERVICE", service_delete},
	{{"status", NULL}, 0, 0, "", show_status},
	{{"members", NULL}, 0, 0, "", show_members},
	{{"counters", NULL}, 0, 0, "", show_counters},
	{{"customers", NULL}, 0, 0, "", show_customers},
	{{"drain", NULL}, 0, 0, "", drain},
	{{"evacuate", NULL}, 0, 1, "[DOMAIN]", evacuate},
	{{"watch", NULL}, 2, 2, "SERVICE VERSION", watch},
};

/* Returns the number of words that name a command if the options begin with them, or else 0. */
static int match_words(const struct command *command, const struct options *options)
{
	int count = 0;

	while (command->words[count]) {
		if (count >= options->word_count ||
		    strcmp(command->words[count], options->words[count]) != 0)
			return 0;
		count++;
	}
	return count;
}

/* Runs the command that the options name. Errors: ERROR_USAGE, and those of the nodes. */
int command_run(struct node_client *client, struct error *err)
{
	const struct options *options = client->options;

	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		int word_count = match_words(&commands[i], options);
		int argument_count = options->word_count - word_count;

		if (!word_count)
			continue;
		if (argument_count < commands[i].arguments_min ||
		    argument_count > commands[i].arguments_max)
			return error_set(err, ERROR_USAGE, "%s takes %s", options->words[0],
					 commands[i].arguments[0] ? commands[i].arguments
								  : "no arguments");
		return commands[i].fn(client, options->words + word_count, err);
	}
	return error_set(err, ERROR_USAGE, "no command \"%.40s\"; see --help",
			 options->word_count ? options->words[0] : "");
}
