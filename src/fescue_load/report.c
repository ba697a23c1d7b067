/*
 * Report: the results of a run, as text and as JSON.
 */
#include "fescue_load/report.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define COUNT(sums, result) ((sums).results[CALL_##result])

/* Returns a quantile of a histogram in milliseconds. */
static double quantile_ms(const struct histogram *hist, double quantile)
{
	return (double)histogram_quantile_us(hist, quantile) / 1000;
}

/* Writes the table row of one stream. */
static void write_row(const struct plan_stream *stream, const struct ledger_sums *sums,
		      const struct run_latency *latency, FILE *out)
{
	char name[SERVICE_NAME_BYTES + CLASS_NAME_BYTES];

	snprintf(name, sizeof(name), "%s/%s", stream->service, stream->class_name);
	fprintf(out,
		"%-26s %8" PRIu64 " %8" PRIu64 " %6" PRIu64 " %8" PRIu64 " %8" PRIu64 " %5" PRIu64
		" %4" PRIu64 " %7" PRIu64 " %7" PRIu64 " %9.2f %9.2f %9.2f %9.2f %9.2f\n",
		name, sums->sent, COUNT(*sums, ANSWERED), sums->errors, COUNT(*sums, NOT_RUN),
		COUNT(*sums, UNKNOWN), COUNT(*sums, LOST), COUNT(*sums, CUT), COUNT(*sums, CORRUPT),
		sums->doubled, quantile_ms(&latency->total, 0.5),
		quantile_ms(&latency->total, 0.99), quantile_ms(&latency->total, 0.999),
		quantile_ms(&latency->added, 0.5), quantile_ms(&latency->added, 0.99));
}

/* Writes the table by class, with latencies in milliseconds. */
void report_table(const struct plan *plan, const struct run_result *result, FILE *out)
{
	struct ledger_sums sums;

	fprintf(out, "%-26s %8s %8s %6s %8s %8s %5s %4s %7s %7s %9s %9s %9s %9s %9s\n", "class",
		"sent", "answered", "errors", "not-run", "unknown", "lost", "cut", "corrupt",
		"doubled", "p50-ms", "p99-ms", "p99.9-ms", "add50-ms", "add99-ms");
	for (uint32_t i = 0; i < plan->stream_count; i++) {
		ledger_sum(&result->ledger, i, &sums);
		write_row(&plan->streams[i], &sums, &result->latency[i], out);
	}
	ledger_total(&result->ledger, &sums);
	if (result->ledger.executions_unchecked)
		fprintf(out, "what ran is not checked: no backend servers are named\n");
	fprintf(out,
		"in %.1f s; repeats %" PRIu64 ", retried runs %" PRIu64 ", not run yet ran %" PRIu64
		", answered yet never ran %" PRIu64 ", attempts doubled %" PRIu64
		", records missing %u, skipped %" PRIu64 ", send lag p99 %.2f ms\n",
		(double)result->elapsed_us / 1e6, sums.repeats, sums.retried_runs, sums.not_run_ran,
		sums.answered_never_ran, result->ledger.attempts_doubled,
		result->ledger.records_missing, result->skipped,
		quantile_ms(&result->send_lag, 0.99));
}

/*
 * Writes the one-line summary. Violations other than lost and doubled calls are counted in a line
 * before it, if there are any.
 */
void report_last_line(const struct run_result *result, const char *label, FILE *out)
{
	struct ledger_sums sums;
	uint64_t listed;
	uint64_t others;

	ledger_total(&result->ledger, &sums);
	listed = COUNT(sums, LOST) + sums.doubled;
	others = ledger_violations(&result->ledger, &sums) - listed;
	if (others > 0)
		fprintf(out, "%s: %" PRIu64 " further violations, see above\n", label, others);
	fprintf(out,
		"%s: %" PRIu64 " sent, %" PRIu64 " whole, %" PRIu64 " not run, %" PRIu64
		" unknown, %" PRIu64 " lost, %" PRIu64 " doubled\n",
		label, sums.sent, COUNT(sums, ANSWERED), COUNT(sums, NOT_RUN), COUNT(sums, UNKNOWN),
		COUNT(sums, LOST), sums.doubled);
}

