/*
 * State charts: the JSON text of each charts/NAME.json. scripts/embed-charts.sh generates
 * chart_data.c.
 */
#ifndef FESCUEMILL_CHART_CHART_DATA_H
#define FESCUEMILL_CHART_CHART_DATA_H

#include "fescuemill/chart/chart_defs.h"

extern const char *const chart_texts[CHART_COUNT];

#endif
