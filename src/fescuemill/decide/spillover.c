/*
 * The decision whether a call leaves its failure domain, and the window of calls away.
 */
#include "fescuemill/decide/spillover.h"

#include "fescuemill/base/clock.h"

#include <string.h>

/* A gain of less than this share of the objective stays unnoticed. */
#define GAIN_OBJECTIVE_SHARE 0.05F

/* Above this share of the objective, a call is likely to miss it: the expected time is a mean. */
#define SAFE_OBJECTIVE_SHARE 0.5F

/* Bytes that are worth more than this share of the objective don't leave to meet it: an answer of
 * many bytes has a far objective, and the wait at home is short beside it. */
#define BYTES_OBJECTIVE_SHARE 0.25F

#define WINDOW_START 4.0F
#define WINDOW_MIN   2.0F
#define WINDOW_MAX   64.0F

/* The calls of one burst are refused together: the window is halved once for them. */
#define SHRINK_PERIOD_US (20 * USEC_PER_MSEC)

/* A window at its minimum closes for this long, and twice as long at each further refusal: a
 * failure domain without room is asked less and less often. */
#define CLOSED_US_MIN	     (20 * USEC_PER_MSEC)
#define CLOSED_DOUBLINGS_MAX 2

/* A window that was not used for this long starts anew: what it learnt is out of date. */
#define UNUSED_US (2 * USEC_PER_SEC)

/* Judges whether a call should leave the failure domain. */
enum spillover_reason spillover_judge(const struct spillover_offer *offer)
{
	float gain_us = offer->home_us - offer->away_us;
	float safe_us = SAFE_OBJECTIVE_SHARE * offer->objective_us;

	if (gain_us <= GAIN_OBJECTIVE_SHARE * offer->objective_us)
		return SPILLOVER_NO_GAIN;
	if (offer->home_us > safe_us && offer->away_us <= safe_us &&
	    offer->bytes_us <= BYTES_OBJECTIVE_SHARE * offer->objective_us)
		return SPILLOVER_AWAY_MEETS;
	return gain_us > offer->bytes_us ? SPILLOVER_AWAY_SOONER : SPILLOVER_NOT_WORTH;
}

float spillover_gain_needed_us(const struct spillover_offer *offer)
{
	float noticed_us = GAIN_OBJECTIVE_SHARE * offer->objective_us;

	return noticed_us > offer->bytes_us ? noticed_us : offer->bytes_us;
}

bool spillover_leaves(enum spillover_reason reason)
{
	switch (reason) {
	case SPILLOVER_AWAY_MEETS:
	case SPILLOVER_AWAY_SOONER:
		return true;
	case SPILLOVER_NO_GAIN:
	case SPILLOVER_NOT_WORTH:
		break;
	}
	return false;
}

/* Returns the state of a failure domain, or NULL if it has none. */
static struct spillover_domain *find(struct spillover *spillover, uint32_t domain)
{
	for (uint32_t i = 0; i < spillover->count; i++) {
		if (spillover->list[i].domain == domain)
			return &spillover->list[i];
	}
	return NULL;
}

/* Returns the element for a failure domain that has no state yet. */
static struct spillover_domain *add(struct spillover *spillover)
{
	struct spillover_domain *oldest = &spillover->list[0];

	if (spillover->count < SPILLOVER_DOMAINS_MAX)
		return &spillover->list[spillover->count++];
	for (uint32_t i = 1; i < spillover->count; i++) {
		if (spillover->list[i].used_us < oldest->used_us)
			oldest = &spillover->list[i];
	}
	return oldest;
}

static bool is_out_of_date(const struct spillover_domain *domain, uint64_t now_us)
{
	return domain->in_flight == 0 && now_us > domain->used_us + UNUSED_US;
}

bool spillover_has_room(const struct spillover *spillover, uint32_t domain, uint64_t now_us)
{
	const struct spillover_domain *state = find((struct spillover *)spillover, domain);

	if (!state || is_out_of_date(state, now_us))
		return true;
	return now_us >= state->closed_until_us && (float)state->in_flight < state->window;
}

void spillover_set_in_flight(struct spillover *spillover, uint32_t domain, uint32_t in_flight)
{
	struct spillover_domain *state = find(spillover, domain);

	if (state)
		state->in_flight = in_flight;
}

void spillover_record_sent(struct spillover *spillover, uint32_t domain, uint64_t now_us)
{
	struct spillover_domain *state = find(spillover, domain);

	if (!state)
		state = add(spillover);
	if (state->domain != domain || state->window == 0 || is_out_of_date(state, now_us)) {
		memset(state, 0, sizeof(*state));
		state->domain = domain;
		state->window = WINDOW_START;
		state->threshold = WINDOW_MAX;
	}
	state->in_flight++;
	state->used_us = now_us;
}

/* Halves the window, or closes it for a while if it is at its minimum. */
static void shrink(struct spillover_domain *state, uint64_t now_us)
{
	uint32_t doublings;

	if (state->window > WINDOW_MIN && state->shrunk_us &&
	    now_us < state->shrunk_us + SHRINK_PERIOD_US)
		return;
	state->shrunk_us = now_us;
	state->threshold = state->window / 2;
	if (state->window > WINDOW_MIN) {
		state->window /= 2;
		if (state->window < WINDOW_MIN)
			state->window = WINDOW_MIN;
		return;
	}
	doublings = state->refused_in_row < CLOSED_DOUBLINGS_MAX ? state->refused_in_row
								 : CLOSED_DOUBLINGS_MAX;
	state->closed_until_us = now_us + (CLOSED_US_MIN << doublings);
	state->refused_in_row++;
}

/* Lets the window grow: by one for each call that was taken until the failure domain first had no
 * room, and from half of that window on by one for each window of calls. */
static void grow(struct spillover_domain *state)
{
	state->refused_in_row = 0;
	state->closed_until_us = 0;
	state->window += state->window < state->threshold ? 1 : 1 / state->window;
	if (state->window > WINDOW_MAX)
		state->window = WINDOW_MAX;
}

void spillover_record_end(struct spillover *spillover, uint32_t domain, enum spillover_end end,
			  uint64_t now_us)
{
	struct spillover_domain *state = find(spillover, domain);

	if (!state)
		return;
	if (state->in_flight > 0)
		state->in_flight--;
	switch (end) {
	case SPILLOVER_TAKEN:
		grow(state);
		break;
	case SPILLOVER_NO_ROOM:
		shrink(state, now_us);
		break;
	case SPILLOVER_OTHER:
		break;
	}
}
