/*
 * Entry links: the connections to gates. What is due when is decided by decide/peer.c.
 */
#include "fescuemilld/entry_link.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#define HTTP_ERROR_MIN 500

#include <stdlib.h>
#include <string.h>

#define LINK_IDLE_CLOSE_US (60 * USEC_PER_SEC)

/* Finds the slot of a gate's link; SLOT_NONE when there is none. */
static uint32_t find_slot(const struct entry *entry, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&entry->link_map, slot_hash(node_id, 0));

	for (; slot != SLOT_NONE; slot = slot_map_next(&entry->link_map, slot)) {
		if (entry->links[slot]->life.node_id == node_id)
			return slot;
	}
	return SLOT_NONE;
}

/* Closes one side's connection. */
static void close_side(struct link_side *side)
{
	if (!side->connection)
		return;
	channel_link_close(side->connection);
	side->connection = NULL;
	peer_closed(&side->peer);
}

/* Takes the calls off a side one after the other and hands each the event. A call may go back to
 * the side meanwhile. */
static void tell_calls(struct link_side *side, const struct attempt_entry_event *event)
{
	struct entry_input input = {0};
	h2o_linklist_t told;

	h2o_linklist_init_anchor(&told);
	h2o_linklist_insert_list(&told, &side->calls);
	while (!h2o_linklist_is_empty(&told)) {
		struct call_place *place = (struct call_place *)told.next;

		h2o_linklist_unlink(&place->link);
		h2o_linklist_insert(&side->calls, &place->link);
		entry_call_step(place->call, event, &input);
	}
}

/* Ends the attempts of a link whose gate is gone. */
static void tell_gone(struct gate_link *link)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct link_side *side = &link->sides[kind];
		struct attempt_entry_event event = {.type = ENTRY_EVENT_GATE_GONE};

		if (side->is_other_life) {
			event.type = ENTRY_EVENT_GATE_RESTARTED;
			event.gate_restarted.epoch = side->peer.epoch;
		}
		tell_calls(side, &event);
	}
}

/* Forgets a link and ends its attempts. Its memory is kept for the while: a step up the stack may
 * still be walking its calls. */
static void drop_link(struct entry *entry, uint32_t slot)
{
	struct gate_link *link = entry->links[slot];

	slot_map_remove(&entry->link_map, slot_hash(link->life.node_id, 0), slot);
	entry->links[slot] = NULL;
	link->next_dropped = entry->dropped;
	entry->dropped = link;
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++)
		close_side(&link->sides[kind]);
	tell_gone(link);
}

/* Frees the links that were dropped. Only for the loop's own callbacks. */
static void free_dropped(struct entry *entry)
{
	while (entry->dropped) {
		struct gate_link *link = entry->dropped;

		entry->dropped = link->next_dropped;
		free(link);
	}
}

/* Picks the address by which this node reaches a member. */
static void set_address(const struct entry *entry, const struct member *member,
			struct gate_link *link)
{
	const char *region = entry->options.settings->region;
	const struct node_address *address = member_node_address(member, region);

	link->crosses_regions = strcmp(member->region, region) != 0;
	link->ip = address->ip;
	link->port = address->node_port;
}

/* Makes the link of a member. Errors: ERROR_MEMORY, ERROR_LIMIT. */
static struct gate_link *link_new(struct entry *entry, const struct member *member,
				  struct error *err)
{
	struct gate_link *link = calloc(1, sizeof(*link));
	uint32_t slot;

	if (!link) {
		error_set(err, ERROR_MEMORY, "no memory for a link");
		return NULL;
	}
	slot = slot_map_insert(&entry->link_map, slot_hash(member->life.node_id, 0));
	if (slot == SLOT_NONE) {
		free(link);
		error_set(err, ERROR_LIMIT, "no room for another link");
		return NULL;
	}
	entry->links[slot] = link;
	link->entry = entry;
	link->life = member->life;
	set_address(entry, member, link);
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct link_side *side = &link->sides[kind];

		side->owner = link;
		peer_init(&side->peer, (enum link_kind)kind);
		h2o_linklist_init_anchor(&side->calls);
	}
	return link;
}

/* Gives the link to a gate in its present life. Errors: ERROR_UNREACHABLE when it is not a member
 * in this life, ERROR_MEMORY, ERROR_LIMIT. */
struct gate_link *entry_link_get(struct entry *entry, const struct node_life *gate,
				 struct error *err)
{
	const struct member *member = member_find(entry->options.members, gate->node_id);
	uint32_t slot = find_slot(entry, gate->node_id);

	if (!member || member->life.incarnation != gate->incarnation) {
		error_set(err, ERROR_UNREACHABLE, "the gate is no member in this life");
		return NULL;
	}
	if (slot != SLOT_NONE && entry->links[slot]->life.incarnation == gate->incarnation)
		return entry->links[slot];
	if (slot != SLOT_NONE)
		drop_link(entry, slot);
	return link_new(entry, member, err);
}

