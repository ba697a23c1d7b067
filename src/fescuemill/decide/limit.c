/*
 * Limit: how many slots of the backend server the gate uses at once.
 *
 * The limit starts low and grows by one per round in which it is reached. When service times
 * inflate, a probe of one round at low concurrency determines the cause. If it is concurrency
 * (other work on the host uses up its processors), the limit shrinks until the inflation is
 * gone. If it is not (a slow dependency of the server), the limit stays and the inflation is
 * accepted as normal.
 */
#include "fescuemill/decide/limit.h"

#include <string.h>

static void begin_round(struct limit *limit, uint64_t now_us)
{
	limit->round_count = 0;
	limit->round_percent = 0;
	limit->round_start_us = now_us;
	limit->round_full = false;
	limit->round_shed = false;
}

/* Reduces the limit by a quarter, rounded up, but not below 1. */
static void shrink(struct limit *limit)
{
	uint32_t less = limit->current * LIMIT_KEEP_PERCENT / 100;

	if (less > 0)
		limit->current = less;
}

/* Raises the limit by 1, up to the announced slots. */
static void grow(struct limit *limit)
{
	if (limit->current < limit->slots)
		limit->current++;
}

/* Accepts an inflation that concurrency does not cause; no probe for LIMIT_PROBE_ROUNDS. */
static void accept_inflation(struct limit *limit, uint64_t percent)
{
	limit->accepted_percent_max = percent > 100 ? percent : 100;
	limit->accepted_percent = limit->accepted_percent_max;
	limit->rounds_since_probe = 0;
	limit->inflated_rounds = 0;
}

/* Moves the accepted inflation towards that of a round, within 100 and the bound from the probe. */
static void update_accepted_inflation(struct limit *limit, uint64_t percent)
{
	limit->accepted_percent = (limit->accepted_percent * 7 + percent) / 8;
	if (limit->accepted_percent < 100)
		limit->accepted_percent = 100;
	if (limit->accepted_percent > limit->accepted_percent_max)
		limit->accepted_percent = limit->accepted_percent_max;
}

/* Lowers the limit to low concurrency for one round. */
static void begin_probe(struct limit *limit, uint64_t percent)
{
	limit->mode = LIMIT_PROBE;
	limit->current_before_probe = limit->current;
	limit->probed_inflation_percent = percent;
	limit->current = limit_low_concurrency(limit);
}

/* Ends a probe. Restores the earlier limit, and shrinks it if concurrency caused the inflation. */
static void end_probe(struct limit *limit, uint64_t percent)
{
	limit->mode = LIMIT_STEADY;
	limit->current = limit->current_before_probe;
	if (percent * LIMIT_INFLATED_PERCENT < limit->probed_inflation_percent * 100) {
		accept_inflation(limit, percent);
		shrink(limit);
	} else {
		accept_inflation(limit, percent > limit->probed_inflation_percent
						? percent
						: limit->probed_inflation_percent);
	}
}

/* Reacts to LIMIT_INFLATED_ROUNDS rounds of inflated service times. */
static void react_to_inflation(struct limit *limit, uint64_t percent)
{
	limit->slow_start = false;
	if (limit->current <= limit_low_concurrency(limit))
		accept_inflation(limit, percent);
	else if (limit->rounds_since_probe >= LIMIT_PROBE_ROUNDS)
		begin_probe(limit, percent);
	else
		shrink(limit);
}

/* Updates the limit after a round outside of a probe. */
static void end_steady_round(struct limit *limit, uint64_t percent)
{
	if (limit->rounds_since_probe < LIMIT_PROBE_ROUNDS)
		limit->rounds_since_probe++;
	if (percent * 100 > limit->accepted_percent * LIMIT_INFLATED_PERCENT) {
		limit->inflated_rounds++;
		if (limit->inflated_rounds >= LIMIT_INFLATED_ROUNDS)
			react_to_inflation(limit, percent);
		return;
	}
	limit->inflated_rounds = 0;
	update_accepted_inflation(limit, percent);
	if (limit->round_full && !limit->round_shed && !limit->slow_start)
		grow(limit);
}

/* Returns the fixed limit while it is not lifted: at least 1, unless there are no slots. */
uint32_t limit_fixed(const struct limit *limit)
{
	uint32_t fixed = limit->slots * limit->fixed_percent / 100;

	return fixed > 0 || limit->slots == 0 ? fixed : 1;
}

