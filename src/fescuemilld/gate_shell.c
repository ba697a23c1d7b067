/*
 * Gate shell: carries out what the attempt table and the admission decide.
 */
#include "fescuemilld/gate_shell.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate_admission.h"
#include "fescuemilld/gate_attempt.h"
#include "fescuemilld/gate_key.h"
#include "fescuemilld/gate_probe.h"
#include "fescuemilld/gate_reply.h"
#include "fescuemilld/gate_shell_defs.h"

#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX    16384
#define LIVE_MAX       2048
#define ENTRIES_MAX    4096
#define KEEP_MARGIN_US (2 * USEC_PER_SEC)
#define TICK_LIVE_MS   (GATE_TICK_INTERVAL_US / USEC_PER_MSEC)
#define TICK_IDLE_MS   1000
#define HTTP_ERROR_MIN 500

static const struct origin no_origin = {NULL, NULL};

/* Frees an attempt that the table has forgotten. */
static void end_attempt(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;

	if (attempt->run)
		backend_call_cancel(attempt->run);
	gate_key_finished(attempt, OUTCOME_UNKNOWN, 0);
	gate_admission_cancel(attempt);
	gate_attempt_free(attempt);
	gate_admission_carry_out(shell);
}

/* Starts an event about an attempt. */
struct attempt_gate_event gate_shell_event(enum attempt_gate_event_type type,
					   const struct attempt_id *id)
{
	struct attempt_gate_event event;

	memset(&event, 0, sizeof(event));
	event.type = type;
	event.id = *id;
	return event;
}

/* Tells the table that a run ended, and replies. */
static void report_finished(struct gate_attempt *attempt, enum call_outcome outcome,
			    enum call_reason reason, uint64_t bytes)
{
	struct attempt_gate_event event = gate_shell_event(GATE_EVENT_FINISHED, &attempt->id);

	gate_key_finished(attempt, outcome, bytes);
	event.finished.outcome = outcome;
	event.finished.reason = reason;
	event.finished.bytes = bytes;
	gate_shell_step(attempt->shell, &event, &no_origin);
}

/* Maps the end of a run to what admission learns from it. */
static enum gate_result result_of(const struct backend_answer *answer)
{
	switch (answer->end) {
	case BACKEND_END_ANSWERED:
		return answer->status < HTTP_ERROR_MIN ? GATE_RESULT_OK : GATE_RESULT_ERROR;
	case BACKEND_END_REFUSED:
		return GATE_RESULT_SHED;
	case BACKEND_END_TIMEOUT:
	case BACKEND_END_EXPIRED:
		return GATE_RESULT_TIMEOUT;
	default:
		return GATE_RESULT_ERROR;
	}
}

/* Tells how a run ended, with the load that the backend server told. */
static void log_run_ended(const struct gate_attempt *attempt, const struct backend_answer *answer)
{
	bool is_good = answer->end == BACKEND_END_ANSWERED && answer->status < HTTP_ERROR_MIN;

	log_write(
		is_good ? LOG_DEBUG : LOG_INFO, LOG_PART_GATE, "A run ended.",
		"entry=%016llx sequence=%llu class=%s end=%s status=%u queue_us=%llu server_us=%u "
		"beside=%u running=%u waiting=%u slots=%u pace_percent=%u",
		(unsigned long long)attempt->id.entry.node_id,
		(unsigned long long)attempt->id.sequence, attempt->call.class_name,
		backend_end_name(answer->end), answer->status,
		(unsigned long long)(attempt->started_us - attempt->offered_us), answer->server_us,
		attempt->ticket.beside, answer->load.running, answer->load.waiting,
		answer->load.slots, answer->load.pace_percent);
}

/* Takes the end of a run from the backend client. */
static void on_backend_done(void *user, const struct backend_answer *answer)
{
	struct gate_attempt *attempt = user;
	struct gate_shell *shell = attempt->shell;
	enum call_reason reason;
	enum call_outcome outcome = backend_end_outcome(answer->end, &reason);
	uint64_t bytes = 0;

	attempt->run = NULL;
	log_run_ended(attempt, answer);
	latency_record(LATENCY_RUN, answer->server_us);
	gate_probe_take_load(shell, answer);
	gate_admission_finish(attempt, result_of(answer));
	if (outcome == OUTCOME_ANSWERED)
		bytes = gate_attempt_keep(attempt, answer);
	else
		attempt->answer.server_us = answer->server_us;
	gate_attempt_release_request(attempt);
	report_finished(attempt, outcome, reason, bytes);
	gate_admission_carry_out(shell);
	if (answer->end == BACKEND_END_NOT_CONNECTED && shell->options.on_unreachable)
		shell->options.on_unreachable(shell->options.user);
}

