/*
 * Print: the report as text and as JSON.
 */
#include "fescue_report/print.h"

#include <inttypes.h>

/* Writes an address. */
void print_endpoint(char *text, const struct endpoint *node)
{
	snprintf(text, PRINT_ENDPOINT_BYTES, "%u.%u.%u.%u:%u", node->ip >> 24,
		 node->ip >> 16 & 0xff, node->ip >> 8 & 0xff, node->ip & 0xff, node->port);
}

/* Says what the report cannot know. */
void print_caveat(char *text, const struct print_input *input)
{
	int used = snprintf(text, PRINT_CAVEAT_BYTES,
			    "%u of %u nodes are counted; the youngest has counted for %" PRIu64
			    " s. Nodes keep counts in memory only: calls that a node took before "
			    "it was replaced, and those of nodes that are missing here, are not "
			    "known.",
			    input->sum->nodes, input->asked, input->sum->youngest_s);

	if (input->sum->nodes_without_profile)
		snprintf(text + used, PRINT_CAVEAT_BYTES - (size_t)used,
			 " %u of them are older and do not count by profile.",
			 input->sum->nodes_without_profile);
}

/* Prints one window of one class as a row. */
static void text_row(FILE *out, const struct sum_class *cls, const struct sum_window *window)
{
	struct sum_rates rates = sum_rates_of(cls, window);
	char name[SERVICE_NAME_BYTES + CLASS_NAME_BYTES];

	snprintf(name, sizeof(name), "%s/%s", cls->service, cls->class_name);
	fprintf(out, "%-28s %4u %6us %9.1f %9.1f %8.2f%% %8.3f%% %8.2f %8.2f %8.2f%% %8.2f%%\n",
		name, cls->rank, window->seconds, cls->calls_per_s, rates.offered_per_s,
		cls->percentile, rates.achieved_percent, rates.burn, rates.budget_left,
		rates.kept_percent, rates.excess_percent);
}

/* Prints the columns of attempts; shares of none are no numbers. */
static void text_shares(FILE *out, const struct sum_attempts *attempts, uint64_t counted_s)
{
	struct sum_shares shares = sum_shares_of(attempts, counted_s);

	if (shares.offered_per_s > 0)
		fprintf(out, " %9.1f %8.2f%% %8.2f%% %8.2f%%", shares.offered_per_s,
			shares.answered_percent, shares.late_percent, shares.refused_percent);
	else
		fprintf(out, " %9.1f %9s %9s %9s", 0.0, "-", "-", "-");
}

/* Prints what the gates were offered of a class in one window. */
static void text_profile(FILE *out, const struct sum_class *cls, const struct sum_window *window)
{
	char name[SERVICE_NAME_BYTES + CLASS_NAME_BYTES];

	snprintf(name, sizeof(name), "%s/%s", cls->service, cls->class_name);
	fprintf(out, "%-28s %6us", name, window->seconds);
	text_shares(out, &window->in_profile, window->counted_s);
	text_shares(out, &window->out_of_profile, window->counted_s);
	fputc('\n', out);
}

/* Prints what the gates were offered, by profile. */
static void text_profiles(FILE *out, const struct sum *sum)
{
	fprintf(out,
		"attempts at the gates (a call that is tried again counts again):\n"
		"%-28s %7s %-39s %s\n%-28s %7s %9s %9s %9s %9s %9s %9s %9s %9s\n",
		"", "", "in profile", "out of profile", "class", "window", "offered/s", "answered",
		"late", "refused", "offered/s", "answered", "late", "refused");
	for (uint32_t i = 0; i < sum->count; i++) {
		for (int w = 0; w < SUM_WINDOWS; w++)
			text_profile(out, &sum->classes[i], &sum->classes[i].windows[w]);
	}
}

/* Prints what the flooded and the other classes kept. */
static void text_kept(FILE *out, const struct sum *sum)
{
	for (int w = 0; w < SUM_WINDOWS && sum->count; w++) {
		struct sum_kept flooded = sum_kept_by(sum, w, true);
		struct sum_kept others = sum_kept_by(sum, w, false);

		fprintf(out, "%us: classes offered above what is stated: ",
			sum->classes[0].windows[w].seconds);
		if (flooded.classes)
			fprintf(out, "%u kept %.2f%% of %.1f/s; ", flooded.classes,
				flooded.kept_percent, flooded.offered_per_s);
		else
			fprintf(out, "none; ");
		fprintf(out, "the %u others kept %.2f%% of %.1f/s\n", others.classes,
			others.kept_percent, others.offered_per_s);
	}
}

/* Prints why calls of a class did not run or are unknown. */
static void text_reasons(FILE *out, const struct sum_class *cls)
{
	for (int i = 0; i < REASON_COUNT; i++) {
		if (cls->reasons[i])
			fprintf(out, "  %s/%s: %" PRIu64 " %s\n", cls->service, cls->class_name,
				cls->reasons[i], call_reason_name((enum call_reason)i));
	}
}

/* Prints the nodes that gave no report. */
static void text_missing(FILE *out, const struct print_input *input)
{
	char text[PRINT_ENDPOINT_BYTES];

	for (uint32_t i = 0; i < input->missing_count; i++) {
		print_endpoint(text, &input->missing[i].node);
		fprintf(out, "missing: %s: %s: %s\n", text, input->missing[i].kind,
			input->missing[i].detail);
	}
}

