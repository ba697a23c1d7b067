/*
 * Entry: the shell of the entry role. It takes callers' requests, carries out what the pure
 * modules decide about each call, and answers.
 */
#ifndef FESCUEMILLD_ENTRY_H
#define FESCUEMILLD_ENTRY_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/decide/burn.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/http/caller.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/wire/channel.h"
#include "fescuemilld/key_members.h"

#include <uv.h>

struct entry;

struct entry_options {
	const struct settings *settings;
	struct node_life life;
	struct channel *channel;
	struct config_store *config;
	struct member_table *members;
	struct burn *burn;     /* where ended calls are counted */
	struct budget *budget; /* charged with heartbeats */
	const struct key_members *key_members;
	/* Why the node takes no calls now; REASON_NONE when it does. */
	enum call_reason (*refusal)(void *user);
	/* Whether a region can be reached at all. */
	bool (*region_is_usable)(void *user, const char *region);
	/* A gate did not answer over several connections. */
	void (*on_unreachable)(void *user, uint64_t node_id);
	/* A gate says that it was started again. */
	void (*on_new_life)(void *user, const struct node_life *life);
	void *user;
};

int entry_open(struct entry **out, uv_loop_t *loop, const struct entry_options *options,
	       struct error *err);
/* Every call must have ended. */
void entry_close(struct entry *entry);

/* Takes a caller's request, and word that a caller went away. User is the entry. */
void entry_take_call(void *user, struct caller_call *caller, const struct call_request *req);
void entry_caller_gone(void *user, struct caller_call *caller);

/* Ends the attempts at gates that died or restarted, and closes idle links. Call it when the member
 * table has changed, and now and then. */
void entry_sweep(struct entry *entry);
uint32_t entry_calls(const struct entry *entry);
/* Names attempts after a later incarnation from now on; those in progress keep their names. */
void entry_set_incarnation(struct entry *entry, uint64_t incarnation);

#endif
