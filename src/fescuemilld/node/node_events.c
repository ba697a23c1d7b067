/*
 * Node events: changes of the node's state, and the callbacks that the parts of a node call.
 */
#include "fescuemilld/node/node_events.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"
#include "fescuemilld/node/node_evacuation.h"
#include "fescuemilld/node/node_limits.h"

#include <string.h>

#define TIME_SKIP_US GOSSIP_PAUSE_THRESHOLD_US
#define STALL_US_MIN (2ULL * NODE_HOUSEKEEPING_MS * USEC_PER_MSEC)
/* Time after a stall within which all messages that waited during it are read. */
#define STALL_READ_US (100 * USEC_PER_MSEC)

/* Applies an input to the node's state chart. An input without a transition from the current state
 * is ignored. */
void node_apply_input(struct node *node, enum node_input input)
{
	uint32_t next;

	if (chart_next(CHART_NODE, node->state, input, &next, NULL) != 0 || next == node->state)
		return;
	node->state = next;
	log_write(LOG_INFO, LOG_PART_MAIN, "The node changed its state.", "state=%s",
		  chart_get_names(CHART_NODE)->states[next]);
}

/* Detects that the loop has stalled since the last check. After a stall of TIME_SKIP_US or more,
 * the configuration and the members that the node knows may be outdated, and it catches up before
 * it accepts calls. */
void node_detect_stall(struct node *node, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - node->time_checked_us;

	node->time_checked_us = now_us;
	if (elapsed_us < STALL_US_MIN)
		return;
	node->stall_us = elapsed_us;
	node->stall_end_us = now_us;
	if (elapsed_us < TIME_SKIP_US)
		return;
	log_write(LOG_WARNING, LOG_PART_MAIN, "The process was paused.", "for_us=%llu",
		  (unsigned long long)elapsed_us);
	config_mark_stale(node->config);
	list_watch_refresh(node->list_watch);
	node_evacuation_paused(node, now_us);
	node_apply_input(node, NODE_INPUT_TIME_SKIPPED);
}

/* Returns true if a stopping node still accepts calls as an entry, because callers need time to
 * notice that it is not ready. */
static bool node_still_serves(const struct node *node)
{
	return node->stop.phase == STOP_SERVING || node->stop.phase == STOP_FINISHING;
}

/* Returns true if callers should send new calls to this node. */
bool node_is_ready(void *user)
{
	const struct node *node = user;

	return node->state == NODE_READY;
}

/* Returns the chance, in permille, that a call that the entry receives is made by a repeated run of
 * this host's backend server. It is taken for every call: its connection does not tell whether the
 * backend server or a client makes it. */
uint32_t node_repeat_permille(void *user)
{
	const struct node *node = user;

	return retry_runs_share_permille(&gate_shell_admission(node->gate)->runs);
}

/* Returns why the entry must refuse calls now, or REASON_NONE. After the process was paused, a call
 * may be read before housekeeping detects the stall, so the stall check also runs here. */
enum call_reason node_refusal_reason(void *user)
{
	struct node *node = user;

	node_detect_stall(node, clock_monotonic_us());
	switch (node->state) {
	case NODE_READY:
		return REASON_NONE;
	case NODE_DRAINING:
		return node_still_serves(node) ? REASON_NONE : REASON_DRAINING;
	case NODE_STOPPED:
		return REASON_DRAINING;
	default:
		return REASON_NOT_READY;
	}
}

/* Returns false if the node stops before a new call with this time left has ended. */
bool node_has_time_for(void *user, uint64_t time_left_us)
{
	const struct node *node = user;

	return stop_accepts_call(&node->stop, time_left_us, clock_monotonic_us());
}

/* Returns true if the entry may use gates of the region. */
bool node_region_is_usable(void *user, const char *region)
{
	const struct node *node = user;

	return gossip_region_is_reachable(node->gossip, region);
}

/* Makes gossip probe a gate that the entry could not reach. */
void node_on_gate_unreachable(void *user, uint64_t node_id)
{
	struct node *node = user;

	gossip_report_failure(node->gossip, node_id, clock_monotonic_us());
}

/* Records a later incarnation that a gate itself reported to the entry. Gossip about it may arrive
 * seconds later. */
void node_on_new_gate_incarnation(void *user, const struct node_incarnation *identity)
{
	struct node *node = user;
	const struct member *known = member_find(node->members, identity->node_id);
	struct member updated;

	if (!known || known->identity.incarnation >= identity->incarnation)
		return;
	updated = *known;
	updated.identity = *identity;
	updated.revision = 0;
	updated.state = MEMBER_ALIVE;
	log_write(LOG_INFO, LOG_PART_ENTRY, "A gate reported a later incarnation.",
		  "gate=%s incarnation=%llu known=%llu", known->name,
		  (unsigned long long)identity->incarnation,
		  (unsigned long long)known->identity.incarnation);
	member_upsert(node->members, &updated);
}

