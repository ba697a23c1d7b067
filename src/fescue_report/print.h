/*
 * Print: the report as text, JSON or one HTML page.
 */
#ifndef FESCUE_REPORT_PRINT_H
#define FESCUE_REPORT_PRINT_H

#include "fescue_report/sum.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdio.h>

#define PRINT_CAVEAT_BYTES   400
#define PRINT_ENDPOINT_BYTES 24

/* A node that gave no report, and why. */
struct print_missing {
	struct endpoint node;
	const char *kind;
	const char *detail;
};

struct print_input {
	const struct sum *sum;
	uint32_t asked;
	uint32_t missing_count;
	const struct print_missing *missing;
};

void print_text(FILE *out, const struct print_input *input);
void print_json(FILE *out, const struct print_input *input);
/* The page needs nothing else: styles and the plot are inside. */
void print_html(FILE *out, const struct print_input *input);

/* Writes "a.b.c.d:port" into PRINT_ENDPOINT_BYTES. */
void print_endpoint(char *text, const struct endpoint *node);
/* Says in PRINT_CAVEAT_BYTES what the report cannot know. */
void print_caveat(char *text, const struct print_input *input);

#endif
