/*
 * Attempts at the gate. An attempt must not run twice. Three things together ensure this: the table
 * of attempts and, for each entry and kind of link, the highest epoch received and the highest
 * forgotten sequence number (its record was removed, or there was no room for one). An entry
 * assigns the sequence number when it sends and a link keeps the order, so an attempt that is not
 * in the table and not above the forgotten sequence number must have been received before. This
 * holds however late a message arrives; tombstones that expire would not ensure it alone.
 */
#include "fescuemill/decide/attempt_gate.h"

#include "fescuemill/chart/chart.h"
#include "fescuemill/decide/attempt_gate_table.h"

#include <string.h>

#define REFUSED_KEEP_US 10000000ULL /* how long to keep a refusal whose deadline is unknown */

/* The arguments of attempt_gate_step(), bundled for its helpers. */
struct step {
	struct attempt_gate *gate;
	const struct attempt_gate_event *event;
	uint64_t now_us;
	struct attempt_gate_actions *out;
	struct error *err;
};

/* Appends an action for a record, or for the event's attempt if rec is NULL. */
static struct attempt_gate_action *emit(struct step *st, enum attempt_gate_action_type type,
					const struct record *rec)
{
	struct attempt_gate_action *action = &st->out->list[st->out->count++];

	memset(action, 0, sizeof(*action));
	action->type = type;
	action->id = st->event->id;
	action->epoch = st->event->epoch;
	if (!rec)
		return action;
	action->id = rec->id;
	action->epoch = rec->epoch;
	action->outcome = (enum call_outcome)rec->outcome;
	action->reason = (enum call_reason)rec->reason;
	action->deadline_us = rec->deadline_us;
	action->user = rec->user;
	return action;
}

/* Replies to a message about an attempt that has no record. */
static int reply_without_record(struct step *st, enum call_outcome outcome, enum call_reason reason)
{
	struct attempt_gate_action *action = emit(st, GATE_ACTION_REPLY_OUTCOME, NULL);

	action->outcome = outcome;
	action->reason = reason;
	return 0;
}

/* Drops the message without a reply. */
static int drop(struct step *st, enum call_reason reason)
{
	emit(st, GATE_ACTION_DROP, NULL)->reason = reason;
	return 0;
}

static bool state_is_live(uint32_t state)
{
	return state == GATE_ATTEMPT_WAITING || state == GATE_ATTEMPT_RUNNING ||
	       state == GATE_ATTEMPT_STOPPING;
}

/* Applies an input to a record's state chart and updates the count of live records. */
static int record_move(struct step *st, struct record *rec, enum attempt_gate_input input)
{
	uint32_t next;

	if (chart_next(CHART_ATTEMPT_GATE, rec->state, input, &next, st->err))
		return -1;
	st->gate->live -= state_is_live(rec->state);
	st->gate->live += state_is_live(next);
	rec->state = (uint8_t)next;
	return 0;
}

/* Removes a record. The action makes the shell free its data. */
static void record_forget(struct step *st, struct record *rec)
{
	emit(st, GATE_ACTION_FREE, rec);
	record_remove(st->gate, rec);
}

/* Returns the time at which a record is removed if no ack is received. */
static uint64_t record_expiry_us(const struct step *st, const struct record *rec)
{
	return rec->deadline_us + st->gate->settings.keep_margin_us;
}

/* Marks a record as not run. The attempt will not run later either. */
static void record_refuse(struct step *st, struct record *rec, enum call_reason reason)
{
	rec->outcome = OUTCOME_NOT_RUN;
	rec->reason = (uint8_t)reason;
	record_set_bytes(st->gate, rec, 0);
	record_set_due(st->gate, rec, record_expiry_us(st, rec));
}

/* Refuses an attempt that is not in the table. Adds a record, so that a repeated call gets the same
 * refusal. If the table is full, the sequence number is stored as forgotten instead: the call
 * cannot run later, and a later ask gets the outcome "unknown". */
