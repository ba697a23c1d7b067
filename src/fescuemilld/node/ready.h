/*
 * Ready: the HTTP listener that reports whether callers should send new calls to this node.
 */
#ifndef FESCUEMILLD_NODE_READY_H
#define FESCUEMILLD_NODE_READY_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <uv.h>

struct client_guard;
struct ready;

/* Opens the listener at `at`, whose connections the guard judges. Port 0 means none: *out is NULL.
 * Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int ready_open(struct ready **out, uv_loop_t *loop, const struct endpoint *at,
	       struct client_guard *guard, bool (*is_ready)(void *user), void *user,
	       struct error *err);
void ready_close(struct ready *ready);

#endif
