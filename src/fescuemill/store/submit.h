/*
 * Submit: carries out one change of a service object against the platform.
 */
#ifndef FESCUEMILL_STORE_SUBMIT_H
#define FESCUEMILL_STORE_SUBMIT_H

#include "fescuemill/store/change.h"
#include "fescuemill/store/platform.h"

#include <uv.h>

/* How a change ended. */
struct submit_result {
	enum change_step step; /* one of the four final steps */
	struct error err; /* ERROR_NONE when accepted; else typed, with who and when if known */
	uint64_t version;
	bool exact; /* accepted: the version is that of this change, not of a later one */
	const struct service_object *object; /* as it was written; NULL for a deletion */
};

typedef void (*submit_done_fn)(void *user, const struct submit_result *result);

/* Changes `base` (NULL: there is none) at `base_version` into `next` (NULL: deletes it). The newest
 * change in `next` is this one. Calls done once, possibly before this returns.
 * Errors: ERROR_MEMORY; done is then not called. */
int submit_start(uv_loop_t *loop, struct platform *platform, const struct service_object *base,
		 uint64_t base_version, const struct service_object *next, const char *id,
		 submit_done_fn done, void *user, struct error *err);

#endif
