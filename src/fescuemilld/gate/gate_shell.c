/*
 * Shell of the gate role: carries out the decisions of the attempt table and of admission.
 */
#include "fescuemilld/gate/gate_shell.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_admission.h"
#include "fescuemilld/gate/gate_attempt.h"
#include "fescuemilld/gate/gate_cold.h"
#include "fescuemilld/gate/gate_key.h"
#include "fescuemilld/gate/gate_notice.h"
#include "fescuemilld/gate/gate_probe.h"
#include "fescuemilld/gate/gate_reply.h"
#include "fescuemilld/gate/gate_shell_defs.h"
#include "fescuemilld/gate/gate_suspect.h"

#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX    16384
#define LIVE_MAX       2048
#define ENTRIES_MAX    4096
#define KEEP_MARGIN_US (2 * USEC_PER_SEC) /* time that a record is kept after the deadline */
#define TICK_BUSY_MS   (GATE_TICK_INTERVAL_US / USEC_PER_MSEC)
#define TICK_IDLE_MS   1000
#define HTTP_ERROR_MIN 500

/* A fourth of the memory for answers may hold those that are being received: a backend server in
 * trouble may send bytes without end to each call. */
#define RECEIVING_DIVISOR 4

static const struct origin no_origin = {NULL, NULL};

/* Frees an attempt that the table has removed; cancels its run and its place in admission. */
static void destroy_attempt(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;

	if (attempt->run)
		backend_call_cancel(attempt->run);
	gate_key_finished(attempt, OUTCOME_UNKNOWN, 0);
	gate_admission_cancel(attempt);
	gate_attempt_free(attempt);
	gate_admission_apply_verdicts(shell);
}

/* Returns an event about an attempt with its other fields zeroed. */
struct attempt_gate_event gate_shell_event(enum attempt_gate_event_type type,
					   const struct attempt_id *id)
{
	struct attempt_gate_event event;

	memset(&event, 0, sizeof(event));
	event.type = type;
	event.id = *id;
	return event;
}

/* Reports the end of a run to the attempt table, which replies to the entry. */
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

/* Maps the end of a run to the result that admission records. */
static enum gate_result gate_result_of(const struct backend_answer *answer)
{
	switch (answer->end) {
	case BACKEND_END_ANSWERED:
		return answer->status < HTTP_ERROR_MIN ? GATE_RESULT_OK : GATE_RESULT_ERROR;
	case BACKEND_END_REFUSED:
	case BACKEND_END_DRAINING:
		return GATE_RESULT_SHED;
	case BACKEND_END_TIMEOUT:
	case BACKEND_END_EXPIRED:
		return GATE_RESULT_TIMEOUT;
	default:
		return GATE_RESULT_ERROR;
	}
}

/* Logs how a run ended, with the load that the backend server reported. */
static void log_run_ended(const struct gate_attempt *attempt, const struct backend_answer *answer)
{
	bool is_success = answer->end == BACKEND_END_ANSWERED && answer->status < HTTP_ERROR_MIN;

	log_write(
		is_success ? LOG_DEBUG : LOG_INFO, LOG_PART_GATE,
		"A run on the backend server ended.",
		"entry=%016llx sequence=%llu class=%s end=%s status=%u queue_us=%llu server_us=%u "
		"beside=%u running=%u waiting=%u slots=%u pace_percent=%u",
		(unsigned long long)attempt->id.entry.node_id,
		(unsigned long long)attempt->id.sequence, attempt->call.class_name,
		backend_end_name(answer->end), answer->status,
		(unsigned long long)(attempt->started_us - attempt->offered_us), answer->server_us,
		attempt->ticket.running_at_start, answer->load.running, answer->load.waiting,
		answer->load.slots, answer->load.slowdown_percent);
}

/* Handles the end of a run, reported by the backend client. */
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
	gate_probe_record_load(shell, answer);
	gate_notice_record(shell, answer);
	gate_suspect_run_ended(attempt, answer);
	gate_admission_finish(attempt, gate_result_of(answer));
	if (outcome == OUTCOME_ANSWERED)
		bytes = gate_attempt_store_answer(attempt, answer);
	else
		attempt->answer.server_us = answer->server_us;
	gate_attempt_release_request(attempt);
	report_finished(attempt, outcome, reason, bytes);
	gate_admission_apply_verdicts(shell);
	if (answer->end == BACKEND_END_NOT_CONNECTED && shell->options.on_unreachable)
		shell->options.on_unreachable(shell->options.user);
}

/* Sends an admitted attempt to the backend server, or reports its outcome if that is already
 * known. */
