/*
 * Baselines of the choice: the usual simple policies, over the nearest distance at which a gate
 * can be chosen. They exist to be measured against.
 */
#include "fescuemill/decide/choice_table.h"

/* Lists the gates that may be chosen at the nearest distance that has any; returns their count. */
static uint32_t nearest_list(const struct choice *choice, const struct choice_query *query,
			     uint64_t now_us, uint16_t *list)
{
	uint32_t count = 0;

	for (uint32_t d = 0; d < DISTANCE_COUNT && count == 0; d++) {
		for (uint32_t i = choice->starts[d]; i < choice->starts[d + 1]; i++) {
			if (choice_may_pick(&choice->gates[i], query, now_us))
				list[count++] = (uint16_t)i;
		}
	}
	return count;
}

/* Gives the one with fewer attempts of this entry in flight; the first when equal. */
static uint16_t less_busy(const struct choice *choice, uint16_t a, uint16_t b)
{
	return choice->gates[b].in_flight < choice->gates[a].in_flight ? b : a;
}

/* Finds the least busy of a list, starting at a random place so that ties are spread. */
static uint16_t least_busy(const struct choice *choice, const uint16_t *list, uint32_t count,
			   struct random *rng)
{
	uint32_t start = random_below(rng, count);
	uint16_t best = list[start];

	for (uint32_t i = 1; i < count; i++)
		best = less_busy(choice, best, list[(start + i) % count]);
	return best;
}

/* Chooses by the settings' baseline policy; returns the gate's number or -1. */
int choice_pick_baseline(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us)
{
	uint16_t list[CHOICE_GATES_MAX];
	uint32_t count = nearest_list(choice, query, now_us, list);
	uint16_t first;

	if (count == 0)
		return -1;
	switch (choice->settings.policy) {
	case CHOICE_ROUND_ROBIN:
		return list[choice->cursor++ % count];
	case CHOICE_LEAST_IN_FLIGHT:
		return least_busy(choice, list, count, rng);
	case CHOICE_TWO_RANDOM:
		first = list[random_below(rng, count)];
		return less_busy(choice, first, list[random_below(rng, count)]);
	default:
		return list[random_below(rng, count)];
	}
}
