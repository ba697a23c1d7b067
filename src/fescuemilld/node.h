/*
 * Node: puts the parts of fescuemilld together, runs them in one loop, and stops them gracefully.
 */
#ifndef FESCUEMILLD_NODE_H
#define FESCUEMILLD_NODE_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/dialect.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/store/dialect.h"

struct node;

/* How what lies outside the fleet speaks: clients, the backend server, the store. */
struct outside {
	const struct http_dialect *dialect;
	const struct store_dialect *store_dialect;
};

/* The product's own interface on all sides. */
extern const struct outside own_outside;

int node_open(struct node **out, const struct settings *settings, const struct outside *outside,
	      struct error *err);
/* Reads the settings file again when it changes, and at SIGHUP. */
void node_watch_settings(struct node *node, const char *path);
/* Prints the start-up line and runs until stopped by SIGTERM or SIGINT. Errors: ERROR_TIMEOUT when
 * the stop was not graceful; the detail says what was cut. */
int node_run(struct node *node, struct error *err);

#endif
