/*
 * Node: puts the parts of fescuemilld together, runs them in one loop, and stops them gracefully.
 */
#ifndef FESCUEMILLD_NODE_H
#define FESCUEMILLD_NODE_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

struct node;

int node_open(struct node **out, const struct settings *settings, struct error *err);
/* Prints the start-up line and runs until stopped by SIGTERM or SIGINT. Errors: ERROR_TIMEOUT when
 * the stop was not graceful; the detail says what was cut. */
int node_run(struct node *node, struct error *err);

#endif
