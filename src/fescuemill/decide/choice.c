/*
 * Choice of a gate by expected completion: round trip, expected wait and service time, with what
 * an error would cost. A few gates are drawn at random at each distance and the best is taken, so
 * that entries with the same stale report do not all run to the same gate.
 */
#include "fescuemill/decide/choice.h"

#include "fescuemill/decide/choice_table.h"
#include "fescuemill/decide/pace.h"
#include "fescuemill/fleet/member_defs.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_TRIP_WEIGHT 0.1F
#define SLOWNESS_WEIGHT	  0.2F
#define ERROR_WEIGHT	  0.2F
#define ERROR_DEAD_ZONE	  0.25F /* above twice the typical error rate */

#define FILL_WEIGHT 0.125F  /* of one gate's load; the last eight or so make the typical one */
#define FILL_AGE_US 1000000 /* floods come and go within seconds */

#define SLOW_FACTOR	    2.0F  /* slowness from which a gate counts as slow */
#define FAST_SLOWNESS	    0.25F /* up to which a gate is faster than chance makes it look */
#define UNTRIED_SLOWNESS    0.5F  /* of a gate without a result: it may be better than those seen */
#define TRIAL_WEIGHT	    0.5F  /* of an answer from a slow gate */
#define TYPICAL_ANSWERS_MAX 64U

#define TRIAL_COST	 1000U
#define TRIAL_PER_PICK	 3U
#define TRIAL_TOKENS_MAX TRIAL_COST

/* Fills the settings that the node uses unless its own say otherwise. */
void choice_default_settings(struct choice_settings *settings)
{
	*settings = (struct choice_settings){
		.policy = CHOICE_EXPECTED,
		.gates_per_domain = 8,
		.candidates = 5,
		.round_trip_us = {300, 3500, 17000},
		.step_us = {0, 200, 10000},
		.step_us_per_kib = {0, 0, 0},
		.service_time_us = 5000,
		.load_age_us = 50000,
		.trial_age_us = 1000000,
		.error_trial_age_us = 5000000,
		.error_penalty_us = 1000000,
	};
}

/* Makes a choice without members. Errors: ERROR_MEMORY, ERROR_RANGE. */
int choice_create(struct choice **out, const struct choice_settings *settings, struct error *err)
{
	struct choice *choice;

	if (settings->policy >= CHOICE_POLICY_COUNT || settings->candidates == 0 ||
	    settings->gates_per_domain == 0)
		return error_set(err, ERROR_RANGE, "policy %d, candidates %u, gates_per_domain %u",
				 (int)settings->policy, settings->candidates,
				 settings->gates_per_domain);
	choice = calloc(1, sizeof(*choice));
	if (!choice)
		return error_set(err, ERROR_MEMORY, "choice");
	choice->settings = *settings;
	choice->typical_us = (float)settings->service_time_us;
	*out = choice;
	return 0;
}

/* Frees a choice. */
void choice_destroy(struct choice *choice)
{
	free(choice);
}

/* Tells whether a gate may be chosen at all for a query. */
bool choice_may_pick(const struct choice_gate *gate, const struct choice_query *query,
		     uint64_t now_us)
{
	if (!gate->member.usable || now_us < gate->held_to_us)
		return false;
	for (uint32_t i = 0; i < query->excluded_count; i++) {
		if (query->excluded[i] == gate->member.life.node_id)
			return false;
	}
	return true;
}

/* Gives the weight that something seen some time ago still has. */
static float aged_weight(uint64_t seen_us, uint64_t now_us, uint32_t age_us)
{
	if (seen_us == 0)
		return 0;
	if (seen_us >= now_us)
		return 1;
	return expf(-(float)(now_us - seen_us) / (float)age_us);
}

/* Moves a smoothed value towards a sample. */
static float smoothed(float value, float sample, float weight)
{
	return value + weight * (sample - value);
}

/* Tells whether a gate was last seen to be slow. Smaller differences are noise of the service
 * times: to follow them would send the work of all entries to whoever was lucky last. */
static bool is_slow(const struct choice_gate *gate)
{
	return gate->slowness > SLOW_FACTOR;
}

/* Gives by how much a gate fails more often than is typical. Single errors stay below. */
static float error_excess(const struct choice *choice, const struct choice_gate *gate)
{
	float excess = gate->error_rate - 2 * choice->typical_error_rate - ERROR_DEAD_ZONE;

	return excess > 0 ? excess : 0;
}

