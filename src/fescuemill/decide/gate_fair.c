/*
 * Fair room at a gate.
 *
 * Calls without a customer count as those of one customer of their own.
 */
#include "fescuemill/decide/gate_fair.h"

#include "fescuemill/decide/gate_order.h"
#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/gate_rate.h"
#include "fescuemill/decide/gate_refuse.h"

#include <stddef.h>
#include <string.h>

#define PARTIES_MAX   128 /* customers that are compared when a call is refused */
#define PLACES_BITS   8	  /* of the hash table of these; at most half of its places are used */
#define PLACES	      (1U << PLACES_BITS)
#define EVICTIONS_MAX 4 /* calls refused to make room for one */

/* A customer with waiting calls or recent slot time, and the slot time of both. */
struct party {
	uint64_t customer;
	uint64_t demand_us;
	uint64_t used_us; /* recent slot time, where it is not part of the demand */
	uint32_t waiting;
};

struct parties {
	uint32_t count;
	uint32_t waiting; /* calls of all */
	uint64_t demand_us;
	uint8_t places[PLACES]; /* number of an entry of the list, from 1; 0: free */
	struct party list[PARTIES_MAX];
};

/* Returns true if a waiting or running call has a customer. */
bool gate_fair_is_active(const struct gate *gate)
{
	return gate->customers.live > 0;
}

/* Returns the expected slot time of a call of a class. */
static uint64_t expected_us(const struct gate *gate, const struct gate_class *class)
{
	if (class->service.recent_mean_us)
		return class->service.recent_mean_us;
	return gate->service_us ? gate->service_us : 1000;
}

/* The waiting customer that has used least so far in one search. */
struct least_used {
	bool is_found;
	uint64_t customer;
	uint64_t used_us;
	uint64_t due_us; /* of its first call seen */
};

/* Adds the customers of a list of tickets to a search. Of two that have used the same, the one with
 * the earlier due time comes first. */
static void search_list(const struct gate *gate, const struct gate_list *list, uint64_t now_us,
			struct least_used *least)
{
	uint64_t last = 0;
	bool has_last = false;

	for (const struct gate_ticket *ticket = list->head; ticket; ticket = ticket->next) {
		uint64_t used_us;

		if (has_last && ticket->customer == last)
			continue;
		has_last = true;
		last = ticket->customer;
		used_us = customer_share_used_us(&gate->customers, last, now_us);
		if (least->is_found &&
		    (used_us > least->used_us ||
		     (used_us == least->used_us && ticket->due_us >= least->due_us)))
			continue;
		*least = (struct least_used){true, last, used_us, ticket->due_us};
	}
}

/* Returns the first ticket of a customer in a list, or the last one, or NULL. */
static struct gate_ticket *find_in_list(const struct gate_list *list, uint64_t customer,
					bool is_last)
{
	struct gate_ticket *ticket = is_last ? list->tail : list->head;

	while (ticket && ticket->customer != customer)
		ticket = is_last ? ticket->prev : ticket->next;
	return ticket;
}

/* Returns true if a class is among those of a search: of a rank, or the only one. */
static bool is_searched(const struct gate_class *class, uint32_t rank,
			const struct gate_class *only)
{
	return only ? class == only : class->target.rank == rank;
}

/* Returns the in-profile ticket of the customer that has used least, by the due order of the class
 * and then of the classes. */
struct gate_ticket *gate_fair_next_in_profile(const struct gate *gate, uint32_t rank,
					      const struct gate_class *only, uint64_t now_us)
{
	struct least_used least = {0};
	struct gate_ticket *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		if (is_searched(&gate->classes[i], rank, only))
			search_list(gate, &gate->classes[i].in_profile, now_us, &least);
	}
	for (uint32_t i = 0; least.is_found && i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];
		struct gate_ticket *ticket;

		if (!is_searched(class, rank, only))
			continue;
		ticket = gate_queue_pick_by_due(
			class, find_in_list(&class->in_profile, least.customer, false),
			find_in_list(&class->in_profile, least.customer, true), now_us);
		if (ticket && (!best || ticket->due_us < best->due_us))
			best = ticket;
	}
	return best;
}

