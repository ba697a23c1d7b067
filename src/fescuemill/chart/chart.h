/*
 * State chart interpreter. The charts are compiled in as JSON text and parsed once at the start.
 * Then the next state for a state and an input (an event that may change the state) is looked up in
 * constant time.
 */
#ifndef FESCUEMILL_CHART_CHART_H
#define FESCUEMILL_CHART_CHART_H

#include "fescuemill/base/error.h"
#include "fescuemill/chart/chart_defs.h"

#include <stdbool.h>
#include <stdint.h>

#define CHART_STATES_MAX 16
#define CHART_INPUTS_MAX 16

/* Names of the states and inputs of a chart, in the order of their enum values. */
struct chart_names {
	const char *name;
	uint32_t state_count;
	uint32_t input_count;
	const char *const *states;
	const char *const *inputs;
};

struct chart {
	const struct chart_names *names;
	uint32_t initial;
	uint32_t final_mask;				 /* bit n: state n is final */
	int8_t next[CHART_STATES_MAX][CHART_INPUTS_MAX]; /* -1: no transition */
};

int charts_load(struct error *err);
const struct chart *chart_get(enum chart_id id);
int chart_next(enum chart_id id, uint32_t state, uint32_t input, uint32_t *next, struct error *err);
bool chart_is_final(const struct chart *chart, uint32_t state);

const struct chart_names *chart_get_names(enum chart_id id);
int chart_parse(struct chart *chart, const struct chart_names *names, const char *text,
		struct error *err);

#endif
