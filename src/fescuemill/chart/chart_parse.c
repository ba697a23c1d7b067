/*
 * State charts: reading one from JSON, and refusing one that cannot be right.
 */
#include "fescuemill/chart/chart.h"

#include <jansson.h>
#include <string.h>

/* Finds a name in a list; returns its number or -1. */
static int name_find(const char *const *list, uint32_t count, const char *name)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(list[i], name) == 0)
			return (int)i;
	}
	return -1;
}

/* Finds the state that a JSON string names. Errors: ERROR_TYPE, ERROR_UNKNOWN_KEY. */
static int state_find(const struct chart_names *names, json_t *value, uint32_t *state,
		      struct error *err)
{
	int number;

	if (!json_is_string(value))
		return error_set(err, ERROR_TYPE, "%s: a state is named by a string", names->name);
	number = name_find(names->states, names->state_count, json_string_value(value));
	if (number < 0)
		return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown state %s", names->name,
				 json_string_value(value));
	*state = (uint32_t)number;
	return 0;
}

/* Reads the transitions out of one state. */
static int row_parse(struct chart *chart, uint32_t from, json_t *row, struct error *err)
{
	const struct chart_names *names = chart->names;
	const char *key;
	json_t *value;

	if (!json_is_object(row))
		return error_set(err, ERROR_TYPE, "%s: state %s is no object", names->name,
				 names->states[from]);
	json_object_foreach(row, key, value)
	{
		int input = name_find(names->inputs, names->input_count, key);
		uint32_t to = 0;

		if (input < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown event %s",
					 names->name, key);
		if (state_find(names, value, &to, err))
			return -1;
		chart->next[from][input] = (int8_t)to;
	}
	return 0;
}

/* Reads the rows of all states; every state that the code knows must be there. */
static int rows_parse(struct chart *chart, json_t *states, struct error *err)
{
	const struct chart_names *names = chart->names;
	const char *key;
	json_t *row;

	if (!json_is_object(states))
		return error_set(err, ERROR_MISSING, "%s: no object \"states\"", names->name);
	json_object_foreach(states, key, row)
	{
		int from = name_find(names->states, names->state_count, key);

		if (from < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown state %s",
					 names->name, key);
		if (row_parse(chart, (uint32_t)from, row, err))
			return -1;
	}
	if (json_object_size(states) != names->state_count)
		return error_set(err, ERROR_MISSING, "%s: %zu of %u states", names->name,
				 json_object_size(states), names->state_count);
	return 0;
}

/* Reads the list of final states. */
static int final_parse(struct chart *chart, json_t *list, struct error *err)
{
	size_t i;
	json_t *value;

	if (!json_is_array(list))
		return error_set(err, ERROR_MISSING, "%s: no array \"final\"", chart->names->name);
	json_array_foreach(list, i, value)
	{
		uint32_t state = 0;

		if (state_find(chart->names, value, &state, err))
			return -1;
		chart->final_mask |= 1U << state;
	}
	return 0;
}

/* Gives the states that can be reached from a set in one step, the set included. */
static uint32_t step_forward(const struct chart *chart, uint32_t set)
{
	uint32_t wider = set;

	for (uint32_t s = 0; s < chart->names->state_count; s++) {
		for (uint32_t i = 0; (set >> s & 1) && i < chart->names->input_count; i++) {
			if (chart->next[s][i] >= 0)
				wider |= 1U << chart->next[s][i];
		}
	}
	return wider;
}

/* Gives the states that reach a set in one step, the set included. */
static uint32_t step_back(const struct chart *chart, uint32_t set)
{
	uint32_t wider = set;

	for (uint32_t s = 0; s < chart->names->state_count; s++) {
		for (uint32_t i = 0; i < chart->names->input_count; i++) {
			if (chart->next[s][i] >= 0 && (set >> chart->next[s][i] & 1))
				wider |= 1U << s;
		}
	}
	return wider;
}

