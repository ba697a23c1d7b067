/*
 * Watch: follows a change until it is known to be in force at every member of the fleet.
 */
#ifndef FESCUECTL_WATCH_H
#define FESCUECTL_WATCH_H

#include "fescuectl/ask.h"

/* Asks the named nodes again and again, and prints the progress by failure domain.
 * Errors: ERROR_TIMEOUT with a member that is not known to have it, ERROR_UNREACHABLE when no node
 * can speak for the fleet, or one that was named does not answer, ERROR_USAGE without nodes. */
int watch_run(struct asker *asker, const char *service, uint64_t version, struct error *err);

#endif