/* Tells whether a gate that was slow or failed may be tried as if it had not. Trials are a bounded
 * share of the picks, one at a time for each gate, so that they do not show in the 99th
 * percentile. */
static bool is_on_trial(const struct choice *choice, const struct choice_gate *gate,
			uint64_t now_us)
{
	bool is_failing = error_excess(choice, gate) > 0;
	uint64_t age_us =
		is_failing ? choice->settings.error_trial_age_us : choice->settings.trial_age_us;

	if (!is_failing && !is_slow(gate))
		return false;
	return gate->in_flight == 0 && choice->trial_tokens >= TRIAL_COST &&
	       now_us >= gate->tried_us + age_us;
}

/* Gives the typical service time of a class, or of all while the class has no answer. */
static float class_typical_us(const struct choice *choice, uint32_t class_index)
{
	if (class_index >= CLASSES_PER_SERVICE_MAX || choice->class_answers[class_index] == 0)
		return choice->typical_us;
	return choice->class_typical_us[class_index];
}

/* Tells whether the typical time is that of slower gates. */
static bool is_fast(const struct choice_gate *gate)
{
	return gate->slowness < FAST_SLOWNESS;
}

/* Expected slowness of a gate. A gate without a result is tried, one attempt at a time, before a
 * nearer one whose time is typical only for want of others. While attempts are in flight and none
 * is answered for much longer than is typical, the time since then counts, so that a stalled gate
 * is noticed before its first answer. */
static float expected_slowness(const struct choice *choice, const struct choice_gate *gate,
			       uint64_t now_us)
{
	float slowness = 1;
	float stalled;

	if (is_fast(gate) || (is_slow(gate) && !is_on_trial(choice, gate, now_us)))
		slowness = gate->slowness;
	if (gate->tried_us == 0 && gate->in_flight == 0)
		return UNTRIED_SLOWNESS;
	if (gate->in_flight == 0 || now_us <= gate->progress_us)
		return slowness;
	stalled = ((float)(now_us - gate->progress_us) - gate->round_trip_us) / choice->typical_us;
	return stalled > SLOW_FACTOR * slowness ? stalled : slowness;
}

/* Expected number of attempts at a gate of which nothing is known: as at the gates that told their
 * load lately. In a flood all gates are full, and to take the others for idle would send each call
 * around all of them. */
static float typical_occupancy(const struct choice *choice, const struct choice_gate *gate,
			       uint64_t now_us)
{
	return aged_weight(choice->fill_us, now_us, FILL_AGE_US) * choice->typical_fill *
	       (float)gate->limit;
}

/* Expected number of attempts at the gate: those last seen, and the more of the typical number the
 * longer that is ago, and this entry's own since; at least this entry's own in flight. */
static float expected_occupancy(const struct choice *choice, const struct choice_gate *gate,
				uint64_t now_us)
{
	float weight = aged_weight(gate->load_us, now_us, choice->settings.load_age_us);
	float seen = weight * (float)gate->occupancy +
		     (1 - weight) * typical_occupancy(choice, gate, now_us) +
		     (float)gate->sent_since;

	return seen > (float)gate->in_flight ? seen : (float)gate->in_flight;
}

/* Gives how much longer a call of a service time takes for the noise on a gate's host, as far as a
 * noisy spell that was seen some time ago is expected to last. The gate has a call wait for the end
 * of the spell if that is shorter. */
static float noise_us(const struct choice_gate *gate, float service_us, uint64_t now_us)
{
	float weight = aged_weight(gate->load_us, now_us, PACE_SPELL_US);
	float extra_us;

	if (gate->pace_percent <= PACE_USUAL_PERCENT)
		return 0;
	extra_us =
		service_us * (float)(gate->pace_percent - PACE_USUAL_PERCENT) / PACE_USUAL_PERCENT;
	return weight * (extra_us < PACE_SPELL_US ? extra_us : PACE_SPELL_US);
}

/* Expected completion of an attempt sent now, in microseconds, with the cost of a likely error
 * and of the distance. */
static float expected_completion_us(const struct choice *choice, const struct choice_gate *gate,
				    const struct choice_query *query, uint64_t now_us)
{
	uint32_t class_index = query->class_index;
	uint32_t distance = gate->member.distance;
	float body_kib = (float)query->body_bytes / 1024;
	float slowness = expected_slowness(choice, gate, now_us);
	float service = slowness * class_typical_us(choice, class_index);
	float limit = (float)gate->limit;
	float excess = expected_occupancy(choice, gate, now_us) + 1 - limit;
	float errors = is_on_trial(choice, gate, now_us) ? 0 : error_excess(choice, gate);
	float wait = excess > 0 ? slowness * choice->typical_us * excess / limit : 0;

	return gate->round_trip_us + wait + service + noise_us(gate, service, now_us) +
	       errors * (float)choice->settings.error_penalty_us +
	       (float)choice->settings.step_us[distance] +
	       body_kib * (float)choice->settings.step_us_per_kib[distance];
}

