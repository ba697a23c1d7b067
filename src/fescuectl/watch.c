/*
 * Watch: a node has a change in force when it has the version or a later one; nodes that do not
 * answer count as lacking it and are named.
 */
#include "fescuectl/watch.h"

#include "fescuectl/table.h"
#include "fescuemill/base/clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PAUSE_US       (200 * USEC_PER_MSEC)
#define ENDPOINT_BYTES 24

/* Gives the row of a failure domain, made if need be. */
static json_t *row_of(json_t *rows, const char *domain)
{
	size_t index;
	json_t *row;

	json_array_foreach(rows, index, row)
	{
		if (strcmp(json_string_value(json_object_get(row, "failure_domain")), domain) == 0)
			return row;
	}
	row = json_pack("{s:s, s:i, s:i}", "failure_domain", domain, "in_force", 0, "not_yet", 0);
	json_array_append_new(rows, row);
	return row;
}

/* Adds one to a counter of a failure domain's row. */
static void count(json_t *rows, const char *domain, bool in_force)
{
	json_t *row = row_of(rows, domain);
	const char *key = in_force ? "in_force" : "not_yet";

	json_object_set_new(row, key,
			    json_integer(json_integer_value(json_object_get(row, key)) + 1));
}

static bool has_version(const struct answer *answer, const char *service, uint64_t version)
{
	json_t *versions = json_object_get(answer->json, "versions");
	json_t *own = json_object_get(versions, service);
	json_int_t through = json_integer_value(json_object_get(answer->json, "config_version"));

	if (answer->err.kind)
		return false;
	/* A deleted service has no version, but the node has everything through one. */
	return own ? (uint64_t)json_integer_value(own) >= version : (uint64_t)through >= version;
}

static void print_endpoint(const struct endpoint *node, char *text)
{
	snprintf(text, ENDPOINT_BYTES, "%u.%u.%u.%u:%u", node->ip >> 24, (node->ip >> 16) & 255,
		 (node->ip >> 8) & 255, node->ip & 255, node->port);
}

/* Counts the answers by failure domain; returns how many nodes lack the change, and names one. */
static uint32_t count_answers(const struct asker *asker, const struct answer *answers,
			      const char *service, uint64_t version, json_t *rows, char *lacking)
{
	uint32_t lack = 0;

	for (uint32_t i = 0; i < asker->options->node_count; i++) {
		const char *domain =
			json_string_value(json_object_get(answers[i].json, "failure_domain"));
		bool in_force = has_version(&answers[i], service, version);

		count(rows, domain && !answers[i].err.kind ? domain : "(no answer)", in_force);
		if (in_force)
			continue;
		lack++;
		print_endpoint(&answers[i].node, lacking);
	}
	return lack;
}

static void print_progress(const struct options *options, json_t *rows, uint64_t elapsed_us)
{
	static const char *const keys[] = {"failure_domain", "in_force", "not_yet", NULL};

	if (options->json) {
		json_t *line = json_pack("{s:I, s:O}", "elapsed_ms",
					 (json_int_t)(elapsed_us / USEC_PER_MSEC), "domains", rows);

		json_dumpf(line, stdout, JSON_COMPACT);
		puts("");
		json_decref(line);
	} else {
		printf("after %llu ms\n", (unsigned long long)(elapsed_us / USEC_PER_MSEC));
		table_print(keys, rows);
	}
	fflush(stdout);
}

/* Follows a change. Errors as the header says. */
int watch_run(struct asker *asker, const char *service, uint64_t version, struct error *err)
{
	static const struct question question = {.method = "GET", .path = "/v1/versions"};
	uint64_t started_us = clock_monotonic_us();
	uint32_t last_lack = UINT32_MAX;
	struct answer answers[NODES_MAX];
	char lacking[ENDPOINT_BYTES];

	if (!asker->options->node_count)
		return error_set(err, ERROR_USAGE, "no nodes to watch");
	for (;;) {
		json_t *rows = json_array();
		uint64_t elapsed_us;
		uint32_t lack;

		ask_all(asker, &question, answers);
		elapsed_us = clock_monotonic_us() - started_us;
		lack = count_answers(asker, answers, service, version, rows, lacking);
		answers_free(answers, asker->options->node_count);
		if (lack != last_lack)
			print_progress(asker->options, rows, elapsed_us);
		json_decref(rows);
		last_lack = lack;
		if (!lack)
			return 0;
		if (elapsed_us > WATCH_MS * USEC_PER_MSEC)
			return error_set(err, ERROR_TIMEOUT,
					 "%u of %u nodes lack version %" PRIu64 " of %s, one is %s",
					 lack, asker->options->node_count, version, service,
					 lacking);
		usleep(PAUSE_US);
	}
}
