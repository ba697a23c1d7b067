/*
 * Burn view: {"name","counts_since_s","classes":[{"service","class","target":{...},
 * "windows":[...],"reasons":{...}}]}.
 */
#include "fescuemill/admin/burn_view.h"

static const uint32_t windows_s[] = {BURN_SHORT_WINDOW_S, BURN_LONG_WINDOW_S};

#define WINDOW_COUNT (sizeof(windows_s) / sizeof(windows_s[0]))
#define USEC_IN_SEC  1000000ULL
#define USEC_IN_MSEC 1000

/* Gives the counts of one window. */
static json_t *view_window(const struct burn_class *cls, uint32_t window_s, uint64_t now_us)
{
	struct burn_counts sum = burn_sum(cls, window_s * USEC_IN_SEC, now_us);

	return json_pack("{s:i, s:I, s:I, s:I, s:I}", "seconds", (int)window_s, "answered",
			 (json_int_t)sum.answered, "in_time", (json_int_t)sum.in_time, "not_run",
			 (json_int_t)sum.not_run, "unknown", (json_int_t)sum.unknown);
}

/* Gives the target in force, or null. */
static json_t *view_target(const struct burn_class *cls, const struct config_store *config)
{
	const struct service_config *service = config_find(config, cls->service);
	const struct class_target *target = service ? config_class(service, cls->class_name) : NULL;

	if (!target)
		return json_null();
	return json_pack("{s:i, s:f, s:f, s:i}", "rank", (int)target->rank, "latency_ms",
			 target->latency_us / (double)USEC_IN_MSEC, "percentile",
			 target->percentile_x10 / 10.0, "calls_per_s", (int)target->calls_per_s);
}

/* Gives the reasons for which calls did not run or are unknown, those that occurred. */
static json_t *view_reasons(const struct burn_class *cls)
{
	json_t *reasons = json_object();

	for (int i = 0; i < REASON_COUNT; i++) {
		if (cls->reasons[i])
			json_object_set_new(reasons, call_reason_name((enum call_reason)i),
					    json_integer((json_int_t)cls->reasons[i]));
	}
	return reasons;
}

/* Gives one class. */
static json_t *view_class(const struct burn_class *cls, const struct config_store *config,
			  uint64_t now_us)
{
	json_t *windows = json_array();

	for (size_t i = 0; i < WINDOW_COUNT; i++)
		json_array_append_new(windows, view_window(cls, windows_s[i], now_us));
	return json_pack("{s:s, s:s, s:o, s:o, s:o}", "service", cls->service, "class",
			 cls->class_name, "target", view_target(cls, config), "windows", windows,
			 "reasons", view_reasons(cls));
}

/* Gives the whole report of a node as text. */
char *burn_view_text(const struct burn *burn, const struct config_store *config, const char *name,
		     uint64_t now_us)
{
	uint64_t since_us = now_us - burn_started_us(burn);
	json_t *classes = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < burn_class_count(burn); i++)
		json_array_append_new(classes, view_class(burn_class_at(burn, i), config, now_us));
	root = json_pack("{s:s, s:I, s:o}", "name", name, "counts_since_s",
			 (json_int_t)(since_us / USEC_IN_SEC), "classes", classes);
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	return text;
}
