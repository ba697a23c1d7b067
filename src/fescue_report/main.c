/*
 * fescue-report: reports the service-level burn by service and class over a short and a long
 * window, from all named nodes that answer.
 *
 * Exit codes: 0 on success; 1 if nodes are missing and --strict is given; 2 for an invalid command
 * line; 17 if no node returns a report; others by kind of error.
 */
#include "fescue_report/print.h"
#include "fescuectl/node_client.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#define MISSING_EXIT 1

struct command_line {
	struct arg_str *node;
	struct arg_str *key;
	struct arg_int *timeout;
	struct arg_file *settings;
	struct arg_lit *json;
	struct arg_file *html;
	struct arg_lit *strict;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

#define ARGUMENT_COUNT (sizeof(struct command_line) / sizeof(void *))

static struct command_line define_command_line(void)
{
	return (struct command_line){
		.node = arg_str0("n", "node", "IP:PORT,...", "administration addresses"),
		.key = arg_str0("k", "key", "KEY", "key of a team"),
		.timeout = arg_int0(NULL, "timeout-ms", "MS", "wait for a node (default 5000)"),
		.settings = arg_file0("s", "settings", "FILE", "settings in JSON"),
		.json = arg_lit0("j", "json", "print JSON"),
		.html = arg_file0(NULL, "html", "FILE", "write one HTML page"),
		.strict = arg_lit0(NULL, "strict", "exit with 1 when a node is missing"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version = arg_lit0(NULL, "version", "print the version and exit"),
		.end = arg_end(8),
	};
}

/* Reads the options of the command line. */
static int read_command_line(const struct command_line *line, struct options *options,
			     struct error *err)
{
	if (line->node->count && options_read_nodes(options, line->node->sval[0], err))
		return -1;
	if (line->key->count && strlen(line->key->sval[0]) >= sizeof(options->key))
		return error_set(err, ERROR_USAGE, "--key: at most %zu bytes",
				 sizeof(options->key) - 1);
	if (line->key->count)
		memcpy(options->key, line->key->sval[0], strlen(line->key->sval[0]) + 1);
	if (!line->timeout->count)
		return 0;
	if (line->timeout->ival[0] < 1 || line->timeout->ival[0] > TIMEOUT_MS_MAX)
		return error_set(err, ERROR_USAGE, "--timeout-ms: found %d, allowed 1 to %d",
				 line->timeout->ival[0], TIMEOUT_MS_MAX);
	options->timeout_ms = (uint32_t)line->timeout->ival[0];
	return 0;
}

/*
 * Reads the file, then the command line, then the environment; later ones override earlier ones.
 */
static int read_options(const struct command_line *line, struct options *options, struct error *err)
{
	const char *file = getenv("FESCUECTL_SETTINGS");

	options->timeout_ms = TIMEOUT_DEFAULT_MS;
	if (!file && line->settings->count)
		file = line->settings->filename[0];
	if (file && options_read_file(options, file, err))
		return -1;
	if (read_command_line(line, options, err) || options_read_environment(options, err))
		return -1;
	if (options->node_count == 0)
		return error_set(err, ERROR_USAGE, "no nodes: give --node or --settings");
	return 0;
}

/* Adds up the reports, and lists the nodes without a usable one with the reason. */
static void add_responses(const struct node_response *responses, uint32_t count, struct sum *sum,
			  struct print_missing *missing, uint32_t *missing_count)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct node_response *response = &responses[i];
		struct print_missing *added = &missing[*missing_count];

		if (!response->err.kind && sum_add(sum, response->json))
			continue;
		added->node = response->node;
		added->kind = "syntax";
		added->detail = "a report in another form";
		if (response->err.kind) {
			added->kind = error_kind_name(response->err.kind);
			added->detail = response->err.detail;
		}
		(*missing_count)++;
	}
	sum_finish(sum);
}

/* Writes the report as an HTML page to a file. */
static int write_page(const char *path, const struct print_input *input, struct error *err)
{
	FILE *page = fopen(path, "w");

	if (!page)
		return error_set(err, ERROR_SYSTEM, "cannot write %s", path);
	print_html(page, input);
	if (fclose(page) != 0)
		return error_set(err, ERROR_SYSTEM, "cannot write %s", path);
	return 0;
}

/* Writes the report in the requested forms, or as text if none is requested. */
static int print(const struct command_line *line, const struct print_input *input,
		 struct error *err)
{
	if (line->html->count && write_page(line->html->filename[0], input, err))
		return -1;
	if (line->json->count)
		print_json(stdout, input);
	else if (!line->html->count)
		print_text(stdout, input);
	return 0;
}

/* Requests the reports of all nodes and prints their sum. Returns the exit code. */
static int report(const struct command_line *line, const struct options *options, struct error *err)
{
	static const struct node_request request = {.method = "GET", .path = "/v1/report"};
	static struct node_response responses[NODES_MAX];
	static struct print_missing missing[NODES_MAX];
	static struct sum sum;
	struct print_input input = {.sum = &sum, .asked = options->node_count, .missing = missing};
	struct node_client client;

	if (node_client_open(&client, options, err))
		return error_exit_code(err->kind);
	node_client_request_all(&client, &request, responses);
	add_responses(responses, options->node_count, &sum, missing, &input.missing_count);
	if (print(line, &input, err) == 0 && sum.nodes == 0)
		error_set(err, ERROR_UNREACHABLE, "none of %u nodes gave a report", input.asked);
	node_responses_free(responses, options->node_count);
	node_client_close(&client);
	if (err->kind)
		return error_exit_code(err->kind);
	return line->strict->count && input.missing_count ? MISSING_EXIT : 0;
}

/* Prints the help or the version if requested. Returns true if it printed either. */
static bool print_about(const struct command_line *line, void **table)
{
	if (line->version->count)
		printf("fescue-report %s\n", FESCUEMILL_VERSION);
	if (line->help->count) {
		printf("Usage: fescue-report");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
	}
	return line->version->count || line->help->count;
}

int main(int argc, char **argv)
{
	struct command_line line = define_command_line();
	void *table[ARGUMENT_COUNT];
	static struct options options;
	struct error err = {0};
	int errors;
	int code;

	memcpy(table, &line, sizeof(table));
	errors = arg_parse(argc, argv, table);
	if (print_about(&line, table))
		return 0;
	if (errors) {
		arg_print_errors(stderr, line.end, "fescue-report");
		return error_exit_code(ERROR_USAGE);
	}
	if (read_options(&line, &options, &err))
		code = error_exit_code(err.kind);
	else
		code = report(&line, &options, &err);
	if (err.kind)
		fprintf(stderr, "fescue-report: %s: %s\n", error_kind_name(err.kind), err.detail);
	arg_freetable(table, ARGUMENT_COUNT);
	return code;
}
