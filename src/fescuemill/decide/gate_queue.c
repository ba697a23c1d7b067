/*
 * Queues of a gate: bounded lists of waiting attempts.
 *
 * Each class has two lists: in-profile work ordered by due time, out-of-profile work by arrival.
 * When the queue is full, new in-profile work evicts out-of-profile work, or else less urgent work.
 */
#include "fescuemill/decide/gate_queue.h"

#include <stddef.h>

/* Inserts a ticket after another, or at the head if after is NULL. */
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

/* Unlinks a ticket from its list. */
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

/* Returns the list of the ticket's class that holds, or is to hold, the ticket. */
static struct gate_list *ticket_list(struct gate *gate, const struct gate_ticket *ticket)
{
	struct gate_class *class = &gate->classes[ticket->class_index];

	return ticket->in_profile ? &class->in_profile : &class->out_of_profile;
}

/* Queues a ticket. The caller must have checked that the queue is not full. */
void gate_queue_add(struct gate *gate, struct gate_ticket *ticket)
{
	struct gate_list *list = ticket_list(gate, ticket);
	struct gate_ticket *after = list->tail;

	while (ticket->in_profile && after && after->due_us > ticket->due_us)
		after = after->prev;
	list_insert(list, after, ticket);
	gate->queued++;
	gate->customers.live += ticket->customer != 0;
	ticket->state = TICKET_WAITING;
}

/* Removes a waiting ticket from its queue. */
void gate_queue_remove(struct gate *gate, struct gate_ticket *ticket)
{
	list_remove(ticket_list(gate, ticket), ticket);
	gate->queued--;
	gate->customers.live -= ticket->customer != 0;
	ticket->state = TICKET_IDLE;
}

/* Returns the number of waiting tickets of a class. */
uint32_t gate_queue_length(const struct gate_class *class)
{
	return class->in_profile.count + class->out_of_profile.count;
}

/* Returns true if a ticket that starts now and takes that many service times meets its due time. */
static bool meets_due_time(const struct gate_class *class, const struct gate_ticket *ticket,
			   uint32_t service_times, uint64_t now_us)
{
	return now_us + class->service.recent_mean_us * service_times <= ticket->due_us;
}

/*
 * Returns the first or the last of a class's tickets in due order; NULL if first is. It is the
 * first one, unless the class has fallen behind. Then it is the last one if its due time can still
 * be met: serving in due order would answer every call of a standing queue late. The skipped
 * tickets wait until the class has caught up.
 */
struct gate_ticket *gate_queue_pick_by_due(const struct gate_class *class,
					   struct gate_ticket *first, struct gate_ticket *last,
					   uint64_t now_us)
{
	if (!first || meets_due_time(class, first, GATE_DUE_MARGIN, now_us))
		return first;
	return meets_due_time(class, last, 1, now_us) ? last : first;
}

/* Returns the in-profile ticket that a class serves next, or NULL. */
struct gate_ticket *gate_queue_next_in_profile(const struct gate_class *class, uint64_t now_us)
{
	return gate_queue_pick_by_due(class, class->in_profile.head, class->in_profile.tail,
				      now_us);
}

/* Returns the ticket that a class serves next, or NULL. Out of profile, the newest comes first. */
struct gate_ticket *gate_queue_next(const struct gate_class *class, uint64_t now_us)
{
	if (class->in_profile.head)
		return gate_queue_next_in_profile(class, now_us);
	return class->out_of_profile.tail;
}

/* Returns true if the queue of the class, or that of the whole gate, is full. */
bool gate_queue_is_full(const struct gate *gate, const struct gate_class *class)
{
	return gate_queue_length(class) >= GATE_CLASS_QUEUE_MAX || gate->queued >= GATE_QUEUE_MAX;
}

/* Returns the oldest ticket of the longest out-of-profile list, or NULL. */
static struct gate_ticket *find_out_of_profile_victim(const struct gate *gate)
{
	const struct gate_list *longest = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_list *list = &gate->classes[i].out_of_profile;

		if (list->count && (!longest || list->count > longest->count))
			longest = list;
	}
	return longest ? longest->head : NULL;
}

/*
 * Returns the in-profile ticket with the latest due time of the least urgent class, or NULL if no
 * class with in-profile tickets is less urgent than a rank.
 */
static struct gate_ticket *find_less_urgent_victim(const struct gate *gate, uint32_t rank)
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
 * Returns the waiting ticket to evict for a new one when the queue is full, or NULL if the new one
 * must be refused. A new out-of-profile ticket, or any ticket of a class at its own bound, evicts
 * only the oldest out-of-profile ticket of its class.
 */
struct gate_ticket *gate_queue_find_victim(struct gate *gate, const struct gate_ticket *ticket)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];
	struct gate_ticket *victim = class->out_of_profile.head;

	if (!ticket->in_profile || gate_queue_length(class) >= GATE_CLASS_QUEUE_MAX)
		return victim;
	victim = find_out_of_profile_victim(gate);
	return victim ? victim : find_less_urgent_victim(gate, class->target.rank);
}
