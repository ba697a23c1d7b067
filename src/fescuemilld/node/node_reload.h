/*
 * Node reload: applies changes of the settings file while the node runs.
 */
#ifndef FESCUEMILLD_NODE_NODE_RELOAD_H
#define FESCUEMILLD_NODE_NODE_RELOAD_H

#include "fescuemilld/node/node_defs.h"

/* Sets the settings file, which is checked for changes from now on. */
void node_reload_watch(struct node *node, const char *path);
/* Reads the file again if it has changed, checking at most once a second. To be called
 * periodically. */
void node_reload_check(struct node *node, uint64_t now_us);
/* Reads the file again, whether or not it has changed. */
void node_reload(struct node *node);

#endif
