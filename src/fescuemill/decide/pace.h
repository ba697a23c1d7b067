/*
 * Pace: how long work takes on a shared host at this moment, as the backend server tells it, and
 * whether a call had better wait for a calmer one. A neighbour's noise comes and goes many times a
 * second, but a call that starts during it pays for its whole run. Pure.
 */
#ifndef FESCUEMILL_DECIDE_PACE_H
#define FESCUEMILL_DECIDE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#define PACE_USUAL_PERCENT 100
#define PACE_FRESH_US	   20000  /* a figure this old still holds for most starts */
#define PACE_SPELL_US	   100000 /* how much longer a noisy spell is expected to last */
#define PACE_LASTING_US	   450000 /* slower for longer than this is no spell but the host's state */
#define PACE_GAP_US	   100000 /* a spell is not followed over a longer gap between figures */
#define PACE_MARGIN	   130	  /* percent of the base that still counts as calm */
#define PACE_HOP_US	   10000 /* what asking another gate costs, with room for a refusal there */
#define PACE_PROBE_US	   20000 /* between two probes: 50 a second at most */
#define PACE_BLIND_US	   200000 /* after a probe that failed, work starts without a figure */

struct pace {
	bool is_used;		/* the backend server tells its pace and can be asked for it */
	uint32_t percent;	/* as told last */
	uint32_t base_percent;	/* of calm moments: a cold or slow host is slow in these too */
	uint32_t spell_percent; /* the least since spell_us */
	uint64_t spell_us;    /* since when all figures were above the base; 0: the last was not */
	uint64_t seen_us;     /* when; 0: never */
	uint64_t blind_to_us; /* until then no figure is waited for */
	uint64_t probed_us;   /* when a probe was sent last */
	bool is_probing;
};

enum pace_advice {
	PACE_START,	/* now is a good time */
	PACE_ELSEWHERE, /* another host would be quicker, though waiting here would not */
	PACE_WAIT,	/* a calmer moment is worth waiting for */
	PACE_ASK,	/* the figure is too old to tell */
};

void pace_seen(struct pace *pace, uint32_t percent, uint64_t now_us);
void pace_probe_failed(struct pace *pace, uint64_t now_us);
/* Advises on a call of a usual service time. */
enum pace_advice pace_advise(const struct pace *pace, uint64_t service_us, uint64_t now_us);
/* Tells whether to send a probe now, for work that waits; the caller sends it. */
bool pace_take_probe(struct pace *pace, uint64_t now_us);

#endif
