/*
 * Shell of the administration API: answers its requests from the parts of the node.
 */
#ifndef FESCUEMILLD_NODE_ADMIN_SHELL_H
#define FESCUEMILLD_NODE_ADMIN_SHELL_H

#include "fescuemill/fleet/gossip.h"
#include "fescuemill/http/admin.h"
#include "fescuemilld/entry/entry.h"
#include "fescuemilld/gate/gate_shell.h"
#include "fescuemilld/node/key_proof_shell.h"

/* All pointers must outlive the shell, which may still send answers after admin_shell_close(). */
struct admin_shell_options {
	const struct settings *settings;
	struct config_store *config;
	struct member_table *members;
	const struct burn_tables *burn;
	struct platform *platform;
	struct evacuation_table *evacuations; /* NULL: this deployment has none */
	const struct entry *entry;
	const struct gate_shell *gate;
	struct gossip *gossip;
	struct key_proof_shell *key_proof; /* may be NULL */
	const char *(*state)(void *user);  /* returns the name of the node's state */
	/* Returns the node's own member record, as gossip announces it. */
	const struct member *(*self)(void *user);
	void (*drain)(void *user); /* starts a graceful stop */
	void *user;
};

struct admin_shell;

int admin_shell_open(struct admin_shell **out, uv_loop_t *loop,
		     const struct admin_shell_options *options, struct error *err);
uint16_t admin_shell_port(const struct admin_shell *shell);
/* Returns the number of configuration changes in progress. */
uint32_t admin_shell_change_count(const struct admin_shell *shell);
/* Stops listening. Answers in progress are still sent; the memory of the shell is kept for them. */
void admin_shell_close(struct admin_shell *shell);

#endif
