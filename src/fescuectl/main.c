/*
 * fescuectl: the operators' command for classes, services, status, members, counters, drains and
 * evacuations.
 *
 * Exit codes: 0 on success, or that of error_exit_code for the kind of error (2: invalid command
 * line; 13: conflict; 14: not found; 15: denied; 16: over a limit; 17: unreachable; 18: no answer
 * in time).
 */
#include "fescuectl/command.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct command_line {
	struct arg_str *node;
	struct arg_str *key;
	struct arg_str *by;
	struct arg_int *timeout;
	struct arg_file *settings;
	struct arg_lit *json;
	struct arg_lit *watch_change;
	struct arg_int *watch_timeout;
	struct arg_str *if_version;
	struct arg_int *rank;
	struct arg_dbl *latency;
	struct arg_dbl *percentile;
	struct arg_int *calls;
	struct arg_lit *cancel;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *words;
	struct arg_end *end;
};

#define ARGUMENT_COUNT (sizeof(struct command_line) / sizeof(void *))

static const char usage[] =
	"Commands:\n"
	"  class put SERVICE CLASS      sets a class's target (all four target options)\n"
	"  class get SERVICE CLASS      shows a class in force\n"
	"  class list [SERVICE]         lists the classes in force\n"
	"  class delete SERVICE CLASS   deletes a class\n"
	"  service put FILE             sets a whole service from a JSON file\n"
	"  service delete SERVICE       deletes a service\n"
	"  status                       shows every named node\n"
	"  members                      lists the members that a node knows\n"
	"  counters                     lists a node's counters\n"
	"  drain                        starts a graceful stop of the one named node\n"
	"  evacuate DOMAIN [--cancel]   sends nothing more to a failure domain, until withdrawn\n"
	"  evacuate                     shows the evacuations that every named node knows\n"
	"  watch SERVICE VERSION        follows a change until every member is known to have it\n"
	"Environment (outranks options, which outrank the file): FESCUECTL_NODES, FESCUECTL_KEY,\n"
	"  FESCUECTL_BY, FESCUECTL_TIMEOUT_MS; FESCUECTL_SETTINGS names the file.\n"
	"Exit codes: 0; 2 bad command line; 13 conflict; 14 not found; 15 denied; 16 over a "
	"limit;\n"
	"  17 unreachable; 18 no answer in time; others by kind of error.\n";

static struct command_line define_command_line(void)
{
	return (struct command_line){
		.node = arg_strn("n", "node", "IP:PORT", 0, NODES_MAX, "administration address"),
		.key = arg_str0("k", "key", "KEY", "key of the team"),
		.by = arg_str0(NULL, "by", "NAME", "who makes a change"),
		.timeout = arg_int0(NULL, "timeout-ms", "MS", "wait for a node (default 5000)"),
		.settings = arg_file0("s", "settings", "FILE", "settings in JSON"),
		.json = arg_lit0("j", "json", "print JSON"),
		.watch_change =
			arg_lit0("w", "watch", "after a change, watch it until it is in force"),
		.watch_timeout =
			arg_int0(NULL, "watch-ms", "MS", "longest time to watch (default 30000)"),
		.if_version =
			arg_str0(NULL, "if-version", "N", "version that a change is based on"),
		.rank = arg_int0(NULL, "rank", "N", "how urgent: 0 is the most urgent"),
		.latency = arg_dbl0(NULL, "latency-ms", "MS", "how fast"),
		.percentile = arg_dbl0(NULL, "percentile", "P", "for this share of calls"),
		.calls = arg_int0(NULL, "calls-per-s", "N", "how much, over the whole fleet"),
		.cancel = arg_lit0(NULL, "cancel", "withdraw an evacuation"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version = arg_lit0(NULL, "version", "print the version and exit"),
		.words = arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX, "see below"),
		.end = arg_end(8),
	};
}

static int copy_text(const struct arg_str *arg, const char *name, char *out, size_t size,
		     struct error *err)
{
	if (!arg->count)
		return 0;
	if (strlen(arg->sval[0]) >= size)
		return error_set(err, ERROR_USAGE, "%s: at most %zu bytes", name, size - 1);
	strncpy(out, arg->sval[0], size);
	return 0;
}

