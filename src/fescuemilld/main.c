/*
 * fescuemilld: one node, beside one backend server.
 */
#include "fescuemill/base/log.h"
#include "fescuemill/settings/settings.h"
#include "fescuemilld/node/node.h"

#include <argtable2.h>
#include <stdio.h>

#define PROGRAM	   "fescuemilld"
#define ERRORS_MAX 8

static struct arg_file *settings_arg;
static struct arg_file *check_arg;
static struct arg_lit *help_arg;
static struct arg_lit *version_arg;
static struct arg_end *end_arg;

/* Logs a failure and returns its exit code. */
static int fail(const char *sentence, const struct error *err)
{
	log_failure(LOG_ERROR, LOG_PART_MAIN, sentence, err);
	return error_exit_code(err->kind);
}

static void print_help(void **table)
{
	printf("Usage: " PROGRAM);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-22s %s\n");
	printf("\nExit codes: 0 after a graceful stop or a good check; else by kind of error:\n");
	for (int kind = ERROR_USAGE; kind < ERROR_KIND_COUNT; kind++)
		printf("  %2d %s\n", error_exit_code((enum error_kind)kind),
		       error_kind_name((enum error_kind)kind));
}

/* Reports whether a settings file is valid. Returns the exit code. */
static int check_settings(const char *path)
{
	static struct settings settings;
	struct error err = {0};

	if (settings_load(path, &settings, &err) != 0)
		return fail("The settings are not valid.", &err);
	printf("%s: valid\n", path);
	return 0;
}

/* Runs a node with the settings of a file until it has stopped. Returns the exit code. */
static int run_node(const char *path)
{
	static struct settings settings;
	static struct node *node;
	struct error err = {0};

	if (settings_load(path, &settings, &err) != 0)
		return fail("The settings are not valid.", &err);
	log_set_name(settings.name);
	log_set_level(settings.log_level);
	if (node_open(&node, &settings, &native_node_dialects, &err) != 0)
		return fail("The node cannot start.", &err);
	node_watch_settings(node, path);
	if (node_run(node, &err) != 0)
		return fail("The stop was not graceful.", &err);
	return 0;
}

/* Carries out the command line. Returns the exit code. */
static int run_command(int argc, char **argv, void **table)
{
	int errors = arg_parse(argc, argv, table);

	if (help_arg->count > 0) {
		print_help(table);
		return 0;
	}
	if (version_arg->count > 0) {
		printf(PROGRAM " %s\n", FESCUEMILL_VERSION);
		return 0;
	}
	if (errors == 0 && settings_arg->count + check_arg->count == 1)
		return check_arg->count > 0 ? check_settings(check_arg->filename[0])
					    : run_node(settings_arg->filename[0]);
	if (errors > 0)
		arg_print_errors(stderr, end_arg, PROGRAM);
	else
		fprintf(stderr, PROGRAM ": either --settings or --check is needed\n");
	return error_exit_code(ERROR_USAGE);
}

int main(int argc, char **argv)
{
	settings_arg = arg_file0("s", "settings", "FILE", "run a node with these settings");
	check_arg = arg_file0(NULL, "check", "FILE", "check settings and exit");
	help_arg = arg_lit0("h", "help", "print this and exit");
	version_arg = arg_lit0(NULL, "version", "print the version and exit");
	end_arg = arg_end(ERRORS_MAX);
	void *table[] = {settings_arg, check_arg, help_arg, version_arg, end_arg};
	int code;

	if (arg_nullcheck(table) != 0)
		return error_exit_code(ERROR_MEMORY);
	code = run_command(argc, argv, table);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
