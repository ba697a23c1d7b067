/*
 * Print: writes the report as text and as JSON.
 */
#include "fescue_report/print.h"

#include <inttypes.h>

/* Formats an address as "a.b.c.d:port" into PRINT_ENDPOINT_BYTES. */
void print_format_endpoint(char *text, const struct endpoint *node)
{
	snprintf(text, PRINT_ENDPOINT_BYTES, "%u.%u.%u.%u:%u", node->ip >> 24,
		 node->ip >> 16 & 0xff, node->ip >> 8 & 0xff, node->ip & 0xff, node->port);
}

/* Formats the caveat: which nodes and which time the report covers. */
void print_format_caveat(char *text, const struct print_input *input)
{
	int used = snprintf(text, PRINT_CAVEAT_BYTES,
			    "%u of %u nodes are counted; the youngest has counted for %" PRIu64
			    " s. Nodes keep counts in memory only: calls that a node took before "
			    "it was replaced, and those of nodes that are missing here, are not "
			    "known.",
			    input->sum->nodes, input->asked, input->sum->min_counted_s);

	if (input->sum->nodes_without_profile)
		snprintf(text + used, PRINT_CAVEAT_BYTES - (size_t)used,
			 " %u of them are older and do not count by profile.",
			 input->sum->nodes_without_profile);
}

/* Prints the row of a class and a window. */
static void print_row(FILE *out, const struct sum_class *cls, const struct sum_window *window)
{
	struct sum_rates rates = sum_compute_rates(cls, window);
	char name[SERVICE_NAME_BYTES + CLASS_NAME_BYTES];

	snprintf(name, sizeof(name), "%s/%s", cls->service, cls->class_name);
	fprintf(out, "%-28s %4u %6us %9.1f %9.1f %8.2f%% %8.3f%% %8.2f %8.2f %8.2f%% %8.2f%%\n",
		name, cls->rank, window->seconds, cls->calls_per_s, rates.offered_per_s,
		cls->percentile, rates.achieved_percent, rates.burn, rates.budget_left,
		rates.kept_percent, rates.excess_percent);
}

/* Prints the columns of attempts. Without any attempt, the shares are "-". */
static void print_shares(FILE *out, const struct sum_attempts *attempts, uint64_t counted_s)
{
	struct sum_shares shares = sum_compute_shares(attempts, counted_s);

	if (shares.offered_per_s > 0)
		fprintf(out, " %9.1f %8.2f%% %8.2f%% %8.2f%%", shares.offered_per_s,
			shares.answered_percent, shares.late_percent, shares.refused_percent);
	else
		fprintf(out, " %9.1f %9s %9s %9s", 0.0, "-", "-", "-");
}

/* Prints the attempts of a class that the gates were offered in a window. */
static void print_profile(FILE *out, const struct sum_class *cls, const struct sum_window *window)
{
	char name[SERVICE_NAME_BYTES + CLASS_NAME_BYTES];

	snprintf(name, sizeof(name), "%s/%s", cls->service, cls->class_name);
	fprintf(out, "%-28s %6us", name, window->seconds);
	print_shares(out, &window->in_profile, window->counted_s);
	print_shares(out, &window->out_of_profile, window->counted_s);
	fputc('\n', out);
}

/* Prints the attempts that the gates were offered, by profile. */
static void print_profiles(FILE *out, const struct sum *sum)
{
	fprintf(out,
		"attempts at the gates (a call that is tried again counts again):\n"
		"%-28s %7s %-39s %s\n%-28s %7s %9s %9s %9s %9s %9s %9s %9s %9s\n",
		"", "", "in profile", "out of profile", "class", "window", "offered/s", "answered",
		"late", "refused", "offered/s", "answered", "late", "refused");
	for (uint32_t i = 0; i < sum->count; i++) {
		for (int w = 0; w < SUM_WINDOWS; w++)
			print_profile(out, &sum->classes[i], &sum->classes[i].windows[w]);
	}
}

/*
 * Prints the share of calls that were answered, for the classes offered above their stated rate and
 * for all others.
 */
