/*
 * Simple load balancing policies, over the gates at the nearest distance that has an eligible one.
 * They are the baselines that the expected completion policy is compared with.
 */
#include "fescuemill/decide/choice_table.h"

/* Lists the eligible gates at the nearest distance that has any. Returns their count. */
static uint32_t list_nearest(const struct choice *choice, const struct choice_query *query,
			     uint64_t now_us, uint16_t *list)
{
	uint32_t count = 0;

	for (uint32_t d = 0; d < DISTANCE_COUNT && count == 0; d++) {
		for (uint32_t i = choice->distance_start[d]; i < choice->distance_start[d + 1];
		     i++) {
			if (choice_is_eligible(&choice->gates[i], query, now_us))
				list[count++] = (uint16_t)i;
		}
	}
	return count;
}

/* Returns the gate with fewer in-flight attempts of this entry, or the first if they are equal. */
static uint16_t less_busy(const struct choice *choice, uint16_t a, uint16_t b)
{
	return choice->gates[b].in_flight < choice->gates[a].in_flight ? b : a;
}

/* Returns the least busy gate of a list. The search starts at a random position, so that ties are
 * spread over all gates. */
static uint16_t least_busy(const struct choice *choice, const uint16_t *list, uint32_t count,
			   struct random *rng)
{
	uint32_t start = random_below(rng, count);
	uint16_t best = list[start];

	for (uint32_t i = 1; i < count; i++)
		best = less_busy(choice, best, list[(start + i) % count]);
	return best;
}

/* Selects a gate by the baseline policy of the settings. Returns its index, or -1 if none is
 * eligible. */
int choice_pick_baseline(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us)
{
	uint16_t list[CHOICE_GATES_MAX];
	uint32_t count = list_nearest(choice, query, now_us, list);
	uint16_t first;

	if (count == 0)
		return -1;
	switch (choice->settings.policy) {
	case CHOICE_ROUND_ROBIN:
		return list[choice->round_robin_next++ % count];
	case CHOICE_LEAST_IN_FLIGHT:
		return least_busy(choice, list, count, rng);
	case CHOICE_TWO_RANDOM:
		first = list[random_below(rng, count)];
		return less_busy(choice, first, list[random_below(rng, count)]);
	default:
		return list[random_below(rng, count)];
	}
}
