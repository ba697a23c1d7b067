/*
 * Report: the results of a run as a table by class, as JSON, and as a one-line summary.
 */
#ifndef FESCUE_LOAD_REPORT_H
#define FESCUE_LOAD_REPORT_H

#include "fescue_load/run.h"

#include <stdio.h>

void report_table(const struct plan *plan, const struct run_result *result, FILE *out);
void report_last_line(const struct run_result *result, const char *label, FILE *out);
int report_json(const struct plan *plan, const struct run_result *result, const char *file,
		struct error *err);

#endif