static void print_kept(FILE *out, const struct sum *sum)
{
	for (int w = 0; w < SUM_WINDOWS && sum->count; w++) {
		struct sum_kept flooded = sum_compute_kept(sum, w, true);
		struct sum_kept others = sum_compute_kept(sum, w, false);

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

/* Prints why calls of a class did not run or have an unknown outcome. */
static void print_reasons(FILE *out, const struct sum_class *cls)
{
	for (int i = 0; i < REASON_COUNT; i++) {
		if (cls->reasons[i])
			fprintf(out, "  %s/%s: %" PRIu64 " %s\n", cls->service, cls->class_name,
				cls->reasons[i], call_reason_name((enum call_reason)i));
	}
}

/* Prints the nodes without a usable report. */
static void print_missing_nodes(FILE *out, const struct print_input *input)
{
	char text[PRINT_ENDPOINT_BYTES];

	for (uint32_t i = 0; i < input->missing_count; i++) {
		print_format_endpoint(text, &input->missing[i].node);
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
			print_row(out, &sum->classes[i], &sum->classes[i].windows[w]);
	}
	print_kept(out, sum);
	print_profiles(out, sum);
	fprintf(out, "not run or unknown, by reason, since the nodes started:\n");
	for (uint32_t i = 0; i < sum->count; i++)
		print_reasons(out, &sum->classes[i]);
	print_missing_nodes(out, input);
	print_format_caveat(caveat, input);
	fprintf(out, "%s\n", caveat);
}

static json_t *attempts_to_json(const struct sum_attempts *attempts, uint64_t counted_s)
{
	struct sum_shares shares = sum_compute_shares(attempts, counted_s);

	return json_pack("{s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "answered",
			 (json_int_t)attempts->answered, "in_time", (json_int_t)attempts->in_time,
			 "not_run", (json_int_t)attempts->not_run, "unknown",
			 (json_int_t)attempts->unknown, "offered_per_s", shares.offered_per_s,
			 "answered_percent", shares.answered_percent, "late_percent",
			 shares.late_percent, "refused_percent", shares.refused_percent);
}

/*
 * Returns the share of calls that were answered, for the classes offered above their stated rate or
 * for all others.
 */
static json_t *kept_to_json(const struct sum *sum, int window, bool flooded)
{
	struct sum_kept kept = sum_compute_kept(sum, window, flooded);

	return json_pack("{s:i, s:f, s:f}", "classes", (int)kept.classes, "offered_per_s",
			 kept.offered_per_s, "kept_percent", kept.kept_percent);
}

/* Returns the shares of both groups of classes for each window, or an empty list without classes.
 */
static json_t *all_kept_to_json(const struct sum *sum)
{
	json_t *list = json_array();

	for (int w = 0; w < SUM_WINDOWS && sum->count; w++)
		json_array_append_new(list, json_pack("{s:i, s:o, s:o}", "seconds",
						      (int)sum->classes[0].windows[w].seconds,
						      "flooded", kept_to_json(sum, w, true),
						      "others", kept_to_json(sum, w, false)));
	return list;
}

static json_t *window_to_json(const struct sum_class *cls, const struct sum_window *window)
{
	struct sum_rates rates = sum_compute_rates(cls, window);

	return json_pack("{s:i, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f, s:f, s:o, s:o}",
			 "seconds", (int)window->seconds, "answered", (json_int_t)window->answered,
			 "in_time", (json_int_t)window->in_time, "not_run",
			 (json_int_t)window->not_run, "unknown", (json_int_t)window->unknown,
			 "offered_per_s", rates.offered_per_s, "achieved_percent",
			 rates.achieved_percent, "burn", rates.burn, "budget_left",
			 rates.budget_left, "kept_percent", rates.kept_percent, "excess_percent",
			 rates.excess_percent, "in_profile",
			 attempts_to_json(&window->in_profile, window->counted_s), "out_of_profile",
			 attempts_to_json(&window->out_of_profile, window->counted_s));
}

static json_t *class_to_json(const struct sum_class *cls)
{
	json_t *windows = json_array();
	json_t *reasons = json_object();

	for (int w = 0; w < SUM_WINDOWS; w++)
		json_array_append_new(windows, window_to_json(cls, &cls->windows[w]));
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

/* Returns the nodes without a usable report. */
static json_t *missing_to_json(const struct print_input *input)
{
	json_t *missing = json_array();
	char text[PRINT_ENDPOINT_BYTES];

	for (uint32_t i = 0; i < input->missing_count; i++) {
		const struct print_missing *node = &input->missing[i];

		print_format_endpoint(text, &node->node);
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
		json_array_append_new(classes, class_to_json(&input->sum->classes[i]));
	print_format_caveat(caveat, input);
	root = json_pack("{s:i, s:i, s:i, s:s, s:o, s:o, s:o}", "nodes_asked", (int)input->asked,
			 "nodes_counted", (int)input->sum->nodes, "nodes_without_profile",
			 (int)input->sum->nodes_without_profile, "caveat", caveat, "missing",
			 missing_to_json(input), "kept", all_kept_to_json(input->sum), "classes",
			 classes);
	json_dumpf(root, out, JSON_INDENT(2));
	fputc('\n', out);
	json_decref(root);
}
