/*
 * fescue-load: generates bounded load on a fleet and checks the result of every call.
 *
 * Exit codes: 0 no violation; 1 a call was lost, doubled, cut or corrupted, or its outcome
 * contradicts the recorded executions; others as returned by error_exit_code (2: invalid command
 * line).
 */
#include "fescue_load/plan.h"
#include "fescue_load/report.h"
#include "fescuemill/base/log.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_VIOLATION 1
#define LIST_MAX       PLAN_TARGETS_MAX

struct options {
	struct arg_file *plan;
	struct arg_str *entry;
	struct arg_str *backend;
	struct arg_lit *direct;
	struct arg_str *service;
	struct arg_str *class_name;
	struct arg_str *method;
	struct arg_str *path;
	struct arg_dbl *rate;
	struct arg_int *connections;
	struct arg_int *body_bytes;
	struct arg_int *answer_bytes;
	struct arg_int *deadline_ms;
	struct arg_dbl *keyed_share;
	struct arg_int *duration_ms;
	struct arg_int *grace_ms;
	struct arg_int *max_calls;
	struct arg_int *seed;
	struct arg_file *json;
	struct arg_str *label;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

#define OPTION_COUNT (sizeof(struct options) / sizeof(void *))

/* Returns the definitions of the command-line options. */
static struct options options_define(void)
{
	return (struct options){
		.plan = arg_file0("p", "plan", "FILE", "plan in JSON; excludes stream options"),
		.entry = arg_strn("e", "entry", "IP:PORT", 0, LIST_MAX, "entry to call"),
		.backend = arg_strn("b", "backend", "SERVICE=IP:PORT", 0, LIST_MAX,
				    "backend server whose executions are checked"),
		.direct = arg_lit0("d", "direct", "call the backend servers, not the entries"),
		.service = arg_str0(NULL, "service", "NAME", "service of the stream"),
		.class_name = arg_str0(NULL, "class", "NAME", "class of the stream"),
		.method = arg_str0(NULL, "method", "METHOD", "HTTP method (default GET)"),
		.path = arg_str0(NULL, "path", "PATH", "path within the service (default /)"),
		.rate = arg_dbl0("r", "rate", "N", "calls a second, open loop"),
		.connections = arg_int0("c", "connections", "N", "calls at a time, closed loop"),
		.body_bytes = arg_int0(NULL, "body-bytes", "N", "bytes of a request's body"),
		.answer_bytes = arg_int0(NULL, "answer-bytes", "N", "bytes of an answer's body"),
		.deadline_ms = arg_int0(NULL, "deadline-ms", "MS", "a call's deadline"),
		.keyed_share = arg_dbl0(NULL, "keyed-share", "0..1", "share with idempotency keys"),
		.duration_ms = arg_int0(NULL, "duration-ms", "MS", "time of sending"),
		.grace_ms =
			arg_int0(NULL, "grace-ms", "MS", "past a deadline until a call is lost"),
		.max_calls = arg_int0(NULL, "max-calls", "N", "bound on the calls"),
		.seed = arg_int0("s", "seed", "N", "seed of arrivals and choices"),
		.json = arg_file0("j", "json", "FILE", "write the result as JSON (-: here)"),
		.label = arg_str0(NULL, "label", "WORD", "first word of the last line"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version = arg_lit0(NULL, "version", "print the version and exit"),
		.end = arg_end(8),
	};
}

/* Adds the stream that the options describe. Returns 0, or -1 with err set. */
static int add_stream(struct plan *plan, const struct options *opts, struct error *err)
{
	struct plan_stream stream;

	if (opts->service->count == 0 || opts->class_name->count == 0)
		return error_set(err, ERROR_USAGE,
				 "either --plan, or both --service and --class, must be given");
	plan_stream_init(&stream);
	snprintf(stream.service, sizeof(stream.service), "%s", opts->service->sval[0]);
	snprintf(stream.class_name, sizeof(stream.class_name), "%s", opts->class_name->sval[0]);
	if (opts->method->count > 0)
		snprintf(stream.method, sizeof(stream.method), "%s", opts->method->sval[0]);
	if (opts->path->count > 0)
		snprintf(stream.path, sizeof(stream.path), "%s", opts->path->sval[0]);
	if (opts->deadline_ms->count > 0)
		stream.deadline_ms = (uint32_t)opts->deadline_ms->ival[0];
	stream.calls_per_s = opts->rate->count > 0 ? opts->rate->dval[0] : 0;
	stream.keyed_share = opts->keyed_share->count > 0 ? opts->keyed_share->dval[0] : 0;
	stream.connections =
		opts->connections->count > 0 ? (uint32_t)opts->connections->ival[0] : 0;
	stream.body_bytes = opts->body_bytes->count > 0 ? (uint32_t)opts->body_bytes->ival[0] : 0;
	stream.answer_bytes =
		opts->answer_bytes->count > 0 ? (uint32_t)opts->answer_bytes->ival[0] : 0;
	return plan_add_stream(plan, &stream, err);
}

/* Adds the entries and backend servers that the options name. Returns 0, or -1 with err set. */
static int add_targets(struct plan *plan, const struct options *opts, struct error *err)
{
	for (int i = 0; i < opts->entry->count; i++) {
		if (plan_add_entry(plan, opts->entry->sval[i], err))
			return -1;
	}
	for (int i = 0; i < opts->backend->count; i++) {
		char service[SERVICE_NAME_BYTES] = "";
		const char *address = strchr(opts->backend->sval[i], '=');

		if (!address || sscanf(opts->backend->sval[i], "%255[^=]", service) != 1)
			return error_set(err, ERROR_USAGE, "--backend %s: allowed SERVICE=IP:PORT",
					 opts->backend->sval[i]);
		if (plan_add_backend(plan, service, address + 1, err))
			return -1;
	}
	return 0;
}

/* Builds the plan from the plan file and the options. Returns 0, or -1 with err set. */
static int make_plan(struct plan *plan, const struct options *opts, struct error *err)
{
	bool has_stream = opts->service->count + opts->class_name->count + opts->rate->count +
				  opts->connections->count >
			  0;

	plan_init(plan);
	if (opts->plan->count > 0 && has_stream)
		return error_set(err, ERROR_USAGE, "--plan cannot be combined with stream options");
	if (opts->plan->count > 0) {
		if (plan_load(plan, opts->plan->filename[0], err))
			return -1;
	} else if (add_stream(plan, opts, err)) {
		return -1;
	}
	plan->direct = opts->direct->count > 0;
	if (opts->duration_ms->count > 0)
		plan->duration_ms = (uint32_t)opts->duration_ms->ival[0];
	if (opts->grace_ms->count > 0)
		plan->grace_ms = (uint32_t)opts->grace_ms->ival[0];
	if (opts->max_calls->count > 0)
		plan->max_calls = (uint32_t)opts->max_calls->ival[0];
	if (opts->seed->count > 0)
		plan->seed = (uint64_t)opts->seed->ival[0];
	if (add_targets(plan, opts, err))
		return -1;
	return plan_check(plan, err);
}

/* Runs the plan and writes the reports. Returns the exit code. */
static int run_and_report(const struct options *opts)
{
	static struct plan plan;
	static struct run_result result;
	struct ledger_sums total;
	struct error err = {0};
	int exit_code = 0;

	if (make_plan(&plan, opts, &err) || run_plan(&plan, &result, &err) ||
	    (opts->json->count > 0 && report_json(&plan, &result, opts->json->filename[0], &err))) {
		log_failure(LOG_ERROR, LOG_PART_LOAD, "The load run failed.", &err);
		return error_exit_code(err.kind);
	}
	ledger_total(&result.ledger, &total);
	if (opts->json->count == 0 || strcmp(opts->json->filename[0], "-") != 0) {
		report_table(&plan, &result, stdout);
		report_last_line(&result, opts->label->count > 0 ? opts->label->sval[0] : "load",
				 stdout);
	}
	if (ledger_violations(&result.ledger, &total) > 0)
		exit_code = EXIT_VIOLATION;
	ledger_free(&result.ledger);
	return exit_code;
}

static void print_help(void **table)
{
	printf("Usage: fescue-load");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-32s %s\n");
	printf("Exit codes: 0 all is well; 1 a call was lost, doubled, cut or corrupted, or an\n"
	       "outcome was untrue; 2 a bad command line; others name the kind of the failure.\n");
}

int main(int argc, char **argv)
{
	struct options opts = options_define();
	void *table[OPTION_COUNT];
	int errors;
	int exit_code = 0;

	memcpy(table, &opts, sizeof(opts));
	signal(SIGPIPE, SIG_IGN);
	errors = arg_parse(argc, argv, table);
	if (opts.help->count > 0) {
		print_help(table);
	} else if (opts.version->count > 0) {
		printf("fescue-load %s\n", FESCUEMILL_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, opts.end, "fescue-load");
		exit_code = error_exit_code(ERROR_USAGE);
	} else {
		exit_code = run_and_report(&opts);
	}
	arg_freetable(table, OPTION_COUNT);
	return exit_code;
}