static void start_run(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;
	struct error err = {0};
	uint64_t now_us = clock_monotonic_us();
	struct backend_request req = {.id = attempt->id, .call = &attempt->call};
	enum call_reason refusal;

	if (attempt->has_known_outcome) {
		report_finished(attempt, attempt->known_outcome, attempt->known_reason,
				attempt->known_answer_bytes);
		return;
	}
	/* The request may have become known as a cause of ends while it waited. */
	refusal = gate_suspect_refusal(attempt);
	if (refusal != REASON_NONE) {
		gate_admission_finish(attempt, GATE_RESULT_SHED);
		gate_attempt_release_request(attempt);
		report_finished(attempt, OUTCOME_NOT_RUN, refusal, 0);
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
	log_failure(LOG_WARNING, LOG_PART_GATE, "A run on the backend server could not be started.",
		    &err);
	gate_admission_finish(attempt, GATE_RESULT_ERROR);
	report_finished(attempt, OUTCOME_NOT_RUN, REASON_NO_BACKEND, 0);
}

/* Cancels a running attempt and reports its end. */
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
	gate_admission_apply_verdicts(shell);
}

/* Creates a new attempt and offers it to admission, unless its key already determines its
 * outcome. */
static void offer(struct gate_shell *shell, const struct attempt_gate_action *action,
		  const struct origin *origin)
{
	struct gate_attempt *attempt = gate_attempt_new(shell, origin);
	enum call_reason refusal;

	if (!attempt) {
		struct attempt_gate_event event = gate_shell_event(GATE_EVENT_REFUSED, &action->id);

		event.refused.reason = REASON_OVERLOAD;
		gate_shell_step(shell, &event, origin);
		return;
	}
	attempt->deadline_us = action->deadline_us;
	attempt->offered_us = clock_monotonic_us();
	attempt_gate_set_user(shell->table, &action->id, attempt);
	refusal = gate_suspect_refusal(attempt);
	if (refusal != REASON_NONE) {
		gate_admission_queue_verdict(attempt, (struct gate_verdict){GATE_REFUSE, refusal});
		gate_admission_apply_verdicts(shell);
		return;
	}
	switch (gate_key_begin(attempt)) {
	case GATE_KEY_OFFER:
		gate_admission_offer(attempt);
		break;
	case GATE_KEY_REPLY:
		attempt->has_known_outcome = true;
		gate_admission_queue_verdict(attempt,
					     (struct gate_verdict){GATE_START, REASON_NONE});
		break;
	case GATE_KEY_REFUSE:
		gate_admission_queue_verdict(
			attempt, (struct gate_verdict){GATE_REFUSE, attempt->known_reason});
		break;
	}
	gate_admission_apply_verdicts(shell);
}

/* Counts a message that is dropped without a reply. */
static void count_drop(const struct attempt_gate_action *action)
{
	if (action->reason == REASON_STALE_EPOCH)
		counter_add(COUNTER_GATE_STALE_EPOCH, 1);
	else if (action->reason == REASON_INCARNATION)
		counter_add(COUNTER_GATE_WRONG_INCARNATION, 1);
}

/* Removes an attempt from admission's queue. */
static void withdraw(struct gate_attempt *attempt)
{
	gate_key_finished(attempt, OUTCOME_NOT_RUN, 0);
	gate_attempt_release_request(attempt);
	gate_admission_cancel(attempt);
	gate_admission_apply_verdicts(attempt->shell);
}

/* Carries out one action of the attempt table. */
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
			destroy_attempt(attempt);
		break;
	case GATE_ACTION_DROP:
		count_drop(action);
		break;
	}
}

/* Records the connection of a message, for later replies about its attempt. Dropped messages are
 * ignored. */
