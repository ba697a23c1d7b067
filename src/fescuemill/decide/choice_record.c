/*
 * What an entry learns of its gates from results and load reports.
 */
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/choice_cold.h"
#include "fescuemill/decide/choice_table.h"
#include "fescuemill/fleet/member_defs.h"

#include <math.h>
#include <stddef.h>

#define ROUND_TRIP_WEIGHT     0.1F
#define ROUND_TRIP_SAMPLE_MAX 4.0F /* a longer one counts as this multiple of the expected one */
#define SLOWNESS_WEIGHT	      0.2F
#define ERROR_WEIGHT	      0.2F
#define UTILIZATION_WEIGHT    0.125F /* the typical value covers about the last 8 load reports */
#define TRIAL_WEIGHT	      0.5F   /* of an answer from a slow or failing gate */
#define TYPICAL_ANSWERS_MAX   64U    /* the typical values cover about as many answers */

/* Updates an exponentially weighted moving average with a sample. */
static float weighted_average(float value, float sample, float weight)
{
	return value + weight * (sample - value);
}

/* Finds a gate by its node id. Returns NULL if the gate is not tracked. */
static struct choice_gate *gate_find(struct choice *choice, uint64_t node_id)
{
	for (uint32_t i = 0; i < choice->count; i++) {
		if (choice->gates[i].member.identity.node_id == node_id)
			return &choice->gates[i];
	}
	return NULL;
}

/* Records that an attempt was sent to a gate. */
void choice_record_sent(struct choice *choice, uint64_t node_id, uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (!gate)
		return;
	if (gate->in_flight == 0)
		gate->progress_us = now_us;
	gate->in_flight++;
	gate->sent_since_load++;
	if (choice->settings.has_spillover && gate->member.distance != DISTANCE_SAME_DOMAIN)
		spillover_record_sent(&choice->spillover, gate->member.domain, now_us);
}

/* Excludes a gate that reports draining or leaving, for the time that gossip needs to report it
 * too. Any other reported state ends the exclusion at once. */
static void update_gate_state(struct choice_gate *gate, uint8_t state, uint64_t now_us)
{
	bool is_draining = state == BACKEND_DRAINING || state == BACKEND_LEAVING;

	gate->excluded_until_us = is_draining ? now_us + CHOICE_DRAINING_EXCLUSION_US : 0;
}

/* Updates the typical utilization with the load report of a gate. */
static void update_utilization(struct choice *choice, const struct gate_load *load, uint64_t now_us)
{
	if (load->limit == 0)
		return;
	choice->typical_utilization = weighted_average(
		choice->typical_utilization,
		(float)(load->in_use + load->queued) / (float)load->limit, UTILIZATION_WEIGHT);
	choice->utilization_observed_us = now_us;
}

/* Records the load report of a gate. Its service time is ignored, because it mixes classes and is
 * lowered by fast failures. */
static void update_gate_load(struct choice *choice, struct choice_gate *gate,
			     const struct gate_load *load, uint64_t now_us)
{
	update_utilization(choice, load, now_us);
	gate->load_observed_us = now_us;
	gate->occupancy = load->in_use + load->queued;
	gate->slowdown_percent = load->slowdown_percent;
	choice_cold_record(gate, load);
	gate->sent_since_load = 0;
	update_gate_state(gate, load->state, now_us);
	gate->rate_limit_milli = load->rate_limit_milli;
	gate->wait_us = load->wait_us;
	if (load->limit > 0)
		gate->limit = load->limit;
}

/* Updates the typical service times with a sample. For a class, the first answers weigh more. */
static void update_typical_service_time(struct choice *choice, uint32_t class_index,
					float server_us)
{
	uint32_t *answers = &choice->class_answer_count[class_index];
	float *typical = &choice->class_typical_us[class_index];

	if (*answers < TYPICAL_ANSWERS_MAX)
		(*answers)++;
	*typical = weighted_average(*typical, server_us, 1.0F / (float)*answers);
	choice->typical_us =
		weighted_average(choice->typical_us, server_us, 1.0F / TYPICAL_ANSWERS_MAX);
}

/* Updates the typical size of the answers of a class with a sample. */
static void update_answer_bytes(struct choice *choice, const struct choice_result *result)
{
	uint32_t class_index = result->class_index % CLASSES_PER_SERVICE_MAX;
	float *typical = &choice->class_answer_bytes[class_index];

	*typical = weighted_average(*typical, (float)result->answer_bytes,
				    1.0F / (float)(choice->class_answer_count[class_index] + 1));
}

/* Updates the slowness of a gate from the service time of an answer. Returns true if the service
 * time was not slow for its class. */
static bool update_gate_slowness(struct choice *choice, struct choice_gate *gate,
				 const struct choice_result *result)
{
	uint32_t class_index = result->class_index % CLASSES_PER_SERVICE_MAX;
	bool was_slow = choice_is_slow(gate);
	float ratio;

	update_typical_service_time(choice, class_index, (float)result->server_us);
	ratio = (float)result->server_us / (choice->class_typical_us[class_index] + 1);
	if (gate->has_slowness)
		gate->slowness = weighted_average(gate->slowness, ratio,
						  was_slow ? TRIAL_WEIGHT : SLOWNESS_WEIGHT);
	else
		gate->slowness = ratio;
	choice->measured_count += !gate->has_slowness;
	gate->has_slowness = true;
	return ratio <= CHOICE_SLOW_FACTOR;
}