/* Widens a set by a step function until it grows no more. */
static uint32_t closure(const struct chart *chart, uint32_t set,
			uint32_t (*step)(const struct chart *, uint32_t))
{
	uint32_t wider = step(chart, set);

	while (wider != set) {
		set = wider;
		wider = step(chart, set);
	}
	return set;
}

/* Refuses a chart with a state that cannot be reached; one with a state from which a final state
 * (or, in a chart without any, the initial state) cannot be reached; and a final state with a way
 * out. Errors: ERROR_STATE. */
static int shape_check(const struct chart *chart, struct error *err)
{
	const struct chart_names *names = chart->names;
	uint32_t goal = chart->final_mask ? chart->final_mask : 1U << chart->initial;
	uint32_t reached = closure(chart, 1U << chart->initial, step_forward);
	uint32_t leads_out = closure(chart, goal, step_back);

	for (uint32_t s = 0; s < names->state_count; s++) {
		if (!(reached >> s & 1))
			return error_set(err, ERROR_STATE, "%s: state %s is unreachable",
					 names->name, names->states[s]);
		if (!(leads_out >> s & 1))
			return error_set(err, ERROR_STATE, "%s: state %s is a trap", names->name,
					 names->states[s]);
		if (chart_is_final(chart, s) && step_forward(chart, 1U << s) != 1U << s)
			return error_set(err, ERROR_STATE, "%s: final state %s has a way out",
					 names->name, names->states[s]);
	}
	return 0;
}

/* Refuses an event that no state takes. Errors: ERROR_MISSING. */
static int inputs_check(const struct chart *chart, struct error *err)
{
	const struct chart_names *names = chart->names;

	for (uint32_t i = 0; i < names->input_count; i++) {
		bool taken = false;

		for (uint32_t s = 0; s < names->state_count; s++)
			taken = taken || chart->next[s][i] >= 0;
		if (!taken)
			return error_set(err, ERROR_MISSING, "%s: no state takes event %s",
					 names->name, names->inputs[i]);
	}
	return 0;
}

/* Refuses top-level keys other than the four. Errors: ERROR_UNKNOWN_KEY. */
static int keys_check(const struct chart *chart, json_t *root, struct error *err)
{
	static const char *const known[] = {"name", "initial", "final", "states"};
	const char *key;
	json_t *value;

	json_object_foreach(root, key, value)
	{
		if (name_find(known, 4, key) < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown key %s",
					 chart->names->name, key);
	}
	return 0;
}

/* Fills a chart from its parsed root. */
static int root_parse(struct chart *chart, json_t *root, struct error *err)
{
	const char *name = json_string_value(json_object_get(root, "name"));

	if (keys_check(chart, root, err))
		return -1;
	if (!name || strcmp(name, chart->names->name) != 0)
		return error_set(err, ERROR_UNKNOWN_KEY, "%s: the chart is named %s",
				 chart->names->name, name ? name : "nothing");
	if (state_find(chart->names, json_object_get(root, "initial"), &chart->initial, err))
		return -1;
	if (rows_parse(chart, json_object_get(root, "states"), err))
		return -1;
	if (final_parse(chart, json_object_get(root, "final"), err))
		return -1;
	if (inputs_check(chart, err))
		return -1;
	return shape_check(chart, err);
}

/* Reads one chart from JSON text and checks it against the names that the code knows. Errors:
 * ERROR_SYNTAX (with line and column), ERROR_TYPE, ERROR_MISSING, ERROR_UNKNOWN_KEY for unknown
 * states, events and keys, ERROR_STATE for unreachable and trapped states. */
int chart_parse(struct chart *chart, const struct chart_names *names, const char *text,
		struct error *err)
{
	json_error_t at;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &at);
	int result;

	memset(chart, 0, sizeof(*chart));
	memset(chart->next, -1, sizeof(chart->next));
	chart->names = names;
	if (!root)
		return error_set(err, ERROR_SYNTAX, "%s: line %d, column %d: %s", names->name,
				 at.line, at.column, at.text);
	result = root_parse(chart, root, err);
	json_decref(root);
	return result;
}