/* Acknowledges an answer that no call waits for, so that its gate can forget it. */
static void ack_late(struct link_side *side, const struct message *msg)
{
	struct message ack = {.type = MESSAGE_ACK, .id = msg->id};

	counter_add(COUNTER_LATE_ANSWERS, 1);
	entry_link_send(side, &ack, NULL);
}

/* Passes on that a gate says it lives another life than this entry knows. */
static void note_life(struct link_side *side, uint64_t incarnation)
{
	const struct gate_link *link = side->owner;
	const struct entry_options *options = &link->entry->options;
	struct node_life life = {link->life.node_id, incarnation};

	if (incarnation <= link->life.incarnation)
		return;
	side->is_other_life = true;
	if (options->on_new_life)
		options->on_new_life(options->user, &life);
}

/* Gives the reason of an answer. A gate whose routes are of another version than this entry's may
 * not know the class yet; that is no fault of the client. */
static enum call_reason reason_of(const struct entry_call *call,
				  const struct message_answer *answer)
{
	if (answer->reason == REASON_UNKNOWN_CLASS && call->route[0])
		return REASON_NOT_READY;
	return answer->reason;
}

/* Hands a message to its call. */
static void hand_on(struct link_side *side, const struct message *msg)
{
	struct entry_call *call = entry_find_call(side->owner->entry, &msg->id);
	struct entry_input input = {.side = side};
	struct attempt_entry_event event;

	memset(&event, 0, sizeof(event));
	if (!call) {
		if (msg->type != MESSAGE_PENDING)
			ack_late(side, msg);
		return;
	}
	event.about.id = msg->id;
	if (msg->type == MESSAGE_ANSWER) {
		if (msg->answer.reason == REASON_INCARNATION)
			note_life(side, msg->answer.gate_incarnation);
		event.type = ENTRY_EVENT_ANSWER;
		event.answer.id = msg->id;
		event.answer.outcome = msg->answer.outcome;
		event.answer.reason = reason_of(call, &msg->answer);
		event.answer.failed = msg->answer.status >= HTTP_ERROR_MIN;
		input.answer = &msg->answer;
	} else {
		event.type = msg->type == MESSAGE_HELD ? ENTRY_EVENT_HELD : ENTRY_EVENT_PENDING;
		input.held_bytes = msg->type == MESSAGE_HELD ? msg->held.body_size : 0;
	}
	entry_call_step(call, &event, &input);
}

/* Takes a gate's load, or word that it has another life by now. */
static void take_pong(struct link_side *side, const struct message_pong *pong)
{
	struct gate_link *link = side->owner;
	const struct call_place *place = (const struct call_place *)side->calls.next;

	if (pong->gate_incarnation != link->life.incarnation) {
		note_life(side, pong->gate_incarnation);
		tell_gone(link);
	} else if (!h2o_linklist_is_empty(&side->calls))
		choice_load_seen(place->call->service->choice, link->life.node_id, &pong->load,
				 clock_monotonic_us());
}

/* Takes a message from a gate. */
static void on_message(void *user, const struct message *msg)
{
	struct link_side *side = user;

	if (msg->epoch != side->peer.epoch)
		return;
	peer_heard(&side->peer, clock_monotonic_us());
	switch (msg->type) {
	case MESSAGE_ANSWER:
	case MESSAGE_HELD:
	case MESSAGE_PENDING:
		hand_on(side, msg);
		break;
	case MESSAGE_PONG:
		take_pong(side, &msg->pong);
		break;
	default:
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
	}
}

static void on_lost(void *user); /* opens the side again */

/* Opens a side's connection, in place of one that may be open. */
static int open_side(struct link_side *side, struct error *err)
{
	struct gate_link *link = side->owner;

	close_side(side);
	if (channel_link_open(link->entry->options.channel, link->ip, link->port, on_message, side,
			      &side->connection, err) != 0)
		return -1;
	channel_link_watch(side->connection, on_lost);
	peer_opened(&side->peer, clock_monotonic_us());
	side->is_other_life = false;
	return 0;
}

/* Makes a side's connection fit to carry an attempt. Errors: those of channel_link_open. */
int entry_link_prepare(struct link_side *side, struct error *err)
{
	const struct peer_settings *settings = &side->owner->entry->peer_settings;

	if (peer_before_use(&side->peer, settings, clock_monotonic_us()) == PEER_NOTHING)
		return 0;
	return open_side(side, err);
}

/* Sends a message with the side's epoch. After an error it was certainly not sent. */
int entry_link_send(struct link_side *side, struct message *msg, struct error *err)
{
	if (!side->connection)
		return error_set(err, ERROR_STATE, "the connection is closed");
	msg->epoch = side->peer.epoch;
	if (channel_link_send(side->connection, msg, err) == 0)
		return 0;
	peer_refused(&side->peer, clock_monotonic_us());
	return -1;
}

/* Notes that an answer is due on a side. */
void entry_link_add_call(struct link_side *side, struct entry_call *call)
{
	struct call_place *place = &call->places[side->peer.kind];

	if (h2o_linklist_is_linked(&place->link))
		return;
	place->call = call;
	place->side = side;
	h2o_linklist_insert(&side->calls, &place->link);
	peer_attempt_sent(&side->peer, clock_monotonic_us());
}

