/*
 * Auth: keys, rights and rate limits of the teams that use the administration API. Pure.
 */
#ifndef FESCUEMILL_ADMIN_AUTH_H
#define FESCUEMILL_ADMIN_AUTH_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <stddef.h>

#define AUTH_REQUESTS_PER_S 20.0 /* per team and node */
#define AUTH_REQUESTS_BURST 40.0
#define AUTH_BAD_KEYS_PER_S 5.0 /* per node, for all requests with a wrong key */
#define AUTH_BAD_KEYS_BURST 10.0

/* A token bucket. */
struct auth_bucket {
	double tokens;
	uint64_t at_us; /* time of the last refill */
};

struct auth {
	const struct settings *settings;
	struct auth_bucket teams[ADMIN_KEYS_MAX]; /* by index of the team's key in the settings */
	struct auth_bucket bad_keys;
};

void auth_init(struct auth *auth, const struct settings *settings, uint64_t now_us);
/* Checks a key and the request rate, and stores the team that owns the key. The time taken does not
 * depend on the key. Errors: ERROR_DENIED for a wrong key, ERROR_LIMIT for too many requests. */
int auth_check(struct auth *auth, const char *key, size_t size, uint64_t now_us, const char **team,
	       struct error *err);
/* Returns true if a team may create a service. */
bool auth_may_create(const struct auth *auth, const char *team, const char *service);
/* Returns true if a team may operate the node, whose backend server serves `service` (may be
 * empty). */
bool auth_may_operate(const struct auth *auth, const char *team, const char *service);

#endif
