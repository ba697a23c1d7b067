/*
 * Limit: how many slots of the backend server the gate uses at once.
 *
 * It starts low and grows by one a round while it is reached. When service times inflate, one round
 * at few slots tells whether concurrency causes it: if so (a noisy neighbour took processors) the
 * limit shrinks until the inflation is gone; if not (a slow dependency) the limit stays, and the
 * longer time becomes the usual one.
 */
#include "fescuemill/decide/limit.h"

#include <string.h>

/* Begins a new round of measurement. */
static void begin_round(struct limit *limit, uint64_t now_us)
{
	limit->round_count = 0;
	limit->round_percent = 0;
	limit->round_us = now_us;
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

/* Takes an inflation that a probe explained as usual. */
static void take_as_usual(struct limit *limit, uint64_t percent)
{
	limit->explained_percent = percent > 100 ? percent : 100;
	limit->usual_percent = limit->explained_percent;
	limit->probe_age = 0;
	limit->inflated_rounds = 0;
}

/* Moves the usual inflation towards that of a round, between none and what a probe explained. */
static void follow_usual(struct limit *limit, uint64_t percent)
{
	limit->usual_percent = (limit->usual_percent * 7 + percent) / 8;
	if (limit->usual_percent < 100)
		limit->usual_percent = 100;
	if (limit->usual_percent > limit->explained_percent)
		limit->usual_percent = limit->explained_percent;
}

/* Goes down to few slots for one round. */
static void begin_probe(struct limit *limit, uint64_t percent)
{
	limit->mode = LIMIT_PROBE;
	limit->before_probe = limit->current;
	limit->probe_percent = percent;
	limit->current = limit_low(limit);
}

/* Returns from few slots to the limit before, or to less when concurrency caused the inflation. */
static void end_probe(struct limit *limit, uint64_t percent)
{
	limit->mode = LIMIT_STEADY;
	limit->current = limit->before_probe;
	if (percent * LIMIT_INFLATED_PERCENT < limit->probe_percent * 100) {
		take_as_usual(limit, percent);
		shrink(limit);
	} else {
		take_as_usual(limit,
			      percent > limit->probe_percent ? percent : limit->probe_percent);
	}
}

/* Decides after rounds of inflated service times. */
static void react(struct limit *limit, uint64_t percent)
{
	limit->cold = false;
	if (limit->current <= limit_low(limit))
		take_as_usual(limit, percent);
	else if (limit->probe_age >= LIMIT_PROBE_ROUNDS)
		begin_probe(limit, percent);
	else
		shrink(limit);
}

/* Decides on a round at the usual number of slots. */
static void end_steady_round(struct limit *limit, uint64_t percent)
{
	if (limit->probe_age < LIMIT_PROBE_ROUNDS)
		limit->probe_age++;
	if (percent * 100 > limit->usual_percent * LIMIT_INFLATED_PERCENT) {
		limit->inflated_rounds++;
		if (limit->inflated_rounds >= LIMIT_INFLATED_ROUNDS)
			react(limit, percent);
		return;
	}
	limit->inflated_rounds = 0;
	follow_usual(limit, percent);
	if (limit->round_full && !limit->round_shed && !limit->cold)
		grow(limit);
}

/* Gives a fixed limit for a number of slots: at least one, if there is one. */
static uint32_t fixed_limit(const struct limit *limit, uint32_t slots)
{
	uint32_t fixed = slots * limit->fixed_percent / 100;

	return fixed > 0 || slots == 0 ? fixed : 1;
}

/* Begins with a backend server that has just started. */
void limit_start(struct limit *limit, uint32_t slots, uint64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->usual_percent = 100;
	limit->explained_percent = 100;
	limit->probe_age = LIMIT_PROBE_ROUNDS;
	limit->slots = slots;
	limit->current = limit_low(limit);
	limit->cold = limit->current < slots;
	begin_round(limit, now_us);
}

/* Keeps the limit at a share of the slots from now on; 0 percent leaves it to measurement. */
void limit_fix(struct limit *limit, uint32_t percent)
{
	limit->fixed_percent = percent;
	if (percent > 0)
		limit->current = fixed_limit(limit, limit->slots);
}

/* Takes a changed number of announced slots. */
void limit_set_slots(struct limit *limit, uint32_t slots, uint64_t now_us)
{
	if (limit->mode == LIMIT_PROBE)
		limit->current = limit->before_probe;
	limit->mode = LIMIT_STEADY;
	limit->slots = slots;
	if (limit->current > slots)
		limit->current = slots;
	if (!limit->current && slots)
		limit->current = 1;
	if (limit->fixed_percent > 0)
		limit->current = fixed_limit(limit, slots);
	begin_round(limit, now_us);
}

/* Gives how many attempts at once count as few: they do not slow each other down. */
uint32_t limit_low(const struct limit *limit)
{
	uint32_t low = limit->slots / LIMIT_LOW_DIVISOR;

	if (low < LIMIT_LOW_MIN)
		low = LIMIT_LOW_MIN;
	return low < limit->slots ? low : limit->slots;
}

/* Notes that all slots under the limit are taken: only then is there reason to grow. */
void limit_note_full(struct limit *limit)
{
	limit->round_full = true;
}

/*
 * Grows by one for every limit's worth of answers after a cold start. At few slots these have to be
 * of a class whose usual service time is known, since it is learnt there only.
 */
static void climb_cold(struct limit *limit, const struct limit_sample *sample)
{
	if (!limit->round_full || (!sample->usual_us && limit->current <= limit_low(limit)))
		return;
	limit->cold_count++;
	if (limit->cold_count < limit->current)
		return;
	limit->cold_count = 0;
	grow(limit);
	limit->cold = limit->current < limit->slots;
}

/* Gives how many answered attempts make a round: a probe decides for long, so it takes more,
 * unless the calls are so long that it would hold back slots for too long. */
static uint32_t round_size(const struct limit *limit, uint64_t now_us)
{
	bool is_late = now_us >= limit->round_us + LIMIT_PROBE_US_MAX;

	if (limit->mode == LIMIT_PROBE)
		return is_late ? LIMIT_PROBE_SAMPLES_MIN : LIMIT_PROBE_SAMPLES;
	return limit->current > LIMIT_ROUND_MIN ? limit->current : LIMIT_ROUND_MIN;
}

/* Takes an answered attempt, unless it started before this round. */
void limit_served(struct limit *limit, const struct limit_sample *sample)
{
	uint64_t percent = limit->usual_percent;

	if (limit->fixed_percent > 0 || sample->start_us < limit->round_us)
		return;
	if (sample->usual_us)
		percent = (sample->end_us - sample->start_us) * 100 / sample->usual_us;
	limit->round_percent += percent;
	if (limit->cold)
		climb_cold(limit, sample);
	limit->round_count++;
	if (limit->round_count < round_size(limit, sample->end_us))
		return;
	percent = limit->round_percent / limit->round_count;
	switch (limit->mode) {
	case LIMIT_STEADY:
		end_steady_round(limit, percent);
		break;
	case LIMIT_PROBE:
		end_probe(limit, percent);
		break;
	}
	begin_round(limit, sample->end_us);
}

/* Takes a refusal by the backend server; shrinks once a round. */
void limit_shed(struct limit *limit, uint64_t now_us)
{
	if (limit->fixed_percent > 0 || limit->round_shed)
		return;
	if (limit->mode == LIMIT_PROBE)
		limit->current = limit->before_probe;
	limit->mode = LIMIT_STEADY;
	limit->cold = false;
	shrink(limit);
	begin_round(limit, now_us);
	limit->round_shed = true;
}