/* Notes that no answer of a call's attempt is due any more. */
void entry_link_remove_call(struct entry_call *call)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct call_place *place = &call->places[kind];

		if (!h2o_linklist_is_linked(&place->link))
			continue;
		h2o_linklist_unlink(&place->link);
		peer_attempt_done(&place->side->peer);
	}
	call->link = NULL;
}

/* Opens another connection and asks again for every attempt on the side. */
static void replace_side(struct link_side *side)
{
	const struct entry_options *options = &side->owner->entry->options;
	struct attempt_entry_event event = {.type = ENTRY_EVENT_LINK_REPLACED};
	struct error err = {0};
	bool is_opened = open_side(side, &err) == 0;

	if (!is_opened)
		log_failure(LOG_WARNING, LOG_PART_ENTRY, "A connection could not be opened.", &err);
	if (!is_opened || peer_is_unreachable(&side->peer)) {
		options->on_unreachable(options->user, side->owner->life.node_id);
		tell_gone(side->owner);
		return;
	}
	event.link_replaced.epoch = side->peer.epoch;
	tell_calls(side, &event);
}

/* Sends a heartbeat. */
static void ping(struct link_side *side, uint64_t now_us)
{
	struct message msg = {.type = MESSAGE_PING};
	struct gate_link *link = side->owner;

	budget_charge(link->entry->options.budget, BUDGET_HEARTBEAT_BYTES, link->crosses_regions,
		      now_us);
	entry_link_send(side, &msg, NULL);
}

/* Opens another connection and has the gate answer over it. */
static void renew_side(struct link_side *side)
{
	replace_side(side);
	if (side->connection)
		ping(side, clock_monotonic_us());
}

/* Takes that a connection is gone. No attempt goes out before the gate answers over another. */
static void on_lost(void *user)
{
	struct link_side *side = user;

	counter_add(COUNTER_WIRE_CONNECTIONS_LOST, 1);
	log_write(LOG_INFO, LOG_PART_ENTRY, "A connection was lost.", "epoch=%u outstanding=%u",
		  side->peer.epoch, side->peer.outstanding);
	if (peer_lost(&side->peer) == PEER_REPLACE)
		renew_side(side);
}

/* Does what is due on one side. */
static void tick_side(struct link_side *side, uint64_t now_us)
{
	if (peer_seems_lost(&side->peer, &side->owner->entry->peer_settings, now_us)) {
		peer_lost(&side->peer);
		renew_side(side);
		return;
	}
	if (h2o_linklist_is_empty(&side->calls))
		return;
	switch (peer_tick(&side->peer, &side->owner->entry->peer_settings, now_us)) {
	case PEER_PING:
		ping(side, now_us);
		break;
	case PEER_REPLACE:
		counter_add(COUNTER_WIRE_CONNECTIONS_SILENT, 1);
		log_write(LOG_INFO, LOG_PART_ENTRY, "A silent connection is replaced.", "epoch=%u",
			  side->peer.epoch);
		replace_side(side);
		break;
	case PEER_NOTHING:
		break;
	}
}

/* Sends due heartbeats and replaces silent connections. */
void entry_links_tick(struct entry *entry)
{
	uint64_t now_us = clock_monotonic_us();

	for (uint32_t slot = 0; slot < FLEET_MEMBERS_MAX; slot++) {
		for (int kind = 0; entry->links[slot] && kind < LINK_KIND_COUNT; kind++)
			tick_side(&entry->links[slot]->sides[kind], now_us);
	}
}

/* Tells whether a link's gate is dead or has another life by now. */
static bool is_gone(const struct entry *entry, const struct gate_link *link)
{
	const struct member *member = member_find(entry->options.members, link->life.node_id);

	return !member || member->state == MEMBER_DEAD ||
	       member->life.incarnation != link->life.incarnation;
}

/* Closes the sides that were long unused. */
static void close_idle(struct gate_link *link, uint64_t now_us)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct link_side *side = &link->sides[kind];

		if (side->peer.outstanding == 0 && now_us > side->peer.used_us + LINK_IDLE_CLOSE_US)
			close_side(side);
	}
}

/* Drops the links of gates that are gone and closes idle connections. */
void entry_links_sweep(struct entry *entry)
{
	uint64_t now_us = clock_monotonic_us();

	free_dropped(entry);
	for (uint32_t slot = 0; slot < FLEET_MEMBERS_MAX; slot++) {
		if (!entry->links[slot])
			continue;
		if (is_gone(entry, entry->links[slot]))
			drop_link(entry, slot);
		else
			close_idle(entry->links[slot], now_us);
	}
}

/* Closes and frees every link. */
void entry_links_free(struct entry *entry)
{
	for (uint32_t slot = 0; slot < FLEET_MEMBERS_MAX; slot++) {
		if (entry->links[slot])
			drop_link(entry, slot);
	}
	free_dropped(entry);
}
