/*
 * Choice of a gate by expected completion: round trip, expected wait and service time, with what
 * an error would cost. A few gates are drawn at random at each distance and the best is taken, so
 * that entries with the same stale report do not all run to the same gate.
 */
#include "fescuemill/decide/choice.h"

#include "fescuemill/decide/choice_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_TRIP_WEIGHT 0.1F
#define SERVICE_WEIGHT	  0.3F
#define TYPICAL_WEIGHT	  0.02F
#define ERROR_WEIGHT	  0.3F

/* Fills the settings that the node uses unless its own say otherwise. */
void choice_default_settings(struct choice_settings *settings)
{
	*settings = (struct choice_settings){
		.policy = CHOICE_EXPECTED,
		.gates_per_domain = 8,
		.candidates = 5,
		.round_trip_us = {300, 3500, 17000},
		.step_us = {0, 200, 10000},
		.service_time_us = 5000,
		.load_age_us = 50000,
		.service_age_us = 1000000,
		.error_age_us = 1000000,
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
	choice->typical_service_us = (float)settings->service_time_us;
	*out = choice;
	return 0;
}

/* Frees a choice. */
void choice_destroy(struct choice *choice)
{
	free(choice);
}

/* Tells whether a gate may be chosen at all for a query. */
bool choice_may_pick(const struct choice_gate *gate, const struct choice_query *query)
{
	if (!gate->member.usable)
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

/* Expected service time. A seen one is trusted less with time and gives way to the typical one, so
 * that a gate which was slow is tried again; and while attempts are in flight and none is
 * answered, it is at least that long, so that a stalled gate is noticed before its first answer. */
static float expected_service_us(const struct choice *choice, const struct choice_gate *gate,
				 uint64_t now_us)
{
	float weight = aged_weight(gate->service_us, now_us, choice->settings.service_age_us);
	float service = choice->typical_service_us +
			weight * (gate->service_time_us - choice->typical_service_us);
	float stalled;

	if (gate->in_flight == 0 || now_us <= gate->progress_us)
		return service;
	stalled = (float)(now_us - gate->progress_us) - gate->round_trip_us;
	return stalled > service ? stalled : service;
}

/* Expected number of attempts at the gate: those last seen, aged, and this entry's own since; at
 * least this entry's own in flight. */
static float expected_occupancy(const struct choice *choice, const struct choice_gate *gate,
				uint64_t now_us)
{
	float weight = aged_weight(gate->load_us, now_us, choice->settings.load_age_us);
	float seen = weight * (float)gate->occupancy + (float)gate->sent_since;

	return seen > (float)gate->in_flight ? seen : (float)gate->in_flight;
}

/* Expected completion of an attempt sent now, in microseconds, with the cost of a likely error
 * and of the distance. */
static float expected_completion_us(const struct choice *choice, const struct choice_gate *gate,
				    uint64_t now_us)
{
	float service = expected_service_us(choice, gate, now_us);
	float limit = (float)gate->limit;
	float excess = expected_occupancy(choice, gate, now_us) + 1 - limit;
	float errors = gate->error_rate *
		       aged_weight(gate->error_us, now_us, choice->settings.error_age_us);
	float wait = excess > 0 ? service * excess / limit : 0;

	return gate->round_trip_us + wait + service +
	       errors * (float)choice->settings.error_penalty_us +
	       (float)choice->settings.step_us[gate->member.distance];
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
		if (!choice_may_pick(&choice->gates[number], query))
			continue;
		drawn++;
		cost = expected_completion_us(choice, &choice->gates[number], now_us);
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

	for (uint32_t d = 0; d < DISTANCE_COUNT; d++)
		best = draw_best(choice, query, d, rng, now_us, best, &best_us);
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
		number = choice_pick_baseline(choice, query, rng);
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

/* Takes in a gate's own word on its load. The service time that comes with a failure is left out:
 * fast failures shorten it. */
static void gate_load_taken(struct choice_gate *gate, const struct gate_load *load, bool failed,
			    uint64_t now_us)
{
	gate->load_us = now_us;
	gate->occupancy = load->in_use + load->queued;
	gate->sent_since = 0;
	if (load->limit > 0)
		gate->limit = load->limit;
	if (failed || load->service_time_us == 0)
		return;
	gate->service_time_us = (float)load->service_time_us;
	gate->service_us = now_us;
}

/* Moves a smoothed value towards a sample. */
static float smoothed(float value, float sample, float weight)
{
	return value + weight * (sample - value);
}

/* Takes in how long an answered attempt took. */
static void gate_timing_taken(struct choice *choice, struct choice_gate *gate,
			      const struct choice_result *result, uint64_t now_us)
{
	uint32_t inside_us = result->gate_queue_us + result->server_us;

	if (result->elapsed_us >= inside_us)
		gate->round_trip_us =
			smoothed(gate->round_trip_us, (float)(result->elapsed_us - inside_us),
				 ROUND_TRIP_WEIGHT);
	choice->typical_service_us =
		smoothed(choice->typical_service_us, (float)result->server_us, TYPICAL_WEIGHT);
	gate->service_time_us =
		smoothed(gate->service_time_us, (float)result->server_us, SERVICE_WEIGHT);
	gate->service_us = now_us;
}

/* Takes in whether an attempt failed. Fast failures must cost more than they save. */
static void gate_error_taken(const struct choice *choice, struct choice_gate *gate, bool failed,
			     uint64_t now_us)
{
	float weight = aged_weight(gate->error_us, now_us, choice->settings.error_age_us);

	gate->error_rate = smoothed(gate->error_rate * weight, failed ? 1.0F : 0.0F, ERROR_WEIGHT);
	gate->error_us = now_us;
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
		gate->progress_us = now_us;
		gate_timing_taken(choice, gate, result, now_us);
		gate_error_taken(choice, gate, false, now_us);
		break;
	case CHOICE_RESULT_FAILED:
	case CHOICE_RESULT_REFUSED:
	case CHOICE_RESULT_LOST:
		gate_error_taken(choice, gate, true, now_us);
		break;
	case CHOICE_RESULT_CANCELLED:
		break;
	}
	if (result->has_load)
		gate_load_taken(gate, &result->load, result->kind != CHOICE_RESULT_ANSWERED,
				now_us);
}

/* Takes in a load report that came by itself. */
void choice_load_seen(struct choice *choice, uint64_t node_id, const struct gate_load *load,
		      uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (gate)
		gate_load_taken(gate, load, false, now_us);
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