/* Changes to a later incarnation in every part that reports the incarnation to other nodes. Returns
 * false and changes nothing while the gate has records of attempts: they were accepted under the
 * current incarnation, and entries treat an attempt addressed to another incarnation as not run. */
bool node_on_new_own_incarnation(void *user, uint64_t incarnation)
{
	struct node *node = user;
	struct member self = node_evacuation_roster_entry(node);

	if (gate_shell_live_count(node->gate) + gate_shell_record_count(node->gate) > 0)
		return false;
	node->self.identity.incarnation = incarnation;
	entry_set_incarnation(node->entry, incarnation);
	gate_shell_set_incarnation(node->gate, incarnation);
	self.identity.incarnation = incarnation;
	registration_set_self(node->registration, &self);
	return true;
}

/* Records a peer's newer configuration version and, if this node is behind it, pulls the
 * configuration from the peer. */
void node_on_newer_config(void *user, uint64_t node_id, uint64_t version)
{
	struct node *node = user;

	config_record_peer_version(node->config, version);
	if (config_is_behind(node->config))
		config_pull_from_peer(node->pull, node_id, clock_monotonic_us());
}

void node_on_demand(void *user, uint64_t node_id, const uint8_t *data, size_t size)
{
	struct node *node = user;

	demand_shell_receive(node->demand, node_id, data, size, clock_monotonic_us());
}

void node_on_allotment(void *user, uint64_t node_id, const uint8_t *data, size_t size)
{
	struct node *node = user;

	allotment_shell_receive(node->allotment, node_id, data, size, clock_monotonic_us());
}

void node_on_crashes(void *user, const uint8_t *data, size_t size)
{
	struct node *node = user;

	crash_shell_receive(node->crashes, data, size);
}

/* Sets the classes, the health path and the cold rate of this node's service at the gate, and its
 * share of their rates. */
void node_apply_config(struct node *node)
{
	const struct member *self = gossip_self(node->gossip);
	const char *service = self->service[0] ? self->service : node->settings.backend_service;
	const struct service_config *config = config_find(node->config, service);

	const struct routing *routing = config_routing(node->config);
	const struct route_service *routed =
		routing ? routing_find_service(routing, service) : NULL;

	if (config)
		gate_shell_set_config(node->gate, config);
	gate_shell_set_health_path(node->gate, routed ? routed->health_path : "");
	gate_shell_set_cold(node->gate, routed ? routed->cold_rate_milli : 0,
			    routed ? routed->cold_start_ms : 0);
	demand_shell_refresh(node->demand, clock_monotonic_us());
	node_apply_limits(node);
	allotment_shell_refresh(node->allotment, clock_monotonic_us());
}

/* Applies a changed announcement of the backend server, or the end of its lease. */
void node_on_announcement(void *user, const struct announcement *now)
{
	struct node *node = user;
	struct member self;

	log_write(LOG_INFO, LOG_PART_GATE, "The backend server's announcement has changed.",
		  "service=%s port=%u slots=%u state=%s", now->service, now->port, now->slots,
		  backend_state_name(now->state));
	node->announced_state = now->state;
	gossip_set_backend(node->gossip, now->service, node_evacuation_backend_state(node),
			   now->slots);
	self = node_evacuation_roster_entry(node);
	registration_set_self(node->registration, &self);
	node_apply_config(node);
	gate_shell_set_backend(node->gate, now);
}

/* Passes on what each announcement of the backend server says, whether or not it has changed. */
void node_on_heartbeat(void *user, const struct announcement *heard)
{
	struct node *node = user;

	gate_shell_hear_heartbeat(node->gate, heard);
}

/* Uses the backend server from the settings after a probe found it, so that a restarted node does
 * not wait for its next announcement. */
void node_on_backend_found(void *user, const struct backend_load *load)
{
	struct node *node = user;
	const struct settings *settings = &node->settings;
	struct announcement found = {
		.ip = settings->backend_server.ip,
		.port = settings->backend_server.port,
		.slots = load->slots,
		.state = BACKEND_READY,
	};

	if (settings->backend_service[0] == '\0' || load->slots == 0)
		return;
	memcpy(found.service, settings->backend_service, sizeof(found.service));
	memcpy(found.instance, load->instance, sizeof(found.instance));
	announce_backend_found(node->announce, &found);
}

