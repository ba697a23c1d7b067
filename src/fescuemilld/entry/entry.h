/*
 * Shell of the entry role: receives callers' requests, carries out the decisions of the pure
 * modules in decide/ about each call, and sends the answers.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_H
#define FESCUEMILLD_ENTRY_ENTRY_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/decide/burn.h"
#include "fescuemill/decide/key_proof.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/http/caller.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/wire/channel.h"
#include "fescuemilld/node/key_members.h"

#include <uv.h>

struct allotment_shell;
struct crash_shell;
struct entry;

struct entry_options {
	const struct settings *settings;
	struct node_incarnation identity;
	struct channel *channel;
	struct config_store *config;
	struct member_table *members;
	struct burn *burn;     /* counts finished calls against the latency targets */
	struct budget *budget; /* charged for heartbeats */
	const struct key_members *key_members;
	const char *customer_header;		    /* the dialect's */
	const struct evacuation_table *evacuations; /* orders in force */
	/* Returns true if the customers' keys may be used now. May be NULL: always. */
	bool (*keys_are_fresh)(void *user);
	/* Takes what a gate told of its configuration, in answer to a question that was sent at
	 * asked_us. May be NULL. */
	void (*on_proof)(void *user, const struct key_proof_item *proof,
			 enum key_proof_source source, uint64_t asked_us);
	/* Returns why the node refuses calls now, or REASON_NONE. */
	enum call_reason (*refusal)(void *user);
	/* Returns false if the node ends before a call with this time left has ended. */
	bool (*has_time_for)(void *user, uint64_t time_left_us);
	/* Returns the chance, in permille, that a call made by this host's backend server is part
	 * of a repeated run. */
	uint32_t (*repeat_permille)(void *user);
	/* Returns true if a region can be reached. */
	bool (*region_is_usable)(void *user, const char *region);
	/* Called when a connection to a gate could not be opened, or the gate did not answer over
	 * several connections. */
	void (*on_unreachable)(void *user, uint64_t node_id);
	/* Called when a gate reports a later incarnation than the one known here. */
	void (*on_new_incarnation)(void *user, const struct node_incarnation *identity);
	void *user;
};

int entry_open(struct entry **out, uv_loop_t *loop, const struct entry_options *options,
	       struct error *err);
/* Closes the entry; every call must have ended. */
void entry_close(struct entry *entry);

/* Callbacks for struct caller_options: a request arrived, or its caller disconnected. `user` is the
 * entry. */
void entry_handle_request(void *user, struct caller_call *caller, const struct call_request *req);
void entry_caller_gone(void *user, struct caller_call *caller);

/* Ends the attempts at gates that died or restarted, and closes idle connections. To be called when
 * the member table has changed, and periodically. */
void entry_sweep(struct entry *entry);
/* Answers all calls in progress, because the process is about to end. */
void entry_end_calls(struct entry *entry);
/* Returns the number of calls in progress. */
uint32_t entry_call_count(const struct entry *entry);
/* Sets what is known of requests that ran when backend servers ended; NULL: nothing is refused. */
void entry_set_crashes(struct entry *entry, struct crash_shell *crashes);
/* Sets the shell that keeps customers to their allotments; NULL: calls are not limited. */
void entry_set_allotment(struct entry *entry, struct allotment_shell *allotment);
/* Uses a later incarnation of this node in the ids of new attempts; attempts in progress keep
 * theirs. */
void entry_set_incarnation(struct entry *entry, uint64_t incarnation);

#endif
