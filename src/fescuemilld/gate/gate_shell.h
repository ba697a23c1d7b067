/*
 * Shell of the gate role: handles messages from entries, carries out the decisions of the attempt
 * table and of admission, runs calls on the backend server and sends their answers.
 */
#ifndef FESCUEMILLD_GATE_GATE_SHELL_H
#define FESCUEMILLD_GATE_GATE_SHELL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/decide/gate_defs.h"
#include "fescuemill/decide/key_proof_defs.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/wire/channel.h"
#include "fescuemilld/node/key_members.h"

#include <uv.h>

struct crash_shell;
struct gate_shell;

struct gate_shell_options {
	struct channel *channel;
	struct burn_tables burn; /* counts attempts in and out of their class's profile */
	/* Charged for heartbeats; their use of the link between regions is charged at the entry. */
	struct budget *budget;
	uint64_t node_id;
	uint64_t incarnation;
	uint32_t key_retention_ms;
	uint32_t key_spread_ms;
	const struct http_dialect *dialect;
	/* Fixed limit, in percent of the backend server's slots; 0: the limit adapts. */
	uint32_t slots_used_percent;
	struct endpoint backend_server; /* address to use; port 0: the announced one */
	uint32_t answer_bytes_max;	/* size limit of one answer of the backend server */
	uint64_t memory_bytes_max;	/* total size of requests and stored answers */
	/* Called when a probe finds a backend server that has not announced itself. May be NULL. */
	void (*on_backend_found)(void *user, const struct backend_load *load);
	/* Called when a probe of a backend server that has not announced itself was answered with
	 * another status than 200. */
	void (*on_backend_refused)(void *user);
	/* Called when the backend server accepted no connection; the callback may call
	 * gate_shell_set_backend(). May be NULL. */
	void (*on_unreachable)(void *user);
	/* Called when the backend server, in its start at started_ms (0: not known), states that it
	 * is leaving. May be NULL. */
	void (*on_leaving)(void *user, uint64_t started_ms);
	/* Fills in how current this node's configuration is. May be NULL. */
	void (*get_proof)(void *user, struct key_proof_item *out);
	void *user;
};

int gate_shell_open(struct gate_shell **out, uv_loop_t *loop,
		    const struct gate_shell_options *options, struct error *err);
void gate_shell_close(struct gate_shell *shell);

/* Handles a message about an attempt, or a ping. */
void gate_shell_handle_message(struct gate_shell *shell, const struct channel_route *from,
			       const struct message *msg);
/* Tells that messages are being read, or that those that have arrived were all passed on. No call
 * starts while messages are being read, since the next one may cancel it. */
void gate_shell_set_reading(struct gate_shell *shell, bool is_reading);
/* Handles a call that is refused for `reason` if it is new. A repeat of a known attempt is answered
 * as usual. */
void gate_shell_refuse_new_call(struct gate_shell *shell, const struct channel_route *from,
				const struct message *msg, enum call_reason reason);
/* Applies the latest announcement of the backend server. */
void gate_shell_set_backend(struct gate_shell *shell, const struct announcement *now);
/* Sets the classes of the service. Whoever changes them must set their rates too, through
 * gate_shell_admission(). */
void gate_shell_set_config(struct gate_shell *shell, const struct service_config *config);
/* Sets the path at which the backend server reports its load and slowdown; empty if it reports
 * none. */
void gate_shell_set_health_path(struct gate_shell *shell, const char *path);
/* Sets the rate that the backend server bears while it is cold, in calls per 1000 s (0: any), and
 * how long it is cold after its start (0: unknown). */
void gate_shell_set_cold(struct gate_shell *shell, uint32_t rate_milli, uint32_t start_ms);
/* Records what a heartbeat says of how long the backend server remains cold. */
void gate_shell_hear_heartbeat(struct gate_shell *shell, const struct announcement *heard);
/* Probes for the backend server while it has not announced itself. */
void gate_shell_discover_backend(struct gate_shell *shell);
/* Returns the admission state, for setting the rates of classes. */
struct gate *gate_shell_admission(struct gate_shell *shell);
/* Updates the owners of keys; to be called at every change of members and twice a second. */
void gate_shell_set_members(struct gate_shell *shell, const struct key_members *members);
/* Refuses new attempts from now on, and those that wait. */
void gate_shell_drain(struct gate_shell *shell);
/* Refuses new attempts and those that wait while the failure domain is evacuated. */
void gate_shell_set_evacuated(struct gate_shell *shell, bool is_evacuated);
/* Sets what is known of requests that ran when backend servers ended. */
void gate_shell_set_crashes(struct gate_shell *shell, struct crash_shell *crashes);
/* Accepts attempts addressed to a later incarnation from now on. */
void gate_shell_set_incarnation(struct gate_shell *shell, uint64_t incarnation);

/* Returns the number of attempts that wait or run. */
uint32_t gate_shell_live_count(const struct gate_shell *shell);
/* Returns the number of recorded attempts, including those whose outcome the entry has not yet
 * acknowledged. */
uint32_t gate_shell_record_count(const struct gate_shell *shell);
void gate_shell_get_load(const struct gate_shell *shell, struct gate_load *load);

#endif
