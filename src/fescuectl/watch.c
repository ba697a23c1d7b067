/*
 * Watch: polls the nodes until a change is in force at every member. The member table of one node
 * that answers determines the members of the fleet and which of them have the change according to
 * gossip. In addition, each other node that answers reports its own version. A member not known to
 * have the change counts as lacking it and is named.
 */
#include "fescuectl/watch.h"

#include "fescuectl/table.h"
#include "fescuemill/base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_INTERVAL_US (200 * USEC_PER_MSEC)
#define ENDPOINT_BYTES	 24
#define PATH_BYTES	 48
#define WATCH_PENDING	 1

/* A watched change, and the results of the latest poll. */
struct watch {
	struct node_client *client;
	const char *service;
	uint64_t version;
	struct node_response responses[NODES_MAX];
	json_t *domains;    /* one row of counts for each failure domain */
	json_t *lacking;    /* members not known to have the change */
	json_t *unanswered; /* addresses of the named nodes that did not answer */
	json_int_t members; /* number of members of the fleet, without dead ones */
};

static json_int_t get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static void add_to_count(json_t *row, const char *key, json_int_t amount)
{
	json_object_set_new(row, key, json_integer(get_integer(row, key) + amount));
}

static bool has_version(const struct node_response *response, const char *service, uint64_t version)
{
	json_t *versions = json_object_get(response->json, "versions");
	json_t *reported = json_object_get(versions, service);
	json_int_t config_version =
		json_integer_value(json_object_get(response->json, "config_version"));

	if (response->err.kind)
		return false;
	/* A deleted service has no version; config_version covers every change up to it. */
	return reported ? (uint64_t)json_integer_value(reported) >= version
			: (uint64_t)config_version >= version;
}

static void format_endpoint(const struct endpoint *node, char *text)
{
	snprintf(text, ENDPOINT_BYTES, "%u.%u.%u.%u:%u", node->ip >> 24, (node->ip >> 16) & 255,
		 (node->ip >> 8) & 255, node->ip & 255, node->port);
}

/*
 * Returns the response of the ready node that knows the most members and, among several of those,
 * the fewest that lack the change; NULL if no ready node answered.
 */
static const json_t *find_best_view(const struct watch *watch)
{
	const json_t *best = NULL;

	for (uint32_t i = 0; i < watch->client->options->node_count; i++) {
		const json_t *json = watch->responses[i].json;
		json_int_t members = get_integer(json, "members");

		if (watch->responses[i].err.kind || !json_is_true(json_object_get(json, "ready")))
			continue;
		if (!best || members > get_integer(best, "members") ||
		    (members == get_integer(best, "members") &&
		     json_array_size(json_object_get(json, "lacking")) <
			     json_array_size(json_object_get(best, "lacking"))))
			best = json;
	}
	return best;
}

/* Returns true if a member itself reported that it has the change. */
static bool has_confirmed(const struct watch *watch, const char *name)
{
	for (uint32_t i = 0; i < watch->client->options->node_count; i++) {
		const char *reported =
			json_string_value(json_object_get(watch->responses[i].json, "name"));

		if (reported && strcmp(reported, name) == 0 &&
		    has_version(&watch->responses[i], watch->service, watch->version))
			return true;
	}
	return false;
}

/* Counts a member of a failure domain as having the change instead of lacking it. */
static void count_in_force(json_t *domains, const char *domain)
{
	size_t index;
	json_t *row;

	json_array_foreach(domains, index, row)
	{
		if (strcmp(json_string_value(json_object_get(row, "failure_domain")), domain) != 0)
			continue;
		add_to_count(row, "in_force", 1);
		add_to_count(row, "not_known", -1);
	}
}

/*
 * Records the members and their versions as one node knows them, corrected by what the members
 * reported themselves.
 */
static void apply_view(struct watch *watch, const json_t *view)
{
	size_t index;
	json_t *member;

	watch->members = get_integer(view, "members");
	watch->domains = json_deep_copy(json_object_get(view, "domains"));
	json_array_foreach(json_object_get(view, "lacking"), index, member)
	{
		const char *name = json_string_value(json_object_get(member, "name"));
		const char *domain = json_string_value(json_object_get(member, "failure_domain"));

		if (name && domain && has_confirmed(watch, name))
			count_in_force(watch->domains, domain);
		else
			json_array_append(watch->lacking, member);
	}
}

/* Records the addresses of the named nodes that did not answer. */
static void collect_unanswered(struct watch *watch)
{
	for (uint32_t i = 0; i < watch->client->options->node_count; i++) {
		char text[ENDPOINT_BYTES];

		if (!watch->responses[i].err.kind)
			continue;
		format_endpoint(&watch->responses[i].node, text);
		json_array_append_new(watch->unanswered, json_string(text));
	}
}

