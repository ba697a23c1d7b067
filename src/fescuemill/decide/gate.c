/*
 * Gate: decides which attempt gets a slot of the backend server, which waits and which is refused.
 */
#include "fescuemill/decide/gate.h"

#include <string.h>

static const struct gate_verdict verdict_start = {GATE_START, REASON_NONE};
static const struct gate_verdict verdict_wait = {GATE_WAIT, REASON_NONE};

/* Makes the verdict of a refusal. */
static struct gate_verdict verdict_refuse(enum call_reason reason)
{
	struct gate_verdict verdict = {GATE_REFUSE, reason};

	return verdict;
}

/* Empties the list of actions. */
static void actions_clear(struct gate_actions *actions)
{
	actions->count = 0;
	actions->more = false;
}

/* Tells whether another action fits; when not, notes that there is more to do. */
static bool actions_have_room(struct gate_actions *actions)
{
	if (actions->count < GATE_ACTIONS_MAX)
		return true;
	actions->more = true;
	return false;
}

/* Adds an action; the caller has made sure of room. */
static void actions_add(struct gate_actions *actions, struct gate_ticket *ticket,
			struct gate_verdict verdict)
{
	struct gate_action *action = &actions->list[actions->count++];

	action->ticket = ticket;
	action->verdict = verdict;
}

/* Appends a ticket to a list. */
static void list_append(struct gate_list *list, struct gate_ticket *ticket)
{
	ticket->prev = list->tail;
	ticket->next = NULL;
	if (list->tail)
		list->tail->next = ticket;
	else
		list->head = ticket;
	list->tail = ticket;
	list->count++;
}

/* Takes a ticket out of its list. */
static void list_remove(struct gate_list *list, struct gate_ticket *ticket)
{
	if (ticket->prev)
		ticket->prev->next = ticket->next;
	else
		list->head = ticket->next;
	if (ticket->next)
		ticket->next->prev = ticket->prev;
	else
		list->tail = ticket->prev;
	list->count--;
}

/* Takes a waiting ticket out of its queue. */
static void unqueue(struct gate *gate, struct gate_ticket *ticket)
{
	list_remove(&gate->classes[ticket->class_index].waiting, ticket);
	gate->queued--;
	ticket->state = TICKET_IDLE;
}

/* Gives a ticket a slot. */
static void start(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
	gate->in_use++;
	ticket->state = TICKET_RUNNING;
	ticket->start_us = now_us;
}

/* Gives the waiting ticket of the most urgent class, or NULL. */
static struct gate_ticket *most_urgent(const struct gate *gate)
{
	const struct gate_class *best = NULL;

	for (uint32_t i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->waiting.head && (!best || class->target.rank < best->target.rank))
			best = class;
	}
	return best ? best->waiting.head : NULL;
}

/* Refuses a waiting ticket through an action. */
static void refuse(struct gate *gate, struct gate_ticket *ticket, enum call_reason reason,
		   struct gate_actions *actions)
{
	unqueue(gate, ticket);
	actions_add(actions, ticket, verdict_refuse(reason));
}

/* Refuses every waiting ticket whose deadline has passed. */
static void expire(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < gate->class_count; i++) {
		struct gate_ticket *ticket = gate->classes[i].waiting.head;

		while (ticket) {
			struct gate_ticket *next = ticket->next;

			if (ticket->deadline_us <= now_us) {
				if (!actions_have_room(actions))
					return;
				refuse(gate, ticket, REASON_EXPIRED, actions);
			}
			ticket = next;
		}
	}
}

/* Tells whether the backend server may be given work. */
static bool is_serving(const struct gate *gate)
{
	return gate->state == BACKEND_READY;
}

/* Fills free slots with waiting work. */
static void dispatch(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	while (gate->state != BACKEND_NONE && gate->in_use < gate->limit && gate->queued) {
		struct gate_ticket *ticket;

		if (!actions_have_room(actions))
			return;
		ticket = most_urgent(gate);
		unqueue(gate, ticket);
		start(gate, ticket, now_us);
		actions_add(actions, ticket, verdict_start);
	}
}

/* Makes a gate without configuration and backend server; it refuses all work. */
void gate_init(struct gate *gate, uint64_t now_us)
{
	(void)now_us;
	memset(gate, 0, sizeof(*gate));
}

/*
 * Puts a configuration in force. Classes are matched by name; waiting tickets of a class that is
 * gone are refused, its running tickets finish. Until gate_set_rates the gate enforces the whole
 * calls_per_s by itself.
 */
void gate_set_config(struct gate *gate, const struct service_config *config, uint64_t now_us,
		     struct gate_actions *actions)
{
	actions_clear(actions);
	(void)now_us;
	memcpy(gate->service, config->service, sizeof(gate->service));
	gate->config_version = config->version;
	gate->class_count = config->class_count;
	for (uint32_t i = 0; i < config->class_count; i++) {
		gate->classes[i].target = config->classes[i];
		gate->classes[i].rate_milli = config->classes[i].calls_per_s * 1000ULL;
	}
}

