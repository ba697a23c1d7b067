/*
 * Submit: carries out one change of a service object in the platform's store.
 */
#ifndef FESCUEMILL_STORE_SUBMIT_H
#define FESCUEMILL_STORE_SUBMIT_H

#include "fescuemill/store/change.h"
#include "fescuemill/store/platform.h"

#include <uv.h>

/* Outcome of a change. */
struct submit_result {
	enum change_step step; /* one of the four final steps */
	struct error err; /* ERROR_NONE if accepted; a conflict names author and time if known */
	uint64_t version; /* if accepted: a version with the change; on conflict: the current one */
	bool exact; /* if accepted: version is the one that this change made, not a later one */
	const struct service_object *object; /* the object written; NULL for a deletion */
};

typedef void (*submit_done_fn)(void *user, const struct submit_result *result);

/* Starts to change an object from base, as stored at base_version, to next. base is NULL if there
 * is no object yet; next is NULL to delete the object. The newest change in the history of next
 * must be this one, with this id. Calls done once, possibly before submit_start() returns. Errors:
 * ERROR_MEMORY; then done is not called. */
int submit_start(uv_loop_t *loop, struct platform *platform, const struct service_object *base,
		 uint64_t base_version, const struct service_object *next, const char *id,
		 submit_done_fn done, void *user, struct error *err);

#endif
