/*
 * Key proof of a node. A watcher of its failure domain asks the store about once a second; the
 * other nodes hear of it with the answers to their calls and pings. A node that hears nothing
 * recent pings more members, and asks the store itself when its proof has reached half of the
 * bound.
 *
 * The question is a list of the configuration's objects after the last possible name: a small,
 * linearizable read that tells the store's version. If this node has all changes up to that
 * version, its configuration was current when the question was sent. Otherwise other objects, or
 * the configuration, were written since: then a watch that does not wait brings the changes, and
 * its answer counts only if it reaches the version that was read. A watch alone proves nothing: one
 * that waits tells the time of its question at best, and it may have missed changes.
 */
#include "fescuemilld/node/key_proof_shell.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define AFTER_LAST_NAME "~" /* sorts after every name of an object */

/* A watcher asks this often. Questions that are not answered don't hold up the next one, so that
 * the first question after the store's return is answered. */
#define WATCHER_PERIOD_US (900 * USEC_PER_MSEC)
#define RUNNING_MAX	  4 /* questions to the store that are not answered yet */
/* Other nodes of a failure domain together ask the store at most about this often, as long as their
 * peers answer; a node whose peers are silent asks once in OWN_PERIOD_US. */
#define DOMAIN_READS_PER_S 16
#define OWN_PERIOD_US	   (1000 * USEC_PER_MSEC)
#define PEERS_SILENT_US	   (1500 * USEC_PER_MSEC)
/* From these parts of the bound on, a proof is too old to wait for the regular pings (2 s of 5 s),
 * and to wait for peers (2.5 s): the rest covers a call of the store that is lost. */
#define ASK_PEERS_PERCENT 40
#define ASK_STORE_PERCENT 50
#define PEERS_PERIOD_US	  (200 * USEC_PER_MSEC)
#define PEERS_ASKED	  2

struct key_proof_shell {
	struct key_proof_options options;
	struct key_proof proof;
	struct random rng;
	uint64_t read_due_us; /* by clock_boottime_us(), like all times here */
	uint64_t peers_asked_us;
	uint64_t heard_us; /* when a peer last answered a question */
	uint32_t running;  /* calls of the store */
	bool was_fresh;
	bool is_closed;
};

/* One question to the store. */
struct question {
	struct key_proof_shell *shell;
	uint64_t asked_us; /* when the list was sent */
	uint64_t version;  /* of the store, as the list told; 0: not yet */
	uint64_t after;	   /* version that the changes continue from; 0: all objects */
	uint64_t ticket;   /* config_ticket() when the list was sent */
};

/* Opens the proof of a node that has just started and can prove nothing. Errors: ERROR_MEMORY. */
int key_proof_shell_open(struct key_proof_shell **out, const struct key_proof_options *options,
			 struct error *err)
{
	struct key_proof_shell *shell = calloc(1, sizeof(*shell));

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the key proof");
	shell->options = *options;
	key_proof_init(&shell->proof, options->revoke_ms);
	random_seed(&shell->rng, options->seed);
	*out = shell;
	return 0;
}

/* Ends the questions. The shell is not freed, as the process exits next and the administration API
 * may still answer. */
void key_proof_shell_close(struct key_proof_shell *shell)
{
	shell->is_closed = true;
}

bool key_proof_shell_is_active(const struct key_proof_shell *shell)
{
	const struct routing *routing = config_routing(shell->options.config);

	return shell->options.revoke_ms > 0 && routing && routing->customers.count > 0;
}

