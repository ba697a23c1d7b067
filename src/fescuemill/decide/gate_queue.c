/*
 * Queues of a gate: where attempts wait, within stated bounds.
 *
 * Each class has two: work in profile by due time, work out of profile by arrival. Work in profile
 * never finds a place taken by work out of profile or by less urgent work.
 */
#include "fescuemill/decide/gate_queue.h"

#include <stddef.h>

/* Inserts a ticket after another, or at the head when after is NULL. */
static void list_insert(struct gate_list *list, struct gate_ticket *after,
			struct gate_ticket *ticket)
{
	struct gate_ticket *next = after ? after->next : list->head;

	ticket->prev = after;
	ticket->next = next;
	if (after)
		after->next = ticket;
	else
		list->head = ticket;
	if (next)
		next->prev = ticket;
	else
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
	ticket->prev = NULL;
	ticket->next = NULL;
	list->count--;
}

/* Gives the list that a ticket waits in. */
static struct gate_list *list_of(struct gate *gate, const struct gate_ticket *ticket)
{
	struct gate_class *class = &gate->classes[ticket->class_index];

	return ticket->in_profile ? &class->in_profile : &class->out_of_profile;
}

/* Puts a ticket into its queue; the caller has made sure of a place. */
void gate_queue_add(struct gate *gate, struct gate_ticket *ticket)
{
	struct gate_list *list = list_of(gate, ticket);
	struct gate_ticket *after = list->tail;

	while (ticket->in_profile && after && after->due_us > ticket->due_us)
		after = after->prev;
	list_insert(list, after, ticket);
	gate->queued++;
	ticket->state = TICKET_WAITING;
}

/* Takes a waiting ticket out of its queue. */
void gate_queue_remove(struct gate *gate, struct gate_ticket *ticket)
{
	list_remove(list_of(gate, ticket), ticket);
	gate->queued--;
	ticket->state = TICKET_IDLE;
}

/* Gives how many tickets of a class wait. */
uint32_t gate_queue_length(const struct gate_class *class)
{
	return class->in_profile.count + class->out_of_profile.count;
}

/* Tells whether a ticket of a class would be answered by its due time if it started now and took
 * a number of service times. */
static bool is_in_time(const struct gate_class *class, const struct gate_ticket *ticket,
		       uint32_t service_times, uint64_t now_us)
{
	return now_us + class->service.recent_us * service_times <= ticket->due_us;
}

/*
 * Gives the ticket in profile that a class serves next, or NULL: the earliest due. A class that has
 * fallen behind serves the latest due as long as that one can be answered in time: in the order of
 * arrival it would answer every call late. Those that it passed over wait for a free moment.
 */
struct gate_ticket *gate_queue_next_in_profile(const struct gate_class *class, uint64_t now_us)
{
	struct gate_ticket *first = class->in_profile.head;
	struct gate_ticket *last = class->in_profile.tail;

	if (!first || is_in_time(class, first, GATE_DUE_MARGIN, now_us))
		return first;
	return is_in_time(class, last, 1, now_us) ? last : first;
}

/* Gives the ticket of a class that is served next, or NULL. */
struct gate_ticket *gate_queue_next(const struct gate_class *class, uint64_t now_us)
{
	if (class->in_profile.head)
		return gate_queue_next_in_profile(class, now_us);
	return class->out_of_profile.tail;
}

/* Tells whether a class has no place left, by its own bound or by that of the gate. */
bool gate_queue_is_full(const struct gate *gate, const struct gate_class *class)
{
	return gate_queue_length(class) >= GATE_CLASS_QUEUE_MAX || gate->queued >= GATE_QUEUE_MAX;
}

/* Gives the oldest ticket of the longest queue out of profile, or NULL. */
static struct gate_ticket *surplus_victim(const struct gate *gate)
{
	const struct gate_list *longest = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_list *list = &gate->classes[i].out_of_profile;

		if (list->count && (!longest || list->count > longest->count))
			longest = list;
	}
	return longest ? longest->head : NULL;
}

/* Gives the last-due ticket of the least urgent class that is less urgent than a rank, or NULL. */
static struct gate_ticket *urgency_victim(const struct gate *gate, uint32_t rank)
{
	const struct gate_class *least = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (!class->in_profile.count || class->target.rank <= rank)
			continue;
		if (!least || class->target.rank > least->target.rank)
			least = class;
	}
	return least ? least->in_profile.tail : NULL;
}

/*
 * Gives the waiting ticket that has to make place for a new one when the queue is full, or NULL
 * when the new one has to go. Out of profile the oldest of the same class goes.
 */
struct gate_ticket *gate_queue_victim(struct gate *gate, const struct gate_ticket *ticket)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];
	struct gate_ticket *victim = class->out_of_profile.head;

	if (!ticket->in_profile || gate_queue_length(class) >= GATE_CLASS_QUEUE_MAX)
		return victim;
	victim = surplus_victim(gate);
	return victim ? victim : urgency_victim(gate, class->target.rank);
}
