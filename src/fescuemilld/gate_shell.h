/*
 * Gate shell: carries out what the attempt table and the admission decide: messages from entries
 * in, calls to the backend server, answers out.
 */
#ifndef FESCUEMILLD_GATE_SHELL_H
#define FESCUEMILLD_GATE_SHELL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/decide/gate_defs.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/wire/channel.h"
#include "fescuemilld/key_members.h"

#include <uv.h>

struct gate_shell;

struct gate_shell_options {
	struct channel *channel;
	struct burn_tables burn; /* counts attempts by profile */
	struct budget *budget;	 /* charged with heartbeats; their link is charged at the entry */
	uint64_t node_id;
	uint64_t incarnation;
	uint32_t key_retention_ms;
	uint32_t key_spread_ms;
	const struct http_dialect *dialect;
	uint32_t slots_used_percent;	/* 0: found by measurement */
	struct endpoint backend_server; /* port 0: as the backend server announces itself */
	uint32_t answer_bytes_max;
	uint64_t memory_bytes_max;
	/* A probe found the backend server although it has not announced itself. May be NULL. */
	void (*on_found)(void *user, const struct backend_load *load);
	/* Called when the backend server took no connection; it may set the backend server. */
	void (*on_unreachable)(void *user);
	void *user;
};

int gate_shell_open(struct gate_shell **out, uv_loop_t *loop,
		    const struct gate_shell_options *options, struct error *err);
void gate_shell_close(struct gate_shell *shell);

/* Takes a message about an attempt, or a ping. */
void gate_shell_message(struct gate_shell *shell, const struct channel_route *from,
			const struct message *msg);
/* Takes a call that is not to run unless it is known already. */
void gate_shell_refuse(struct gate_shell *shell, const struct channel_route *from,
		       const struct message *msg, enum call_reason reason);
/* Sets what the backend server announced last. */
void gate_shell_set_backend(struct gate_shell *shell, const struct announcement *now);
/* Sets the classes of the service; whoever changes them sets their rates too. */
void gate_shell_set_config(struct gate_shell *shell, const struct service_config *config);
/* Sets where the backend server tells its load and pace; empty when it does not. */
void gate_shell_set_health_path(struct gate_shell *shell, const char *path);
/* Looks for the backend server by a probe while it has not announced itself. */
void gate_shell_look(struct gate_shell *shell);
/* The gate itself, for whoever sets the rates of its classes. */
struct gate *gate_shell_admission(struct gate_shell *shell);
/* Sets the homes of keys anew; call it at every change of members and twice a second. */
void gate_shell_set_members(struct gate_shell *shell, const struct key_members *members);
/* Takes no new work from now on, and refuses what waits. */
void gate_shell_drain(struct gate_shell *shell);
/* Takes attempts that are meant for a later incarnation from now on. */
void gate_shell_set_incarnation(struct gate_shell *shell, uint64_t incarnation);

/* Attempts that wait or run. */
uint32_t gate_shell_live(const struct gate_shell *shell);
/* Attempts that are remembered, those included whose outcome the entry has not acknowledged. */
uint32_t gate_shell_records(const struct gate_shell *shell);
void gate_shell_get_load(const struct gate_shell *shell, struct gate_load *load);

#endif
