/*
 * Entry: the shell of the entry role. What happens to a call is decided by
 * decide/attempt_entry.c; which gate takes it, by decide/choice.c.
 */
#include "fescuemilld/entry.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/base/log.h"
#include "fescuemill/decide/retry_after.h"
#include "fescuemilld/entry_classify.h"
#include "fescuemilld/entry_defs.h"
#include "fescuemilld/entry_link.h"
#include "fescuemilld/entry_log.h"
#include "fescuemilld/entry_service.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS		 10 /* deadlines and heartbeats of links are late by this much at most */
#define ANSWER_MARGIN_US 2000
#define HTTP_ERROR_MIN	 500

/* A body above this is not sent to gates that may refuse it: it costs more than a short wait. */
#define ASK_BODY_BYTES_MAX 16384

static const struct entry_input no_input = {NULL, NULL, 0};

static void on_timer(uv_timer_t *timer);

/* Finds the call whose present attempt has this identity. */
struct entry_call *entry_find_call(struct entry *entry, const struct attempt_id *id)
{
	struct entry_call *call = entry->calls[id->sequence % ENTRY_CALLS_MAX];

	if (!call || !attempt_id_equal(&call->state.target.id, id))
		return NULL;
	return call;
}

/* Maps the end of an attempt to what the choice learns from it. */
static enum choice_result_kind result_kind(const struct message_answer *answer)
{
	switch (answer->outcome) {
	case OUTCOME_ANSWERED:
		return answer->status < HTTP_ERROR_MIN ? CHOICE_RESULT_ANSWERED
						       : CHOICE_RESULT_FAILED;
	case OUTCOME_NOT_RUN:
		return answer->reason == REASON_OVERLOAD ? CHOICE_RESULT_NO_ROOM
							 : CHOICE_RESULT_REFUSED;
	default:
		return CHOICE_RESULT_LOST;
	}
}

/* Ends the present attempt's accounts: with its answer, or with none. */
static void close_attempt(struct entry_call *call, const struct message_answer *answer,
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
		result.kind = result_kind(answer);
		result.has_load = true;
		result.load = answer->load;
		result.gate_queue_us = answer->gate_queue_us;
		result.server_us = answer->server_us;
	}
	choice_done(call->service->choice, call->link->life.node_id, &result, now_us);
	entry_link_remove_call(call);
}

/* Gives a call's slot back. */
static void release_slot(struct entry_call *call)
{
	struct entry *entry = call->entry;

	due_heap_remove(&entry->due, call->slot);
	entry->calls[call->slot] = NULL;
	entry->free_slots[entry->free_count++] = call->slot;
}

/* Counts an ended call, begun at begun_us, towards its class's target. */
static void record_burn(const struct entry_options *options, const char *service,
			const char *class_name, const struct caller_answer *answer,
			uint64_t begun_us)
{
	const struct service_config *config = config_find(options->config, service);
	const struct class_target *target = config ? config_class(config, class_name) : NULL;
	uint64_t now_us = clock_monotonic_us();
	struct burn_call ended = {
		.service = service,
		.class_name = class_name,
		.outcome = answer->outcome,
		.reason = answer->reason,
		.failed = answer->status >= HTTP_ERROR_MIN,
		.latency_us = now_us - begun_us,
		.target_us = target ? target->latency_us : 0,
	};

	if (target)
		burn_record(options->burn, &ended, now_us);
}

/* Answers a call that never got as far as an attempt. */
static void refuse(struct entry *entry, struct caller_call *caller, const struct call_request *req,
		   enum call_reason reason)
{
	struct caller_answer answer = {.outcome = OUTCOME_NOT_RUN, .reason = reason};

	answer.retry_after_ms = retry_after_ms(reason, 0, random_unit(&entry->rng));
	record_burn(&entry->options, req->service, req->class_name, &answer, clock_monotonic_us());
	entry_log_refused(req, reason, answer.retry_after_ms);
	caller_answer(caller, &answer);
}