/* Draws gates at one distance without repeats and compares them with the best so far. */
static int draw_best(struct choice *choice, const struct choice_query *query, uint32_t distance,
		     struct random *rng, uint64_t now_us, int best, float *best_us)
{
	uint32_t end = choice->starts[distance + 1];
	uint32_t drawn = 0;

	for (uint32_t i = choice->starts[distance]; i < end && drawn < choice->settings.candidates;
	     i++) {
		uint32_t j = i + random_below(rng, end - i);
		uint16_t number = choice->order[j];
		float cost;

		choice->order[j] = choice->order[i];
		choice->order[i] = number;
		if (!choice_may_pick(&choice->gates[number], query, now_us))
			continue;
		drawn++;
		cost = expected_completion_us(choice, &choice->gates[number], query, now_us);
		if (best >= 0 && cost >= *best_us)
			continue;
		best = number;
		*best_us = cost;
	}
	return best;
}

/* Chooses by expected completion; returns the gate's number or -1. */
static int pick_expected(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us)
{
	float best_us = 0;
	int best = -1;

	choice->trial_tokens += TRIAL_PER_PICK;
	if (choice->trial_tokens > TRIAL_TOKENS_MAX)
		choice->trial_tokens = TRIAL_TOKENS_MAX;
	for (uint32_t d = 0; d < DISTANCE_COUNT; d++)
		best = draw_best(choice, query, d, rng, now_us, best, &best_us);
	if (best >= 0 && is_on_trial(choice, &choice->gates[best], now_us))
		choice->trial_tokens -= TRIAL_COST;
	return best;
}

/* Chooses a gate; false when none can be chosen. */
bool choice_pick(struct choice *choice, const struct choice_query *query, struct random *rng,
		 uint64_t now_us, struct node_life *picked)
{
	int number;

	switch (choice->settings.policy) {
	case CHOICE_EXPECTED:
		number = pick_expected(choice, query, rng, now_us);
		break;
	default:
		number = choice_pick_baseline(choice, query, rng, now_us);
		break;
	}
	if (number < 0)
		return false;
	*picked = choice->gates[number].member.life;
	return true;
}

/* Finds a gate by its node; NULL when no state is kept for it. */
static struct choice_gate *gate_find(struct choice *choice, uint64_t node_id)
{
	for (uint32_t i = 0; i < choice->count; i++) {
		if (choice->gates[i].member.life.node_id == node_id)
			return &choice->gates[i];
	}
	return NULL;
}

/* Notes that an attempt was sent to a gate. */
void choice_sent(struct choice *choice, uint64_t node_id, uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (!gate)
		return;
	if (gate->in_flight == 0)
		gate->progress_us = now_us;
	gate->in_flight++;
	gate->sent_since++;
}

/* Keeps a gate out that says it drains, until the fleet's word of it is here; a gate that says it
 * is ready comes back at once. */
static void gate_state_taken(struct choice_gate *gate, uint8_t state, uint64_t now_us)
{
	bool is_draining = state == BACKEND_DRAINING || state == BACKEND_LEAVING;

	gate->held_to_us = is_draining ? now_us + CHOICE_DRAINING_HOLD_US : 0;
}

/* Moves the typical fill towards that of a gate that tells its load. */
static void fill_taken(struct choice *choice, const struct gate_load *load, uint64_t now_us)
{
	if (load->limit == 0)
		return;
	choice->typical_fill =
		smoothed(choice->typical_fill,
			 (float)(load->in_use + load->queued) / (float)load->limit, FILL_WEIGHT);
	choice->fill_us = now_us;
}

/* Takes in a gate's own word on its load. Its service time is left out: it mixes classes, and fast
 * failures shorten it. */
static void gate_load_taken(struct choice *choice, struct choice_gate *gate,
			    const struct gate_load *load, uint64_t now_us)
{
	fill_taken(choice, load, now_us);
	gate->load_us = now_us;
	gate->occupancy = load->in_use + load->queued;
	gate->pace_percent = load->pace_percent;
	gate->sent_since = 0;
	gate_state_taken(gate, load->state, now_us);
	if (load->limit > 0)
		gate->limit = load->limit;
}