uint32_t key_proof_shell_age_ms(const struct key_proof_shell *shell)
{
	uint64_t age_us = key_proof_age_us(&shell->proof, clock_boottime_us());

	return age_us / USEC_PER_MSEC < UINT32_MAX
		       ? (uint32_t)((age_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC)
		       : UINT32_MAX;
}

/* Logs when the proof was lost or regained, and returns whether it holds. */
bool key_proof_shell_is_fresh(struct key_proof_shell *shell)
{
	uint64_t now_us = clock_boottime_us();
	bool is_fresh;

	if (!key_proof_shell_is_active(shell))
		return true;
	key_proof_catch_up(&shell->proof, config_version(shell->options.config));
	is_fresh = key_proof_is_fresh(&shell->proof, now_us);
	if (is_fresh == shell->was_fresh)
		return is_fresh;
	shell->was_fresh = is_fresh;
	counter_add(COUNTER_KEY_PROOF_LOST, is_fresh ? 0 : 1);
	log_write(is_fresh ? LOG_INFO : LOG_WARNING, LOG_PART_CONFIG,
		  is_fresh ? "The customers' keys are proven current."
			   : "The customers' keys can't be proven current; calls with a key are "
			     "refused.",
		  "age_us=%" PRIu64 " source=%s proof_version=%" PRIu64 " config_version=%" PRIu64
		  " bound_ms=%u",
		  key_proof_age_us(&shell->proof, now_us),
		  key_proof_source_name(shell->proof.current.source), shell->proof.current.version,
		  config_version(shell->options.config), shell->options.revoke_ms);
	return is_fresh;
}

void key_proof_shell_tell(const struct key_proof_shell *shell, struct key_proof_item *out)
{
	memset(out, 0, sizeof(*out));
	if (key_proof_shell_is_active(shell))
		key_proof_tell(&shell->proof, clock_boottime_us(), out);
}

void key_proof_shell_hear(struct key_proof_shell *shell, const struct key_proof_item *item,
			  enum key_proof_source source, uint64_t asked_us)
{
	uint64_t now_us = clock_boottime_us();

	if (!key_proof_shell_is_active(shell))
		return;
	/* Answers of gates don't count as heard: the gate may be this node's own. */
	if (source == KEY_PROOF_GOSSIP)
		shell->heard_us = now_us;
	if (!item->is_set)
		return;
	/* A claim about a later version can't be used until this node has pulled that version. */
	config_record_peer_version(shell->options.config, item->version);
	key_proof_hear(&shell->proof, item, source, asked_us, config_version(shell->options.config),
		       now_us);
}

/* Records that the store had no newer configuration than the one in force at asked_us. */
static void adopt_own(struct key_proof_shell *shell, uint64_t asked_us)
{
	struct key_proof_claim claim = {KEY_PROOF_STORE, config_version(shell->options.config),
					asked_us};

	key_proof_adopt(&shell->proof, &claim, claim.version, clock_boottime_us());
	key_proof_shell_is_fresh(shell);
}

/* A list of all objects is a linearizable read; a watch proves nothing by itself. */
void key_proof_shell_answered(struct key_proof_shell *shell, bool is_list, uint64_t asked_us)
{
	if (is_list && config_is_ready(shell->options.config))
		adopt_own(shell, asked_us);
}

/* Applies the objects or changes of an answer. Returns true if the configuration in force is that
 * of the answer. After a pause, answers to earlier questions must not make the configuration ready.
 */
static bool apply_answer(struct question *question, const struct platform_result *result)
{
	struct config_store *config = question->shell->options.config;
	struct error err = {0};
	json_t *root;
	int status;

	if (config_ticket(config) != question->ticket)
		return false;
	root = result->root ? json_incref(result->root)
			    : json_loadb(result->body, result->body_size, 0, NULL);
	status = config_apply_answer(config, question->after, root, &err);
	json_decref(root);
	if (status != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG,
			    "Configuration from the platform was rejected.", &err);
	return status == 0 && config_applied_through(config) >= question->version;
}

/* Ends a question whose answer brought changes or all objects. */
static void on_applied(void *user, const struct platform_result *result);

/* Asks for changes, or with `after` 0 for all objects. */
static void ask_further(struct question *question, uint64_t after)
{
	struct key_proof_shell *shell = question->shell;
	struct platform_request request = {
		.type = after > 0 ? PLATFORM_WATCH : PLATFORM_LIST,
		.kind = CONFIG_KIND,
		.version = after,
	};

	question->after = after;
	shell->running++;
	counter_add(COUNTER_KEY_PROOF_READS, 1);
	platform_start(shell->options.store, &request, on_applied, question);
}

/* The proof counts from the list that told the store's version, which was sent before. A store that
 * no longer has the changes is asked for all objects. */
static void on_applied(void *user, const struct platform_result *result)
{
	struct question *question = user;
	struct key_proof_shell *shell = question->shell;

	shell->running--;
	if (!shell->is_closed && result->err.kind == ERROR_VERSION && question->after > 0) {
		ask_further(question, 0);
		return;
	}
	if (!shell->is_closed && result->err.kind == ERROR_NONE && apply_answer(question, result))
		adopt_own(shell, question->asked_us);
	free(question);
}

/* Handles the store's version. A failure is not logged: the list-and-watch logs outages, and the
 * loss of the proof is logged. */
static void on_listed(void *user, const struct platform_result *result)
{
	struct question *question = user;
	struct key_proof_shell *shell = question->shell;

	shell->running--;
	if (!shell->is_closed && result->err.kind == ERROR_NONE) {
		question->version = result->version;
		if (config_applied_through(shell->options.config) < result->version) {
			ask_further(question, config_applied_through(shell->options.config));
			return;
		}
		adopt_own(shell, question->asked_us);
	}
	free(question);
}

static void ask_store(struct key_proof_shell *shell)
{
	struct platform_request request = {
		.type = PLATFORM_LIST,
		.kind = CONFIG_KIND,
		.after_name = AFTER_LAST_NAME,
	};
	struct question *question;

	if (shell->running >= RUNNING_MAX)
		return;
	question = calloc(1, sizeof(*question));
	if (!question) {
		log_write(LOG_WARNING, LOG_PART_CONFIG, "No memory to ask for the key proof.",
			  NULL);
		return;
	}
	question->shell = shell;
	question->asked_us = clock_boottime_us();
	question->ticket = config_ticket(shell->options.config);
	shell->running++;
	counter_add(COUNTER_KEY_PROOF_READS, 1);
	platform_start(shell->options.store, &request, on_listed, question);
}

/* Returns the number of live members of the own failure domain. */
static uint64_t domain_size(const struct key_proof_shell *shell)
{
	const struct member_table *members = shell->options.members;
	uint64_t count = 0;

	for (size_t i = 0; i < member_count(members); i++) {
		const struct member *member = member_at(members, i);

		count += member->state == MEMBER_ALIVE &&
			 strcmp(member->domain, shell->options.domain) == 0;
	}
	return count;
}

/* Returns the time between two questions of a node that does not watch the store. */
static uint64_t own_period_us(const struct key_proof_shell *shell, uint64_t now_us)
{
	uint64_t size = domain_size(shell);

	if (now_us > shell->heard_us + PEERS_SILENT_US || size < DOMAIN_READS_PER_S)
		return OWN_PERIOD_US;
	return size * USEC_PER_SEC / DOMAIN_READS_PER_S;
}

/* Schedules the next question to the store, between half of the period and one and a half. */
static void schedule_read(struct key_proof_shell *shell, uint64_t period_us, uint64_t now_us)
{
	shell->read_due_us =
		now_us + period_us / 2 + (uint64_t)(random_unit(&shell->rng) * (double)period_us);
}

/* Asks the store regularly. */
static void tick_watcher(struct key_proof_shell *shell, uint64_t now_us)
{
	if (now_us < shell->read_due_us)
		return;
	shell->read_due_us = now_us + WATCHER_PERIOD_US;
	ask_store(shell);
}

/* Asks the store while the proof is too old. The first question waits, too: the proofs of many
 * nodes become old at once when the store falls silent, or when customers are configured for the
 * first time. */
static void tick_other(struct key_proof_shell *shell, bool is_due, uint64_t now_us)
{
	bool is_first = shell->read_due_us == 0;

	if (!is_due) {
		shell->read_due_us = 0;
		return;
	}
	if (!is_first && now_us < shell->read_due_us)
		return;
	schedule_read(shell, own_period_us(shell, now_us), now_us);
	if (!is_first)
		ask_store(shell);
}

/* Asks the store and peers, as far as that is due. */
void key_proof_shell_tick(struct key_proof_shell *shell, bool is_watcher)
{
	uint64_t now_us = clock_boottime_us();
	uint64_t bound_us = shell->options.revoke_ms * USEC_PER_MSEC;
	uint64_t age_us;

	if (!key_proof_shell_is_active(shell)) {
		shell->read_due_us = 0;
		return;
	}
	key_proof_shell_is_fresh(shell);
	age_us = key_proof_age_us(&shell->proof, now_us);
	counter_set(COUNTER_KEY_PROOF_AGE, key_proof_shell_age_ms(shell));
	if (age_us > bound_us * ASK_PEERS_PERCENT / 100 &&
	    now_us >= shell->peers_asked_us + PEERS_PERIOD_US) {
		shell->peers_asked_us = now_us;
		gossip_ask_members(shell->options.gossip, PEERS_ASKED, clock_monotonic_us());
	}
	if (is_watcher)
		tick_watcher(shell, now_us);
	else
		tick_other(shell, age_us > bound_us * ASK_STORE_PERCENT / 100, now_us);
}
