/*
 * Shell of the entry role. What happens to a call is decided by decide/attempt_entry.c; which gate
 * it is sent to, by decide/choice.c.
 */
#include "fescuemilld/entry/entry.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/base/log.h"
#include "fescuemill/decide/retry_after.h"
#include "fescuemilld/entry/entry_allotment.h"
#include "fescuemilld/entry/entry_burn.h"
#include "fescuemilld/entry/entry_classify.h"
#include "fescuemilld/entry/entry_customer.h"
#include "fescuemilld/entry/entry_defs.h"
#include "fescuemilld/entry/entry_hold.h"
#include "fescuemilld/entry/entry_link.h"
#include "fescuemilld/entry/entry_log.h"
#include "fescuemilld/entry/entry_placement.h"
#include "fescuemilld/entry/entry_proof.h"
#include "fescuemilld/entry/entry_service.h"
#include "fescuemilld/entry/entry_suspect.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS		 10   /* bounds the delay of deadlines and of heartbeats on links */
#define ANSWER_MARGIN_US 2000 /* reserved before the deadline for the answer's way back */
#define HTTP_ERROR_MIN	 500

/* A call with a larger body may wait in a gate's queue: sending the body again to another gate
 * costs more than a short wait. */
#define NO_WAIT_BODY_BYTES_MAX 16384

static const struct entry_input no_input = {NULL, NULL, 0};

static void on_timer(uv_timer_t *timer);

/* Returns the call whose current attempt has this id, or NULL. */
struct entry_call *entry_find_call(struct entry *entry, const struct attempt_id *id)
{
	struct entry_call *call = entry->calls[id->sequence % ENTRY_CALLS_MAX];

	if (!call || !attempt_id_equal(&call->state.target.id, id))
		return NULL;
	return call;
}

/* Maps an answer to the result that the choice of a gate records. */
static enum choice_result_kind choice_result_of(const struct message_answer *answer)
{
	switch (answer->outcome) {
	case OUTCOME_ANSWERED:
		return answer->status < HTTP_ERROR_MIN ? CHOICE_RESULT_ANSWERED
						       : CHOICE_RESULT_FAILED;
	case OUTCOME_NOT_RUN:
		if (answer->reason == REASON_NO_BACKEND)
			return CHOICE_RESULT_NO_BACKEND;
		if (answer->reason == REASON_EVACUATED)
			return CHOICE_RESULT_EVACUATED;
		if (answer->reason == REASON_CRASHES)
			return CHOICE_RESULT_CANCELLED;
		return call_reason_is_lack_of_room(answer->reason) ? CHOICE_RESULT_NO_FREE_SLOT
								   : CHOICE_RESULT_REFUSED;
	default:
		return CHOICE_RESULT_LOST;
	}
}

/* Reports the result of the current attempt to the choice of a gate and removes the call from its
 * connections. The result is taken from the answer, or is `kind` if `answer` is NULL. */
static void settle_attempt(struct entry_call *call, const struct message_answer *answer,
			   enum choice_result_kind kind)
{
	uint64_t now_us = clock_monotonic_us();
	struct choice_result result = {.kind = kind, .class_index = call->class_index};

	if (!call->link)
		return;
	result.elapsed_us = (uint32_t)(now_us - call->sent_us);
	latency_record(LATENCY_ATTEMPT, result.elapsed_us);
	if (answer) {
		entry_log_ended(call, answer);
		call->wait_us = answer->load.wait_us;
		result.kind = choice_result_of(answer);
		result.has_load = true;
		result.load = answer->load;
		result.gate_queue_us = answer->gate_queue_us;
		result.server_us = answer->server_us;
		result.answer_bytes = answer->body.size;
	}
	choice_record_result(call->service->choice, call->link->identity.node_id, &result, now_us);
	entry_link_remove_call(call);
}

/* Removes a call from the entry's tables, so that its slot can be used again. */
static void release_slot(struct entry_call *call)
{
	struct entry *entry = call->entry;

	due_heap_remove(&entry->due, call->slot);
	entry->calls[call->slot] = NULL;
	entry->free_slots[entry->free_count++] = call->slot;
}

/* Answers a call that is refused before its first attempt. Without a delay after which to retry,
 * one that suits the reason is suggested. */
void entry_refuse_request(struct entry *entry, struct caller_call *caller,
			  const struct call_request *req, const struct call_class *class,
			  enum call_reason reason, uint32_t retry_ms)
{
	struct caller_answer answer = {.outcome = OUTCOME_NOT_RUN, .reason = reason};

