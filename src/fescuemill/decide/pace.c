/*
 * Slowdown: whether a call should wait until its host is faster again.
 */
#include "fescuemill/decide/pace.h"

/* Returns true if a sample is within the tolerance above the baseline. */
static bool is_near_baseline(const struct pace *pace, uint32_t percent)
{
	return percent * 100 <= pace->baseline_percent * SLOWDOWN_TOLERANCE_PERCENT;
}

/*
 * Updates the baseline and the current episode with a sample. The baseline is the lowest sample so
 * far, until an episode lasts for SLOWDOWN_PERSISTENT_US: then it is the lowest sample of that
 * episode.
 */
static void update_baseline(struct pace *pace, uint32_t percent, uint64_t now_us)
{
	bool has_gap = pace->sampled_us == 0 || now_us > pace->sampled_us + SLOWDOWN_SAMPLE_GAP_US;

	if (pace->baseline_percent == 0 || percent < pace->baseline_percent)
		pace->baseline_percent = percent;
	if (is_near_baseline(pace, percent)) {
		pace->episode_start_us = 0;
		return;
	}
	if (pace->episode_start_us == 0 || has_gap) {
		pace->episode_start_us = now_us;
		pace->episode_min_percent = percent;
	}
	if (percent < pace->episode_min_percent)
		pace->episode_min_percent = percent;
	if (now_us < pace->episode_start_us + SLOWDOWN_PERSISTENT_US)
		return;
	pace->baseline_percent = pace->episode_min_percent;
	pace->episode_start_us = 0;
}

/* Records a sample that the backend server reported. */
void slowdown_record(struct pace *pace, uint32_t percent, uint64_t now_us)
{
	update_baseline(pace, percent, now_us);
	pace->percent = percent;
	pace->sampled_us = now_us;
	pace->probe_pending = false;
	pace->bypass_until_us = 0;
}

/* Records that a probe failed. Calls start without a sample for SLOWDOWN_PROBE_BACKOFF_US. */
void slowdown_probe_failed(struct pace *pace, uint64_t now_us)
{
	pace->probe_pending = false;
	pace->bypass_until_us = now_us + SLOWDOWN_PROBE_BACKOFF_US;
}

static bool is_fresh(const struct pace *pace, uint64_t now_us)
{
	return pace->sampled_us != 0 && now_us <= pace->sampled_us + SLOWDOWN_SAMPLE_VALID_US;
}

/*
 * Advises on a call of an expected service time. It should wait if the slowdown would prolong its
 * run by more than the expected rest of the episode, and go to another gate if by more than the
 * cost of asking there.
 */
enum slowdown_advice slowdown_advise(const struct pace *pace, uint64_t service_us, uint64_t now_us)
{
	uint64_t extra_us;

	if (!pace->is_used || now_us < pace->bypass_until_us)
		return SLOWDOWN_START;
	if (!is_fresh(pace, now_us))
		return SLOWDOWN_PROBE;
	if (is_near_baseline(pace, pace->percent))
		return SLOWDOWN_START;
	extra_us = service_us * (pace->percent - pace->baseline_percent) / PACE_USUAL_PERCENT;
	if (extra_us > PACE_SPELL_US)
		return SLOWDOWN_WAIT;
	return extra_us > SLOWDOWN_REDIRECT_COST_US ? SLOWDOWN_REDIRECT : SLOWDOWN_START;
}

/*
 * Returns true if the caller must send a probe now, and records it as sent. Only one probe is
 * pending at a time.
 */
bool slowdown_start_probe(struct pace *pace, uint64_t now_us)
{
	if (!pace->is_used || pace->probe_pending || now_us < pace->bypass_until_us)
		return false;
	if (pace->last_probe_us != 0 && now_us < pace->last_probe_us + SLOWDOWN_PROBE_INTERVAL_US)
		return false;
	pace->last_probe_us = now_us;
	pace->probe_pending = true;
	return true;
}