/* Returns the count, quantiles and maximum of a histogram as JSON, in microseconds. */
static json_t *histogram_json(const struct histogram *hist)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "count", (json_int_t)hist->count, "p50",
			 (json_int_t)histogram_quantile_us(hist, 0.5), "p99",
			 (json_int_t)histogram_quantile_us(hist, 0.99), "p999",
			 (json_int_t)histogram_quantile_us(hist, 0.999), "max",
			 (json_int_t)hist->max_us);
}

/* Returns the sums of one stream or of all streams as JSON. */
static json_t *sums_json(const struct ledger_sums *sums)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "sent",
		(json_int_t)sums->sent, "answered", (json_int_t)COUNT(*sums, ANSWERED), "errors",
		(json_int_t)sums->errors, "not_run", (json_int_t)COUNT(*sums, NOT_RUN), "unknown",
		(json_int_t)COUNT(*sums, UNKNOWN), "lost", (json_int_t)COUNT(*sums, LOST), "cut",
		(json_int_t)COUNT(*sums, CUT), "corrupt", (json_int_t)COUNT(*sums, CORRUPT),
		"doubled", (json_int_t)sums->doubled, "repeats", (json_int_t)sums->repeats,
		"retried_runs", (json_int_t)sums->retried_runs, "not_run_ran",
		(json_int_t)sums->not_run_ran, "answered_never_ran",
		(json_int_t)sums->answered_never_ran);
}

/* Returns the sums and latencies of one stream as JSON. */
static json_t *stream_json(const struct plan *plan, const struct run_result *result, uint32_t i)
{
	struct ledger_sums sums;
	json_t *value;

	ledger_sum(&result->ledger, i, &sums);
	value = sums_json(&sums);
	json_object_set_new(value, "service", json_string(plan->streams[i].service));
	json_object_set_new(value, "class", json_string(plan->streams[i].class_name));
	json_object_set_new(value, "total_us", histogram_json(&result->latency[i].total));
	json_object_set_new(value, "added_us", histogram_json(&result->latency[i].added));
	json_object_set_new(value, "outside_us", histogram_json(&result->latency[i].outside));
	return value;
}

/*
 * Writes the results as JSON to a file, or to stdout if it is "-". Returns 0, or -1 with err set.
 */
int report_json(const struct plan *plan, const struct run_result *result, const char *file,
		struct error *err)
{
	json_t *streams = json_array();
	struct ledger_sums sums;
	json_t *root;
	int failed;

	for (uint32_t i = 0; i < plan->stream_count; i++)
		json_array_append_new(streams, stream_json(plan, result, i));
	ledger_total(&result->ledger, &sums);
	root = json_pack("{s:o,s:o,s:o,s:I,s:I,s:I,s:I,s:I}", "streams", streams, "total",
			 sums_json(&sums), "send_lag_us", histogram_json(&result->send_lag),
			 "attempts_doubled", (json_int_t)result->ledger.attempts_doubled,
			 "records_missing", (json_int_t)result->ledger.records_missing, "skipped",
			 (json_int_t)result->skipped, "elapsed_us", (json_int_t)result->elapsed_us,
			 "violations", (json_int_t)ledger_violations(&result->ledger, &sums));
	if (strcmp(file, "-") == 0)
		failed = json_dumpf(root, stdout, JSON_INDENT(2)) || putchar('\n') == EOF;
	else
		failed = json_dump_file(root, file, JSON_INDENT(2));
	json_decref(root);
	if (failed)
		return error_set_errno(err, errno, "cannot write %s", file);
	return 0;
}
