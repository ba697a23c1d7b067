/*
 * Sum: adds up the burn reports of nodes. Each call is counted only by the entry that took it, so
 * no call is counted twice.
 */
#include "fescue_report/sum.h"

#include <stdlib.h>
#include <string.h>

/* Returns a class, added if it is new; NULL if there is no room or a name is too long. */
static struct sum_class *find_or_add(struct sum *sum, const char *service, const char *class_name)
{
	struct sum_class *cls;

	for (uint32_t i = 0; i < sum->count; i++) {
		cls = &sum->classes[i];
		if (strcmp(cls->service, service) == 0 && strcmp(cls->class_name, class_name) == 0)
			return cls;
	}
	if (sum->count == SUM_CLASSES_MAX || strlen(service) >= sizeof(cls->service) ||
	    strlen(class_name) >= sizeof(cls->class_name))
		return NULL;
	cls = &sum->classes[sum->count++];
	memset(cls, 0, sizeof(*cls));
	memcpy(cls->service, service, strlen(service));
	memcpy(cls->class_name, class_name, strlen(class_name));
	return cls;
}

/* Returns a count, or 0 if it is missing or negative. */
static uint64_t read_count(const json_t *object, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(object, key));

	return value > 0 ? (uint64_t)value : 0;
}

/* Adds the attempts that one node's gate counted. */
static void add_attempts(struct sum_attempts *attempts, const json_t *json)
{
	attempts->answered += read_count(json, "answered");
	attempts->in_time += read_count(json, "in_time");
	attempts->not_run += read_count(json, "not_run");
	attempts->unknown += read_count(json, "unknown");
}

/* Adds one node's counts of a window. */
static void add_window(struct sum_window *window, const json_t *json)
{
	window->seconds = (uint32_t)read_count(json, "seconds");
	window->answered += read_count(json, "answered");
	window->in_time += read_count(json, "in_time");
	window->not_run += read_count(json, "not_run");
	window->unknown += read_count(json, "unknown");
	add_attempts(&window->in_profile, json_object_get(json, "in_profile"));
	add_attempts(&window->out_of_profile, json_object_get(json, "out_of_profile"));
}

/* Sets the target to that in force at a node, if it reports one. */
static void set_target(struct sum_class *cls, const json_t *target)
{
	if (!json_is_object(target))
		return;
	cls->has_target = true;
	cls->rank = (uint32_t)read_count(target, "rank");
	cls->latency_ms = json_number_value(json_object_get(target, "latency_ms"));
	cls->percentile = json_number_value(json_object_get(target, "percentile"));
	cls->calls_per_s = json_number_value(json_object_get(target, "calls_per_s"));
}

/* Adds the reasons of calls that did not run or have an unknown outcome. */
static void add_reasons(struct sum_class *cls, const json_t *reasons)
{
	for (int i = 0; i < REASON_COUNT; i++)
		cls->reasons[i] += read_count(reasons, call_reason_name((enum call_reason)i));
}

/* Adds one node's report of a class. Returns false if it is not valid or there is no room. */
static bool add_class(struct sum *sum, const json_t *json)
{
	const char *service = json_string_value(json_object_get(json, "service"));
	const char *class_name = json_string_value(json_object_get(json, "class"));
	const json_t *windows = json_object_get(json, "windows");
	struct sum_class *cls;

	if (!service || !class_name || json_array_size(windows) != SUM_WINDOWS)
		return false;
	cls = find_or_add(sum, service, class_name);
	if (!cls)
		return false;
	set_target(cls, json_object_get(json, "target"));
	for (size_t i = 0; i < SUM_WINDOWS; i++)
		add_window(&cls->windows[i], json_array_get(windows, i));
	add_reasons(cls, json_object_get(json, "reasons"));
	return true;
}

