/*
 * Client guard: enforces the limits on the clients of all HTTP listeners of a process: the size of
 * a head, the time for it, and the time without progress or without a request. When memory or
 * descriptors run short, it ends the connections that decide/client_budget.c names.
 */
#ifndef FESCUEMILL_HTTP_CLIENT_GUARD_H
#define FESCUEMILL_HTTP_CLIENT_GUARD_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/client_budget.h"

#include <uv.h>

struct client_guard;
struct http_server;

/* What the clients of a process may hold together. */
struct client_guard_budget {
	uint64_t memory_bytes_max;  /* 0: no limit */
	uint32_t connections_max;   /* 0: no limit but the descriptors */
	uint32_t descriptors_max;   /* 0: the system's limit, which applies in any case */
	uint32_t descriptors_spare; /* descriptors that clients leave free, at most a third of all;
				       clients of reserved listeners may take a sixth of these */
};

int client_guard_open(struct client_guard **out, uv_loop_t *loop,
		      const struct client_guard_budget *budget, struct error *err);
/* Sets the rules that apply from now on. A limit of 0 is not configured. */
void client_guard_set_rules(struct client_guard *guard, const struct client_rules *rules);
/* Stops guarding. Freed once the loop has closed its handles; the servers must be detached. */
void client_guard_close(struct client_guard *guard);

/* Called by the servers. */
void client_guard_add(struct client_guard *guard, struct http_server *srv);
void client_guard_remove(struct client_guard *guard, struct http_server *srv);
/* Returns false if the new connection must be closed, as no other one could be. */
bool client_guard_accepted(struct client_guard *guard, const struct http_server *srv, int fd);
/* Returns true if a descriptor of this number may be kept for a lingering close. */
bool client_guard_allows_lingering(const struct client_guard *guard, int fd);
uint32_t client_guard_header_bytes_max(const struct client_guard *guard);
void client_guard_count_large_head(struct client_guard *guard);

#endif
