/*
 * Watch: observes a change until it is known to be in force at every member of the fleet.
 */
#ifndef FESCUECTL_WATCH_H
#define FESCUECTL_WATCH_H

#include "fescuectl/node_client.h"

/*
 * Polls the named nodes and prints the progress by failure domain. Errors: ERROR_TIMEOUT, naming a
 * member that is not known to have the change; ERROR_UNREACHABLE if no ready node answers or if a
 * named node does not answer; ERROR_USAGE without nodes.
 */
int watch_run(struct node_client *client, const char *service, uint64_t version, struct error *err);

#endif