/* Moves the typical service times towards a sample; the first answers weigh more. */
static void typical_taken(struct choice *choice, uint32_t class_index, float server_us)
{
	uint32_t *answers = &choice->class_answers[class_index];
	float *typical = &choice->class_typical_us[class_index];

	if (*answers < TYPICAL_ANSWERS_MAX)
		(*answers)++;
	*typical = smoothed(*typical, server_us, 1.0F / (float)*answers);
	choice->typical_us = smoothed(choice->typical_us, server_us, 1.0F / TYPICAL_ANSWERS_MAX);
}

/* Takes in how slow an answer was for its class; tells whether it came in the usual time. */
static bool gate_slowness_taken(struct choice *choice, struct choice_gate *gate,
				const struct choice_result *result)
{
	uint32_t class_index = result->class_index % CLASSES_PER_SERVICE_MAX;
	bool was_slow = is_slow(gate);
	float ratio;

	typical_taken(choice, class_index, (float)result->server_us);
	ratio = (float)result->server_us / (choice->class_typical_us[class_index] + 1);
	if (gate->is_timed)
		gate->slowness =
			smoothed(gate->slowness, ratio, was_slow ? TRIAL_WEIGHT : SLOWNESS_WEIGHT);
	else
		gate->slowness = ratio;
	gate->is_timed = true;
	return ratio <= SLOW_FACTOR;
}

/* Takes in how long an answered attempt took; tells whether that was usual. */
static bool gate_timing_taken(struct choice *choice, struct choice_gate *gate,
			      const struct choice_result *result)
{
	uint32_t inside_us = result->gate_queue_us + result->server_us;

	if (result->elapsed_us >= inside_us)
		gate->round_trip_us =
			smoothed(gate->round_trip_us, (float)(result->elapsed_us - inside_us),
				 ROUND_TRIP_WEIGHT);
	return gate_slowness_taken(choice, gate, result);
}

/* Takes in whether an attempt failed. Fast failures must cost more than they save. */
static void gate_error_taken(struct choice *choice, struct choice_gate *gate, bool failed,
			     uint64_t now_us)
{
	float sample = failed ? 1.0F : 0.0F;

	choice->typical_error_rate =
		smoothed(choice->typical_error_rate, sample, 1.0F / TYPICAL_ANSWERS_MAX);
	gate->error_rate = smoothed(gate->error_rate, sample, ERROR_WEIGHT);
	gate->tried_us = now_us;
}

/* Takes in an answer. A good one from a gate that was slow or failing lets it be tried again at
 * once, and the trial is not counted. */
static void gate_answer_taken(struct choice *choice, struct choice_gate *gate,
			      const struct choice_result *result, uint64_t now_us)
{
	bool was_bad = is_slow(gate) || error_excess(choice, gate) > 0;

	gate->progress_us = now_us;
	gate_error_taken(choice, gate, false, now_us);
	if (!gate_timing_taken(choice, gate, result) || !was_bad)
		return;
	gate->error_rate *= 1 - TRIAL_WEIGHT;
	gate->tried_us = 0;
	choice->trial_tokens = TRIAL_TOKENS_MAX;
}

/* Notes how an attempt ended. A result for a gate without state is ignored. */
void choice_done(struct choice *choice, uint64_t node_id, const struct choice_result *result,
		 uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (!gate)
		return;
	if (gate->in_flight > 0)
		gate->in_flight--;
	switch (result->kind) {
	case CHOICE_RESULT_ANSWERED:
		gate_answer_taken(choice, gate, result, now_us);
		break;
	case CHOICE_RESULT_FAILED:
	case CHOICE_RESULT_REFUSED:
	case CHOICE_RESULT_LOST:
		gate_error_taken(choice, gate, true, now_us);
		break;
	case CHOICE_RESULT_NO_ROOM:
	case CHOICE_RESULT_CANCELLED:
		break;
	}
	if (result->has_load)
		gate_load_taken(choice, gate, &result->load, now_us);
}

/* Takes in a load report that came by itself. */
void choice_load_seen(struct choice *choice, uint64_t node_id, const struct gate_load *load,
		      uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (gate)
		gate_load_taken(choice, gate, load, now_us);
}

/* Gives the number of gates that state is kept for. */
uint32_t choice_gate_count(const struct choice *choice)
{
	return choice->count;
}

/* Gives the memory of a choice in bytes. */
uint64_t choice_bytes(const struct choice *choice)
{
	return sizeof(*choice);
}
