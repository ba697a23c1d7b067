/*
 * Links from the entry to gates. When a connection is pinged or replaced is decided by
 * decide/peer.c.
 */
#include "fescuemilld/entry/entry_link.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/entry/entry_answer.h"
#include "fescuemilld/entry/entry_proof.h"

#define HTTP_ERROR_MIN 500

#include <stdlib.h>
#include <string.h>

#define LINK_IDLE_CLOSE_US (60 * USEC_PER_SEC)

/* Returns the slot of the link to a gate, or SLOT_NONE. */
static uint32_t find_slot(const struct entry *entry, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&entry->link_map, slot_hash(node_id, 0));

	for (; slot != SLOT_NONE; slot = slot_map_next(&entry->link_map, slot)) {
		if (entry->links[slot]->identity.node_id == node_id)
			return slot;
	}
	return SLOT_NONE;
}

/* Closes a connection if it is open. */
static void close_conn(struct gate_conn *conn)
{
	if (!conn->channel_link)
		return;
	channel_link_close(conn->channel_link);
	conn->channel_link = NULL;
	entry_proof_closed(conn);
	peer_closed(&conn->peer);
}

/* Passes an event to each call that awaits an answer on the connection. The calls are taken from a
 * separate list, since a step may put its call on the connection's list again. */
static void notify_calls(struct gate_conn *conn, const struct attempt_entry_event *event)
{
	struct entry_input input = {0};
	h2o_linklist_t remaining;

	h2o_linklist_init_anchor(&remaining);
	h2o_linklist_insert_list(&remaining, &conn->calls);
	while (!h2o_linklist_is_empty(&remaining)) {
		struct pending_answer *awaited = (struct pending_answer *)remaining.next;

		h2o_linklist_unlink(&awaited->link);
		h2o_linklist_insert(&conn->calls, &awaited->link);
		entry_call_step(awaited->call, event, &input);
	}
}

/* Ends the attempts of a link whose gate is gone. */
static void notify_gate_gone(struct gate_link *link)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct gate_conn *conn = &link->conns[kind];
		struct attempt_entry_event event = {.type = ENTRY_EVENT_GATE_GONE};

		if (conn->reached_new_incarnation) {
			event.type = ENTRY_EVENT_GATE_RESTARTED;
			event.gate_restarted.epoch = conn->peer.epoch;
		}
		notify_calls(conn, &event);
	}
}

/* Removes a link and ends its attempts. It is freed later by free_dropped(), since a function
 * further up the stack may still be iterating over its calls. */
static void drop_link(struct entry *entry, uint32_t slot)
{
	struct gate_link *link = entry->links[slot];

	slot_map_remove(&entry->link_map, slot_hash(link->identity.node_id, 0), slot);
	entry->links[slot] = NULL;
	link->next_dropped = entry->dropped;
	entry->dropped = link;
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++)
		close_conn(&link->conns[kind]);
	notify_gate_gone(link);
}

/* Frees the removed links. Only to be called where nothing on the stack uses them: from callbacks
 * of the event loop. */
static void free_dropped(struct entry *entry)
{
	while (entry->dropped) {
		struct gate_link *link = entry->dropped;

		entry->dropped = link->next_dropped;
		free(link);
	}
}

/* Sets the address at which this node reaches a member. */
static void set_address(const struct entry *entry, const struct member *member,
			struct gate_link *link)
{
	const char *region = entry->options.settings->region;
	const struct node_address *address = member_node_address(member, region);

	link->crosses_regions = strcmp(member->region, region) != 0;
	link->ip = address->ip;
	link->port = address->node_port;
}

/* Creates the link to a member. Errors: ERROR_MEMORY, ERROR_LIMIT. */
static struct gate_link *link_new(struct entry *entry, const struct member *member,
				  struct error *err)
{
	struct gate_link *link = calloc(1, sizeof(*link));
	uint32_t slot;