static void update_route(struct gate_shell *shell, const struct origin *origin,
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

/* Passes an event to the attempt table and carries out its actions. */
void gate_shell_step(struct gate_shell *shell, const struct attempt_gate_event *event,
		     const struct origin *origin)
{
	struct attempt_gate_actions actions;
	struct error err = {0};

	if (attempt_gate_step(shell->table, event, clock_monotonic_us(), &actions, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_GATE,
			    "An event is not valid in the current state of its attempt.", &err);
		return;
	}
	update_route(shell, origin, &actions);
	for (uint32_t i = 0; i < actions.count; i++)
		run_action(shell, &actions.list[i], origin);
}

/* Processes what has become due in the attempt table, in admission and among the keys. */
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

/* Schedules the timer: every TICK_BUSY_MS while attempts wait or run, else every TICK_IDLE_MS. */
static void schedule_timer(struct gate_shell *shell)
{
	uint64_t ms = gate_shell_live_count(shell) > 0 ? TICK_BUSY_MS : TICK_IDLE_MS;

	if (uv_is_active((uv_handle_t *)&shell->timer) && uv_timer_get_due_in(&shell->timer) <= ms)
		return;
	uv_timer_start(&shell->timer, on_timer, ms, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct gate_shell *shell = timer->data;

	tick(shell);
	schedule_timer(shell);
}

/* Handles a call. If it is new and `refusal` is not REASON_NONE, it is refused for that reason. */
static void handle_call(struct gate_shell *shell, struct origin *origin, enum call_reason refusal)
{
	const struct message *msg = origin->msg;
	struct attempt_gate_event event = gate_shell_event(GATE_EVENT_CALL, &msg->id);

	gate_notice_adopt(shell, &msg->call.notice);
	event.epoch = msg->epoch;
	event.call.gate_incarnation = msg->call.gate_incarnation;
	event.call.time_left_us = msg->call.time_left_us;
	event.call.bytes = gate_attempt_request_bytes(&msg->call);
	event.call.refusal = refusal;
	gate_shell_step(shell, &event, origin);
	schedule_timer(shell);
}

/* Handles a call that is refused for `reason` if it is new. */
void gate_shell_refuse_new_call(struct gate_shell *shell, const struct channel_route *from,
				const struct message *msg, enum call_reason reason)
{
	struct origin origin = {from, msg};

	handle_call(shell, &origin, reason);
}

/* Holds the starts of calls back while messages are being read. */
void gate_shell_set_reading(struct gate_shell *shell, bool is_reading)
{
	shell->is_reading = is_reading;
	gate_admission_apply_verdicts(shell);
}

/* Handles a message from an entry. */
void gate_shell_handle_message(struct gate_shell *shell, const struct channel_route *from,
			       const struct message *msg)
{
	struct origin origin = {from, msg};
	struct attempt_gate_event event = gate_shell_event(GATE_EVENT_ACK, &msg->id);

	event.epoch = msg->epoch;
	switch (msg->type) {
	case MESSAGE_CALL:
		handle_call(shell, &origin, REASON_NONE);
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
	schedule_timer(shell);
}

/* Sets the classes of the service, if they have changed. */
void gate_shell_set_config(struct gate_shell *shell, const struct service_config *config)
{
	if (strcmp(config->service, shell->admission.service) != 0 ||
	    config->version != shell->admission.config_version)
		gate_admission_set_config(shell, config);
}

/* Sets the path at which the backend server reports its load and slowdown; empty if it reports
 * none. */
void gate_shell_set_health_path(struct gate_shell *shell, const char *path)
{
	if (strcmp(path, shell->health_path ? shell->health_path : "") != 0) {
		free(shell->health_path);
		shell->health_path = path[0] ? strdup(path) : NULL;
	}
	shell->admission.slowdown.is_enabled = shell->health_path != NULL;
}

/* Returns the admission state. */
struct gate *gate_shell_admission(struct gate_shell *shell)
{
	return &shell->admission;
}

/* Updates the owners of keys. */
void gate_shell_set_members(struct gate_shell *shell, const struct key_members *members)
{
	key_members_apply(members, shell->backend.service, shell->keys,
			  clock_wall_us() / USEC_PER_MSEC);
}

/* Probes for the backend server while it has not announced itself. */
void gate_shell_discover_backend(struct gate_shell *shell)
{
	if (shell->backend.state == BACKEND_NONE && shell->options.backend_server.port != 0)
		gate_probe_discover(shell);
}

/* Accepts attempts addressed to a later incarnation from now on. */
void gate_shell_set_incarnation(struct gate_shell *shell, uint64_t incarnation)
{
	shell->options.incarnation = incarnation;
	attempt_gate_set_incarnation(shell->table, incarnation);
}

/* Returns the number of attempts that wait or run. */
uint32_t gate_shell_live_count(const struct gate_shell *shell)
{
	return attempt_gate_live_count(shell->table);
}

/* Returns the number of recorded attempts. */
uint32_t gate_shell_record_count(const struct gate_shell *shell)
{
	return attempt_gate_record_count(shell->table);
}

/* Returns the gate's load in `load`. */
void gate_shell_get_load(const struct gate_shell *shell, struct gate_load *load)
{
	gate_get_load(&shell->admission, load);
}

/* Creates the table of keys, which has no record of calls before this process started. */
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

/* Opens the gate role. Errors: ERROR_MEMORY and those of the state charts. */
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
				options->memory_bytes_max / RECEIVING_DIVISOR, err) != 0 ||
	    gate_crash_open(&shell->crash, loop, gate_suspect_server_ended, shell, err) != 0 ||
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

/* Frees the gate after its timer was closed. */
static void free_shell(uv_handle_t *handle)
{
	struct gate_shell *shell = handle->data;

	gate_key_free_all(shell);
	attempt_gate_destroy(shell->table);
	free(shell->health_path);
	free(shell);
}

/* Frees every attempt: entries may not have acknowledged the last answers. */
static void destroy_attempts(struct gate_shell *shell)
{
	struct gate_attempt *attempt;

	while ((attempt = attempt_gate_take_user(shell->table)) != NULL)
		destroy_attempt(attempt);
}

/* Closes a gate without live attempts. */
void gate_shell_close(struct gate_shell *shell)
{
	destroy_attempts(shell);
	gate_probe_cancel(shell);
	gate_crash_close(shell->crash);
	backend_client_close(shell->client);
	uv_close((uv_handle_t *)&shell->timer, free_shell);
}
