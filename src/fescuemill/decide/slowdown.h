/*
 * Slowdown: whether a call should wait until its host is faster again. The backend server reports
 * the slowdown of its shared host: the current service time in percent of the normal one. Other
 * work on the host slows it down for short episodes, many times a second, but a call that starts
 * during an episode is slow for its whole run. No I/O and no clock of its own.
 */
#ifndef FESCUEMILL_DECIDE_SLOWDOWN_H
#define FESCUEMILL_DECIDE_SLOWDOWN_H

#include <stdbool.h>
#include <stdint.h>

#define SLOWDOWN_NONE_PERCENT	   100	  /* slowdown of a host at its normal speed */
#define SLOWDOWN_SAMPLE_VALID_US   20000  /* a sample up to this age still holds for most starts */
#define SLOWDOWN_EXPECTED_US	   100000 /* expected remaining duration of an episode */
#define SLOWDOWN_PERSISTENT_US	   450000 /* a longer slowdown is the host's new baseline */
#define SLOWDOWN_SAMPLE_GAP_US	   100000 /* a slow sample after a longer gap starts an episode */
#define SLOWDOWN_TOLERANCE_PERCENT 130	  /* of the baseline; up to this a host is not slow */
#define SLOWDOWN_REDIRECT_COST_US  10000  /* cost of asking another gate, even if it refuses */
#define SLOWDOWN_PROBE_INTERVAL_US 20000  /* between two probes: 50 a second at most */
#define SLOWDOWN_PROBE_BACKOFF_US  200000 /* after a failed probe; calls start without a sample */

struct slowdown {
	bool is_enabled;  /* the backend server reports its slowdown and can be probed for it */
	uint32_t percent; /* latest sample, in percent of the normal service time */
	uint32_t baseline_percent; /* slowdown outside episodes; above 100 on a cold or slow host */
	uint32_t episode_min_percent; /* lowest sample of the current episode */
	uint64_t episode_start_us;    /* first slow sample of the current episode; 0: none */
	uint64_t sampled_us;	      /* time of the latest sample; 0: none */
	uint64_t bypass_until_us;     /* until then calls start without a sample */
	uint64_t last_probe_us;	      /* time of the latest probe; 0: none */
	bool probe_pending;
};

enum slowdown_advice {
	SLOWDOWN_START,	   /* start now */
	SLOWDOWN_REDIRECT, /* another gate is expected to be faster; start now if there is none */
	SLOWDOWN_WAIT,	   /* waiting for the end of the episode is expected to be faster */
	SLOWDOWN_PROBE,	   /* the latest sample is too old: probe first */
};

void slowdown_record(struct slowdown *slowdown, uint32_t percent, uint64_t now_us);
void slowdown_probe_failed(struct slowdown *slowdown, uint64_t now_us);
enum slowdown_advice slowdown_advise(const struct slowdown *slowdown, uint64_t service_us,
				     uint64_t now_us);
bool slowdown_start_probe(struct slowdown *slowdown, uint64_t now_us);

#endif
