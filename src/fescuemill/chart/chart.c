/*
 * State charts: the loaded tables and the look-up of the next state.
 */
#include "fescuemill/chart/chart.h"

#include "fescuemill/chart/chart_data.h"

#define CHART_NAME(symbol, name) name,
#define CHART_COUNT_OF(array)	 ((uint32_t)(sizeof(array) / sizeof((array)[0])))
#define CHART_ARRAYS(symbol, name)                                                                 \
	static const char *const name##_states[] = {symbol##_STATES(CHART_NAME)};                  \
	static const char *const name##_inputs[] = {symbol##_INPUTS(CHART_NAME)};
CHART_LIST(CHART_ARRAYS)

static const struct chart_names names_of[CHART_COUNT] = {
#define CHART_NAMES(symbol, name)                                                                  \
	{#name, CHART_COUNT_OF(name##_states), CHART_COUNT_OF(name##_inputs), name##_states,       \
	 name##_inputs},
	CHART_LIST(CHART_NAMES)
#undef CHART_NAMES
};

static struct chart charts[CHART_COUNT];
static bool is_loaded;

/* Reads every compiled-in chart; later calls do nothing. Errors: those of chart_parse. */
int charts_load(struct error *err)
{
	if (is_loaded)
		return 0;
	for (int i = 0; i < CHART_COUNT; i++) {
		if (chart_parse(&charts[i], &names_of[i], chart_texts[i], err))
			return -1;
	}
	is_loaded = true;
	return 0;
}

/* Gives a loaded chart. */
const struct chart *chart_get(enum chart_id id)
{
	return &charts[id];
}

/* Gives the names that the code knows of a chart. */
const struct chart_names *chart_names_of(enum chart_id id)
{
	return &names_of[id];
}

/* Tells whether a state has no way out by design. */
bool chart_is_final(const struct chart *chart, uint32_t state)
{
	return (chart->final_mask >> state) & 1;
}

/* Looks up the next state. Errors: ERROR_STATE for a pair that the chart does not define, or when
 * the charts were not loaded. */
int chart_next(enum chart_id id, uint32_t state, uint32_t input, uint32_t *next, struct error *err)
{
	const struct chart *chart = &charts[id];
	const struct chart_names *names = &names_of[id];

	if (!is_loaded || state >= names->state_count || input >= names->input_count)
		return error_set(err, ERROR_STATE, "%s: state %u, event %u", names->name, state,
				 input);
	if (chart->next[state][input] < 0)
		return error_set(err, ERROR_STATE, "%s: no event %s in state %s", names->name,
				 names->inputs[input], names->states[state]);
	*next = (uint32_t)chart->next[state][input];
	return 0;
}
