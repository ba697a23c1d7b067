/*
 * Burn view: builds the JSON of GET /v1/report:
 * {"name","counts_since_s","counts_by_profile":true,"classes":[{"service","class",
 * "target":{...},"windows":[{"seconds","answered","in_time","not_run","unknown","in_profile":{...},
 * "out_of_profile":{...}}],"reasons":{...}}]}. "in_profile" and "out_of_profile" count attempts at
 * this gate; the other counts are of calls at this entry.
 */
#include "fescuemill/admin/burn_view.h"

static const uint32_t windows_s[] = {BURN_SHORT_WINDOW_S, BURN_LONG_WINDOW_S};

#define WINDOW_COUNT (sizeof(windows_s) / sizeof(windows_s[0]))
#define USEC_IN_SEC  1000000ULL
#define USEC_IN_MSEC 1000

/* One class in each of the tables; NULL where the table has no counts of it. */
struct class_view {
	const char *service;
	const char *class_name;
	const struct burn_class *calls;
	const struct burn_class *in_profile;
	const struct burn_class *out_of_profile;
};

/* Returns the counts of a class in one table over a window; zeros without a class. */
static json_t *view_counts(const struct burn_class *cls, uint32_t window_s, uint64_t now_us)
{
	struct burn_counts sum = {0};

	if (cls)
		sum = burn_sum(cls, window_s * USEC_IN_SEC, now_us);
	return json_pack("{s:I, s:I, s:I, s:I}", "answered", (json_int_t)sum.answered, "in_time",
			 (json_int_t)sum.in_time, "not_run", (json_int_t)sum.not_run, "unknown",
			 (json_int_t)sum.unknown);
}

/* Returns the counts of a class in all tables over one window. */
static json_t *view_window(const struct class_view *cls, uint32_t window_s, uint64_t now_us)
{
	json_t *view = view_counts(cls->calls, window_s, now_us);

	json_object_set_new(view, "seconds", json_integer(window_s));
	json_object_set_new(view, "in_profile", view_counts(cls->in_profile, window_s, now_us));
	json_object_set_new(view, "out_of_profile",
			    view_counts(cls->out_of_profile, window_s, now_us));
	return view;
}

/* Returns the target in force, or null if there is none. */
static json_t *view_target(const struct class_view *cls, const struct config_store *config)
{
	const struct service_config *service = config_find(config, cls->service);
	const struct class_target *target =
		service ? config_find_class(service, cls->class_name) : NULL;

	if (!target)
		return json_null();
	return json_pack("{s:i, s:f, s:f, s:i}", "rank", (int)target->rank, "latency_ms",
			 target->latency_us / (double)USEC_IN_MSEC, "percentile",
			 target->percentile_x10 / 10.0, "calls_per_s", (int)target->calls_per_s);
}

/* Returns how many calls did not run or are unknown, by reason; reasons that did not occur are left
 * out. */
static json_t *view_reasons(const struct burn_class *cls)
{
	json_t *reasons = json_object();

	for (int i = 0; cls && i < REASON_COUNT; i++) {
		if (cls->reasons[i])
			json_object_set_new(reasons, call_reason_name((enum call_reason)i),
					    json_integer((json_int_t)cls->reasons[i]));
	}
	return reasons;
}

static json_t *view_class(const struct class_view *cls, const struct config_store *config,
			  uint64_t now_us)
{
	json_t *windows = json_array();

	for (size_t i = 0; i < WINDOW_COUNT; i++)
		json_array_append_new(windows, view_window(cls, windows_s[i], now_us));
	return json_pack("{s:s, s:s, s:o, s:o, s:o}", "service", cls->service, "class",
			 cls->class_name, "target", view_target(cls, config), "windows", windows,
			 "reasons", view_reasons(cls->calls));
}

/* Looks up a class in every table. */
static struct class_view find_class(const struct burn_tables *tables, const struct burn_class *cls)
{
	const char *service = cls->service;
	const char *name = cls->class_name;

	return (struct class_view){
		.service = service,
		.class_name = name,
		.calls = burn_find(tables->calls, service, name),
		.in_profile = burn_find(tables->in_profile, service, name),
		.out_of_profile = burn_find(tables->out_of_profile, service, name),
	};
}

/* Returns every class of the tables once, even if it is in several of them. */
static json_t *view_classes(const struct burn_tables *tables, const struct config_store *config,
			    uint64_t now_us)
{
	const struct burn *lists[] = {tables->calls, tables->in_profile, tables->out_of_profile};
	json_t *classes = json_array();

	for (size_t t = 0; t < sizeof(lists) / sizeof(lists[0]); t++) {
		for (size_t i = 0; i < burn_class_count(lists[t]); i++) {
			struct class_view cls = find_class(tables, burn_class_at(lists[t], i));
			bool is_listed = (t > 0 && cls.calls) || (t > 1 && cls.in_profile);

			if (!is_listed)
				json_array_append_new(classes, view_class(&cls, config, now_us));
		}
	}
	return classes;
}

/* Returns the report of a node as malloc'ed JSON text, or NULL if out of memory. */
char *burn_view_text(const struct burn_tables *tables, const struct config_store *config,
		     const char *name, uint64_t now_us)
{
	uint64_t since_us = now_us - burn_started_us(tables->calls);
	json_t *root = json_pack("{s:s, s:I, s:b, s:o}", "name", name, "counts_since_s",
				 (json_int_t)(since_us / USEC_IN_SEC), "counts_by_profile", 1,
				 "classes", view_classes(tables, config, now_us));
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}
