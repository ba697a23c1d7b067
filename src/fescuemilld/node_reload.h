/*
 * Node reload: takes in settings that were changed while the node runs.
 */
#ifndef FESCUEMILLD_NODE_RELOAD_H
#define FESCUEMILLD_NODE_RELOAD_H

#include "fescuemilld/node_defs.h"

/* Remembers the settings file, whose changes are looked for from now on. */
void node_reload_watch(struct node *node, const char *path);
/* Reads the file again if it has changed; to be called now and then. */
void node_reload_check(struct node *node, uint64_t now_us);
/* Reads the file again, whether or not it has changed. */
void node_reload(struct node *node);

#endif
