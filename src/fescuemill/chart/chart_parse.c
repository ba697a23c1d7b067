/*
 * State charts: parses and checks the JSON text of a chart.
 */
#include "fescuemill/chart/chart.h"

#include <jansson.h>
#include <string.h>

/* Returns the index of a name in a list, or -1. */
static int find_name(const char *const *list, uint32_t count, const char *name)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(list[i], name) == 0)
			return (int)i;
	}
	return -1;
}

/* Looks up the state named by a JSON string. Errors: ERROR_TYPE, ERROR_UNKNOWN_KEY. */
static int parse_state_name(const struct chart_names *names, json_t *value, uint32_t *state,
			    struct error *err)
{
	int number;

	if (!json_is_string(value))
		return error_set(err, ERROR_TYPE, "%s: name of a state must be a string",
				 names->name);
	number = find_name(names->states, names->state_count, json_string_value(value));
	if (number < 0)
		return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown state %s", names->name,
				 json_string_value(value));
	*state = (uint32_t)number;
	return 0;
}

/* Parses the transitions from one state. */
static int parse_transitions(struct chart *chart, uint32_t from, json_t *row, struct error *err)
{
	const struct chart_names *names = chart->names;
	const char *key;
	json_t *value;

	if (!json_is_object(row))
		return error_set(err, ERROR_TYPE, "%s: state %s must be an object", names->name,
				 names->states[from]);
	json_object_foreach(row, key, value)
	{
		int input = find_name(names->inputs, names->input_count, key);
		uint32_t to = 0;

		if (input < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown input %s",
					 names->name, key);
		if (parse_state_name(names, value, &to, err))
			return -1;
		chart->next[from][input] = (int8_t)to;
	}
	return 0;
}

/* Parses the transitions from all states. Each state of chart_defs.h must be present. */
static int parse_states(struct chart *chart, json_t *states, struct error *err)
{
	const struct chart_names *names = chart->names;
	const char *key;
	json_t *row;

	if (!json_is_object(states))
		return error_set(err, ERROR_MISSING, "%s: \"states\" is missing or not an object",
				 names->name);
	json_object_foreach(states, key, row)
	{
		int from = find_name(names->states, names->state_count, key);

		if (from < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown state %s",
					 names->name, key);
		if (parse_transitions(chart, (uint32_t)from, row, err))
			return -1;
	}
	if (json_object_size(states) != names->state_count)
		return error_set(err, ERROR_MISSING, "%s: found %zu of %u states", names->name,
				 json_object_size(states), names->state_count);
	return 0;
}

static int parse_final_states(struct chart *chart, json_t *list, struct error *err)
{
	size_t i;
	json_t *value;

	if (!json_is_array(list))
		return error_set(err, ERROR_MISSING, "%s: \"final\" is missing or not an array",
				 chart->names->name);
	json_array_foreach(list, i, value)
	{
		uint32_t state = 0;

		if (parse_state_name(chart->names, value, &state, err))
			return -1;
		chart->final_mask |= 1U << state;
	}
	return 0;
}

/* Returns a set of states, extended by all states that one transition from it reaches. */
static uint32_t add_successors(const struct chart *chart, uint32_t set)
{
	uint32_t extended = set;

	for (uint32_t s = 0; s < chart->names->state_count; s++) {
		for (uint32_t i = 0; (set >> s & 1) && i < chart->names->input_count; i++) {
			if (chart->next[s][i] >= 0)
				extended |= 1U << chart->next[s][i];
		}
	}
	return extended;
}

/* Returns a set of states, extended by all states from which one transition reaches it. */
static uint32_t add_predecessors(const struct chart *chart, uint32_t set)
{
	uint32_t extended = set;

	for (uint32_t s = 0; s < chart->names->state_count; s++) {
		for (uint32_t i = 0; i < chart->names->input_count; i++) {
			if (chart->next[s][i] >= 0 && (set >> chart->next[s][i] & 1))
				extended |= 1U << s;
		}
	}
	return extended;
}