/* Records that a probe found the backend server not ready. */
void node_on_backend_refused(void *user)
{
	struct node *node = user;

	announce_backend_refused(node->announce);
}

/* Ends the lease of an unreachable backend server at once, so that entries stop choosing it. */
void node_on_backend_unreachable(void *user)
{
	struct node *node = user;

	announce_expire_lease(node->announce);
}

/* Drains the backend server that has stated in an answer that it is leaving. */
void node_on_backend_leaving(void *user, uint64_t started_ms)
{
	struct node *node = user;

	announce_backend_leaving(node->announce, started_ms);
}

/* Returns how many slots of the backend server are in use. */
uint32_t node_slots_in_use(void *user)
{
	const struct node *node = user;
	struct gate_load load;

	gate_shell_get_load(node->gate, &load);
	return load.in_use;
}

/* Passes a call from another node to the gate. The gate refuses a new call while this node is not
 * ready and has no routes yet, and a call that may not run here. A call read within STALL_READ_US
 * after a stall may have waited for the whole stall, and its entry may have given it up. The stall
 * is therefore subtracted from its remaining time. */
static void handle_call(struct node *node, const struct channel_route *from,
			const struct message *msg)
{
	enum call_reason reason = node_refusal_reason(node);
	enum call_reason misplaced = node_evacuation_refusal(node, msg);
	struct message call = *msg;

	if (reason == REASON_NOT_READY && !config_routing(node->config))
		gate_shell_refuse_new_call(node->gate, from, msg, reason);
	else if (misplaced != REASON_NONE)
		gate_shell_refuse_new_call(node->gate, from, msg, misplaced);
	else if (clock_monotonic_us() > node->stall_end_us + STALL_READ_US)
		gate_shell_handle_message(node->gate, from, msg);
	else if (msg->call.time_left_us <= node->stall_us)
		gate_shell_refuse_new_call(node->gate, from, msg, REASON_EXPIRED);
	else {
		call.call.time_left_us -= node->stall_us;
		gate_shell_handle_message(node->gate, from, &call);
	}
}

/* Handles a call whose body came in pieces. Without the whole body it does not run. */
static void handle_pieced_call(struct node *node, const struct channel_route *from,
			       const struct message *msg)
{
	struct message call = *msg;
	struct gathered_body *body =
		gate_pieces_take(&node->pieces, &msg->id, msg->call.pieced_size);

	call.type = MESSAGE_CALL;
	if (!body) {
		gate_shell_refuse_new_call(node->gate, from, &call, REASON_OVERLOAD);
		return;
	}
	call.call.body.data = body->data;
	call.call.body.size = body->size;
	call.call.gathered = body;
	handle_call(node, from, &call);
	gathered_body_free(body);
}

/* Handles a message from another node. */
void node_on_message(void *user, const struct channel_route *from, const struct message *msg)
{
	struct node *node = user;

	if (msg->type == MESSAGE_CONFIG_PULL)
		config_reply_send(&node->config_reply, from, msg);
	else if (msg->type == MESSAGE_CALL)
		handle_call(node, from, msg);
	else if (msg->type == MESSAGE_PIECED_CALL)
		handle_pieced_call(node, from, msg);
	else if (msg->type == MESSAGE_PIECE)
		gate_pieces_add(&node->pieces, msg, clock_monotonic_us());
	else
		gate_shell_handle_message(node->gate, from, msg);
}

/* Frames the messages that are read one right after the other. */
void node_on_reading(void *user, bool is_reading)
{
	struct node *node = user;

	gate_shell_set_reading(node->gate, is_reading);
}

/* Runs housekeeping in the next loop iteration, to apply the changes without waiting a period. */
void node_on_config_applied(void *user)
{
	struct node *node = user;

	uv_timer_start(&node->housekeeping, node->housekeeping.timer_cb, 0, NODE_HOUSEKEEPING_MS);
}

/* Applies configuration from the platform. */
void node_on_config_batch(void *user, uint64_t from, json_t *root)
{
	struct node *node = user;
	struct error err = {0};

	if (config_apply_answer(node->config, from, root, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG,
			    "Configuration from the platform was rejected.", &err);
	else
		key_proof_shell_answered(node->key_proof, from == 0,
					 list_watch_asked_us(node->list_watch));
	node_on_config_applied(node);
}

/* Returns the name of the node's state in charts/node.json. */
const char *node_state_name(void *user)
{
	const struct node *node = user;

	return chart_get_names(CHART_NODE)->states[node->state];
}

/* Returns this node's member record, as gossip announces it. */
const struct member *node_self(void *user)
{
	const struct node *node = user;

	return gossip_self(node->gossip);
}