	answer.retry_after_ms =
		retry_ms ? retry_ms : retry_after_ms(reason, 0, random_unit(&entry->rng));
	entry_record_burn(&entry->options, req->service, req->class_name, &answer,
			  clock_monotonic_us());
	entry_log_refused(req, class, reason, answer.retry_after_ms);
	caller_answer(caller, &answer);
}

/* Answers the caller and ends the call, which must not be used afterwards. */
static void finish_call(struct entry_call *call, const struct attempt_entry_action *action,
			const struct message_answer *message)
{
	struct caller_answer answer = {
		.outcome = action->outcome,
		.reason = action->reason,
		.attempts = call->state.attempts,
	};

	settle_attempt(call, NULL,
		       action->reason == REASON_CANCELLED ? CHOICE_RESULT_CANCELLED
							  : CHOICE_RESULT_LOST);
	if (action->outcome == OUTCOME_ANSWERED && message) {
		answer.status = message->status;
		answer.server_us = message->server_us;
		answer.headers = &message->headers;
		answer.body = message->body;
	} else if (action->outcome == OUTCOME_NOT_RUN) {
		answer.retry_after_ms = retry_after_ms(action->reason, call->wait_us,
						       random_unit(&call->entry->rng));
	}
	if (action->outcome == OUTCOME_NOT_RUN && call->customer && call->entry->allotment)
		entry_allotment_give_back(call->entry->allotment, call->customer);
	entry_record_burn(&call->entry->options, call->service->name, call->class_name, &answer,
			  call->received_us);
	latency_record(LATENCY_CALL, clock_monotonic_us() - call->received_us);
	entry_log_finished(call, &answer);
	release_slot(call);
	caller_call_set_data(call->caller, NULL);
	caller_answer(call->caller, &answer);
}

/* Returns the kind of connection that a request needs. */
static enum link_kind link_kind_for(const struct call_request *request)
{
	return request->body.size > WIRE_SMALL_BODY_BYTES ? LINK_BULK : LINK_CALLS;
}

/* Returns a new sequence. Sequences only increase, and sequence % ENTRY_CALLS_MAX is the call's
 * slot. */
static uint64_t next_sequence(struct entry_call *call)
{
	return ++call->entry->sequence_count * ENTRY_CALLS_MAX + call->slot;
}

/* Selects a gate and prepares the connection to it. Returns REASON_NONE, or why no gate can be
 * used. */
static enum call_reason prepare_target(struct entry_call *call, struct attempt_target *target)
{
	struct entry *entry = call->entry;
	enum call_reason reason = entry_placement_select(call, &target->gate);
	struct gate_link *link;
	struct gate_conn *conn;
	struct error err;

	if (reason != REASON_NONE)
		return reason;
	link = entry_link_get(entry, &target->gate, &err);
	if (!link)
		return entry_placement_last_reason(call);
	conn = &link->conns[link_kind_for(call->request)];
	if (entry_link_prepare(conn, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY,
			    "A connection to a gate could not be opened.", &err);
		return entry_placement_last_reason(call);
	}
	target->epoch = conn->peer.epoch;
	target->id.entry = entry->options.identity;
	target->id.sequence = next_sequence(call);
	call->link = link;
	return REASON_NONE;
}

/* Chooses a gate for the next attempt and passes the result to the call. */
static void choose_gate(struct entry_call *call)
{
	struct attempt_entry_event event;
	enum call_reason reason = REASON_CRASHES;
	uint32_t retry_ms;

	memset(&event, 0, sizeof(event));
	settle_attempt(call, NULL, CHOICE_RESULT_LOST);
	if (!entry_suspect_is_refused(call->entry, call->request, call->customer, &retry_ms))
		reason = prepare_target(call, &event.chosen);
	event.type = reason == REASON_NONE ? ENTRY_EVENT_CHOSEN : ENTRY_EVENT_NO_GATE;
	if (reason != REASON_NONE)
		event.no_gate.reason = reason;
	entry_call_step(call, &event, &no_input);
}

/* Fills the message of an attempt from the caller's request. */
static void fill_call(const struct entry_call *call, const struct attempt_entry_action *action,
		      struct message *msg)
{
	const struct call_request *request = call->request;
	const struct server_notice *notice;