/* Sends an admitted attempt to the backend server. */
static void start_run(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;
	struct error err = {0};
	uint64_t now_us = clock_monotonic_us();
	struct backend_request req = {.id = attempt->id, .call = &attempt->call};

	if (attempt->is_settled) {
		report_finished(attempt, attempt->settled, attempt->settled_reason,
				attempt->settled_bytes);
		return;
	}
	counter_add(COUNTER_GATE_ADMITTED, 1);
	attempt->started_us = now_us;
	latency_record(LATENCY_GATE_QUEUE, now_us - attempt->offered_us);
	if (shell->backend.instance[0])
		req.instance = shell->backend.instance;
	if (attempt->deadline_us > now_us)
		req.time_left_us = attempt->deadline_us - now_us;
	if (backend_call_start(shell->client, &req, on_backend_done, attempt, &attempt->run,
			       &err) == 0)
		return;
	log_failure(LOG_WARNING, LOG_PART_GATE, "A call could not be started.", &err);
	gate_admission_finish(attempt, GATE_RESULT_ERROR);
	report_finished(attempt, OUTCOME_NOT_RUN, REASON_NO_BACKEND, 0);
}

/* Stops a running attempt, whose end must be reported. */
static void cancel_run(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;
	bool is_expired = clock_monotonic_us() >= attempt->deadline_us;
	enum call_reason reason = is_expired ? REASON_EXPIRED : REASON_CANCELLED;
	bool begun = attempt->run && backend_call_cancel(attempt->run);

	counter_add(COUNTER_GATE_CANCELLED, 1);
	attempt->run = NULL;
	if (is_expired)
		gate_admission_finish(attempt, GATE_RESULT_TIMEOUT);
	else
		gate_admission_cancel(attempt);
	report_finished(attempt, begun ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, reason, 0);
	gate_admission_carry_out(shell);
}

/* Takes a new attempt in. */
static void offer(struct gate_shell *shell, const struct attempt_gate_action *action,
		  const struct origin *origin)
{
	struct gate_attempt *attempt = gate_attempt_new(shell, origin);

	if (!attempt) {
		struct attempt_gate_event event = gate_shell_event(GATE_EVENT_REFUSED, &action->id);

		event.refused.reason = REASON_OVERLOAD;
		gate_shell_step(shell, &event, origin);
		return;
	}
	attempt->deadline_us = action->deadline_us;
	attempt->offered_us = clock_monotonic_us();
	attempt_gate_set_user(shell->table, &action->id, attempt);
	switch (gate_key_begin(attempt)) {
	case GATE_KEY_OFFER:
		gate_admission_offer(attempt);
		break;
	case GATE_KEY_SETTLE:
		attempt->is_settled = true;
		gate_admission_decide(attempt, (struct gate_verdict){GATE_START, REASON_NONE});
		break;
	case GATE_KEY_REFUSE:
		gate_admission_decide(attempt,
				      (struct gate_verdict){GATE_REFUSE, attempt->settled_reason});
		break;
	}
	gate_admission_carry_out(shell);
}

/* Counts a message that is not answered. */
static void count_drop(const struct attempt_gate_action *action)
{
	if (action->reason == REASON_STALE_EPOCH)
		counter_add(COUNTER_GATE_STALE_EPOCH, 1);
	else if (action->reason == REASON_INCARNATION)
		counter_add(COUNTER_GATE_WRONG_INCARNATION, 1);
}

/* Takes an attempt out of admission's queue. */
static void withdraw(struct gate_attempt *attempt)
{
	gate_key_finished(attempt, OUTCOME_NOT_RUN, 0);
	gate_attempt_release_request(attempt);
	gate_admission_cancel(attempt);
	gate_admission_carry_out(attempt->shell);
}

/* Carries out one action of the table. */
static void run_action(struct gate_shell *shell, const struct attempt_gate_action *action,
		       const struct origin *origin)
{
	struct gate_attempt *attempt = action->user;

	if (action->duplicate)
		counter_add(COUNTER_GATE_DUPLICATES, 1);
	switch (action->type) {
	case GATE_ACTION_OFFER:
		offer(shell, action, origin);
		break;
	case GATE_ACTION_START:
		start_run(attempt);
		break;
	case GATE_ACTION_WITHDRAW:
		withdraw(attempt);
		break;
	case GATE_ACTION_CANCEL_RUN:
		cancel_run(attempt);
		break;
	case GATE_ACTION_REPLY_ANSWER:
		gate_reply_answer(shell, action, origin);
		break;
	case GATE_ACTION_REPLY_OUTCOME:
		gate_reply_outcome(shell, action, origin);
		break;
	case GATE_ACTION_REPLY_PENDING:
		gate_reply_pending(shell, action, origin);
		break;
	case GATE_ACTION_RELEASE_ANSWER:
		gate_attempt_release_answer(attempt);
		break;
	case GATE_ACTION_FREE:
		if (attempt)
			end_attempt(attempt);
		break;
	case GATE_ACTION_DROP:
		count_drop(action);
		break;
	}
}

