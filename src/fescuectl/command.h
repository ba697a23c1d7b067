/*
 * Commands of fescuectl.
 */
#ifndef FESCUECTL_COMMAND_H
#define FESCUECTL_COMMAND_H

#include "fescuectl/node_client.h"

/* Runs the command that the options name. Errors: ERROR_USAGE, and those of the nodes. */
int command_run(struct node_client *client, struct error *err);

#endif