static int refuse_new(struct step *st, struct entry_peer *peer, enum attempt_gate_input input,
		      enum call_reason reason, uint64_t deadline_us)
{
	struct record *rec = record_add(st->gate, peer, &st->event->id, st->event->epoch);

	if (!rec) {
		entry_peer_forget(peer, link_kind_of(st->event->epoch), st->event->id.sequence);
		return reply_without_record(st, OUTCOME_NOT_RUN, reason);
	}
	if (record_move(st, rec, input))
		return -1;
	rec->deadline_us = deadline_us;
	record_refuse(st, rec, reason);
	emit(st, GATE_ACTION_REPLY_OUTCOME, rec);
	return 0;
}

/* Replies to a repeated call or an ask with the state of the attempt. */
static int reply_known(struct step *st, struct record *rec, enum attempt_gate_input input)
{
	enum attempt_gate_action_type type = GATE_ACTION_REPLY_OUTCOME;

	if (record_move(st, rec, input))
		return -1;
	if (state_is_live(rec->state))
		type = GATE_ACTION_REPLY_PENDING;
	else if (rec->has_answer)
		type = GATE_ACTION_REPLY_ANSWER;
	emit(st, type, rec)->duplicate = true;
	return 0;
}

/* Returns true if a call is so large that it fills the memory, and next to nothing else is held: a
 * legal request that is sent alone is served. */
static bool is_alone(const struct attempt_gate *gate, uint64_t bytes)
{
	return bytes > CALL_BODY_BYTES_MAX && gate->bytes <= gate->settings.bytes_max / 16;
}

/* Returns why a new call cannot be accepted now; REASON_NONE if it can. */
static enum call_reason call_refusal(const struct step *st)
{
	const struct attempt_gate *gate = st->gate;

	if (st->event->call.refusal != REASON_NONE)
		return st->event->call.refusal;
	if (st->event->call.time_left_us == 0)
		return REASON_EXPIRED;
	if (gate->live >= gate->settings.live_max)
		return REASON_OVERLOAD;
	if (gate->bytes + st->event->call.bytes > gate->settings.bytes_max &&
	    !is_alone(gate, st->event->call.bytes))
		return REASON_OVERLOAD;
	if (gate->record_map.count == gate->record_map.capacity)
		return REASON_OVERLOAD;
	return REASON_NONE;
}

/* Accepts or refuses a call that was not received before. */
static int call_new(struct step *st, struct entry_peer *peer)
{
	enum call_reason reason = call_refusal(st);
	uint64_t left_us = st->event->call.time_left_us;
	struct record *rec;

	if (left_us > CALL_DEADLINE_US_MAX)
		left_us = CALL_DEADLINE_US_MAX;
	if (reason != REASON_NONE)
		return refuse_new(st, peer, GATE_INPUT_REFUSED, reason, st->now_us + left_us);
	rec = record_add(st->gate, peer, &st->event->id, st->event->epoch);
	if (record_move(st, rec, GATE_INPUT_CALL))
		return -1;
	rec->deadline_us = st->now_us + left_us;
	record_set_bytes(st->gate, rec, st->event->call.bytes);
	record_set_due(st->gate, rec, rec->deadline_us);
	emit(st, GATE_ACTION_OFFER, rec);
	return 0;
}

static int on_call(struct step *st, struct entry_peer *peer, struct record *rec)
{
	enum link_kind kind = link_kind_of(st->event->epoch);

	if (rec)
		return reply_known(st, rec, GATE_INPUT_CALL);
	if (st->event->call.gate_incarnation != st->gate->settings.incarnation)
		return reply_without_record(st, OUTCOME_NOT_RUN, REASON_INCARNATION);
	if (st->event->id.sequence <= peer->forgotten[kind])
		return reply_without_record(st, OUTCOME_UNKNOWN, REASON_STALE_EPOCH);
	return call_new(st, peer);
}