	if (!link) {
		error_set(err, ERROR_MEMORY, "no memory for a link to a gate");
		return NULL;
	}
	slot = slot_map_insert(&entry->link_map, slot_hash(member->identity.node_id, 0));
	if (slot == SLOT_NONE) {
		free(link);
		error_set(err, ERROR_LIMIT, "too many links to gates");
		return NULL;
	}
	entry->links[slot] = link;
	link->entry = entry;
	link->identity = member->identity;
	set_address(entry, member, link);
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct gate_conn *conn = &link->conns[kind];

		conn->owner = link;
		peer_init(&conn->peer, (enum link_kind)kind, &entry->connections);
		h2o_linklist_init_anchor(&conn->calls);
	}
	return link;
}

/* Returns the link to an incarnation of a gate. Errors: ERROR_UNREACHABLE when the member table
 * does not have the gate in this incarnation, ERROR_MEMORY, ERROR_LIMIT. */
struct gate_link *entry_link_get(struct entry *entry, const struct node_incarnation *gate,
				 struct error *err)
{
	const struct member *member = member_find(entry->options.members, gate->node_id);
	uint32_t slot = find_slot(entry, gate->node_id);

	if (!member || member->identity.incarnation != gate->incarnation) {
		error_set(err, ERROR_UNREACHABLE, "the gate is not a member in this incarnation");
		return NULL;
	}
	if (slot != SLOT_NONE && entry->links[slot]->identity.incarnation == gate->incarnation)
		return entry->links[slot];
	if (slot != SLOT_NONE)
		drop_link(entry, slot);
	return link_new(entry, member, err);
}

/* Acknowledges an answer that no call waits for, so that the gate can remove its record. */
static void ack_late_answer(struct gate_conn *conn, const struct message *msg)
{
	struct message ack = {.type = MESSAGE_ACK, .id = msg->id};

	counter_add(COUNTER_LATE_ANSWERS, 1);
	entry_link_send(conn, &ack, NULL);
}

/* Reports that a gate states a later incarnation than this entry knows; ignores earlier ones. */
static void report_new_incarnation(struct gate_conn *conn, uint64_t incarnation)
{
	const struct gate_link *link = conn->owner;
	const struct entry_options *options = &link->entry->options;
	struct node_incarnation identity = {link->identity.node_id, incarnation};

	if (incarnation <= link->identity.incarnation)
		return;
	conn->reached_new_incarnation = true;
	if (options->on_new_incarnation)
		options->on_new_incarnation(options->user, &identity);
}

/* Passes a message to the call that it concerns. */
static void dispatch_to_call(struct gate_conn *conn, const struct message *msg)
{
	struct entry_call *call = entry_find_call(conn->owner->entry, &msg->id);
	struct entry_input input = {.conn = conn};
	struct attempt_entry_event event;

	memset(&event, 0, sizeof(event));
	if (!call) {
		if (msg->type != MESSAGE_PENDING)
			ack_late_answer(conn, msg);
		return;
	}
	event.about.id = msg->id;
	if (msg->type == MESSAGE_ANSWER) {
		entry_proof_answered(call, &msg->answer);
		notice_table_record(&call->entry->notices, conn->owner->identity.node_id,
				    &msg->answer.notice);
		if (msg->answer.reason == REASON_INCARNATION)
			report_new_incarnation(conn, msg->answer.gate_incarnation);
		event.type = ENTRY_EVENT_ANSWER;
		event.answer.id = msg->id;
		event.answer.outcome = msg->answer.outcome;
		event.answer.reason = entry_answer_reason(call, &msg->answer);
		event.answer.failed = msg->answer.status >= HTTP_ERROR_MIN;
		input.answer = &msg->answer;
	} else {
		event.type = msg->type == MESSAGE_HELD ? ENTRY_EVENT_HELD : ENTRY_EVENT_PENDING;
		input.held_bytes = msg->type == MESSAGE_HELD ? msg->held.body_size : 0;
	}
	entry_call_step(call, &event, &input);
}

/* Records the load that a gate reports. If the gate states another incarnation, reports that and
 * ends the attempts of the link. */