/* Returns the newest out-of-profile ticket of the customer that has used least. */
struct gate_ticket *gate_fair_next_surplus(const struct gate *gate, const struct gate_class *class,
					   uint64_t now_us)
{
	struct least_used least = {0};

	search_list(gate, &class->out_of_profile, now_us, &least);
	return find_in_list(&class->out_of_profile, least.customer, true);
}

/* Charges a ticket that starts with its expected slot time, so that several starts in a row are
 * shared too. Calls without a customer count only while others have one. */
void gate_fair_started(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
	uint64_t slot_us;

	ticket->charged_us = 0;
	if (!gate_fair_is_active(gate))
		return;
	slot_us = expected_us(gate, &gate->classes[ticket->class_index]);
	ticket->charged_us = slot_us < UINT32_MAX ? (uint32_t)slot_us : UINT32_MAX;
	customer_share_add(&gate->customers, ticket->customer, ticket->charged_us, now_us);
}

/* Settles the charge of a ticket that has ended by the slot time that it took. */
void gate_fair_ended(struct gate *gate, const struct gate_ticket *ticket, uint64_t now_us)
{
	int64_t spent_us = now_us > ticket->start_us ? (int64_t)(now_us - ticket->start_us) : 0;

	if (ticket->charged_us > 0)
		customer_share_add(&gate->customers, ticket->customer,
				   spent_us - (int64_t)ticket->charged_us, now_us);
}

/* Returns the place of a customer in the hash table: one that is free if it has no entry. */
static uint8_t *find_place(struct parties *parties, uint64_t customer)
{
	uint32_t place = (uint32_t)((customer * 0x9e3779b97f4a7c15ULL) >> (64 - PLACES_BITS));

	while (parties->places[place] > 0 &&
	       parties->list[parties->places[place] - 1].customer != customer)
		place = (place + 1) % PLACES;
	return &parties->places[place];
}

/* Returns the entry of a customer, which is added if there is room, or NULL. */
static struct party *party_of(struct parties *parties, uint64_t customer)
{
	uint8_t *place = find_place(parties, customer);

	if (*place > 0)
		return &parties->list[*place - 1];
	if (parties->count == PARTIES_MAX)
		return NULL;
	parties->list[parties->count] = (struct party){.customer = customer};
	*place = (uint8_t)++parties->count;
	return &parties->list[*place - 1];
}

/* Adds slot time to the demand of a customer. */
static void add_demand(struct parties *parties, uint64_t customer, uint64_t slot_us,
		       uint32_t waiting)
{
	struct party *party = party_of(parties, customer);

	if (!party)
		return;
	party->demand_us += slot_us;
	party->waiting += waiting;
	parties->demand_us += slot_us;
	parties->waiting += waiting;
}

/* Adds the waiting tickets of a list to the demands of their customers, with this slot time each.
 */
static void add_list(const struct gate_list *list, uint64_t slot_us, struct parties *parties)
{
	for (const struct gate_ticket *ticket = list->head; ticket; ticket = ticket->next)
		add_demand(parties, ticket->customer, slot_us, 1);
}

/* Lists the customers that have waiting calls or have had slot time lately, a new ticket included.
 */
static void list_parties(const struct gate *gate, const struct gate_ticket *offered,
			 uint64_t now_us, struct parties *parties)
{
	const struct customer_share *share = &gate->customers;

	memset(parties, 0, offsetof(struct parties, list));
	add_demand(parties, offered->customer,
		   expected_us(gate, &gate->classes[offered->class_index]), 0);
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		add_list(&class->in_profile, expected_us(gate, class), parties);
		add_list(&class->out_of_profile, expected_us(gate, class), parties);
	}
	for (uint32_t i = 0; i < share->count; i++) {
		uint64_t used_us = customer_use_at_us(&share->list[i], now_us);

		if (used_us > 0)
			add_demand(parties, share->list[i].customer, used_us, 0);
	}
}

/* Returns true if a customer is beyond its equal part of what all want. */
static bool is_beyond_part(const struct parties *parties, const struct party *party)
{
	return party->demand_us * parties->count > parties->demand_us;
}