/* Tells the caller how its call ended. The call is gone afterwards. */
static void finish(struct entry_call *call, const struct attempt_entry_action *action,
		   const struct message_answer *message)
{
	struct caller_answer answer = {
		.outcome = action->outcome,
		.reason = action->reason,
		.attempts = call->state.attempts,
	};

	close_attempt(call, NULL,
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
	record_burn(&call->entry->options, call->service->name, call->class_name, &answer,
		    call->begun_us);
	latency_record(LATENCY_CALL, clock_monotonic_us() - call->begun_us);
	entry_log_finished(call, &answer);
	release_slot(call);
	caller_call_set_data(call->caller, NULL);
	caller_answer(call->caller, &answer);
}

/* Tells which kind of link a request needs. */
static enum link_kind kind_for(const struct call_request *request)
{
	return request->body.size > WIRE_SMALL_BODY_BYTES ? LINK_BULK : LINK_CALLS;
}

/* Draws a sequence that rises for ever and leads back to the call's slot. */
static uint64_t draw_sequence(struct entry_call *call)
{
	return ++call->entry->draws * ENTRY_CALLS_MAX + call->slot;
}

/* Finds the home gate of a keyed call; false when it has none that is alive. */
static bool find_home(const struct entry_call *call, struct node_life *gate)
{
	const struct call_request *request = call->request;
	uint64_t now_ms = clock_wall_us() / USEC_PER_MSEC;
	const struct member *member;
	struct key_hash hash;
	uint64_t node_id;
	bool is_alive;

	key_hash_of(call->service->name, request->key.data, request->key.size, &hash);
	if (!key_home(call->service->keys, &hash, now_ms, &node_id, &is_alive) || !is_alive)
		return false;
	member = member_find(call->entry->options.members, node_id);
	if (!member)
		return false;
	*gate = member->life;
	return true;
}

/* Picks a gate by the service's choice, or the home of a key. There is none to ask when the best is
 * one that had no room. */
static bool pick_life(struct entry_call *call, struct node_life *gate)
{
	uint64_t excluded[ENTRY_EXCLUDED_MAX];
	struct choice_query query = {excluded, attempt_entry_excluded(&call->state, excluded),
				     call->class_index, call->request->body.size};

	entry_service_refresh(call->entry, call->service);
	if (call->state.keyed) {
		entry_service_warm_homes(call->entry, call->service);
		return find_home(call, gate);
	}
	return choice_pick(call->service->choice, &query, &call->entry->rng, clock_monotonic_us(),
			   gate) &&
	       !attempt_entry_was_full(&call->state, gate->node_id);
}

/* Picks a gate and makes its link ready. Returns false when there is none. */
static bool pick_gate(struct entry_call *call, struct attempt_target *target)
{
	struct entry *entry = call->entry;
	struct gate_link *link;
	struct link_side *side;
	struct error err;

	if (!pick_life(call, &target->gate))
		return false;
	link = entry_link_get(entry, &target->gate, &err);
	if (!link)
		return false;
	side = &link->sides[kind_for(call->request)];
	if (entry_link_prepare(side, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "A connection could not be opened.", &err);
		return false;
	}
	target->epoch = side->peer.epoch;
	target->id.entry = entry->options.life;
	target->id.sequence = draw_sequence(call);
	call->link = link;
	return true;
}

/* Chooses a gate for the next attempt. */
static void choose(struct entry_call *call)
{
	struct attempt_entry_event event;

	memset(&event, 0, sizeof(event));
	close_attempt(call, NULL, CHOICE_RESULT_LOST);
	if (pick_gate(call, &event.chosen)) {
		event.type = ENTRY_EVENT_CHOSEN;
	} else {
		event.type = ENTRY_EVENT_NO_GATE;
		event.no_gate.reason = call->state.attempts > 0
					       ? (enum call_reason)call->state.last_reason
					       : REASON_NO_BACKEND;
	}
	entry_call_step(call, &event, &no_input);
}

/* Fills the message of an attempt from the caller's request. */
static void fill_call(const struct entry_call *call, const struct attempt_entry_action *action,
		      struct message *msg)
{
	const struct call_request *request = call->request;

	msg->type = MESSAGE_CALL;
	msg->id = action->target.id;
	msg->call.gate_incarnation = action->target.gate.incarnation;
	memcpy(msg->call.service, call->service->name, sizeof(msg->call.service));
	memcpy(msg->call.class_name, call->class_name, sizeof(msg->call.class_name));
	msg->call.time_left_us = action->time_left_us;
	msg->call.depth = request->depth;
	msg->call.retries_left = action->retries_passed;
	msg->call.idempotent = call->idempotent;
	msg->call.refuse_to_wait = action->refuse_to_wait;
	msg->call.key = request->key;
	msg->call.method = request->method;
	msg->call.path = request->path;
	msg->call.headers = request->headers;
	msg->call.body = request->body;
}

/* Sends an attempt. */
static void send_call(struct entry_call *call, const struct attempt_entry_action *action,
		      struct link_side *side)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_SEND_FAILED};
	struct message msg;
	struct error err;

	memset(&msg, 0, sizeof(msg));
	fill_call(call, action, &msg);
	call->sent_us = clock_monotonic_us();
	if (call->state.attempts > 1)
		counter_add(COUNTER_RETRIES_SENT, 1);
	entry_log_sent(call, action->time_left_us);
	choice_sent(call->service->choice, side->owner->life.node_id, call->sent_us);
	entry_link_add_call(side, call);
	if (side->peer.kind == LINK_BULK)
		peer_transfer(&side->peer, &call->entry->peer_settings, msg.call.body.size);
	if (peer_is_doubtful(&side->peer))
		error_set(&err, ERROR_UNREACHABLE, "the connection was lost");
	else if (entry_link_send(side, &msg, &err) == 0)
		return;
	log_failure(LOG_DEBUG, LOG_PART_ENTRY, "An attempt could not be sent.", &err);
	entry_call_step(call, &event, &no_input);
}

