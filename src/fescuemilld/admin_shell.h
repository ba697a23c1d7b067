/*
 * Admin shell: what a node tells of itself through its administration API.
 */
#ifndef FESCUEMILLD_ADMIN_SHELL_H
#define FESCUEMILLD_ADMIN_SHELL_H

#include "fescuemill/fleet/gossip.h"
#include "fescuemill/http/admin.h"
#include "fescuemilld/entry.h"
#include "fescuemilld/gate_shell.h"

/* All pointers outlive the shell. */
struct admin_shell_options {
	const struct settings *settings;
	struct config_store *config;
	struct member_table *members;
	const struct burn_tables *burn;
	struct platform *platform;
	const struct entry *entry;
	const struct gate_shell *gate;
	struct gossip *gossip;
	const char *(*state)(void *user); /* the node's state by name */
	const struct member *(*self)(void *user);
	void (*drain)(void *user);
	void *user;
};

struct admin_shell;

int admin_shell_open(struct admin_shell **out, uv_loop_t *loop,
		     const struct admin_shell_options *options, struct error *err);
uint16_t admin_shell_port(const struct admin_shell *shell);
/* Counts the changes of configuration that still run. */
uint32_t admin_shell_changes(const struct admin_shell *shell);
/* Stops listening. Answers that are under way still go out; the memory is kept for them. */
void admin_shell_close(struct admin_shell *shell);

#endif
