/*
 * State charts: the loaded transition tables and the lookup of the next state.
 */
#include "fescuemill/chart/chart.h"

#include "fescuemill/chart/chart_data.h"

#define CHART_NAME(symbol, name) name,
#define CHART_COUNT_OF(array)	 ((uint32_t)(sizeof(array) / sizeof((array)[0])))
#define CHART_ARRAYS(symbol, name)                                                                 \
	static const char *const name##_states[] = {symbol##_STATES(CHART_NAME)};                  \
	static const char *const name##_inputs[] = {symbol##_INPUTS(CHART_NAME)};
CHART_LIST(CHART_ARRAYS)

static const struct chart_names names_by_chart[CHART_COUNT] = {
#define CHART_NAMES(symbol, name)                                                                  \
	{#name, CHART_COUNT_OF(name##_states), CHART_COUNT_OF(name##_inputs), name##_states,       \
	 name##_inputs},
	CHART_LIST(CHART_NAMES)
#undef CHART_NAMES
};

static struct chart charts[CHART_COUNT];
static bool is_loaded;

/*
 * Parses all compiled-in charts. Does nothing if they are loaded already. Errors: see
 * chart_parse().
 */
int charts_load(struct error *err)
{
	if (is_loaded)
		return 0;
	for (int i = 0; i < CHART_COUNT; i++) {
		if (chart_parse(&charts[i], &names_by_chart[i], chart_texts[i], err))
			return -1;
	}
	is_loaded = true;
	return 0;
}

/* Returns a chart. charts_load() must have succeeded before. */
const struct chart *chart_get(enum chart_id id)
{
	return &charts[id];
}

/* Returns the names of the states and inputs of a chart, as defined in chart_defs.h. */
const struct chart_names *chart_get_names(enum chart_id id)
{
	return &names_by_chart[id];
}

/* Returns true if a state is final: the chart defines no transition from it to another state. */
bool chart_is_final(const struct chart *chart, uint32_t state)
{
	return (chart->final_mask >> state) & 1;
}

/*
 * Looks up the next state. Errors: ERROR_STATE if the chart defines no transition for this state
 * and input, or if the charts are not loaded.
 */
int chart_next(enum chart_id id, uint32_t state, uint32_t input, uint32_t *next, struct error *err)
{
	const struct chart *chart = &charts[id];
	const struct chart_names *names = &names_by_chart[id];

	if (!is_loaded || state >= names->state_count || input >= names->input_count)
		return error_set(err, ERROR_STATE,
				 "%s: chart not loaded, or state %u or input %u out of range",
				 names->name, state, input);
	if (chart->next[state][input] < 0)
		return error_set(err, ERROR_STATE, "%s: no transition for input %s in state %s",
				 names->name, names->inputs[input], names->states[state]);
	*next = (uint32_t)chart->next[state][input];
	return 0;
}
