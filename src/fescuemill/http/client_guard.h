/*
 * Client guard: enforces the limits on the clients of all HTTP listeners of a process: the size of
 * a head, the time for it, and the time without progress or without a request.
 */
#ifndef FESCUEMILL_HTTP_CLIENT_GUARD_H
#define FESCUEMILL_HTTP_CLIENT_GUARD_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/client_budget.h"

#include <uv.h>

struct client_guard;
struct http_server;

int client_guard_open(struct client_guard **out, uv_loop_t *loop, const struct client_rules *rules,
		      struct error *err);
/* Sets the rules that apply from now on. A limit of 0 is not configured. */
void client_guard_set_rules(struct client_guard *guard, const struct client_rules *rules);
/* Stops guarding. Freed once the loop has closed its handles; the servers must be detached. */
void client_guard_close(struct client_guard *guard);

/* Called by the servers. */
void client_guard_add(struct client_guard *guard, struct http_server *srv);
void client_guard_remove(struct client_guard *guard, struct http_server *srv);
void client_guard_accepted(struct client_guard *guard);
uint32_t client_guard_header_bytes_max(const struct client_guard *guard);
void client_guard_count_large_head(struct client_guard *guard);

#endif
