/*
 * Key proof of a node: asks the store and peers how current the customers' keys are, and tells
 * others. Runs only with the setting revoke_ms and where customers are configured.
 */
#ifndef FESCUEMILLD_NODE_KEY_PROOF_SHELL_H
#define FESCUEMILLD_NODE_KEY_PROOF_SHELL_H

#include "fescuemill/decide/key_proof.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/gossip.h"
#include "fescuemill/store/platform.h"

struct key_proof_shell;

struct key_proof_options {
	uint32_t revoke_ms; /* 0: keys need no proof */
	struct platform *store;
	struct config_store *config;
	struct gossip *gossip;
	const struct member_table *members;
	const char *domain; /* of this node */
	uint64_t seed;
};

int key_proof_shell_open(struct key_proof_shell **out, const struct key_proof_options *options,
			 struct error *err);
/* Sends and takes no more questions and answers. */
void key_proof_shell_close(struct key_proof_shell *shell);
/* Returns true if keys may be used now. */
bool key_proof_shell_is_fresh(struct key_proof_shell *shell);
/* Fills in what this node tells another one that asked. */
void key_proof_shell_tell(const struct key_proof_shell *shell, struct key_proof_item *out);
/* Takes what another node told in answer to a question sent at asked_us, by clock_boottime_us();
 * also if it told nothing. */
void key_proof_shell_hear(struct key_proof_shell *shell, const struct key_proof_item *item,
			  enum key_proof_source source, uint64_t asked_us);
/* Takes the store's answer to a list or a watch of the configuration that was sent at asked_us,
 * after it was applied. */
void key_proof_shell_answered(struct key_proof_shell *shell, bool is_list, uint64_t asked_us);
/* Sends the questions that are due. To be called every NODE_HOUSEKEEPING_MS. */
void key_proof_shell_tick(struct key_proof_shell *shell, bool is_watcher);
/* Returns the age of the proof in milliseconds, rounded up; UINT32_MAX if there is none. */
uint32_t key_proof_shell_age_ms(const struct key_proof_shell *shell);
/* Returns true if this node needs a proof to serve keys. */
bool key_proof_shell_is_active(const struct key_proof_shell *shell);

#endif
