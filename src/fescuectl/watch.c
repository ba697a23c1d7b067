/*
 * Watch: the member table of one answering node says who belongs to the fleet and whom gossip knows
 * to have the change; the answers of the other nodes add what they say of themselves. A member of
 * which nothing newer is known counts as lacking the change and is named.
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
#define PATH_BYTES     48
#define GOES_ON	       1

/* What is followed, and what is known of it. */
struct follow {
	struct asker *asker;
	const char *service;
	uint64_t version;
	struct answer answers[NODES_MAX];
	json_t *domains;    /* rows by failure domain */
	json_t *lacking;    /* members that are not known to have the change */
	json_t *silent;	    /* addresses of asked nodes that do not answer */
	json_int_t members; /* of the fleet, the dead left out */
};

static json_int_t integer_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Adds to a count in a row. */
static void add(json_t *row, const char *key, json_int_t amount)
{
	json_object_set_new(row, key, json_integer(integer_of(row, key) + amount));
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

/* Gives the answering node that knows the most members; of equals the one that lacks the fewest. */
static const json_t *find_witness(const struct follow *follow)
{
	const json_t *best = NULL;

	for (uint32_t i = 0; i < follow->asker->options->node_count; i++) {
		const json_t *json = follow->answers[i].json;
		json_int_t members = integer_of(json, "members");

		if (follow->answers[i].err.kind || !json_is_true(json_object_get(json, "ready")))
			continue;
		if (!best || members > integer_of(best, "members") ||
		    (members == integer_of(best, "members") &&
		     json_array_size(json_object_get(json, "lacking")) <
			     json_array_size(json_object_get(best, "lacking"))))
			best = json;
	}
	return best;
}

/* Tells whether a member has itself answered that it has the change. */
static bool has_answered(const struct follow *follow, const char *name)
{
	for (uint32_t i = 0; i < follow->asker->options->node_count; i++) {
		const char *own =
			json_string_value(json_object_get(follow->answers[i].json, "name"));

		if (own && strcmp(own, name) == 0 &&
		    has_version(&follow->answers[i], follow->service, follow->version))
			return true;
	}
	return false;
}

/* Moves a member of a failure domain from the lacking to those that have the change. */
static void move_member(json_t *domains, const char *domain)
{
	size_t index;
	json_t *row;

	json_array_foreach(domains, index, row)
	{
		if (strcmp(json_string_value(json_object_get(row, "failure_domain")), domain) != 0)
			continue;
		add(row, "in_force", 1);
		add(row, "not_known", -1);
	}
}

/* Takes what the witness knows, and what members have answered themselves. */
static void take_witness(struct follow *follow, const json_t *witness)
{
	size_t index;
	json_t *member;

	follow->members = integer_of(witness, "members");
	follow->domains = json_deep_copy(json_object_get(witness, "domains"));
	json_array_foreach(json_object_get(witness, "lacking"), index, member)
	{
		const char *name = json_string_value(json_object_get(member, "name"));
		const char *domain = json_string_value(json_object_get(member, "failure_domain"));

		if (name && domain && has_answered(follow, name))
			move_member(follow->domains, domain);
		else
			json_array_append(follow->lacking, member);
	}
}

/* Notes the asked nodes that do not answer. */
static void take_silent(struct follow *follow)
{
	for (uint32_t i = 0; i < follow->asker->options->node_count; i++) {
		char text[ENDPOINT_BYTES];

		if (!follow->answers[i].err.kind)
			continue;
		print_endpoint(&follow->answers[i].node, text);
		json_array_append_new(follow->silent, json_string(text));
	}
}

/* Asks all nodes once. Returns false when none can speak for the fleet. */
static bool ask(struct follow *follow)
{
	char path[PATH_BYTES];
	struct question question = {.method = "GET", .path = path};
	const json_t *witness;

	snprintf(path, sizeof(path), "/v1/versions/%" PRIu64, follow->version);
	ask_all(follow->asker, &question, follow->answers);
	follow->lacking = json_array();
	follow->silent = json_array();
	witness = find_witness(follow);
	if (witness)
		take_witness(follow, witness);
	else
		follow->domains = json_array();
	take_silent(follow);
	return witness != NULL;
}

/* Frees what was learnt. */
static void forget(struct follow *follow)
{
	answers_free(follow->answers, follow->asker->options->node_count);
	json_decref(follow->domains);
	json_decref(follow->lacking);
	json_decref(follow->silent);
}

static void print_json(const struct follow *follow, uint64_t elapsed_us)
{
	json_t *line = json_pack("{s:I, s:I, s:O, s:O, s:O}", "elapsed_ms",
				 (json_int_t)(elapsed_us / USEC_PER_MSEC), "members",
				 follow->members, "domains", follow->domains, "lacking",
				 follow->lacking, "no_answer", follow->silent);

	json_dumpf(line, stdout, JSON_COMPACT);
	puts("");
	json_decref(line);
}

static void print_text(const struct follow *follow, uint64_t elapsed_us)
{
	static const char *const keys[] = {"failure_domain", "in_force", "not_known", "dead", NULL};
	size_t lack = json_array_size(follow->lacking);
	size_t index;
	json_t *address;

	printf("after %llu ms known to be in force at %lld of %lld members\n",
	       (unsigned long long)(elapsed_us / USEC_PER_MSEC),
	       (long long)follow->members - (long long)lack, (long long)follow->members);
	table_print(keys, follow->domains);
	json_array_foreach(follow->silent, index, address)
	{
		printf("no answer from %s\n", json_string_value(address));
	}
}

/* Prints the progress. */
static void print_progress(const struct follow *follow, uint64_t elapsed_us)
{
	if (follow->asker->options->json)
		print_json(follow, elapsed_us);
	else
		print_text(follow, elapsed_us);
	fflush(stdout);
}

/* Ends a watch whose change is known to be in force at every member. A node that was named and does
 * not answer is no success: it may be none of the members. */
static int end_known(const struct follow *follow, struct error *err)
{
	size_t silent = json_array_size(follow->silent);

	if (!silent)
		return 0;
	return error_set(err, ERROR_UNREACHABLE,
			 "in force at all %lld members, but %zu of %u named nodes do not answer, "
			 "one is %s",
			 (long long)follow->members, silent, follow->asker->options->node_count,
			 json_string_value(json_array_get(follow->silent, 0)));
}

/* Ends a watch in vain: names the members that are not known to have the change. */
static int end_unknown(const struct follow *follow, bool known, struct error *err)
{
	static const char *const keys[] = {"name",	     "failure_domain", "state",
					   "config_version", "heard_ms",       NULL};
	size_t lack = json_array_size(follow->lacking);

	if (!known)
		return error_set(err, ERROR_UNREACHABLE,
				 "none of %u nodes answers that is ready to speak for the fleet",
				 follow->asker->options->node_count);
	if (!follow->asker->options->json)
		table_print(keys, follow->lacking);
	return error_set(
		err, ERROR_TIMEOUT,
		"%zu of %lld members are not known to have version %" PRIu64 " of %s, one is %s",
		lack, (long long)follow->members, follow->version, follow->service,
		json_string_value(json_object_get(json_array_get(follow->lacking, 0), "name")));
}

/* Follows a change. Errors as the header says. */
int watch_run(struct asker *asker, const char *service, uint64_t version, struct error *err)
{
	static struct follow follow;
	uint64_t started_us = clock_monotonic_us();
	size_t last_lack = SIZE_MAX;
	int status;

	if (!asker->options->node_count)
		return error_set(err, ERROR_USAGE, "no nodes to watch");
	follow = (struct follow){.asker = asker, .service = service, .version = version};
	do {
		bool known = ask(&follow);
		uint64_t elapsed_us = clock_monotonic_us() - started_us;
		size_t lack = json_array_size(follow.lacking);

		if (known && lack != last_lack)
			print_progress(&follow, elapsed_us);
		last_lack = known ? lack : last_lack;
		status = GOES_ON;
		if (known && !lack)
			status = end_known(&follow, err);
		else if (elapsed_us > asker->options->watch_ms * USEC_PER_MSEC)
			status = end_unknown(&follow, known, err);
		else
			usleep(PAUSE_US);
		forget(&follow);
	} while (status == GOES_ON);
	return status;
}