/* Updates the round trip of a gate with a sample. The answers to calls that waited for a silent
 * connection to be replaced come all at once, and say little of the next calls: a sample counts for
 * ROUND_TRIP_SAMPLE_MAX times the expected round trip at most. */
static void update_gate_round_trip(const struct choice *choice, struct choice_gate *gate,
				   uint32_t sample_us, uint64_t now_us)
{
	float expected_us = choice_round_trip_us(choice, gate, now_us);
	float sample = fminf((float)sample_us, ROUND_TRIP_SAMPLE_MAX * expected_us);

	gate->round_trip_us = weighted_average(expected_us, sample, ROUND_TRIP_WEIGHT);
	gate->round_trip_observed_us = now_us;
}

/* Updates the round trip and the slowness of a gate from an answer. Returns true if the service
 * time was not slow for its class. */
static bool update_gate_timing(struct choice *choice, struct choice_gate *gate,
			       const struct choice_result *result, uint64_t now_us)
{
	uint32_t gate_us = result->gate_queue_us + result->server_us;

	if (result->elapsed_us >= gate_us)
		update_gate_round_trip(choice, gate, result->elapsed_us - gate_us, now_us);
	return update_gate_slowness(choice, gate, result);
}

/* Updates the error rates with the result of an attempt. Errors have a cost of their own because a
 * gate that fails fast would otherwise look better than the others. */
static void update_gate_error_rate(struct choice *choice, struct choice_gate *gate, bool failed,
				   uint64_t now_us)
{
	float sample = failed ? 1.0F : 0.0F;

	choice->typical_error_rate =
		weighted_average(choice->typical_error_rate, sample, 1.0F / TYPICAL_ANSWERS_MAX);
	gate->error_rate = weighted_average(gate->error_rate, sample, ERROR_WEIGHT);
	gate->last_result_us = now_us;
}

/* Records an answer. If a slow or failing gate answers in normal time, its error rate is reduced,
 * its next trial is allowed at once, and the trial does not count against the budget. */
static void record_gate_answer(struct choice *choice, struct choice_gate *gate,
			       const struct choice_result *result, uint64_t now_us)
{
	bool was_bad = choice_is_slow(gate) || choice_error_excess(choice, gate) > 0;

	gate->progress_us = now_us;
	update_answer_bytes(choice, result);
	update_gate_error_rate(choice, gate, false, now_us);
	if (!update_gate_timing(choice, gate, result, now_us) || !was_bad)
		return;
	gate->error_rate *= 1 - TRIAL_WEIGHT;
	gate->last_result_us = 0;
	choice->trial_tokens = CHOICE_TRIAL_TOKENS_MAX;
}

/* Returns what a result says of the room of the gate's failure domain. */
static enum spillover_end spillover_end_of(enum choice_result_kind kind)
{
	switch (kind) {
	case CHOICE_RESULT_ANSWERED:
	case CHOICE_RESULT_FAILED:
		return SPILLOVER_TAKEN;
	case CHOICE_RESULT_NO_FREE_SLOT:
		return SPILLOVER_NO_ROOM;
	case CHOICE_RESULT_NO_BACKEND:
	case CHOICE_RESULT_EVACUATED:
	case CHOICE_RESULT_REFUSED:
	case CHOICE_RESULT_LOST:
	case CHOICE_RESULT_CANCELLED:
		break;
	}
	return SPILLOVER_OTHER;
}

/* Records the result of an attempt. The result is ignored if the gate is not tracked. */
void choice_record_result(struct choice *choice, uint64_t node_id,
			  const struct choice_result *result, uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (!gate)
		return;
	if (gate->in_flight > 0)
		gate->in_flight--;
	if (choice->settings.has_spillover && gate->member.distance != DISTANCE_SAME_DOMAIN)
		spillover_record_end(&choice->spillover, gate->member.domain,
				     spillover_end_of(result->kind), now_us);
	switch (result->kind) {
	case CHOICE_RESULT_ANSWERED:
		record_gate_answer(choice, gate, result, now_us);
		break;
	case CHOICE_RESULT_NO_BACKEND:
	case CHOICE_RESULT_FAILED:
	case CHOICE_RESULT_REFUSED:
	case CHOICE_RESULT_LOST:
		update_gate_error_rate(choice, gate, true, now_us);
		break;
	case CHOICE_RESULT_EVACUATED:
		choice_exclude_domain(choice, gate->member.domain, now_us);
		break;
	case CHOICE_RESULT_NO_FREE_SLOT:
	case CHOICE_RESULT_CANCELLED:
		break;
	}
	if (result->has_load)
		update_gate_load(choice, gate, &result->load, now_us);
	if (result->kind == CHOICE_RESULT_NO_BACKEND)
		gate->excluded_until_us = now_us + CHOICE_NO_BACKEND_EXCLUSION_US;
}

/* Records a load report that arrived without a result, such as one in a pong. */
void choice_update_load(struct choice *choice, uint64_t node_id, const struct gate_load *load,
			uint64_t now_us)
{
	struct choice_gate *gate = gate_find(choice, node_id);

	if (gate)
		update_gate_load(choice, gate, load, now_us);
}