/* Polls all named nodes once. Returns false if no ready node answered. */
static bool poll_nodes(struct watch *watch)
{
	char path[PATH_BYTES];
	struct node_request request = {.method = "GET", .path = path};
	const json_t *view;

	snprintf(path, sizeof(path), "/v1/versions/%" PRIu64, watch->version);
	node_client_request_all(watch->client, &request, watch->responses);
	watch->lacking = json_array();
	watch->unanswered = json_array();
	view = find_best_view(watch);
	if (view)
		apply_view(watch, view);
	else
		watch->domains = json_array();
	collect_unanswered(watch);
	return view != NULL;
}

/* Frees the results of a poll. */
static void free_results(struct watch *watch)
{
	node_responses_free(watch->responses, watch->client->options->node_count);
	json_decref(watch->domains);
	json_decref(watch->lacking);
	json_decref(watch->unanswered);
}

static void print_json(const struct watch *watch, uint64_t elapsed_us)
{
	json_t *line = json_pack("{s:I, s:I, s:O, s:O, s:O}", "elapsed_ms",
				 (json_int_t)(elapsed_us / USEC_PER_MSEC), "members",
				 watch->members, "domains", watch->domains, "lacking",
				 watch->lacking, "no_answer", watch->unanswered);

	json_dumpf(line, stdout, JSON_COMPACT);
	puts("");
	json_decref(line);
}

static void print_text(const struct watch *watch, uint64_t elapsed_us)
{
	static const char *const columns[] = {"failure_domain", "in_force", "not_known", "dead",
					      NULL};
	size_t lacking_count = json_array_size(watch->lacking);
	size_t index;
	json_t *address;

	printf("after %llu ms known to be in force at %lld of %lld members\n",
	       (unsigned long long)(elapsed_us / USEC_PER_MSEC),
	       (long long)watch->members - (long long)lacking_count, (long long)watch->members);
	table_print(columns, watch->domains);
	json_array_foreach(watch->unanswered, index, address)
	{
		printf("no answer from %s\n", json_string_value(address));
	}
}

static void print_progress(const struct watch *watch, uint64_t elapsed_us)
{
	if (watch->client->options->json)
		print_json(watch, elapsed_us);
	else
		print_text(watch, elapsed_us);
	fflush(stdout);
}

/*
 * Ends a watch whose change is known to be in force at every member. Fails if a named node does not
 * answer: it may not be among the known members.
 */
static int finish_in_force(const struct watch *watch, struct error *err)
{
	size_t unanswered = json_array_size(watch->unanswered);

	if (!unanswered)
		return 0;
	return error_set(err, ERROR_UNREACHABLE,
			 "in force at all %lld members, but %zu of %u named nodes do not answer, "
			 "one is %s",
			 (long long)watch->members, unanswered, watch->client->options->node_count,
			 json_string_value(json_array_get(watch->unanswered, 0)));
}

/* Ends a watch that timed out, and prints the members not known to have the change. */
static int finish_incomplete(const struct watch *watch, bool has_view, struct error *err)
{
	static const char *const columns[] = {"name",		"failure_domain", "state",
					      "config_version", "heard_ms",	  NULL};
	size_t lacking_count = json_array_size(watch->lacking);

	if (!has_view)
		return error_set(
			err, ERROR_UNREACHABLE,
			"no ready node answered among the %u named ones, so the members are "
			"not known",
			watch->client->options->node_count);
	if (!watch->client->options->json)
		table_print(columns, watch->lacking);
	return error_set(
		err, ERROR_TIMEOUT,
		"%zu of %lld members are not known to have version %" PRIu64 " of %s, one is %s",
		lacking_count, (long long)watch->members, watch->version, watch->service,
		json_string_value(json_object_get(json_array_get(watch->lacking, 0), "name")));
}

/*
 * Watches a change until it is known to be in force at every member, or until options->watch_ms
 * have passed. Errors: ERROR_TIMEOUT, ERROR_UNREACHABLE, ERROR_USAGE.
 */
int watch_run(struct node_client *client, const char *service, uint64_t version, struct error *err)
{
	static struct watch watch;
	uint64_t started_us = clock_monotonic_us();
	size_t last_lacking_count = SIZE_MAX;
	int status;

	if (!client->options->node_count)
		return error_set(err, ERROR_USAGE, "no nodes to watch");
	watch = (struct watch){.client = client, .service = service, .version = version};
	do {
		bool has_view = poll_nodes(&watch);
		uint64_t elapsed_us = clock_monotonic_us() - started_us;
		size_t lacking_count = json_array_size(watch.lacking);

		if (has_view && lacking_count != last_lacking_count)
			print_progress(&watch, elapsed_us);
		last_lacking_count = has_view ? lacking_count : last_lacking_count;
		status = WATCH_PENDING;
		if (has_view && !lacking_count)
			status = finish_in_force(&watch, err);
		else if (elapsed_us > client->options->watch_ms * USEC_PER_MSEC)
			status = finish_incomplete(&watch, has_view, err);
		else
			usleep(POLL_INTERVAL_US);
		free_results(&watch);
	} while (status == WATCH_PENDING);
	return status;
}
