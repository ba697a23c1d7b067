/*
 * Print: writes the report as text, JSON or one HTML page.
 */
#ifndef FESCUE_REPORT_PRINT_H
#define FESCUE_REPORT_PRINT_H

#include "fescue_report/sum.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdio.h>

#define PRINT_CAVEAT_BYTES   400
#define PRINT_ENDPOINT_BYTES 24

/* A node without a usable report. */
struct print_missing {
	struct endpoint node;
	const char *kind;   /* kind of error, by name */
	const char *detail; /* why there is no report */
};

struct print_input {
	const struct sum *sum;
	uint32_t asked; /* number of nodes that were asked */
	uint32_t missing_count;
	const struct print_missing *missing;
};

void print_text(FILE *out, const struct print_input *input);
void print_json(FILE *out, const struct print_input *input);
/* The page is self-contained: it includes its styles and the plot. */
void print_html(FILE *out, const struct print_input *input);

/* Formats an address as "a.b.c.d:port" into PRINT_ENDPOINT_BYTES. */
void print_format_endpoint(char *text, const struct endpoint *node);
/* Formats the caveat into PRINT_CAVEAT_BYTES: which nodes and which time the report covers. */
void print_format_caveat(char *text, const struct print_input *input);

#endif
