/*
 * Slowdown: whether a call should wait until its host is faster again.
 */
#include "fescuemill/decide/slowdown.h"

/* Returns true if a sample is within the tolerance above the baseline. */
static bool is_near_baseline(const struct slowdown *slowdown, uint32_t percent)
{
	return percent * 100 <= slowdown->baseline_percent * SLOWDOWN_TOLERANCE_PERCENT;
}

/*
 * Updates the baseline and the current episode with a sample. The baseline is the lowest sample so
 * far, until an episode lasts for SLOWDOWN_PERSISTENT_US: then it is the lowest sample of that
 * episode.
 */
static void update_baseline(struct slowdown *slowdown, uint32_t percent, uint64_t now_us)
{
	bool has_gap =
		slowdown->sampled_us == 0 || now_us > slowdown->sampled_us + SLOWDOWN_SAMPLE_GAP_US;

	if (slowdown->baseline_percent == 0 || percent < slowdown->baseline_percent)
		slowdown->baseline_percent = percent;
	if (is_near_baseline(slowdown, percent)) {
		slowdown->episode_start_us = 0;
		return;
	}
	if (slowdown->episode_start_us == 0 || has_gap) {
		slowdown->episode_start_us = now_us;
		slowdown->episode_min_percent = percent;
	}
	if (percent < slowdown->episode_min_percent)
		slowdown->episode_min_percent = percent;
	if (now_us < slowdown->episode_start_us + SLOWDOWN_PERSISTENT_US)
		return;
	slowdown->baseline_percent = slowdown->episode_min_percent;
	slowdown->episode_start_us = 0;
}

/* Records a sample that the backend server reported. */
void slowdown_record(struct slowdown *slowdown, uint32_t percent, uint64_t now_us)
{
	update_baseline(slowdown, percent, now_us);
	slowdown->percent = percent;
	slowdown->sampled_us = now_us;
	slowdown->probe_pending = false;
	slowdown->bypass_until_us = 0;
}

/* Records that a probe failed. Calls start without a sample for SLOWDOWN_PROBE_BACKOFF_US. */
void slowdown_probe_failed(struct slowdown *slowdown, uint64_t now_us)
{
	slowdown->probe_pending = false;
	slowdown->bypass_until_us = now_us + SLOWDOWN_PROBE_BACKOFF_US;
}

static bool is_fresh(const struct slowdown *slowdown, uint64_t now_us)
{
	return slowdown->sampled_us != 0 &&
	       now_us <= slowdown->sampled_us + SLOWDOWN_SAMPLE_VALID_US;
}

/*
 * Advises on a call with an expected service time of service_us at normal speed. It should wait if
 * the slowdown would prolong its run by more than the expected rest of the episode, and go to
 * another gate if by more than the cost of asking there.
 */
enum slowdown_advice slowdown_advise(const struct slowdown *slowdown, uint64_t service_us,
				     uint64_t now_us)
{
	uint64_t extra_us;

	if (!slowdown->is_enabled || now_us < slowdown->bypass_until_us)
		return SLOWDOWN_START;
	if (!is_fresh(slowdown, now_us))
		return SLOWDOWN_PROBE;
	if (is_near_baseline(slowdown, slowdown->percent))
		return SLOWDOWN_START;
	extra_us = service_us * (slowdown->percent - slowdown->baseline_percent) /
		   SLOWDOWN_NONE_PERCENT;
	if (extra_us > SLOWDOWN_EXPECTED_US)
		return SLOWDOWN_WAIT;
	return extra_us > SLOWDOWN_REDIRECT_COST_US ? SLOWDOWN_REDIRECT : SLOWDOWN_START;
}

/*
 * Returns true if the caller must send a probe now for waiting calls, and records it as sent. Only
 * one probe is pending at a time.
 */
bool slowdown_start_probe(struct slowdown *slowdown, uint64_t now_us)
{
	if (!slowdown->is_enabled || slowdown->probe_pending || now_us < slowdown->bypass_until_us)
		return false;
	if (slowdown->last_probe_us != 0 &&
	    now_us < slowdown->last_probe_us + SLOWDOWN_PROBE_INTERVAL_US)
		return false;
	slowdown->last_probe_us = now_us;
	slowdown->probe_pending = true;
	return true;
}