/* Prints the report as text. */
void print_text(FILE *out, const struct print_input *input)
{
	const struct sum *sum = input->sum;
	char caveat[PRINT_CAVEAT_BYTES];

	fprintf(out, "%-28s %4s %7s %9s %9s %9s %9s %8s %8s %9s %9s\n", "class", "rank", "window",
		"stated/s", "offered/s", "target", "achieved", "burn", "budget", "kept", "above");
	for (uint32_t i = 0; i < sum->count; i++) {
		for (int w = 0; w < SUM_WINDOWS; w++)
			text_row(out, &sum->classes[i], &sum->classes[i].windows[w]);
	}
	text_kept(out, sum);
	text_profiles(out, sum);
	fprintf(out, "not run or unknown, by reason, since the nodes started:\n");
	for (uint32_t i = 0; i < sum->count; i++)
		text_reasons(out, &sum->classes[i]);
	text_missing(out, input);
	print_caveat(caveat, input);
	fprintf(out, "%s\n", caveat);
}

/* Gives attempts as JSON. */
static json_t *json_attempts(const struct sum_attempts *attempts, uint64_t counted_s)
{
	struct sum_shares shares = sum_shares_of(attempts, counted_s);

	return json_pack("{s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "answered",
			 (json_int_t)attempts->answered, "in_time", (json_int_t)attempts->in_time,
			 "not_run", (json_int_t)attempts->not_run, "unknown",
			 (json_int_t)attempts->unknown, "offered_per_s", shares.offered_per_s,
			 "answered_percent", shares.answered_percent, "late_percent",
			 shares.late_percent, "refused_percent", shares.refused_percent);
}

/* Gives what some classes kept as JSON. */
static json_t *json_kept(const struct sum *sum, int window, bool flooded)
{
	struct sum_kept kept = sum_kept_by(sum, window, flooded);

	return json_pack("{s:i, s:f, s:f}", "classes", (int)kept.classes, "offered_per_s",
			 kept.offered_per_s, "kept_percent", kept.kept_percent);
}

/* Gives what the flooded and the other classes kept as JSON. */
static json_t *json_all_kept(const struct sum *sum)
{
	json_t *list = json_array();

	for (int w = 0; w < SUM_WINDOWS && sum->count; w++)
		json_array_append_new(list, json_pack("{s:i, s:o, s:o}", "seconds",
						      (int)sum->classes[0].windows[w].seconds,
						      "flooded", json_kept(sum, w, true), "others",
						      json_kept(sum, w, false)));
	return list;
}

/* Gives one window as JSON. */
static json_t *json_window(const struct sum_class *cls, const struct sum_window *window)
{
	struct sum_rates rates = sum_rates_of(cls, window);

	return json_pack("{s:i, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f, s:f, s:o, s:o}",
			 "seconds", (int)window->seconds, "answered", (json_int_t)window->answered,
			 "in_time", (json_int_t)window->in_time, "not_run",
			 (json_int_t)window->not_run, "unknown", (json_int_t)window->unknown,
			 "offered_per_s", rates.offered_per_s, "achieved_percent",
			 rates.achieved_percent, "burn", rates.burn, "budget_left",
			 rates.budget_left, "kept_percent", rates.kept_percent, "excess_percent",
			 rates.excess_percent, "in_profile",
			 json_attempts(&window->in_profile, window->counted_s), "out_of_profile",
			 json_attempts(&window->out_of_profile, window->counted_s));
}

/* Gives one class as JSON. */
static json_t *json_class(const struct sum_class *cls)
{
	json_t *windows = json_array();
	json_t *reasons = json_object();

	for (int w = 0; w < SUM_WINDOWS; w++)
		json_array_append_new(windows, json_window(cls, &cls->windows[w]));
	for (int i = 0; i < REASON_COUNT; i++) {
		if (cls->reasons[i])
			json_object_set_new(reasons, call_reason_name((enum call_reason)i),
					    json_integer((json_int_t)cls->reasons[i]));
	}
	return json_pack("{s:s, s:s, s:i, s:f, s:f, s:f, s:o, s:o}", "service", cls->service,
			 "class", cls->class_name, "rank", (int)cls->rank, "latency_ms",
			 cls->latency_ms, "percentile", cls->percentile, "calls_per_s",
			 cls->calls_per_s, "windows", windows, "reasons", reasons);
}

/* Gives the nodes without a report as JSON. */
static json_t *json_missing(const struct print_input *input)
{
	json_t *missing = json_array();
	char text[PRINT_ENDPOINT_BYTES];

	for (uint32_t i = 0; i < input->missing_count; i++) {
		const struct print_missing *node = &input->missing[i];

		print_endpoint(text, &node->node);
		json_array_append_new(missing, json_pack("{s:s, s:s, s:s}", "node", text, "kind",
							 node->kind, "detail", node->detail));
	}
	return missing;
}

/* Prints the report as JSON. */
void print_json(FILE *out, const struct print_input *input)
{
	json_t *classes = json_array();
	char caveat[PRINT_CAVEAT_BYTES];
	json_t *root;

	for (uint32_t i = 0; i < input->sum->count; i++)
		json_array_append_new(classes, json_class(&input->sum->classes[i]));
	print_caveat(caveat, input);
	root = json_pack("{s:i, s:i, s:i, s:s, s:o, s:o, s:o}", "nodes_asked", (int)input->asked,
			 "nodes_counted", (int)input->sum->nodes, "nodes_without_profile",
			 (int)input->sum->nodes_without_profile, "caveat", caveat, "missing",
			 json_missing(input), "kept", json_all_kept(input->sum), "classes",
			 classes);
	json_dumpf(root, out, JSON_INDENT(2));
	fputc('\n', out);
	json_decref(root);
}
