/*
 * Limit: how many slots of the backend server the gate uses at once. It starts low, grows by one a
 * round while it is reached, and shrinks when service times inflate or the backend server sheds.
 */
#include "fescuemill/decide/limit.h"

#include <string.h>

/* Begins a new round of measurement. */
static void begin_round(struct limit *limit)
{
	limit->round_count = 0;
	limit->round_percent = 0;
	limit->round_full = false;
	limit->round_shed = false;
}

/* Lowers the limit by a quarter, at least by one, and never under one. */
static void shrink(struct limit *limit)
{
	uint32_t less = limit->current * LIMIT_KEEP_PERCENT / 100;

	if (less > 0)
		limit->current = less;
}

/* Raises the limit by one, up to the announced slots. */
static void grow(struct limit *limit)
{
	if (limit->current < limit->slots)
		limit->current++;
}

/* Tells whether the last shrink brought the service time down by at least half of its cut. */
static bool shrink_helped(const struct limit *limit, uint64_t percent)
{
	uint64_t cut = 100 - 100ULL * limit->current / limit->before_shrink;

	return percent * 100 <= limit->shrink_percent * (100 - cut / 2);
}

/*
 * Decides on a round whose service times were too long. A shrink that did not help is taken back,
 * and the longer service time becomes the usual one: fewer attempts at once do not cure it.
 */
static void end_inflated_round(struct limit *limit, uint64_t percent)
{
	if (limit->before_shrink && !shrink_helped(limit, percent)) {
		limit->current = limit->before_shrink;
		limit->before_shrink = 0;
		limit->usual_percent = percent;
		return;
	}
	limit->before_shrink = limit->current;
	limit->shrink_percent = percent;
	shrink(limit);
	if (limit->current == limit->before_shrink)
		limit->before_shrink = 0;
}

/* Decides on a full round of measurement. */
static void end_round(struct limit *limit)
{
	uint64_t percent = limit->round_percent / limit->round_count;

	if (percent < limit->usual_percent)
		limit->usual_percent = percent > 100 ? percent : 100;
	if (percent * 100 > limit->usual_percent * LIMIT_INFLATED_PERCENT) {
		end_inflated_round(limit, percent);
	} else if (limit->round_full && !limit->round_shed) {
		limit->before_shrink = 0;
		grow(limit);
	}
	begin_round(limit);
}

/* Begins with a backend server that has just started. */
void limit_start(struct limit *limit, uint32_t slots)
{
	memset(limit, 0, sizeof(*limit));
	limit->usual_percent = 100;
	limit->slots = slots;
	limit->current = slots / LIMIT_COLD_DIVISOR;
	if (!limit->current && slots)
		limit->current = 1;
}

/* Takes a changed number of announced slots. */
void limit_set_slots(struct limit *limit, uint32_t slots)
{
	limit->slots = slots;
	limit->before_shrink = 0;
	if (limit->current > slots)
		limit->current = slots;
	if (!limit->current && slots)
		limit->current = 1;
}

/* Notes that all slots under the limit are taken: only then is there reason to grow. */
void limit_note_full(struct limit *limit)
{
	limit->round_full = true;
}

/* Takes the service time of an answered attempt and the usual one of its class. */
void limit_served(struct limit *limit, uint64_t service_us, uint64_t usual_us)
{
	if (!usual_us)
		return;
	limit->round_percent += service_us * 100 / usual_us;
	limit->round_count++;
	if (limit->round_count >= LIMIT_ROUND_MIN && limit->round_count >= limit->current)
		end_round(limit);
}

/* Takes a refusal by the backend server; shrinks once a round. */
void limit_shed(struct limit *limit)
{
	if (limit->round_shed)
		return;
	shrink(limit);
	begin_round(limit);
	limit->round_shed = true;
	limit->before_shrink = 0;
}