/* Asks what became of an attempt, over the given side. A failed send is made up for by the next
 * replacement of the link. */
static void send_ask(struct entry_call *call, const struct attempt_entry_action *action,
		     struct link_side *side)
{
	struct message msg = {.type = MESSAGE_ASK, .id = action->target.id};

	msg.ask.gate_incarnation = action->target.gate.incarnation;
	counter_add(COUNTER_REASKS_SENT, 1);
	entry_link_add_call(side, call);
	entry_link_send(side, &msg, NULL);
}

/* Fetches a large answer over the bulk link. */
static void ask_bulk(struct entry_call *call, const struct attempt_entry_action *action,
		     uint32_t held_bytes)
{
	struct link_side *side = &call->link->sides[LINK_BULK];
	struct error err;

	if (entry_link_prepare(side, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "A connection could not be opened.", &err);
		return;
	}
	send_ask(call, action, side);
	peer_transfer(&side->peer, &call->entry->peer_settings, held_bytes);
}

/* Sends a message that carries an identity only. */
static void send_plain(struct link_side *side, enum message_type type, const struct attempt_id *id)
{
	struct message msg = {.type = type, .id = *id};

	if (side)
		entry_link_send(side, &msg, NULL);
}

/* Carries out one action. Returns false when the call is gone. */
static bool run_action(struct entry_call *call, const struct attempt_entry_action *action,
		       const struct entry_input *input)
{
	enum link_kind kind = link_kind_of(action->target.epoch);
	struct link_side *side = call->link ? &call->link->sides[kind] : NULL;

	switch (action->type) {
	case ENTRY_ACTION_CHOOSE:
		choose(call);
		return false;
	case ENTRY_ACTION_SEND_CALL:
		if (side)
			send_call(call, action, side);
		return false;
	case ENTRY_ACTION_SEND_ASK:
		if (side)
			send_ask(call, action, side);
		return true;
	case ENTRY_ACTION_ASK_BULK:
		if (call->link)
			ask_bulk(call, action, input->held_bytes);
		return true;
	case ENTRY_ACTION_SEND_ACK:
		send_plain(input->side, MESSAGE_ACK, &action->target.id);
		return true;
	case ENTRY_ACTION_SEND_CANCEL:
		send_plain(side, MESSAGE_CANCEL, &action->target.id);
		return true;
	case ENTRY_ACTION_FINISH:
		finish(call, action, input->answer);
		return false;
	}
	return true;
}

/* Passes an event to a call and carries out its actions. The call may be gone afterwards. */
void entry_call_step(struct entry_call *call, const struct attempt_entry_event *event,
		     const struct entry_input *input)
{
	struct attempt_entry_actions actions;
	struct error err = {0};
	bool is_own = event->type == ENTRY_EVENT_ANSWER &&
		      attempt_id_equal(&event->answer.id, &call->state.target.id);

	if (attempt_entry_step(&call->state, event, &call->service->bucket, clock_monotonic_us(),
			       &actions, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "An event did not fit its call.", &err);
		return;
	}
	if (is_own)
		close_attempt(call, input->answer, CHOICE_RESULT_ANSWERED);
	for (uint32_t i = 0; i < actions.count; i++) {
		if (!run_action(call, &actions.list[i], input))
			return;
	}
}