/* Reads the --node options, each of which may be a comma-separated list. */
static int read_nodes(const struct command_line *line, struct options *options, struct error *err)
{
	for (int i = 0; i < line->node->count; i++) {
		struct options one = {0};

		if (options_read_nodes(&one, line->node->sval[i], err))
			return -1;
		if (i == 0)
			options->node_count = 0;
		if (options->node_count + one.node_count > NODES_MAX)
			return error_set(err, ERROR_USAGE, "--node: at most %d", NODES_MAX);
		memcpy(options->nodes + options->node_count, one.nodes,
		       one.node_count * sizeof(one.nodes[0]));
		options->node_count += one.node_count;
	}
	return 0;
}

static void read_target(const struct command_line *line, struct target_options *target)
{
	target->is_complete = line->rank->count && line->latency->count &&
			      line->percentile->count && line->calls->count;
	target->rank = line->rank->ival[0];
	target->latency_ms = line->latency->dval[0];
	target->percentile = line->percentile->dval[0];
	target->calls_per_s = line->calls->ival[0];
}

static int read_if_version(const struct command_line *line, struct options *options,
			   struct error *err)
{
	char *end;

	if (!line->if_version->count)
		return 0;
	options->if_version = strtoull(line->if_version->sval[0], &end, 10);
	options->has_if_version = true;
	if (*end || line->if_version->sval[0][0] == '-' || end == line->if_version->sval[0])
		return error_set(err, ERROR_USAGE,
				 "--if-version: found \"%.40s\", allowed a version",
				 line->if_version->sval[0]);
	return 0;
}

static int read_command_line(const struct command_line *line, struct options *options,
			     struct error *err)
{
	if (read_nodes(line, options, err) ||
	    copy_text(line->key, "--key", options->key, sizeof(options->key), err) ||
	    copy_text(line->by, "--by", options->by, sizeof(options->by), err) ||
	    read_if_version(line, options, err))
		return -1;
	if (line->timeout->count) {
		if (line->timeout->ival[0] < 1 || line->timeout->ival[0] > TIMEOUT_MS_MAX)
			return error_set(err, ERROR_USAGE, "--timeout-ms: allowed 1 to %d",
					 TIMEOUT_MS_MAX);
		options->timeout_ms = (uint32_t)line->timeout->ival[0];
	}
	if (line->watch_timeout->count) {
		if (line->watch_timeout->ival[0] < 1 ||
		    line->watch_timeout->ival[0] > TIMEOUT_MS_MAX)
			return error_set(err, ERROR_USAGE, "--watch-ms: allowed 1 to %d",
					 TIMEOUT_MS_MAX);
		options->watch_ms = (uint32_t)line->watch_timeout->ival[0];
	}
	options->json = line->json->count > 0;
	options->watch_change = line->watch_change->count > 0;
	options->cancel = line->cancel->count > 0;
	read_target(line, &options->target);
	options->word_count = line->words->count;
	for (int i = 0; i < line->words->count; i++)
		options->words[i] = line->words->sval[i];
	return 0;
}

/* Reads the file, then the command line, then the environment; later ones override earlier ones. */
static int read_options(const struct command_line *line, struct options *options, struct error *err)
{
	const char *file = getenv("FESCUECTL_SETTINGS");

	options->timeout_ms = TIMEOUT_DEFAULT_MS;
	options->watch_ms = WATCH_DEFAULT_MS;
	if (!file && line->settings->count)
		file = line->settings->filename[0];
	if (file && options_read_file(options, file, err))
		return -1;
	if (read_command_line(line, options, err))
		return -1;
	return options_read_environment(options, err);
}

static int fail(const struct error *err)
{
	fprintf(stderr, "fescuectl: %s: %s\n", error_kind_name(err->kind), err->detail);
	return error_exit_code(err->kind);
}

static int run(const struct command_line *line)
{
	static struct options options;
	struct node_client client;
	struct error err = {0};
	int status;

	if (read_options(line, &options, &err) || node_client_open(&client, &options, &err))
		return fail(&err);
	status = command_run(&client, &err);
	node_client_close(&client);
	return status ? fail(&err) : 0;
}

int main(int argc, char **argv)
{
	struct command_line line = define_command_line();
	int errors = arg_parse(argc, argv, (void **)&line);
	int exit_code = 0;

	if (line.help->count) {
		fputs("Usage: fescuectl", stdout);
		arg_print_syntax(stdout, (void **)&line, "\n");
		arg_print_glossary(stdout, (void **)&line, "  %-28s %s\n");
		fputs(usage, stdout);
	} else if (line.version->count) {
		puts("fescuectl " FESCUEMILL_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, line.end, "fescuectl");
		exit_code = error_exit_code(ERROR_USAGE);
	} else {
		exit_code = run(&line);
	}
	arg_freetable((void **)&line, ARGUMENT_COUNT);
	return exit_code;
}
