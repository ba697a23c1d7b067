/*
 * The subset of a service's members that an entry tracks. In each failure domain these are the
 * gates with the highest rendezvous hash of the entry's id and theirs. This bounds the state,
 * spreads the entries over all gates, and lets a change of members replace only a few gates.
 */
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/choice_table.h"
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>
#include <string.h>

/* A member and its score in its failure domain. */
struct ranked_member {
	const struct choice_member *member;
	uint64_t score; /* rendezvous hash; higher is preferred */
};

/* Orders members by distance, then failure domain, then usable ones first, then higher scores
 * first. */
static int compare_ranked_members(const void *left, const void *right)
{
	const struct ranked_member *a = left;
	const struct ranked_member *b = right;

	if (a->member->distance != b->member->distance)
		return a->member->distance < b->member->distance ? -1 : 1;
	if (a->member->domain != b->member->domain)
		return a->member->domain < b->member->domain ? -1 : 1;
	if (a->member->usable != b->member->usable)
		return a->member->usable ? -1 : 1;
	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return 0;
}

/* Finds the earlier state of a gate by its node id. Returns NULL if there is none. */
static const struct choice_gate *find_gate_state(const struct choice_gate *gates, uint32_t count,
						 const struct node_incarnation *identity)
{
	for (uint32_t i = 0; i < count; i++) {
		if (gates[i].member.identity.node_id == identity->node_id)
			return &gates[i];
	}
	return NULL;
}

/* Initializes a gate for a member. Its earlier state is kept unless it has restarted since. */
static void init_gate(struct choice *choice, struct choice_gate *gate,
		      const struct choice_member *member, const struct choice_gate *old)
{
	if (old && old->member.identity.incarnation == member->identity.incarnation) {
		*gate = *old;
	} else {
		memset(gate, 0, sizeof(*gate));
		gate->round_trip_us = (float)choice->settings.round_trip_us[member->distance];
		gate->slowness = 1;
	}
	gate->member = *member;
	choice->measured_count += gate->has_slowness;
	if (gate->limit == 0)
		gate->limit = member->slots ? member->slots : 1;
}

/* Records the first index of each distance and resets the order in which gates are drawn. */
static void index_distances(struct choice *choice)
{
	uint32_t i = 0;

	for (uint32_t d = 0; d < DISTANCE_COUNT; d++) {
		choice->distance_start[d] = i;
		while (i < choice->count && choice->gates[i].member.distance == d)
			i++;
	}
	choice->distance_start[DISTANCE_COUNT] = i;
	for (i = 0; i < choice->count; i++)
		choice->draw_order[i] = (uint16_t)i;
}

/* Returns true if a member of a sorted list is the first of its failure domain. */
static bool starts_domain(const struct ranked_member *list, uint32_t i)
{
	return i == 0 || list[i].member->domain != list[i - 1].member->domain ||
	       list[i].member->distance != list[i - 1].member->distance;
}

/* Returns how many gates of each failure domain are tracked: gates_per_domain, or fewer if there
 * are so many domains that the farthest ones would be left out. A call may be limited to these. */
static uint32_t gates_per_domain(const struct choice *choice, const struct ranked_member *list,
				 uint32_t count)
{
	uint32_t wanted = choice->settings.gates_per_domain;
	uint32_t domains = 0;

	for (uint32_t i = 0; i < count; i++)
		domains += starts_domain(list, i);
	if (count <= CHOICE_GATES_MAX || domains * wanted <= CHOICE_GATES_MAX)
		return wanted;
	return domains < CHOICE_GATES_MAX ? CHOICE_GATES_MAX / domains : 1;
}

/* Keeps the first gates of each failure domain of a sorted list, up to CHOICE_GATES_MAX in all. */
static void select_gates(struct choice *choice, const struct ranked_member *list, uint32_t count,
			 const struct choice_gate *before, uint32_t before_count)
{
	uint32_t per_domain = gates_per_domain(choice, list, count);
	uint32_t in_domain = 0;

	choice->count = 0;
	choice->measured_count = 0;
	for (uint32_t i = 0; i < count && choice->count < CHOICE_GATES_MAX; i++) {
		const struct choice_member *member = list[i].member;

		if (starts_domain(list, i))
			in_domain = 0;
		if (in_domain++ >= per_domain)
			continue;
		init_gate(choice, &choice->gates[choice->count++], member,
			  find_gate_state(before, before_count, &member->identity));
	}
}

/* Counts the calls in flight in each failure domain anew, as the gates that were dropped had some.
 */
static void count_calls_away(struct choice *choice)
{
	struct spillover *spillover = &choice->spillover;

	for (uint32_t i = 0; i < spillover->count; i++) {
		uint32_t domain = spillover->list[i].domain;
		uint32_t in_flight = 0;

		for (uint32_t j = 0; j < choice->count; j++) {
			const struct choice_gate *gate = &choice->gates[j];

			if (gate->member.domain == domain)
				in_flight += gate->in_flight;
		}
		spillover_set_in_flight(spillover, domain, in_flight);
	}
}

/* Replaces all members of the service. The state of gates that remain is kept. Members with a
 * distance out of range are ignored. Returns -1 with ERROR_MEMORY and leaves the members unchanged
 * if memory runs out. */
int choice_set_members(struct choice *choice, const struct choice_member *members, uint32_t count,
		       struct error *err)
{
	struct ranked_member *list = malloc((count + 1) * sizeof(*list));
	struct choice_gate *before = malloc(sizeof(choice->gates));
	uint32_t before_count = choice->count;
	uint32_t used = 0;

	if (!list || !before) {
		free(list);
		free(before);
		return error_set(err, ERROR_MEMORY, "cannot allocate %u members", count);
	}
	memcpy(before, choice->gates, sizeof(choice->gates));
	for (uint32_t i = 0; i < count; i++) {
		if (members[i].distance >= DISTANCE_COUNT)
			continue;
		list[used].member = &members[i];
		list[used++].score =
			slot_hash(choice->settings.own_id, members[i].identity.node_id);
	}
	qsort(list, used, sizeof(*list), compare_ranked_members);
	select_gates(choice, list, used, before, before_count);
	index_distances(choice);
	count_calls_away(choice);
	free(list);
	free(before);
	return 0;
}
