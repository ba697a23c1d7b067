/*
 * Watch: follows a change until it is in force at all the named nodes.
 */
#ifndef FESCUECTL_WATCH_H
#define FESCUECTL_WATCH_H

#include "fescuectl/ask.h"

/* Asks all nodes again and again, and prints the progress by failure domain.
 * Errors: ERROR_TIMEOUT with the nodes that lack it, ERROR_USAGE without nodes. */
int watch_run(struct asker *asker, const char *service, uint64_t version, struct error *err);

#endif
