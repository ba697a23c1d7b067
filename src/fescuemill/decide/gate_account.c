/*
 * Gate accounting: slot time and floors of the classes, service times and the cost of failures.
 */
#include "fescuemill/decide/gate_account.h"

#include "fescuemill/decide/gate_queue.h"

#include <stddef.h>

/* Weights of the moving means. A mean covers about as many samples as its weight says. */
#define RECENT_WEIGHT  8
#define STEADY_WEIGHT  64
#define PENALTY_WEIGHT 16

#define DEFAULT_SERVICE_DIVISOR 2 /* an unknown service time is the latency target / this */

/* Decays the penalty of past failures, in steps of an eighth of its half-life. */
static void decay_penalty(struct gate *gate, uint64_t now_us)
{
	while (now_us - gate->penalty_decayed_us >= GATE_PENALTY_HALF_LIFE_US / 8) {
		if (!gate->penalty_us) {
			gate->penalty_decayed_us = now_us;
			return;
		}
		gate->penalty_us = gate->penalty_us * 917 / 1000; /* eighth root of 1/2 */
		gate->penalty_decayed_us += GATE_PENALTY_HALF_LIFE_US / 8;
	}
}

/*
 * Accounts for the time since the previous operation. Must be called before an operation changes
 * the queues or the running attempts.
 */
void gate_account_advance(struct gate *gate, uint64_t now_us)
{
	uint64_t passed_us = now_us - gate->accounted_until_us;

	if (!passed_us)
		return;
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			floor_advance(&class->floor, gate_queue_length(class) > 0, class->running,
				      passed_us);
	}
	gate->accounted_until_us = now_us;
	decay_penalty(gate, now_us);
}

/*
 * Returns the expected service time of a class, in microseconds: the mean of the class, or of the
 * gate, or else a fraction of the latency target.
 */
static uint64_t expected_service_us(const struct gate *gate, const struct gate_class *class)
{
	if (class->service.recent_mean_us)
		return class->service.recent_mean_us;
	return gate->service_us ? gate->service_us
				: class->target.latency_us / DEFAULT_SERVICE_DIVISOR;
}

/* Recomputes the floors from the configured rates, the service times and the limit. */
void gate_account_update_floors(struct gate *gate)
{
	uint32_t limit = gate->limit.current;
	uint64_t total = 0;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->active)
			continue;
		class->floor.need_micro = floor_need_micro(class->profile.rate_milli,
							   expected_service_us(gate, class), limit);
		total += class->floor.need_micro;
	}
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			class->floor.share_micro =
				floor_share_micro(class->floor.need_micro, total, limit);
	}
}

/*
 * Returns a moving mean updated with a sample that has a share of 1 / weight. A mean of 0 has no
 * samples yet.
 */
static uint64_t update_mean(uint64_t mean_us, uint64_t sample_us, uint32_t weight)
{
	if (!mean_us)
		return sample_us ? sample_us : 1;
	return (mean_us * (weight - 1) + sample_us + weight / 2) / weight;
}

/*
 * Records an answered attempt for the comparison of nearly full with partly free slots. Attempts
 * that started with many slots free say nothing of either.
 */
static void record_saturation(struct gate *gate, const struct gate_ticket *ticket,
			      uint64_t spent_us, uint64_t now_us)
{
	uint64_t usual_us = gate->classes[ticket->class_index].service.steady_mean_us;
	uint32_t fixed = limit_fixed(&gate->limit);

	if (gate->limit.fixed_percent == 0 || usual_us == 0 ||
	    ticket->running_at_start * 2 <= fixed)
		return;
	saturation_record(&gate->saturation, ticket->running_at_start > fixed,
			  spent_us * 100 / usual_us, now_us);
	limit_use_all(&gate->limit, gate->saturation.uses_all);
}

/*
 * Updates the service times and the limit with an answered attempt. Only attempts that started at
 * low concurrency count for the baseline.
 */
static void record_service_time(struct gate *gate, const struct gate_ticket *ticket,
				uint64_t now_us)
{
	struct gate_service *service = &gate->classes[ticket->class_index].service;
	bool known = service->baseline_samples >= GATE_BASELINE_SAMPLES_MIN;
	struct limit_sample sample = {ticket->start_us, now_us, known ? service->baseline_us : 0};
	uint64_t spent_us = now_us - ticket->start_us;

	record_saturation(gate, ticket, spent_us, now_us);
	service->recent_mean_us = update_mean(service->recent_mean_us, spent_us, RECENT_WEIGHT);
	service->steady_mean_us = update_mean(service->steady_mean_us, spent_us, STEADY_WEIGHT);
	gate->service_us = update_mean(gate->service_us, spent_us, RECENT_WEIGHT);
	if (ticket->running_at_start <= limit_low_concurrency(&gate->limit)) {
		if (service->baseline_samples < GATE_BASELINE_SAMPLES_MAX)
			service->baseline_samples++;
		service->baseline_us =
			update_mean(service->baseline_us, spent_us, service->baseline_samples);
	}
	limit_record_answer(&gate->limit, &sample);
}

/* Updates the penalty with the cost of an attempt; the cost is 0 unless the attempt failed. */
static void update_penalty(struct gate *gate, uint64_t cost_us)
{
	gate->penalty_us = (gate->penalty_us * (PENALTY_WEIGHT - 1) + cost_us) / PENALTY_WEIGHT;
}

/*
 * Accounts for the result of a running ticket. A failure costs at least the latency target of its
 * class, even if it took less time, so that a backend server that fails fast does not look idle.
 */
void gate_account_record_result(struct gate *gate, const struct gate_ticket *ticket,
				enum gate_result result, uint64_t now_us)
{
	uint64_t spent_us = now_us - ticket->start_us;
	uint64_t target_us = gate->classes[ticket->class_index].target.latency_us;

	switch (result) {
	case GATE_RESULT_OK:
		record_service_time(gate, ticket, now_us);
		update_penalty(gate, 0);
		return;
	case GATE_RESULT_SHED:
		limit_record_shed(&gate->limit, now_us);
		break;
	case GATE_RESULT_ERROR:
	case GATE_RESULT_TIMEOUT:
		break;
	}
	update_penalty(gate, spent_us > target_us ? spent_us : target_us);
}
