/*
 * List and watch: keeps up to date with all objects of one kind in the platform's store. Lists them
 * once, then watches for changes. Recovers from outages, watches without an answer and restarts of
 * the platform.
 */
#ifndef FESCUEMILL_STORE_LIST_WATCH_H
#define FESCUEMILL_STORE_LIST_WATCH_H

#include "fescuemill/store/platform.h"
#include "fescuemill/store/session.h"

#include <uv.h>

/* Receives one complete answer as JSON {"version","items"}. The items are the changes since the
 * version in after. If that is 0, they are all existing objects. */
typedef void (*list_watch_batch_fn)(void *user, uint64_t after, json_t *root);

struct list_watch;

int list_watch_open(struct list_watch **out, uv_loop_t *loop, struct platform *platform,
		    const char *kind, const struct session_limits *limits, uint64_t seed,
		    list_watch_batch_fn fn, void *user, struct error *err);
/* While disabled, as after opening, a list-and-watch starts no new calls. */
void list_watch_set_enabled(struct list_watch *list_watch, bool is_enabled);
/* Requests all new changes at once, for instance after the process was paused. The answer of a
 * running call is dropped. */
void list_watch_refresh(struct list_watch *list_watch);
/* Makes the next call a list in place of a watch: it finds what the watches missed. */
void list_watch_list_again(struct list_watch *list_watch);
/* Returns when the call was sent whose answer is being passed to the owner, by clock_boottime_us().
 */
uint64_t list_watch_asked_us(const struct list_watch *list_watch);
void list_watch_close(struct list_watch *list_watch);

#endif
