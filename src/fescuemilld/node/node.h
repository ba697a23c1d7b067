/*
 * Node: connects the parts of fescuemilld, runs them in one event loop, and stops them gracefully.
 */
#ifndef FESCUEMILLD_NODE_NODE_H
#define FESCUEMILLD_NODE_NODE_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/dialect.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/store/dialect.h"

struct node;

/* Protocol dialects of the programs outside the fleet that the node talks to. */
struct node_dialects {
	const struct http_dialect *dialect; /* HTTP dialect of callers and the backend server */
	const struct store_dialect *store_dialect; /* dialect of the platform's store */
};

/* The dialects that fescuemill itself defines. */
extern const struct node_dialects native_node_dialects;

int node_open(struct node **out, const struct settings *settings,
	      const struct node_dialects *dialects, struct error *err);
/* Reads the settings file again when it changes and on SIGHUP, from now on. */
void node_watch_settings(struct node *node, const char *path);
/* Prints the start-up line and runs until the node has stopped, on SIGTERM, SIGINT or a drain.
 * Errors: ERROR_TIMEOUT if the stop was not graceful; the detail counts the calls and attempts that
 * were cut off. */
int node_run(struct node *node, struct error *err);

#endif