/* Notes the route of a message for later replies about its attempt. A message that is dropped
 * changes nothing. */
static void note_route(struct gate_shell *shell, const struct origin *origin,
		       const struct attempt_gate_actions *actions)
{
	struct gate_attempt *attempt;

	if (!origin->route)
		return;
	if (actions->count > 0 && actions->list[0].type == GATE_ACTION_DROP)
		return;
	attempt = attempt_gate_user(shell->table, &origin->msg->id);
	if (attempt)
		attempt->route = *origin->route;
}

/* Passes an event to the table and carries out its actions. */
void gate_shell_step(struct gate_shell *shell, const struct attempt_gate_event *event,
		     const struct origin *origin)
{
	struct attempt_gate_actions actions;
	struct error err = {0};

	if (attempt_gate_step(shell->table, event, clock_monotonic_us(), &actions, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_GATE, "An event did not fit its attempt.", &err);
		return;
	}
	note_route(shell, origin, &actions);
	for (uint32_t i = 0; i < actions.count; i++)
		run_action(shell, &actions.list[i], origin);
}

/* Lets time pass in the table and in admission. */
static void tick(struct gate_shell *shell)
{
	struct attempt_gate_event event = {.type = GATE_EVENT_TICK};
	uint64_t now_us = clock_monotonic_us();

	while (attempt_gate_next_due_us(shell->table) <= now_us)
		gate_shell_step(shell, &event, &no_origin);
	gate_admission_tick(shell);
	gate_key_expire(shell);
}

static void on_timer(uv_timer_t *timer);

/* Runs the timer often while attempts live, and seldom otherwise. */
static void set_timer(struct gate_shell *shell)
{
	uint64_t ms = gate_shell_live(shell) > 0 ? TICK_LIVE_MS : TICK_IDLE_MS;

	if (uv_is_active((uv_handle_t *)&shell->timer) && uv_timer_get_due_in(&shell->timer) <= ms)
		return;
	uv_timer_start(&shell->timer, on_timer, ms, 0);
}

/* Lets time pass. */
static void on_timer(uv_timer_t *timer)
{
	struct gate_shell *shell = timer->data;

	tick(shell);
	set_timer(shell);
}

/* Takes a call. It is refused for a reason other than REASON_NONE if it is new. */
static void take_call(struct gate_shell *shell, struct origin *origin, enum call_reason refusal)
{
	const struct message *msg = origin->msg;
	struct attempt_gate_event event = gate_shell_event(GATE_EVENT_CALL, &msg->id);

	event.epoch = msg->epoch;
	event.call.gate_incarnation = msg->call.gate_incarnation;
	event.call.time_left_us = msg->call.time_left_us;
	event.call.bytes = gate_attempt_bytes(&msg->call);
	event.call.refusal = refusal;
	gate_shell_step(shell, &event, origin);
	set_timer(shell);
}

/* Takes a call that is not to run unless it is known already. */
void gate_shell_refuse(struct gate_shell *shell, const struct channel_route *from,
		       const struct message *msg, enum call_reason reason)
{
	struct origin origin = {from, msg};

	take_call(shell, &origin, reason);
}

/* Takes a message of an entry. */
void gate_shell_message(struct gate_shell *shell, const struct channel_route *from,
			const struct message *msg)
{
	struct origin origin = {from, msg};
	struct attempt_gate_event event = gate_shell_event(GATE_EVENT_ACK, &msg->id);

	event.epoch = msg->epoch;
	switch (msg->type) {
	case MESSAGE_CALL:
		take_call(shell, &origin, REASON_NONE);
		return;
	case MESSAGE_ASK:
		event.type = GATE_EVENT_ASK;
		event.ask.gate_incarnation = msg->ask.gate_incarnation;
		break;
	case MESSAGE_CANCEL:
		event.type = GATE_EVENT_CANCEL;
		break;
	case MESSAGE_ACK:
		break;
	case MESSAGE_PING:
		gate_reply_pong(shell, &origin);
		return;
	default:
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
		return;
	}
	gate_shell_step(shell, &event, &origin);
	set_timer(shell);
}

/* Tells admission the backend server's state; a draining node outweighs it. */
static void apply_backend(struct gate_shell *shell)
{
	enum backend_state state = shell->backend.state;

	if (shell->is_draining && state != BACKEND_NONE)
		state = BACKEND_DRAINING;
	gate_admission_set_backend(shell, state);
}

