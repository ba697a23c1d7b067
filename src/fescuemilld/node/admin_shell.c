/*
 * Shell of the administration API: answers its requests from the parts of the node.
 */
#include "fescuemilld/node/admin_shell.h"

#include "fescuemill/admin/burn_view.h"
#include "fescuemill/base/clock.h"

#include <stdlib.h>
#include <string.h>

struct admin_shell {
	struct admin_shell_options options;
	struct admin *admin;
	uint64_t started_us;
};

static void fill_status(void *user, struct admin_status *out)
{
	const struct admin_shell *shell = user;
	const struct admin_shell_options *options = &shell->options;
	const struct member *self = options->self(options->user);
	struct gate_load load;

	gate_shell_get_load(options->gate, &load);
	out->state = options->state(options->user);
	out->incarnation = self->identity.incarnation;
	out->uptime_ms = (clock_monotonic_us() - shell->started_us) / USEC_PER_MSEC;
	out->calls_in_flight = entry_call_count(options->entry);
	out->attempts_waiting = load.queued;
	out->slots = self->slots;
	out->slots_in_use = load.in_use;
	memcpy(out->service, self->service, sizeof(out->service));
}

/* Returns the age of the proof for the customers' keys; UINT32_MAX: none. */
static uint32_t key_proof_age_ms(void *user)
{
	const struct admin_shell *shell = user;

	return key_proof_shell_age_ms(shell->options.key_proof);
}

static void start_drain(void *user)
{
	const struct admin_shell *shell = user;

	shell->options.drain(shell->options.user);
}

/* Sets `out` to the configuration version that a member last reported by gossip. Returns false if
 * this incarnation of the member has reported none. */
static bool get_reported_version(void *user, const struct member *member,
				 struct admin_version_report *out)
{
	const struct admin_shell *shell = user;
	const struct version_report *version_report =
		gossip_version_report(shell->options.gossip, &member->identity);

	if (!version_report)
		return false;
	out->config_version = version_report->config_version;
	out->age_us = clock_monotonic_us() - version_report->reported_us;
	return true;
}

/* Pings members that are not known to have the version, to learn theirs. */
static void request_versions(void *user, uint64_t version)
{
	const struct admin_shell *shell = user;

	gossip_query_version(shell->options.gossip, version, clock_monotonic_us());
}

/* Returns the JSON of /v1/report, malloc'ed, or NULL. */
static char *build_report(void *user)
{
	const struct admin_shell *shell = user;
	const struct admin_shell_options *options = &shell->options;

	return burn_view_text(options->burn, options->config, options->settings->name,
			      clock_monotonic_us());
}

/* Opens the administration API. Errors: ERROR_MEMORY, ERROR_SYSTEM. */
int admin_shell_open(struct admin_shell **out, uv_loop_t *loop,
		     const struct admin_shell_options *options, struct error *err)
{
	struct admin_shell *shell = calloc(1, sizeof(*shell));
	struct admin_node node = {.settings = options->settings,
				  .config = options->config,
				  .members = options->members,
				  .platform = options->platform,
				  .evacuations = options->evacuations,
				  .user = shell,
				  .status = fill_status,
				  .drain = start_drain,
				  .get_version_report = get_reported_version,
				  .query_version = request_versions,
				  .report = build_report,
				  .key_proof_age_ms = options->key_proof ? key_proof_age_ms : NULL};

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the administration API");
	shell->options = *options;
	shell->started_us = clock_monotonic_us();
	if (admin_open(&shell->admin, loop, &node, err)) {
		free(shell);
		return -1;
	}
	*out = shell;
	return 0;
}

/* Returns the port that the API listens on. */
uint16_t admin_shell_port(const struct admin_shell *shell)
{
	return admin_port(shell->admin);
}

/* Returns the number of configuration changes in progress. */
uint32_t admin_shell_change_count(const struct admin_shell *shell)
{
	return admin_change_count(shell->admin);
}

/* Stops listening. Answers in progress are still sent. */
void admin_shell_close(struct admin_shell *shell)
{
	admin_close(shell->admin);
}