static void handle_pong(struct gate_conn *conn, const struct message_pong *pong)
{
	struct gate_link *link = conn->owner;
	const struct pending_answer *awaited = (const struct pending_answer *)conn->calls.next;

	entry_proof_ponged(conn, pong);
	if (pong->gate_incarnation != link->identity.incarnation) {
		report_new_incarnation(conn, pong->gate_incarnation);
		notify_gate_gone(link);
	} else if (!h2o_linklist_is_empty(&conn->calls))
		choice_update_load(awaited->call->service->choice, link->identity.node_id,
				   &pong->load, clock_monotonic_us());
}

/* Handles a message from a gate. */
static void on_message(void *user, const struct message *msg)
{
	struct gate_conn *conn = user;

	if (msg->epoch != conn->peer.epoch)
		return;
	peer_message_received(&conn->peer, clock_monotonic_us());
	switch (msg->type) {
	case MESSAGE_ANSWER:
	case MESSAGE_HELD:
	case MESSAGE_PENDING:
		dispatch_to_call(conn, msg);
		break;
	case MESSAGE_PONG:
		handle_pong(conn, &msg->pong);
		break;
	default:
		counter_add(COUNTER_WIRE_BAD_MESSAGES, 1);
	}
}

static void on_connection_lost(void *user); /* reopens the connection */

/* Opens a connection; closes the current one first. */
static int open_conn(struct gate_conn *conn, struct error *err)
{
	struct gate_link *link = conn->owner;

	close_conn(conn);
	if (channel_link_open(link->entry->options.channel, link->ip, link->port, on_message, conn,
			      &conn->channel_link, err) != 0)
		return -1;
	channel_link_set_lost_callback(conn->channel_link, on_connection_lost);
	peer_opened(&conn->peer, clock_monotonic_us());
	conn->reached_new_incarnation = false;
	return 0;
}

/* Makes a connection ready to carry an attempt. Errors: those of channel_link_open(). */
int entry_link_prepare(struct gate_conn *conn, struct error *err)
{
	const struct peer_settings *settings = &conn->owner->entry->peer_settings;

	if (peer_before_use(&conn->peer, settings, clock_monotonic_us()) == PEER_NOTHING)
		return 0;
	return open_conn(conn, err);
}

/* Sends a message with the connection's epoch. If an error is returned, nothing was sent. */
int entry_link_send(struct gate_conn *conn, struct message *msg, struct error *err)
{
	if (!conn->channel_link)
		return error_set(err, ERROR_STATE, "the connection to the gate is closed");
	msg->epoch = conn->peer.epoch;
	if (channel_link_send(conn->channel_link, msg, err) == 0)
		return 0;
	peer_send_blocked(&conn->peer, clock_monotonic_us());
	return -1;
}

/* Records that a call awaits an answer on a connection. */
void entry_link_add_call(struct gate_conn *conn, struct entry_call *call)
{
	struct pending_answer *awaited = &call->pending_answers[conn->peer.kind];

	if (h2o_linklist_is_linked(&awaited->link))
		return;
	awaited->call = call;
	awaited->conn = conn;
	h2o_linklist_insert(&conn->calls, &awaited->link);
	peer_attempt_sent(&conn->peer, clock_monotonic_us());
}

/* Records that a call no longer awaits an answer on any connection. */
void entry_link_remove_call(struct entry_call *call)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct pending_answer *awaited = &call->pending_answers[kind];

		if (!h2o_linklist_is_linked(&awaited->link))
			continue;
		h2o_linklist_unlink(&awaited->link);
		peer_attempt_done(&awaited->conn->peer);
	}
	call->link = NULL;
}

/* Opens a new connection and asks the gate again about every attempt on it. If the gate is
 * unreachable, reports that and ends its attempts. */
