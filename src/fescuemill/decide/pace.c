/*
 * Pace: whether a call had better wait for a calmer moment of its host.
 */
#include "fescuemill/decide/pace.h"

/* Tells whether a figure is that of a calm moment. */
static bool is_calm(const struct pace *pace, uint32_t percent)
{
	return percent * 100 <= pace->base_percent * PACE_MARGIN;
}

/* Follows what calm moments look like. The first figure of a backend server stands for them until a
 * lower one comes. */
static void follow_base(struct pace *pace, uint32_t percent, uint64_t now_us)
{
	bool has_gap = pace->seen_us == 0 || now_us > pace->seen_us + PACE_GAP_US;

	if (pace->base_percent == 0 || percent < pace->base_percent)
		pace->base_percent = percent;
	if (is_calm(pace, percent)) {
		pace->spell_us = 0;
		return;
	}
	if (pace->spell_us == 0 || has_gap) {
		pace->spell_us = now_us;
		pace->spell_percent = percent;
	}
	if (percent < pace->spell_percent)
		pace->spell_percent = percent;
	if (now_us < pace->spell_us + PACE_LASTING_US)
		return;
	pace->base_percent = pace->spell_percent;
	pace->spell_us = 0;
}

/* Takes a figure of the backend server. */
void pace_seen(struct pace *pace, uint32_t percent, uint64_t now_us)
{
	follow_base(pace, percent, now_us);
	pace->percent = percent;
	pace->seen_us = now_us;
	pace->is_probing = false;
	pace->blind_to_us = 0;
}

/* Takes the failure of a probe: work is not held up for a figure that does not come. */
void pace_probe_failed(struct pace *pace, uint64_t now_us)
{
	pace->is_probing = false;
	pace->blind_to_us = now_us + PACE_BLIND_US;
}

/* Tells whether the figure still holds. */
static bool is_fresh(const struct pace *pace, uint64_t now_us)
{
	return pace->seen_us != 0 && now_us <= pace->seen_us + PACE_FRESH_US;
}

/* Advises on a call. It waits when the noise would cost its run more than the rest of a noisy spell
 * is expected to last, and is better off elsewhere when it would cost more than a hop. */
enum pace_advice pace_advise(const struct pace *pace, uint64_t service_us, uint64_t now_us)
{
	uint64_t extra_us;

	if (!pace->is_used || now_us < pace->blind_to_us)
		return PACE_START;
	if (!is_fresh(pace, now_us))
		return PACE_ASK;
	if (is_calm(pace, pace->percent))
		return PACE_START;
	extra_us = service_us * (pace->percent - pace->base_percent) / PACE_USUAL_PERCENT;
	if (extra_us > PACE_SPELL_US)
		return PACE_WAIT;
	return extra_us > PACE_HOP_US ? PACE_ELSEWHERE : PACE_START;
}

/* Tells whether to send a probe now. */
bool pace_take_probe(struct pace *pace, uint64_t now_us)
{
	if (!pace->is_used || pace->is_probing || now_us < pace->blind_to_us)
		return false;
	if (pace->probed_us != 0 && now_us < pace->probed_us + PACE_PROBE_US)
		return false;
	pace->probed_us = now_us;
	pace->is_probing = true;
	return true;
}
