/*
 * Ready: the listener that tells whether callers should send new work to this node.
 */
#ifndef FESCUEMILLD_READY_H
#define FESCUEMILLD_READY_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <uv.h>

struct ready;

/* Without a port there is no listener and *out is NULL. Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int ready_open(struct ready **out, uv_loop_t *loop, const struct endpoint *at,
	       bool (*is_ready)(void *user), void *user, struct error *err);
void ready_close(struct ready *ready);

#endif
