/*
 * Choice: which members of a service an entry keeps state for. In each failure domain it keeps
 * the gates that rendezvous hashing of its own id with theirs names, so that the state is bounded,
 * entries spread over all gates, and a change of members moves few of them.
 */
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/choice_table.h"
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>
#include <string.h>

/* A member with its rank in its failure domain. */
struct ranked {
	const struct choice_member *member;
	uint64_t score;
};

/* Orders by distance, failure domain, usable first, then score. */
static int ranked_compare(const void *left, const void *right)
{
	const struct ranked *a = left;
	const struct ranked *b = right;

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

/* Finds what was known of a gate before. */
static const struct choice_gate *old_gate(const struct choice_gate *gates, uint32_t count,
					  const struct node_life *life)
{
	for (uint32_t i = 0; i < count; i++) {
		if (gates[i].member.life.node_id == life->node_id)
			return &gates[i];
	}
	return NULL;
}

/* Fills a gate for a member, with what was known of it unless it restarted since. */
static void gate_fill(const struct choice *choice, struct choice_gate *gate,
		      const struct choice_member *member, const struct choice_gate *old)
{
	if (old && old->member.life.incarnation == member->life.incarnation) {
		*gate = *old;
	} else {
		memset(gate, 0, sizeof(*gate));
		gate->round_trip_us = (float)choice->settings.round_trip_us[member->distance];
		gate->slowness = 1;
	}
	gate->member = *member;
	if (gate->limit == 0)
		gate->limit = member->slots ? member->slots : 1;
}

/* Notes where each distance begins and resets the order of drawing. */
static void order_fill(struct choice *choice)
{
	uint32_t i = 0;

	for (uint32_t d = 0; d < DISTANCE_COUNT; d++) {
		choice->starts[d] = i;
		while (i < choice->count && choice->gates[i].member.distance == d)
			i++;
	}
	choice->starts[DISTANCE_COUNT] = i;
	for (i = 0; i < choice->count; i++)
		choice->order[i] = (uint16_t)i;
}

/* Copies the first gates of each failure domain out of a ranked list. */
static void gates_fill(struct choice *choice, const struct ranked *list, uint32_t count,
		       const struct choice_gate *before, uint32_t before_count)
{
	uint32_t in_domain = 0;

	choice->count = 0;
	for (uint32_t i = 0; i < count && choice->count < CHOICE_GATES_MAX; i++) {
		const struct choice_member *member = list[i].member;

		if (i == 0 || member->domain != list[i - 1].member->domain ||
		    member->distance != list[i - 1].member->distance)
			in_domain = 0;
		if (in_domain++ >= choice->settings.gates_per_domain)
			continue;
		gate_fill(choice, &choice->gates[choice->count++], member,
			  old_gate(before, before_count, &member->life));
	}
}

/* Sets the members of the service, all of them at once; what is known of those that stay is kept.
 * Members with a distance out of range are left out. Errors: ERROR_MEMORY; the members are then
 * as before. */
int choice_set_members(struct choice *choice, const struct choice_member *members, uint32_t count,
		       struct error *err)
{
	struct ranked *list = malloc((count + 1) * sizeof(*list));
	struct choice_gate *before = malloc(sizeof(choice->gates));
	uint32_t before_count = choice->count;
	uint32_t used = 0;

	if (!list || !before) {
		free(list);
		free(before);
		return error_set(err, ERROR_MEMORY, "%u members", count);
	}
	memcpy(before, choice->gates, sizeof(choice->gates));
	for (uint32_t i = 0; i < count; i++) {
		if (members[i].distance >= DISTANCE_COUNT)
			continue;
		list[used].member = &members[i];
		list[used++].score = slot_hash(choice->settings.own_id, members[i].life.node_id);
	}
	qsort(list, used, sizeof(*list), ranked_compare);
	gates_fill(choice, list, used, before, before_count);
	order_fill(choice);
	free(list);
	free(before);
	return 0;
}