/* Returns the customer that is furthest beyond its part, or NULL. */
static const struct party *furthest(const struct parties *parties)
{
	const struct party *most = NULL;

	for (uint32_t i = 0; i < parties->count; i++) {
		const struct party *party = &parties->list[i];

		if (is_beyond_part(parties, party) && (!most || party->demand_us > most->demand_us))
			most = party;
	}
	return most;
}

/* Returns true if a ticket is refused before another of the same customer: the less urgent one, or
 * the one that is due later. */
static bool is_later(const struct gate *gate, const struct gate_ticket *a,
		     const struct gate_ticket *b)
{
	uint32_t rank_a = gate->classes[a->class_index].target.rank;
	uint32_t rank_b = gate->classes[b->class_index].target.rank;

	if (a->in_profile != b->in_profile)
		return b->in_profile;
	return rank_a != rank_b ? rank_a > rank_b : a->due_us > b->due_us;
}

/* Returns the latest waiting ticket of a customer in the classes up to a rank, or in one class if
 * `only` is not NULL; NULL if there is none. */
static struct gate_ticket *find_latest(const struct gate *gate, uint64_t customer,
				       uint32_t rank_max, const struct gate_class *only)
{
	struct gate_ticket *latest = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];
		const struct gate_list *lists[] = {&class->in_profile, &class->out_of_profile};

		if (class->target.rank > rank_max || (only && class != only))
			continue;
		for (int n = 0; n < 2; n++) {
			struct gate_ticket *ticket = find_in_list(lists[n], customer, true);

			if (ticket && (!latest || is_later(gate, ticket, latest)))
				latest = ticket;
		}
	}
	return latest;
}

/* Finds the ticket to evict when the queue is full: the latest of the customer that is furthest
 * beyond its part, which may be the new one itself. */
bool gate_fair_find_victim(const struct gate *gate, const struct gate_ticket *ticket,
			   uint64_t now_us, struct gate_ticket **victim)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];
	bool is_class_full = gate_queue_length(class) >= GATE_CLASS_QUEUE_MAX;
	struct parties parties;
	const struct party *most;

	*victim = NULL;
	if (!gate_fair_is_active(gate))
		return false;
	list_parties(gate, ticket, now_us, &parties);
	most = furthest(&parties);
	if (!most)
		return false;
	if (most->customer == ticket->customer)
		return true;
	*victim = find_latest(gate, most->customer, UINT32_MAX, is_class_full ? class : NULL);
	return *victim != NULL;
}

/* Returns true if a new ticket would be late and its customer is beyond its part while calls of
 * others wait. */
bool gate_fair_is_late_beyond_part(const struct gate *gate, const struct gate_ticket *ticket,
				   uint64_t now_us)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];
	struct parties parties;
	const struct party *own;

	if (!gate_fair_is_active(gate) ||
	    now_us + gate_order_wait_us(gate, ticket, now_us) + class->service.recent_mean_us <=
		    ticket->due_us)
		return false;
	list_parties(gate, ticket, now_us, &parties);
	own = &parties.list[0];
	return own->waiting < parties.waiting && is_beyond_part(&parties, own);
}

/* Counts the work of equal rank that is served before a ticket. The customer that has used least is
 * served next, so of each other one it is as much as brings it up to what the ticket's customer
 * will have used when its turn comes. */
static void count_equal_rank(const struct parties *parties, uint32_t *count, uint64_t *slot_us)
{
	const struct party *own = &parties->list[0];
	uint64_t level_us = own->used_us + own->demand_us;

	for (uint32_t i = 0; i < parties->count; i++) {
		const struct party *party = &parties->list[i];
		uint64_t call_us = party->waiting ? party->demand_us / party->waiting : 0;
		uint64_t calls;

		if (party == own || call_us == 0) {
			*count += party->waiting;
			*slot_us += party->demand_us;
			continue;
		}
		calls = level_us > party->used_us ? (level_us - party->used_us) / call_us + 1 : 0;
		if (calls > party->waiting)
			calls = party->waiting;
		*count += (uint32_t)calls;
		*slot_us += calls * call_us;
	}
}