static void replace_conn(struct gate_conn *conn)
{
	const struct entry_options *options = &conn->owner->entry->options;
	struct attempt_entry_event event = {.type = ENTRY_EVENT_LINK_REPLACED};
	struct error err = {0};
	bool is_open = open_conn(conn, &err) == 0;

	if (!is_open)
		log_failure(LOG_WARNING, LOG_PART_ENTRY,
			    "A connection to a gate could not be opened.", &err);
	if (!is_open || peer_is_unreachable(&conn->peer)) {
		options->on_unreachable(options->user, conn->owner->identity.node_id);
		notify_gate_gone(conn->owner);
		return;
	}
	event.link_replaced.epoch = conn->peer.epoch;
	notify_calls(conn, &event);
}

/* Sends a heartbeat. */
static void send_ping(struct gate_conn *conn, uint64_t now_us)
{
	struct message msg = {.type = MESSAGE_PING};
	struct gate_link *link = conn->owner;

	budget_charge(link->entry->options.budget, BUDGET_HEARTBEAT_BYTES, link->crosses_regions,
		      now_us);
	entry_proof_ping_sent(conn);
	entry_link_send(conn, &msg, NULL);
}

/* Replaces a connection and pings the gate on the new one, which the pong then confirms. */
static void reopen_conn(struct gate_conn *conn)
{
	replace_conn(conn);
	if (conn->channel_link)
		send_ping(conn, clock_monotonic_us());
}

/* Handles the loss of a connection. No attempt is sent to the gate until it answers on a new
 * one. */
static void on_connection_lost(void *user)
{
	struct gate_conn *conn = user;

	counter_add(COUNTER_WIRE_CONNECTIONS_LOST, 1);
	log_write(LOG_INFO, LOG_PART_ENTRY, "A connection to a gate was lost.",
		  "epoch=%u outstanding=%u", conn->peer.epoch, conn->peer.outstanding);
	if (peer_connection_lost(&conn->peer) == PEER_REPLACE)
		reopen_conn(conn);
}

/* Replaces a connection that is lost or silent, or sends a due heartbeat. */
static void tick_conn(struct gate_conn *conn, uint64_t now_us)
{
	if (peer_needs_reconnect(&conn->peer, &conn->owner->entry->peer_settings, now_us)) {
		peer_connection_lost(&conn->peer);
		reopen_conn(conn);
		return;
	}
	if (h2o_linklist_is_empty(&conn->calls))
		return;
	switch (peer_tick(&conn->peer, &conn->owner->entry->peer_settings, now_us)) {
	case PEER_PING:
		send_ping(conn, now_us);
		break;
	case PEER_REPLACE:
		counter_add(COUNTER_WIRE_CONNECTIONS_SILENT, 1);
		log_write(LOG_INFO, LOG_PART_ENTRY,
			  "A silent connection to a gate is being replaced.", "epoch=%u",
			  conn->peer.epoch);
		replace_conn(conn);
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
			tick_conn(&entry->links[slot]->conns[kind], now_us);
	}
}

/* Returns true if the gate of a link is dead or has another incarnation. */
static bool is_gate_gone(const struct entry *entry, const struct gate_link *link)
{
	const struct member *member = member_find(entry->options.members, link->identity.node_id);

	return !member || member->state == MEMBER_DEAD ||
	       member->identity.incarnation != link->identity.incarnation;
}

/* Closes the connections that have been unused for LINK_IDLE_CLOSE_US. */
static void close_idle(struct gate_link *link, uint64_t now_us)
{
	for (int kind = 0; kind < LINK_KIND_COUNT; kind++) {
		struct gate_conn *conn = &link->conns[kind];

		if (conn->peer.outstanding == 0 &&
		    now_us > conn->peer.last_sent_us + LINK_IDLE_CLOSE_US)
			close_conn(conn);
	}
}

/* Removes the links to gates that are gone and closes idle connections. */
void entry_links_sweep(struct entry *entry)
{
	uint64_t now_us = clock_monotonic_us();

	free_dropped(entry);
	for (uint32_t slot = 0; slot < FLEET_MEMBERS_MAX; slot++) {
		if (!entry->links[slot])
			continue;
		if (is_gate_gone(entry, entry->links[slot]))
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
