/*
 * Saturation: whether a backend server slows down when nearly all of its slots are in use.
 *
 * While calls wait for a slot, the gate uses all slots and all but a few in turns, and compares the
 * service times of calls that started either way. Short turns expose both sides to the same
 * changes: a slow dependency, a cold start, another mix of calls.
 */
#include "fescuemill/decide/saturation.h"

#include <stddef.h>
#include <string.h>

/* An early verdict after some answers on each side: the fewer they are, the clearer it must be.
 * Each answer of a server that slows down is a slow one, so that case ends sooner. */
static const struct {
	uint32_t samples;
	uint64_t slow_percent;	 /* at least: it slows down */
	uint64_t steady_percent; /* at most: it does not */
} early_verdicts[] = {{8, 170, 0}, {16, 145, 0}, {24, 135, 110}};

#define EARLY_VERDICT_COUNT (sizeof(early_verdicts) / sizeof(early_verdicts[0]))

/* Returns the name of a verdict for the log. */
const char *saturation_verdict_name(enum saturation_verdict verdict)
{
	switch (verdict) {
	case SATURATION_STEADY:
		return "steady";
	case SATURATION_SLOWS:
		return "slows";
	case SATURATION_UNKNOWN:
		break;
	}
	return "unknown";
}

/* Forgets everything; called for a backend server that was not in service before. */
void saturation_start(struct saturation *sat)
{
	memset(sat, 0, sizeof(*sat));
}

static void begin_turn(struct saturation *sat, bool uses_all, uint64_t now_us)
{
	sat->uses_all = uses_all;
	sat->turn_answers = 0;
	sat->turn_start_us = now_us;
}

/* Ends the comparison. Until there is a verdict, some slots are left free. */
static void end_comparison(struct saturation *sat)
{
	sat->is_comparing = false;
	sat->uses_all = sat->verdict == SATURATION_STEADY;
}

/* Returns the mean service time with all slots in use in percent of that with free slots. */
static uint64_t compared_percent(const struct saturation *sat)
{
	uint64_t rest = sat->rest.percent_sum * sat->all.count;

	return sat->all.percent_sum * sat->rest.count * 100 / (rest > 0 ? rest : 1);
}

/* Returns the early verdict on a percentage that is compared after a number of samples. */
static enum saturation_verdict early_verdict(uint32_t samples, uint64_t percent)
{
	for (size_t i = EARLY_VERDICT_COUNT; i-- > 0;) {
		if (samples < early_verdicts[i].samples)
			continue;
		if (percent >= early_verdicts[i].slow_percent)
			return SATURATION_SLOWS;
		if (percent <= early_verdicts[i].steady_percent)
			return SATURATION_STEADY;
		break;
	}
	return SATURATION_UNKNOWN;
}

/* Returns what the answers so far say. */
static enum saturation_verdict verdict_so_far(const struct saturation *sat)
{
	uint32_t samples = sat->all.count < sat->rest.count ? sat->all.count : sat->rest.count;
	uint64_t percent = compared_percent(sat);

	if (samples < SATURATION_SAMPLES)
		return early_verdict(samples, percent);
	return percent >= SATURATION_SLOW_PERCENT ? SATURATION_SLOWS : SATURATION_STEADY;
}

static void judge(struct saturation *sat, enum saturation_verdict verdict, uint64_t now_us)
{
	sat->verdict = verdict;
	sat->judged_us = now_us;
	sat->judged_percent = compared_percent(sat);
	sat->all = (struct saturation_side){0};
	sat->rest = (struct saturation_side){0};
	end_comparison(sat);
}

/* Returns true if there is a verdict that is recent enough to be used without a check. */
static bool is_judged(const struct saturation *sat, uint64_t now_us)
{
	return sat->verdict != SATURATION_UNKNOWN && now_us < sat->judged_us + SATURATION_VALID_US;
}

/* Records that a call finds no free slot. Begins or continues the comparison, with all slots in
 * use, unless there is a valid verdict. */
void saturation_slots_are_short(struct saturation *sat, uint64_t now_us)
{
	if (sat->is_comparing || is_judged(sat, now_us))
		return;
	sat->is_comparing = true;
	begin_turn(sat, true, now_us);
}

/* Records the service time of an answered call in percent of the mean of its class. started_full:
 * it took a slot that is otherwise left free. */
void saturation_record(struct saturation *sat, bool started_full, uint64_t percent, uint64_t now_us)
{
	struct saturation_side *side = started_full ? &sat->all : &sat->rest;
	enum saturation_verdict verdict;

	if (!sat->is_comparing)
		return;
	side->count++;
	side->percent_sum += percent < SATURATION_CLIP_PERCENT ? percent : SATURATION_CLIP_PERCENT;
	verdict = verdict_so_far(sat);
	if (verdict != SATURATION_UNKNOWN) {
		judge(sat, verdict, now_us);
		return;
	}
	sat->turn_answers += started_full == sat->uses_all;
	if (sat->turn_answers >= SATURATION_TURN_ANSWERS)
		begin_turn(sat, !sat->uses_all, now_us);
}

/* Ends a comparison for which too few calls come. It goes on when slots are short again. */
void saturation_tick(struct saturation *sat, uint64_t now_us)
{
	if (sat->is_comparing && now_us >= sat->turn_start_us + SATURATION_TURN_US_MAX)
		end_comparison(sat);
}