	msg->type = MESSAGE_CALL;
	msg->id = action->target.id;
	msg->call.gate_incarnation = action->target.gate.incarnation;
	memcpy(msg->call.service, call->service->name, sizeof(msg->call.service));
	memcpy(msg->call.class_name, call->class_name, sizeof(msg->call.class_name));
	msg->call.time_left_us = action->time_left_us;
	msg->call.depth = request->depth;
	msg->call.retries_left = action->retries_passed;
	msg->call.idempotent = call->idempotent;
	msg->call.regions = call->placement.regions;
	msg->call.has_wait_limit = action->has_wait_limit;
	msg->call.wait_max_us = call->wait_max_us;
	msg->call.repeat_permille = action->repeat_permille;
	notice = notice_table_find(&call->entry->notices, action->target.gate.node_id);
	if (notice)
		msg->call.notice = *notice;
	msg->call.customer = call->customer;
	msg->call.key = request->key;
	msg->call.method = request->method;
	msg->call.path = request->path;
	msg->call.headers = request->headers;
	msg->call.body = request->body;
}

/* Sends an attempt to its gate; reports ENTRY_EVENT_SEND_FAILED if it cannot be sent. */
static void send_call(struct entry_call *call, const struct attempt_entry_action *action,
		      struct gate_conn *conn)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_SEND_FAILED};
	struct message msg;
	struct error err;

	memset(&msg, 0, sizeof(msg));
	fill_call(call, action, &msg);
	call->sent_us = clock_monotonic_us();
	if (call->state.attempts > 1)
		counter_add(COUNTER_RETRIES_SENT, 1);
	entry_proof_call_sent(call);
	entry_log_sent(call, action->time_left_us);
	choice_record_sent(call->service->choice, conn->owner->identity.node_id, call->sent_us);
	entry_link_add_call(conn, call);
	if (conn->peer.kind == LINK_BULK)
		peer_add_transfer(&conn->peer, &call->entry->peer_settings, msg.call.body.size);
	if (peer_is_unconfirmed(&conn->peer))
		error_set(&err, ERROR_UNREACHABLE, "the connection to the gate was lost");
	else if (entry_link_send_call(conn, &msg, &err) == 0)
		return;
	log_failure(LOG_DEBUG, LOG_PART_ENTRY, "An attempt could not be sent to its gate.", &err);
	entry_call_step(call, &event, &no_input);
}

/* Asks the gate over `conn` for the outcome of an attempt. A failed send is not reported: the
 * question is repeated when the connection is replaced. */
static void send_ask(struct entry_call *call, const struct attempt_entry_action *action,
		     struct gate_conn *conn)
{
	struct message msg = {.type = MESSAGE_ASK, .id = action->target.id};

	msg.ask.gate_incarnation = action->target.gate.incarnation;
	counter_add(COUNTER_REASKS_SENT, 1);
	entry_link_add_call(conn, call);
	entry_link_send(conn, &msg, NULL);
}

/* Requests a large answer over the bulk connection. */
static void request_bulk_answer(struct entry_call *call, const struct attempt_entry_action *action,
				uint32_t held_bytes)
{
	struct gate_conn *conn = &call->link->conns[LINK_BULK];
	struct error err;

	if (entry_link_prepare(conn, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY,
			    "A connection to a gate could not be opened.", &err);
		return;
	}
	send_ask(call, action, conn);
	peer_add_transfer(&conn->peer, &call->entry->peer_settings, held_bytes);
}

/* Sends a message that carries only an attempt id. */
static void send_id_message(struct gate_conn *conn, enum message_type type,
			    const struct attempt_id *id)
{
	struct message msg = {.type = type, .id = *id};

	if (conn)
		entry_link_send(conn, &msg, NULL);
}

/* Carries out one action. Returns false if the call may have ended and must not be used further. */
static bool run_action(struct entry_call *call, const struct attempt_entry_action *action,
		       const struct entry_input *input)
{
	enum link_kind kind = link_kind_of(action->target.epoch);
	struct gate_conn *conn = call->link ? &call->link->conns[kind] : NULL;

	switch (action->type) {
	case ENTRY_ACTION_CHOOSE:
		choose_gate(call);
		return false;
	case ENTRY_ACTION_SEND_CALL:
		if (conn)
			send_call(call, action, conn);
		return false;
	case ENTRY_ACTION_SEND_ASK:
		if (conn)
			send_ask(call, action, conn);
		return true;
	case ENTRY_ACTION_ASK_BULK:
		if (call->link)
			request_bulk_answer(call, action, input->held_bytes);
		return true;
	case ENTRY_ACTION_SEND_ACK:
		send_id_message(input->conn, MESSAGE_ACK, &action->target.id);
		return true;
	case ENTRY_ACTION_SEND_CANCEL:
		send_id_message(conn, MESSAGE_CANCEL, &action->target.id);
		return true;
	case ENTRY_ACTION_FINISH:
		finish_call(call, action, input->answer);
		return false;
	}
	return true;
}

/* Passes an event to a call and carries out the resulting actions. The call may have ended
 * afterwards. */