/* Handles an ask message. An attempt that was not received before is refused from now on. */
static int on_ask(struct step *st, struct entry_peer *peer, struct record *rec)
{
	if (rec)
		return reply_known(st, rec, GATE_INPUT_ASK);
	if (st->event->ask.gate_incarnation != st->gate->settings.incarnation)
		return reply_without_record(st, OUTCOME_UNKNOWN, REASON_INCARNATION);
	if (entry_peer_may_have_received(peer, st->event->id.sequence))
		return reply_without_record(st, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
	return refuse_new(st, peer, GATE_INPUT_ASK, REASON_CONNECTION_LOST,
			  st->now_us + REFUSED_KEEP_US);
}

/* Handles a cancel message. Releases the queue position, or cancels the run, at once. */
static int on_cancel(struct step *st, struct entry_peer *peer, struct record *rec)
{
	uint32_t before = rec ? rec->state : GATE_ATTEMPT_NEW;

	if (!rec && st->event->id.sequence <= peer->forgotten[link_kind_of(st->event->epoch)])
		return drop(st, REASON_STALE_EPOCH);
	if (!rec)
		return refuse_new(st, peer, GATE_INPUT_CANCEL, REASON_CANCELLED,
				  st->now_us + REFUSED_KEEP_US);
	if (record_move(st, rec, GATE_INPUT_CANCEL))
		return -1;
	if (before == GATE_ATTEMPT_RUNNING)
		emit(st, GATE_ACTION_CANCEL_RUN, rec);
	if (before != GATE_ATTEMPT_WAITING)
		return 0;
	emit(st, GATE_ACTION_WITHDRAW, rec);
	record_refuse(st, rec, REASON_CANCELLED);
	emit(st, GATE_ACTION_REPLY_OUTCOME, rec);
	return 0;
}

/* Handles an ack message: the entry received the outcome, so the record is no longer needed. */
static int on_ack(struct step *st, struct record *rec)
{
	if (!rec)
		return 0;
	if (record_move(st, rec, GATE_INPUT_ACK))
		return -1;
	if (rec->state == GATE_ATTEMPT_FORGOTTEN)
		record_forget(st, rec);
	return 0;
}

/* Passes a message from an entry node to the handler of its type. */
static int handle_message(struct step *st, struct entry_peer *peer, struct record *rec)
{
	if (rec)
		rec->epoch = st->event->epoch;
	switch (st->event->type) {
	case GATE_EVENT_CALL:
		return on_call(st, peer, rec);
	case GATE_EVENT_ASK:
		return on_ask(st, peer, rec);
	case GATE_EVENT_CANCEL:
		return on_cancel(st, peer, rec);
	default:
		return on_ack(st, rec);
	}
}

/* Handles a message about an attempt of which this gate can tell nothing. The entry is told so, as
 * it would otherwise wait until the deadline; nothing waits for a reply to the other messages. */
static int reply_unknown(struct step *st, enum call_reason reason)
{
	if (st->event->type == GATE_EVENT_CALL || st->event->type == GATE_EVENT_ASK)
		return reply_without_record(st, OUTCOME_UNKNOWN, reason);
	return drop(st, reason);
}

/* Handles a message about an attempt that the entry node began before it took a later incarnation.
 * The attempt goes on if it is in the table. If it is not, it may have run, as what was forgotten
 * of the earlier incarnation is not known any more. */
static int on_message_of_earlier_incarnation(struct step *st, struct entry_peer *peer)
{
	struct record *rec = record_find(st->gate, &st->event->id);

	return rec ? handle_message(st, peer, rec) : reply_unknown(st, REASON_INCARNATION);
}

/* Handles a message received over a connection that was replaced. A call that was not received
 * before is refused for good, so that an entry that still uses the connection need not wait for its
 * deadline. Anything else is dropped: replies about known attempts go to the later connection. */
static int on_stale_message(struct step *st, struct entry_peer *peer, const struct record *rec)
{
	bool is_new = !rec && !entry_peer_may_have_received(peer, st->event->id.sequence);

	if (st->event->type != GATE_EVENT_CALL || !is_new)
		return drop(st, REASON_STALE_EPOCH);
	return refuse_new(st, peer, GATE_INPUT_REFUSED, REASON_STALE_EPOCH,
			  st->now_us + REFUSED_KEEP_US);
}

/* Handles a message from an entry node. */
static int on_message(struct step *st)
{
	const struct attempt_id *id = &st->event->id;
	struct entry_peer *peer = entry_peer_get(st->gate, &id->entry, st->now_us);
	enum link_kind kind = link_kind_of(st->event->epoch);
	struct record *rec;

	if (!peer)
		return reply_unknown(st, REASON_OVERLOAD);
	if (id->entry.incarnation < peer->identity.incarnation)
		return on_message_of_earlier_incarnation(st, peer);
	if (id->entry.incarnation > peer->identity.incarnation)
		entry_peer_reset(peer, id->entry.incarnation);
	rec = record_find(st->gate, id);
	if (st->event->epoch < peer->epochs[kind])
		return on_stale_message(st, peer, rec);
	peer->epochs[kind] = st->event->epoch;
	peer->seen_us = st->now_us;
	return handle_message(st, peer, rec);
}

/* Handles the decision of admission. An attempt that was cancelled meanwhile does not start
 * (GATE_ACTION_DROP), and must not keep its slot. */
static int on_admission(struct step *st, struct record *rec)
{
	bool is_admitted = st->event->type == GATE_EVENT_ADMITTED;

	if (!rec || rec->state == GATE_ATTEMPT_REFUSED)
		return is_admitted ? drop(st, REASON_CANCELLED) : 0;
	if (record_move(st, rec, is_admitted ? GATE_INPUT_ADMITTED : GATE_INPUT_REFUSED))
		return -1;
	if (is_admitted) {
		emit(st, GATE_ACTION_START, rec);
		return 0;
	}
	record_refuse(st, rec, st->event->refused.reason);
	emit(st, GATE_ACTION_REPLY_OUTCOME, rec);
	return 0;
}

/* Handles the end of a run: sends the answer, and stores it if bytes_max allows. */
static int on_finished(struct step *st, struct record *rec)
{
	bool is_answered = st->event->finished.outcome == OUTCOME_ANSWERED;

	if (!rec)
		return drop(st, REASON_EXPIRED);
	if (record_move(st, rec, GATE_INPUT_FINISHED))
		return -1;
	rec->outcome = (uint8_t)st->event->finished.outcome;
	rec->reason = (uint8_t)st->event->finished.reason;
	record_set_bytes(st->gate, rec, 0);
	record_set_due(st->gate, rec, record_expiry_us(st, rec));
	emit(st, is_answered ? GATE_ACTION_REPLY_ANSWER : GATE_ACTION_REPLY_OUTCOME, rec);
	if (!is_answered)
		return 0;
	rec->has_answer =
		st->gate->bytes + st->event->finished.bytes <= st->gate->settings.bytes_max;
	if (rec->has_answer) {
		record_set_bytes(st->gate, rec, st->event->finished.bytes);
		return 0;
	}
	emit(st, GATE_ACTION_RELEASE_ANSWER, rec);
	rec->outcome = OUTCOME_UNKNOWN;
	rec->reason = REASON_OVERLOAD;
	return 0;
}

/* Handles a record that is due: its deadline, or its retention time after it, has passed. */
static int on_due(struct step *st, struct record *rec)
{
	bool is_running = rec->state == GATE_ATTEMPT_RUNNING;

	if (!is_running && rec->state != GATE_ATTEMPT_WAITING) {
		if (record_move(st, rec, GATE_INPUT_EXPIRE))
			return -1;
		record_forget(st, rec);
		return 0;
	}
	if (record_move(st, rec, GATE_INPUT_DEADLINE))
		return -1;
	if (is_running) {
		record_set_due(st->gate, rec, record_expiry_us(st, rec));
		emit(st, GATE_ACTION_CANCEL_RUN, rec);
		return 0;
	}
	emit(st, GATE_ACTION_WITHDRAW, rec);
	record_refuse(st, rec, REASON_EXPIRED);
	emit(st, GATE_ACTION_REPLY_OUTCOME, rec);
	return 0;
}

/* Handles the records that are due, as many as the list of actions has room for. */
static int on_tick(struct step *st)
{
	struct due_heap *due = &st->gate->due;

	while (due_heap_first_us(due) <= st->now_us) {
		if (st->out->count + 2 > ATTEMPT_GATE_ACTIONS_MAX) {
			st->out->more = true;
			return 0;
		}
		if (on_due(st, &st->gate->records[due_heap_first(due)]))
			return -1;
	}
	return 0;
}

/* Handles one event and fills out with the actions to carry out, in order. Errors: ERROR_STATE if
 * the state chart does not allow the event for its attempt; out is then empty. */
int attempt_gate_step(struct attempt_gate *gate, const struct attempt_gate_event *event,
		      uint64_t now_us, struct attempt_gate_actions *out, struct error *err)
{
	struct step st = {gate, event, now_us, out, err};

	out->count = 0;
	out->more = false;
	switch (event->type) {
	case GATE_EVENT_CALL:
	case GATE_EVENT_ASK:
	case GATE_EVENT_CANCEL:
	case GATE_EVENT_ACK:
		return on_message(&st);
	case GATE_EVENT_ADMITTED:
	case GATE_EVENT_REFUSED:
		return on_admission(&st, record_find(gate, &event->id));
	case GATE_EVENT_FINISHED:
		return on_finished(&st, record_find(gate, &event->id));
	case GATE_EVENT_TICK:
		return on_tick(&st);
	}
	return 0;
}

/* Sets this node's incarnation. New attempts must be addressed to it. */
void attempt_gate_set_incarnation(struct attempt_gate *gate, uint64_t incarnation)
{
	gate->settings.incarnation = incarnation;
}

/* Attaches the shell's data to an attempt. Every action for the attempt then has it; the shell
 * frees it at GATE_ACTION_FREE. Does nothing for an attempt that is not in the table. */
void attempt_gate_set_user(struct attempt_gate *gate, const struct attempt_id *id, void *user)
{
	struct record *rec = record_find(gate, id);

	if (rec)
		rec->user = user;
}

/* Returns the shell's data attached to an attempt, or NULL. */
void *attempt_gate_user(struct attempt_gate *gate, const struct attempt_id *id)
{
	struct record *rec = record_find(gate, id);

	return rec ? rec->user : NULL;
}

/* Removes the attempts in the table, acknowledged or not, until one is found that has data of the
 * shell. Returns that data, or NULL once the table is empty. Only for the end of the process: what
 * is removed may no longer be asked for. */
void *attempt_gate_take_user(struct attempt_gate *gate)
{
	void *user = NULL;

	while (!user && due_heap_first_us(&gate->due) != UINT64_MAX) {
		struct record *rec = &gate->records[due_heap_first(&gate->due)];

		user = rec->user;
		record_remove(gate, rec);
	}
	return user;
}

/* Returns the time at which the next record is due, or UINT64_MAX if none is. */
uint64_t attempt_gate_next_due_us(const struct attempt_gate *gate)
{
	return due_heap_first_us(&gate->due);
}

/* Returns the number of attempts that wait or run, including those being cancelled. */
uint32_t attempt_gate_live_count(const struct attempt_gate *gate)
{
	return gate->live;
}

/* Returns the number of attempts in the table. */
uint32_t attempt_gate_record_count(const struct attempt_gate *gate)
{
	return gate->record_map.count;
}

/* Returns the total size in bytes of the requests and answers that the shell stores. */
uint64_t attempt_gate_bytes(const struct attempt_gate *gate)
{
	return gate->bytes;
}