/* Sets this gate's part of each class's calls_per_s, in thousandths of a call a second. */
void gate_set_rates(struct gate *gate, const uint64_t *rates_milli, uint32_t count)
{
	for (uint32_t i = 0; i < count && i < gate->class_count; i++)
		gate->classes[i].rate_milli = rates_milli[i];
}

/*
 * Takes the state and the announced slots of the backend server. Draining and leaving refuse new
 * work; what waits and runs is still served. BACKEND_NONE refuses what waits.
 */
void gate_set_backend(struct gate *gate, enum backend_state state, uint32_t slots, uint64_t now_us,
		      struct gate_actions *actions)
{
	actions_clear(actions);
	gate->state = state;
	gate->slots = slots < GATE_SLOTS_MAX ? slots : GATE_SLOTS_MAX;
	gate->limit = gate->slots;
	dispatch(gate, now_us, actions);
}

/* Gives the index of a class for gate_offer, or -1 when there is none of this name. */
int gate_find_class(const struct gate *gate, const char *name)
{
	for (uint32_t i = 0; i < gate->class_count; i++) {
		if (strncmp(gate->classes[i].target.name, name, CLASS_NAME_BYTES) == 0)
			return (int)i;
	}
	return -1;
}

/*
 * Offers an idle ticket. deadline_us is the caller's, on the clock of now_us. The verdict is about
 * this ticket; the actions are about others.
 */
struct gate_verdict gate_offer(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			       uint64_t deadline_us, uint64_t now_us, struct gate_actions *actions)
{
	struct gate_class *class;

	actions_clear(actions);
	if (class_index >= gate->class_count)
		return verdict_refuse(REASON_UNKNOWN_CLASS);
	if (gate->state == BACKEND_DRAINING || gate->state == BACKEND_LEAVING)
		return verdict_refuse(REASON_DRAINING);
	if (!is_serving(gate))
		return verdict_refuse(REASON_NO_BACKEND);
	if (deadline_us <= now_us)
		return verdict_refuse(REASON_EXPIRED);
	class = &gate->classes[class_index];
	ticket->class_index = (uint8_t)class_index;
	ticket->arrival_us = now_us;
	ticket->deadline_us = deadline_us;
	if (gate->in_use < gate->limit && !gate->queued) {
		start(gate, ticket, now_us);
		return verdict_start;
	}
	if (class->waiting.count >= GATE_CLASS_QUEUE_MAX || gate->queued >= GATE_QUEUE_MAX)
		return verdict_refuse(REASON_OVERLOAD);
	ticket->state = TICKET_WAITING;
	list_append(&class->waiting, ticket);
	gate->queued++;
	return verdict_wait;
}

/* Takes the end of a running ticket and gives its slot on. */
void gate_finish(struct gate *gate, struct gate_ticket *ticket, enum gate_result result,
		 uint64_t now_us, struct gate_actions *actions)
{
	uint64_t spent_us = now_us - ticket->start_us;

	actions_clear(actions);
	if (ticket->state != TICKET_RUNNING)
		return;
	if (result == GATE_RESULT_OK)
		gate->service_time_us = (gate->service_time_us * 7 + spent_us) / 8;
	ticket->state = TICKET_IDLE;
	gate->in_use--;
	expire(gate, now_us, actions);
	dispatch(gate, now_us, actions);
}

/* Frees the slot or the queue place of a ticket at once; an idle ticket is left as it is. */
void gate_cancel(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
		 struct gate_actions *actions)
{
	actions_clear(actions);
	if (ticket->state == TICKET_WAITING)
		unqueue(gate, ticket);
	else if (ticket->state == TICKET_RUNNING)
		gate->in_use--;
	ticket->state = TICKET_IDLE;
	dispatch(gate, now_us, actions);
}

/* Moves time on; call it every GATE_TICK_INTERVAL_US, and at once while actions say more. */
void gate_tick(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	actions_clear(actions);
	expire(gate, now_us, actions);
	dispatch(gate, now_us, actions);
}

/* Gives the load that rides on answers and pongs. */
void gate_get_load(const struct gate *gate, struct gate_load *load)
{
	load->in_use = gate->in_use;
	load->limit = gate->limit;
	load->queued = gate->queued;
	load->service_time_us = (uint32_t)gate->service_time_us;
	load->wait_us = 0;
	if (gate->limit && gate->in_use >= gate->limit)
		load->wait_us =
			(uint32_t)(gate->service_time_us * (gate->queued + 1) / gate->limit);
	load->state = (uint8_t)gate->state;
}