/* Makes the state of a call in the call's arena. */
static struct entry_call *call_new(struct entry *entry, struct caller_call *caller,
				   const struct call_request *req, struct entry_service *service,
				   const struct call_class *class)
{
	struct entry_call *call = h2o_mem_alloc_pool(caller_call_pool(caller), sizeof(*call));
	struct attempt_entry_settings settings = {
		.deadline_us = clock_monotonic_us() + class->time_left_us,
		.answer_margin_us = ANSWER_MARGIN_US,
		.idempotent = class->idempotent,
		.keyed = req->key.size > 0 && !class->idempotent,
		.retries_stated = req->retry_budget_stated,
		.retry_budget = req->retry_budget,
		.servers_max = class->servers_max,
		.is_patient = req->body.size > ASK_BODY_BYTES_MAX,
	};

	memset(call, 0, sizeof(*call));
	call->entry = entry;
	call->service = service;
	call->caller = caller;
	call->request = req;
	call->begun_us = clock_monotonic_us();
	call->class_index = class->index;
	call->idempotent = class->idempotent;
	memcpy(call->class_name, class->name, sizeof(call->class_name));
	memcpy(call->route, class->route, sizeof(call->route));
	attempt_entry_init(&call->state, &settings);
	call->slot = entry->free_slots[--entry->free_count];
	entry->calls[call->slot] = call;
	due_heap_set(&entry->due, call->slot, settings.deadline_us);
	caller_call_set_data(caller, call);
	return call;
}

/* Takes a caller's request. */
void entry_take_call(void *user, struct caller_call *caller, const struct call_request *req)
{
	struct entry *entry = user;
	struct attempt_entry_event event = {.type = ENTRY_EVENT_START};
	struct call_class class;
	enum call_reason reason = entry_classify(entry, req, &class);
	struct entry_service *service;
	struct error err = {0};

	if (reason != REASON_NONE) {
		refuse(entry, caller, req, reason);
		return;
	}
	service = entry_service_get(entry, class.service, &err);
	if (!service) {
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "A service could not be added.", &err);
		refuse(entry, caller, req, REASON_OVERLOAD);
		return;
	}
	if (!uv_is_active((uv_handle_t *)&entry->timer))
		uv_timer_start(&entry->timer, on_timer, TICK_MS, TICK_MS);
	entry_call_step(call_new(entry, caller, req, service, &class), &event, &no_input);
}

/* Takes word that a caller went away. */
void entry_caller_gone(void *user, struct caller_call *caller)
{
	struct entry_call *call = caller_call_data(caller);
	struct attempt_entry_event event = {.type = ENTRY_EVENT_CALLER_GONE};

	(void)user;
	if (call)
		entry_call_step(call, &event, &no_input);
}

/* Ends the calls whose deadline has passed. */
static void tick_calls(struct entry *entry)
{
	struct attempt_entry_event event = {.type = ENTRY_EVENT_TICK};
	uint64_t now_us = clock_monotonic_us();

	while (due_heap_first_us(&entry->due) <= now_us)
		entry_call_step(entry->calls[due_heap_first(&entry->due)], &event, &no_input);
}

/* Lets time pass for calls and links while there are calls. */
static void on_timer(uv_timer_t *timer)
{
	struct entry *entry = timer->data;

	tick_calls(entry);
	entry_links_tick(entry);
	if (entry_calls(entry) == 0)
		uv_timer_stop(timer);
}

/* Counts the calls in progress. */
uint32_t entry_calls(const struct entry *entry)
{
	return ENTRY_CALLS_MAX - entry->free_count;
}

/* Ends the attempts at gates that are gone and closes idle links. */
void entry_sweep(struct entry *entry)
{
	entry_links_sweep(entry);
}

/* Fills a new entry's settings and free slots. */
static void init_entry(struct entry *entry, uv_loop_t *loop, const struct entry_options *options)
{
	const struct settings *settings = options->settings;

	entry->loop = loop;
	entry->options = *options;
	entry->peer_settings = peer_default_settings;
	entry->peer_settings.quiet_us = settings->heartbeat_ms * USEC_PER_MSEC;
	entry->peer_settings.ping_wait_us =
		(settings->silence_ms - settings->heartbeat_ms) * USEC_PER_MSEC;
	entry_service_settings(settings, options->life.node_id, &entry->choice_settings);
	random_seed(&entry->rng, options->life.node_id ^ options->life.incarnation);
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
	    slot_map_init(&entry->link_map, FLEET_MEMBERS_MAX, err) != 0) {
		due_heap_release(&entry->due);
		free(entry);
		return -1;
	}
	init_entry(entry, loop, options);
	*out = entry;
	return 0;
}

/* Frees an entry after its timer is closed. */
static void free_entry(uv_handle_t *handle)
{
	struct entry *entry = handle->data;

	entry_services_free(entry);
	due_heap_release(&entry->due);
	slot_map_release(&entry->link_map);
	free(entry);
}

/* Names attempts after a later incarnation from now on. */
void entry_set_incarnation(struct entry *entry, uint64_t incarnation)
{
	entry->options.life.incarnation = incarnation;
}

/* Closes an entry without calls. */
void entry_close(struct entry *entry)
{
	entry_links_free(entry);
	uv_close((uv_handle_t *)&entry->timer, free_entry);
}