/* Sets what the backend server announced last. */
void gate_shell_set_backend(struct gate_shell *shell, const struct announcement *now)
{
	struct endpoint to = {now->ip, now->port};

	if (shell->options.backend_server.port != 0)
		to = shell->options.backend_server;
	shell->backend = *now;
	/* A lease can lapse while the server still runs calls, so the port is kept. */
	if (to.port != 0)
		backend_client_set_address(shell->client, &to);
	apply_backend(shell);
}

/* Sets the classes. */
void gate_shell_set_config(struct gate_shell *shell, const struct service_config *config)
{
	if (strcmp(config->service, shell->admission.service) != 0 ||
	    config->version != shell->admission.config_version)
		gate_admission_set_config(shell, config);
}

/* Sets where the backend server tells its load; an empty path when it does not. */
void gate_shell_set_health_path(struct gate_shell *shell, const char *path)
{
	memcpy(shell->health_path, path, strlen(path) + 1);
	shell->admission.pace.is_used = path[0] != '\0';
}

/* Gives the gate that decides. */
struct gate *gate_shell_admission(struct gate_shell *shell)
{
	return &shell->admission;
}

/* Sets the homes of keys anew. */
void gate_shell_set_members(struct gate_shell *shell, const struct key_members *members)
{
	key_members_apply(members, shell->backend.service, shell->keys,
			  clock_wall_us() / USEC_PER_MSEC);
}

/* Looks for the backend server. */
void gate_shell_look(struct gate_shell *shell)
{
	if (shell->backend.state == BACKEND_NONE && shell->options.backend_server.port != 0)
		gate_probe_look(shell);
}

/* Takes no new work from now on. */
void gate_shell_drain(struct gate_shell *shell)
{
	shell->is_draining = true;
	apply_backend(shell);
}

/* Takes attempts that are meant for a later incarnation from now on. */
void gate_shell_set_incarnation(struct gate_shell *shell, uint64_t incarnation)
{
	shell->options.incarnation = incarnation;
	attempt_gate_set_incarnation(shell->table, incarnation);
}

/* Counts attempts that wait or run. */
uint32_t gate_shell_live(const struct gate_shell *shell)
{
	return attempt_gate_live(shell->table);
}

/* Counts attempts that are remembered. */
uint32_t gate_shell_records(const struct gate_shell *shell)
{
	return attempt_gate_records(shell->table);
}

/* Gives the gate's load. */
void gate_shell_get_load(const struct gate_shell *shell, struct gate_load *load)
{
	gate_get_load(&shell->admission, load);
}

/* Makes the table of keys, which knows of nothing before now. */
static int open_keys(struct gate_shell *shell, struct error *err)
{
	struct key_settings settings;

	key_default_settings(&settings);
	settings.own_id = shell->options.node_id;
	settings.start_ms = clock_wall_us() / USEC_PER_MSEC;
	settings.retention_ms = shell->options.key_retention_ms;
	settings.spread_ms = shell->options.key_spread_ms;
	return key_create(&shell->keys, &settings, err);
}

/* Opens the gate role. Errors: ERROR_MEMORY and those of the charts. */
int gate_shell_open(struct gate_shell **out, uv_loop_t *loop,
		    const struct gate_shell_options *options, struct error *err)
{
	struct gate_shell *shell = calloc(1, sizeof(*shell));
	struct attempt_gate_settings settings = {
		.incarnation = options->incarnation,
		.records_max = RECORDS_MAX,
		.live_max = LIVE_MAX,
		.entries_max = ENTRIES_MAX,
		.bytes_max = options->memory_bytes_max,
		.keep_margin_us = KEEP_MARGIN_US,
	};

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the gate");
	shell->loop = loop;
	shell->options = *options;
	gate_admission_init(shell);
	shell->admission.tally = options->burn;
	shell->admission.slots_used_percent = options->slots_used_percent;
	if (attempt_gate_create(&shell->table, &settings, err) != 0) {
		free(shell);
		return -1;
	}
	if (backend_client_open(&shell->client, loop, options->dialect, options->answer_bytes_max,
				err) != 0 ||
	    open_keys(shell, err) != 0) {
		attempt_gate_destroy(shell->table);
		free(shell);
		return -1;
	}
	uv_timer_init(loop, &shell->timer);
	shell->timer.data = shell;
	uv_timer_start(&shell->timer, on_timer, TICK_IDLE_MS, 0);
	*out = shell;
	return 0;
}

/* Frees the gate after its timer is closed. */
static void free_shell(uv_handle_t *handle)
{
	struct gate_shell *shell = handle->data;

	gate_key_free_all(shell);
	attempt_gate_destroy(shell->table);
	free(shell);
}

/* Closes a gate without live attempts. */
void gate_shell_close(struct gate_shell *shell)
{
	gate_probe_cancel(shell);
	backend_client_close(shell->client);
	uv_close((uv_handle_t *)&shell->timer, free_shell);
}