void entry_call_step(struct entry_call *call, const struct attempt_entry_event *event,
		     const struct entry_input *input)
{
	struct attempt_entry_actions actions;
	struct error err = {0};
	bool is_own = event->type == ENTRY_EVENT_ANSWER &&
		      attempt_id_equal(&event->answer.id, &call->state.target.id);

	if (attempt_entry_step(&call->state, event, &call->service->bucket, clock_monotonic_us(),
			       &actions, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY,
			    "An event is not valid in the current state of its call.", &err);
		return;
	}
	if (is_own)
		settle_attempt(call, input->answer, CHOICE_RESULT_ANSWERED);
	for (uint32_t i = 0; i < actions.count; i++) {
		if (!run_action(call, &actions.list[i], input))
			return;
	}
}

/* Creates a call in the caller call's arena and assigns it a slot. */
static struct entry_call *create_call(struct entry *entry, struct caller_call *caller,
				      const struct call_request *req, struct entry_service *service,
				      const struct call_class *class)
{
	struct entry_call *call = h2o_mem_alloc_pool(caller_call_pool(caller), sizeof(*call));
	struct attempt_entry_settings settings = {
		.deadline_us = clock_monotonic_us() + class->time_left_us,
		.answer_margin_us = ANSWER_MARGIN_US,
		.idempotent = class->idempotent,
		.keyed = req->key.size > 0 && !class->idempotent,
		.has_retry_budget = req->retry_budget_stated,
		.retry_budget = req->retry_budget,
		.servers_max = class->servers_max,
		.repeat_permille = entry->options.repeat_permille(entry->options.user),
		.may_wait = req->body.size > NO_WAIT_BODY_BYTES_MAX,
	};

	memset(call, 0, sizeof(*call));
	call->entry = entry;
	call->service = service;
	call->caller = caller;
	call->request = req;
	call->received_us = clock_monotonic_us();
	call->class_index = class->index;
	call->objective_us = class->objective_us;
	call->idempotent = class->idempotent;
	call->customer = class->customer ? class->customer->id : 0;
	call->customer_name = class->customer_name;
	memcpy(call->class_name, class->name, sizeof(call->class_name));
	memcpy(call->route, class->route, sizeof(call->route));
	entry_placement_start(call, class->regions, class->customer);
	attempt_entry_init(&call->state, &settings);
	call->slot = entry->free_slots[--entry->free_count];
	entry->calls[call->slot] = call;
	due_heap_set(&entry->due, call->slot, settings.deadline_us);
	caller_call_set_data(caller, call);
	return call;
}

/* Starts a call that has been classified. */
void entry_start_call(struct entry *entry, struct caller_call *caller,
		      const struct call_request *req, const struct call_class *class)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_START};
	struct error err = {0};
	struct entry_service *service = NULL;

	if (entry->free_count > 0)
		service = entry_service_get(entry, class->service, &err);
	if (!service) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "A call could not be started.", &err);
		if (class->customer && entry->allotment)
			entry_allotment_give_back(entry->allotment, class->customer->id);
		entry_refuse_request(entry, caller, req, class, REASON_OVERLOAD, 0);
		return;
	}
	if (!uv_is_active((uv_handle_t *)&entry->timer))
		uv_timer_start(&entry->timer, on_timer, TICK_MS, TICK_MS);
	entry_call_step(create_call(entry, caller, req, service, class), &event, &no_input);
}

/* Starts the call of a caller's request, or refuses it. */
void entry_handle_request(void *user, struct caller_call *caller, const struct call_request *req)
{
	struct entry *entry = user;
	const struct call_request *received = req;
	struct call_class class;
	enum call_reason reason = entry_classify(entry, req, &class);
	uint32_t retry_ms = 0;

	if (reason == REASON_NONE)
		reason = entry_customer_prepare(entry, caller, &class, &req);
	if (reason == REASON_NONE &&
	    entry_suspect_is_refused(entry, req, class.customer ? class.customer->id : 0,
				     &retry_ms))
		reason = REASON_CRASHES;
	if (reason != REASON_NONE) {
		entry_refuse_request(entry, caller, req, &class, reason, retry_ms);
		return;
	}
	switch (entry_hold_take(entry, caller, received, req, &class, &retry_ms)) {
	case HOLD_START:
		entry_start_call(entry, caller, req, &class);
		break;
	case HOLD_REFUSE:
		entry_refuse_request(entry, caller, req, &class, REASON_ALLOTMENT, retry_ms);
		break;
	case HOLD_WAIT:
		break;
	}
}

