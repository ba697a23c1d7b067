/*
 * Follow: keeps up with every object of one kind by a list and then watches, and survives
 * outages, silent watches and restarts of the platform.
 */
#ifndef FESCUEMILL_STORE_FOLLOW_H
#define FESCUEMILL_STORE_FOLLOW_H

#include "fescuemill/store/platform.h"
#include "fescuemill/store/session.h"

#include <uv.h>

/* A whole answer: JSON {"version","items"}. From is the version that the items continue from;
 * 0 for a list, which is everything that exists. */
typedef void (*follow_batch_fn)(void *user, uint64_t from, const char *json, size_t size);

struct follow;

int follow_open(struct follow **out, uv_loop_t *loop, struct platform *platform, const char *kind,
		const struct session_limits *limits, uint64_t seed, follow_batch_fn fn, void *user,
		struct error *err);
/* A follow that is off makes no new calls; it starts off. */
void follow_set_on(struct follow *follow, bool on);
/* Asks at once for everything that is new, for instance after the process was paused; the answer of
 * the call that runs now is dropped. */
void follow_refresh(struct follow *follow);
void follow_close(struct follow *follow);

#endif