/* Fills in the recent slot time of the customers that are listed. */
static void fill_used(const struct gate *gate, uint64_t now_us, struct parties *parties)
{
	const struct customer_share *share = &gate->customers;

	for (uint32_t i = 0; i < share->count; i++) {
		uint64_t customer = share->list[i].customer;
		uint8_t place = *find_place(parties, customer);

		if (place > 0)
			parties->list[place - 1].used_us =
				customer_use_at_us(&share->list[i], now_us);
	}
}

/* Counts the in-profile work that is served before a ticket that is queued now. */
void gate_fair_count_before(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t now_us, uint32_t *count, uint64_t *slot_us)
{
	uint32_t rank = gate->classes[ticket->class_index].target.rank;
	struct parties parties;

	memset(&parties, 0, offsetof(struct parties, list));
	add_demand(&parties, ticket->customer, 0, 0);
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (ticket->in_profile && class->target.rank == rank) {
			add_list(&class->in_profile, class->service.recent_mean_us, &parties);
		} else if (!ticket->in_profile || class->target.rank < rank) {
			*count += class->in_profile.count;
			*slot_us += class->in_profile.count * class->service.recent_mean_us;
		}
	}
	fill_used(gate, now_us, &parties);
	count_equal_rank(&parties, count, slot_us);
}

/* Returns how long a ticket may wait, by its deadline and its wait limit. */
static uint64_t allowed_wait_us(const struct gate *gate, const struct gate_ticket *ticket,
				uint64_t now_us)
{
	uint64_t end_us = now_us + gate->classes[ticket->class_index].service.recent_mean_us;
	uint64_t allowed_us = ticket->deadline_us > end_us ? ticket->deadline_us - end_us : 0;

	if (ticket->has_wait_limit && ticket->wait_max_us < allowed_us)
		allowed_us = ticket->wait_max_us;
	return allowed_us;
}

/*
 * Collects the latest waiting tickets of a customer in one class, as many as must go for a wait to
 * become short enough. Returns 0 if EVICTIONS_MAX are not enough.
 */
static uint32_t collect_victims(const struct gate *gate, struct gate_ticket *latest,
				uint64_t wait_us, uint64_t allowed_us,
				struct gate_ticket *victims[EVICTIONS_MAX])
{
	uint64_t limit = gate->limit.current ? gate->limit.current : 1;
	uint32_t count = 0;

	while (latest && count < EVICTIONS_MAX && wait_us > allowed_us) {
		uint64_t gain_us = expected_us(gate, &gate->classes[latest->class_index]) / limit;
		uint64_t customer = latest->customer;

		victims[count++] = latest;
		wait_us -= gain_us < wait_us ? gain_us : wait_us;
		do
			latest = latest->prev;
		while (latest && latest->customer != customer);
	}
	return wait_us <= allowed_us ? count : 0;
}

/* Refuses waiting calls of the customer that is furthest beyond its part, if that makes room for a
 * new ticket of one that is within its part. */
void gate_fair_make_room(struct gate *gate, const struct gate_ticket *ticket, uint64_t now_us,
			 struct gate_actions *actions)
{
	struct gate_ticket *victims[EVICTIONS_MAX];
	struct parties parties;
	const struct party *most;
	uint64_t allowed_us;
	uint64_t wait_us;
	uint32_t count;

	if (!gate_fair_is_active(gate) || gate->queued == 0 ||
	    gate_rate_wait_us(gate, 0, now_us) > 0)
		return;
	allowed_us = allowed_wait_us(gate, ticket, now_us);
	wait_us = gate_order_wait_us(gate, ticket, now_us);
	if (wait_us <= allowed_us)
		return;
	list_parties(gate, ticket, now_us, &parties);
	most = furthest(&parties);
	if (!most || is_beyond_part(&parties, &parties.list[0]))
		return;
	count = collect_victims(gate,
				find_latest(gate, most->customer,
					    gate->classes[ticket->class_index].target.rank, NULL),
				wait_us, allowed_us, victims);
	for (uint32_t i = 0; i < count; i++)
		gate_refuse_waiting(gate, victims[i], REASON_OVERLOAD, actions);
}