/* Extends a set of states by a step function until it no longer grows. */
static uint32_t closure(const struct chart *chart, uint32_t set,
			uint32_t (*step)(const struct chart *, uint32_t))
{
	uint32_t extended = step(chart, set);

	while (extended != set) {
		set = extended;
		extended = step(chart, set);
	}
	return set;
}

/*
 * Checks that each state can be reached from the initial state, that a final state (in a chart
 * without final states: the initial state) can be reached from each state, and that final states
 * have no transitions to other states. Errors: ERROR_STATE.
 */
static int check_reachability(const struct chart *chart, struct error *err)
{
	const struct chart_names *names = chart->names;
	uint32_t goal = chart->final_mask ? chart->final_mask : 1U << chart->initial;
	uint32_t reached = closure(chart, 1U << chart->initial, add_successors);
	uint32_t reaches_goal = closure(chart, goal, add_predecessors);

	for (uint32_t s = 0; s < names->state_count; s++) {
		if (!(reached >> s & 1))
			return error_set(err, ERROR_STATE, "%s: state %s is unreachable",
					 names->name, names->states[s]);
		if (!(reaches_goal >> s & 1))
			return error_set(err, ERROR_STATE, "%s: state %s is a dead end",
					 names->name, names->states[s]);
		if (chart_is_final(chart, s) && add_successors(chart, 1U << s) != 1U << s)
			return error_set(err, ERROR_STATE,
					 "%s: final state %s has a transition to another state",
					 names->name, names->states[s]);
	}
	return 0;
}

/* Checks that each input has a transition in some state. Errors: ERROR_MISSING. */
static int check_inputs_used(const struct chart *chart, struct error *err)
{
	const struct chart_names *names = chart->names;

	for (uint32_t i = 0; i < names->input_count; i++) {
		bool used = false;

		for (uint32_t s = 0; s < names->state_count; s++)
			used = used || chart->next[s][i] >= 0;
		if (!used)
			return error_set(err, ERROR_MISSING,
					 "%s: no transition for input %s in any state", names->name,
					 names->inputs[i]);
	}
	return 0;
}

/* Checks that there are no unknown top-level keys. Errors: ERROR_UNKNOWN_KEY. */
static int check_keys(const struct chart *chart, json_t *root, struct error *err)
{
	static const char *const known[] = {"name", "initial", "final", "states"};
	const char *key;
	json_t *value;

	json_object_foreach(root, key, value)
	{
		if (find_name(known, 4, key) < 0)
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: unknown key %s",
					 chart->names->name, key);
	}
	return 0;
}

/* Fills and checks a chart, given the root object of its JSON text. */
static int parse_root(struct chart *chart, json_t *root, struct error *err)
{
	const char *name = json_string_value(json_object_get(root, "name"));

	if (check_keys(chart, root, err))
		return -1;
	if (!name || strcmp(name, chart->names->name) != 0)
		return error_set(err, ERROR_UNKNOWN_KEY, "%s: the chart is named %s",
				 chart->names->name, name ? name : "nothing");
	if (parse_state_name(chart->names, json_object_get(root, "initial"), &chart->initial, err))
		return -1;
	if (parse_states(chart, json_object_get(root, "states"), err))
		return -1;
	if (parse_final_states(chart, json_object_get(root, "final"), err))
		return -1;
	if (check_inputs_used(chart, err))
		return -1;
	return check_reachability(chart, err);
}

/*
 * Parses a chart from JSON text and checks it against the names of its states and inputs. Errors:
 * ERROR_SYNTAX (with line and column), ERROR_TYPE, ERROR_MISSING, ERROR_UNKNOWN_KEY for unknown
 * states, inputs and keys, ERROR_STATE for unreachable states, dead ends and final states with a
 * transition to another state.
 */
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
	result = parse_root(chart, root, err);
	json_decref(root);
	return result;
}