/* Adds one node's report. Returns false if a part of it is not valid, which is left out. */
bool sum_add(struct sum *sum, const json_t *report)
{
	const json_t *classes = json_object_get(report, "classes");
	uint64_t counted_s = read_count(report, "counts_since_s");
	bool is_complete = json_is_array(classes);
	size_t index;
	json_t *cls;

	if (!is_complete)
		return false;
	json_array_foreach(classes, index, cls)
	{
		is_complete &= add_class(sum, cls);
	}
	if (sum->nodes == 0 || counted_s < sum->min_counted_s)
		sum->min_counted_s = counted_s;
	if (counted_s > sum->max_counted_s)
		sum->max_counted_s = counted_s;
	sum->nodes++;
	sum->nodes_without_profile += !json_is_true(json_object_get(report, "counts_by_profile"));
	return is_complete;
}

/* Orders classes by service, then rank, then name. */
static int compare_classes(const void *a, const void *b)
{
	const struct sum_class *one = a;
	const struct sum_class *two = b;
	int order = strcmp(one->service, two->service);

	if (order == 0)
		order = (one->rank > two->rank) - (one->rank < two->rank);
	return order ? order : strcmp(one->class_name, two->class_name);
}

/* Limits a window to the longest time that any node has counted, but to no less than a second. */
static void clamp_window(struct sum_window *window, uint64_t max_counted_s)
{
	window->counted_s = window->seconds < max_counted_s ? window->seconds : max_counted_s;
	if (window->counted_s == 0)
		window->counted_s = 1;
}

/* Sorts the classes, and limits the windows to the time that was counted. */
void sum_finish(struct sum *sum)
{
	for (uint32_t i = 0; i < sum->count; i++) {
		for (int w = 0; w < SUM_WINDOWS; w++)
			clamp_window(&sum->classes[i].windows[w], sum->max_counted_s);
	}
	qsort(sum->classes, sum->count, sizeof(sum->classes[0]), compare_classes);
}

/* Returns a share in percent. The share of an empty whole is 100. */
static double percent_of(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 100.0;
}

/* Computes the rates of a class in a window. */
struct sum_rates sum_compute_rates(const struct sum_class *cls, const struct sum_window *window)
{
	uint64_t total = window->answered + window->not_run + window->unknown;
	double allowed_percent = 100.0 - cls->percentile;
	struct sum_rates rates = {
		.offered_per_s = (double)total / (double)window->counted_s,
		.achieved_percent = percent_of(window->in_time, total),
		.kept_percent = percent_of(window->answered, total),
	};

	if (allowed_percent > 0)
		rates.burn = (100.0 - rates.achieved_percent) / allowed_percent;
	rates.budget_left = 1 - rates.burn;
	if (cls->has_target && rates.offered_per_s > cls->calls_per_s)
		rates.excess_percent = 100.0 * (1 - cls->calls_per_s / rates.offered_per_s);
	return rates;
}

/* Computes the rate and the shares of attempts that were counted for counted_s seconds. */
struct sum_shares sum_compute_shares(const struct sum_attempts *attempts, uint64_t counted_s)
{
	uint64_t offered = attempts->answered + attempts->not_run + attempts->unknown;
	uint64_t late = attempts->answered - attempts->in_time;

	return (struct sum_shares){
		.offered_per_s = (double)offered / (double)counted_s,
		.answered_percent = percent_of(attempts->answered, offered),
		.late_percent = offered ? percent_of(late, offered) : 0,
		.refused_percent = offered ? percent_of(attempts->not_run, offered) : 0,
	};
}

/*
 * Adds up, in one window, the classes that were offered above their stated rate (flooded), or all
 * others.
 */
struct sum_kept sum_compute_kept(const struct sum *sum, int window, bool flooded)
{
	struct sum_kept kept = {0};
	uint64_t answered = 0;
	uint64_t total = 0;

	for (uint32_t i = 0; i < sum->count; i++) {
		const struct sum_class *cls = &sum->classes[i];
		const struct sum_window *counts = &cls->windows[window];
		struct sum_rates rates = sum_compute_rates(cls, counts);

		if ((rates.excess_percent > 0) != flooded)
			continue;
		kept.classes++;
		kept.offered_per_s += rates.offered_per_s;
		answered += counts->answered;
		total += counts->answered + counts->not_run + counts->unknown;
	}
	kept.kept_percent = percent_of(answered, total);
	return kept;
}