/* Passes the disconnection of a caller to its call, unless the call has ended. */
void entry_caller_gone(void *user, struct caller_call *caller)
{
	struct entry_call *call = caller_call_data(caller);
	struct attempt_entry_event event = {.type = ENTRY_EVENT_CALLER_GONE};

	if (call)
		entry_call_step(call, &event, &no_input);
	else
		entry_hold_caller_gone(user, caller);
}

/* Ends the calls whose deadline has passed. */
static void tick_calls(struct entry *entry)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_TICK};
	uint64_t now_us = clock_monotonic_us();

	while (due_heap_first_us(&entry->due) <= now_us)
		entry_call_step(entry->calls[due_heap_first(&entry->due)], &event, &no_input);
}

/* Handles the deadlines of calls and what is due on links; stops when no calls are in progress. */
static void on_timer(uv_timer_t *timer)
{
	struct entry *entry = timer->data;

	tick_calls(entry);
	entry_links_tick(entry);
	if (entry_call_count(entry) == 0)
		uv_timer_stop(timer);
}

/* Returns the number of calls in progress. */
uint32_t entry_call_count(const struct entry *entry)
{
	return ENTRY_CALLS_MAX - entry->free_count + entry->held_count;
}

/* Answers all calls in progress, because the process is about to end: as not run if no gate has
 * them, else as unknown. */
void entry_end_calls(struct entry *entry)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_NODE_STOPPING};

	entry_hold_end(entry);
	for (uint32_t slot = 0; slot < ENTRY_CALLS_MAX; slot++) {
		if (entry->calls[slot])
			entry_call_step(entry->calls[slot], &event, &no_input);
	}
}

static bool is_member(void *user, uint64_t node_id)
{
	const struct entry *entry = user;

	return member_find(entry->options.members, node_id) != NULL;
}

/* Ends the attempts at gates that are gone, closes idle connections, and forgets the notices of
 * backend servers that are gone. */
void entry_sweep(struct entry *entry)
{
	entry_links_sweep(entry);
	notice_table_sweep(&entry->notices, is_member, entry);
}

/* Initializes the settings and the free slots of a new entry. */
static void init_entry(struct entry *entry, uv_loop_t *loop, const struct entry_options *options)
{
	const struct settings *settings = options->settings;

	entry->loop = loop;
	entry->options = *options;
	entry->peer_settings = peer_default_settings;
	entry->peer_settings.ping_after_us = settings->heartbeat_ms * USEC_PER_MSEC;
	entry->peer_settings.ping_timeout_us =
		(settings->silence_ms - settings->heartbeat_ms) * USEC_PER_MSEC;
	entry_service_settings(settings, options->identity.node_id, &entry->choice_settings);
	random_seed(&entry->rng, options->identity.node_id ^ options->identity.incarnation);
	h2o_linklist_init_anchor(&entry->held);
	for (uint32_t slot = ENTRY_CALLS_MAX; slot > 0; slot--)
		entry->free_slots[entry->free_count++] = slot - 1;
	uv_timer_init(loop, &entry->timer);
	entry->timer.data = entry;
}

/* Opens the entry role. Errors: ERROR_MEMORY. */
int entry_open(struct entry **out, uv_loop_t *loop, const struct entry_options *options,
	       struct error *err)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return error_set(err, ERROR_MEMORY, "no memory for the entry");
	if (due_heap_init(&entry->due, ENTRY_CALLS_MAX, err) != 0 ||
	    slot_map_init(&entry->link_map, FLEET_MEMBERS_MAX, err) != 0 ||
	    notice_table_init(&entry->notices, FLEET_MEMBERS_MAX, err) != 0) {
		due_heap_release(&entry->due);
		slot_map_release(&entry->link_map);
		free(entry);
		return -1;
	}
	init_entry(entry, loop, options);
	*out = entry;
	return 0;
}

/* Frees an entry after its timer was closed. */
static void free_entry(uv_handle_t *handle)
{
	struct entry *entry = handle->data;

	entry_services_free(entry);
	due_heap_release(&entry->due);
	slot_map_release(&entry->link_map);
	notice_table_release(&entry->notices);
	free(entry);
}

/* Sets the shell that keeps customers to their allotments; NULL: calls are not limited. */
void entry_set_allotment(struct entry *entry, struct allotment_shell *allotment)
{
	entry->allotment = allotment;
}

/* Uses a later incarnation of this node in the ids of new attempts. */
void entry_set_incarnation(struct entry *entry, uint64_t incarnation)
{
	entry->options.identity.incarnation = incarnation;
}

/* Closes an entry that has no calls in progress. */
void entry_close(struct entry *entry)
{
	entry_links_free(entry);
	uv_close((uv_handle_t *)&entry->timer, free_entry);
}
