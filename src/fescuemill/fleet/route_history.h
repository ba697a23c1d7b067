/*
 * Route history: which routes of the routing object in force were changed or removed through which
 * version. From it a node tells a peer with an earlier version what has changed, instead of sending
 * all routes: the cost of a change must not grow with the number of routes. No I/O.
 *
 * A node may have skipped versions, so what it takes for unchanged can have been changed and
 * changed back in between. The digest of all routes tells: a peer that arrives at another digest
 * keeps its own routes and requests the whole object.
 */
#ifndef FESCUEMILL_FLEET_ROUTE_HISTORY_H
#define FESCUEMILL_FLEET_ROUTE_HISTORY_H

#include "fescuemill/base/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUTES_REMOVED_MAX 1024 /* removals that are remembered */

struct route_mark {
	uint64_t key;	  /* hash of the route's host and prefix */
	uint64_t content; /* hash of the whole route */
	uint64_t version; /* through which it was last added or changed, as far as known */
	json_t *route;
};

struct route_history {
	uint64_t since;	 /* changes after this version are known */
	uint64_t digest; /* of all routes; their order does not matter */
	uint32_t count;
	struct route_mark *marks; /* the routes in force, ordered by key; NULL: none are known */
	uint32_t removed_count;
	struct route_mark removed[ROUTES_REMOVED_MAX]; /* version: through which it was removed */
};

void route_history_clear(struct route_history *history);
/* Records the routing object that is put in force with a version. Without memory for it the history
 * is empty, and peers get the whole object. */
void route_history_record(struct route_history *history, const json_t *object, uint64_t version);
/* Returns true if all changes after a version are known. */
bool route_history_covers(const struct route_history *history, uint64_t after);
/* Returns the changes after a version that is covered: the object in force with the routes that
 * were changed, "removed" and "digest". NULL: no memory. */
json_t *route_history_changes(const struct route_history *history, const json_t *object,
			      uint64_t after);
/* Returns the routing object that results from a peer's changes to the routes in force, or NULL.
 * Errors: ERROR_VERSION if its digest is not the peer's, ERROR_TYPE, ERROR_MEMORY. */
json_t *route_history_apply(const struct route_history *history, const json_t *changes,
			    struct error *err);

#endif