/* Applies a fixed limit. */
static void apply_fixed(struct limit *limit)
{
	limit->current = limit->uses_all ? limit->slots : limit_fixed(limit);
}

/* Initializes the limit for a backend server that has just started. */
void limit_start(struct limit *limit, uint32_t slots, uint64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->accepted_percent = 100;
	limit->accepted_percent_max = 100;
	limit->rounds_since_probe = LIMIT_PROBE_ROUNDS;
	limit->slots = slots;
	limit->current = limit_low_concurrency(limit);
	limit->slow_start = limit->current < slots;
	begin_round(limit, now_us);
}

/* Fixes the limit at a percentage of the slots; with 0 percent the limit adapts. */
void limit_set_fixed(struct limit *limit, uint32_t percent)
{
	limit->fixed_percent = percent;
	if (percent > 0)
		apply_fixed(limit);
}

/* Lifts a fixed limit to all slots, or puts it back. Does nothing to a limit that adapts. */
void limit_use_all(struct limit *limit, bool uses_all)
{
	limit->uses_all = uses_all;
	if (limit->fixed_percent > 0)
		apply_fixed(limit);
}

/* Applies a changed number of announced slots. A probe ends without a result. */
void limit_set_slots(struct limit *limit, uint32_t slots, uint64_t now_us)
{
	if (limit->mode == LIMIT_PROBE)
		limit->current = limit->current_before_probe;
	limit->mode = LIMIT_STEADY;
	limit->slots = slots;
	if (limit->current > slots)
		limit->current = slots;
	if (!limit->current && slots)
		limit->current = 1;
	if (limit->fixed_percent > 0)
		apply_fixed(limit);
	begin_round(limit, now_us);
}

/* Returns the low concurrency: up to this many attempts at once do not slow each other down. */
uint32_t limit_low_concurrency(const struct limit *limit)
{
	uint32_t low = limit->slots / LIMIT_LOW_DIVISOR;

	if (low < LIMIT_LOW_MIN)
		low = LIMIT_LOW_MIN;
	return low < limit->slots ? low : limit->slots;
}

/* Records that all slots within the limit are in use. Otherwise there is no reason to grow. */
void limit_record_full(struct limit *limit)
{
	limit->round_full = true;
}

/*
 * Slow start: raises the limit by 1 after as many answered attempts as the limit. At low
 * concurrency only attempts of classes with a known baseline count, since a baseline is measured
 * nowhere else.
 */
static void grow_in_slow_start(struct limit *limit, const struct limit_sample *sample)
{
	if (!limit->round_full ||
	    (!sample->baseline_us && limit->current <= limit_low_concurrency(limit)))
		return;
	limit->slow_start_count++;
	if (limit->slow_start_count < limit->current)
		return;
	limit->slow_start_count = 0;
	grow(limit);
	limit->slow_start = limit->current < limit->slots;
}

/*
 * Returns how many answered attempts make a round. A probe needs more, since its result stays in
 * effect for long, but fewer if the calls are so long that it would withhold slots for too long.
 */
static uint32_t round_size(const struct limit *limit, uint64_t now_us)
{
	bool is_late = now_us >= limit->round_start_us + LIMIT_PROBE_US_MAX;

	if (limit->mode == LIMIT_PROBE)
		return is_late ? LIMIT_PROBE_SAMPLES_MIN : LIMIT_PROBE_SAMPLES;
	return limit->current > LIMIT_ROUND_MIN ? limit->current : LIMIT_ROUND_MIN;
}

/* Records an answered attempt. Attempts that started before this round are ignored. */
void limit_record_answer(struct limit *limit, const struct limit_sample *sample)
{
	uint64_t percent = limit->accepted_percent;

	if (limit->fixed_percent > 0 || sample->start_us < limit->round_start_us)
		return;
	if (sample->baseline_us)
		percent = (sample->end_us - sample->start_us) * 100 / sample->baseline_us;
	limit->round_percent += percent;
	if (limit->slow_start)
		grow_in_slow_start(limit, sample);
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

/* Records that the backend server shed an attempt. Shrinks the limit, at most once a round. */
void limit_record_shed(struct limit *limit, uint64_t now_us)
{
	if (limit->fixed_percent > 0 || limit->round_shed)
		return;
	if (limit->mode == LIMIT_PROBE)
		limit->current = limit->current_before_probe;
	limit->mode = LIMIT_STEADY;
	limit->slow_start = false;
	shrink(limit);
	begin_round(limit, now_us);
	limit->round_shed = true;
}
