/*
 * Accounts of a gate: slot time, floors, service times and the cost of failures.
 */
#include "fescuemill/decide/gate_account.h"

#include "fescuemill/decide/gate_queue.h"

#include <stddef.h>

#define RECENT_WEIGHT  8 /* a mean over about as many samples */
#define STEADY_WEIGHT  64
#define PENALTY_WEIGHT 16
#define NEED_GUESS     2 /* an unknown service time is guessed as the latency target over this */

/* Lets the penalty of past failures fade. */
static void decay_penalty(struct gate *gate, uint64_t now_us)
{
	while (now_us - gate->decayed_us >= GATE_PENALTY_HALF_US / 8) {
		if (!gate->penalty_us) {
			gate->decayed_us = now_us;
			return;
		}
		gate->penalty_us = gate->penalty_us * 917 / 1000; /* the eighth root of a half */
		gate->decayed_us += GATE_PENALTY_HALF_US / 8;
	}
}

/* Accounts for the slot time since the last event; call it before any change of the queues. */
void gate_account_advance(struct gate *gate, uint64_t now_us)
{
	uint64_t passed_us = now_us - gate->advanced_us;

	if (!passed_us)
		return;
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			floor_advance(&class->floor, gate_queue_length(class) > 0, class->running,
				      passed_us);
	}
	gate->advanced_us = now_us;
	decay_penalty(gate, now_us);
}

/* Gives the service time to plan with for a class, in microseconds. */
static uint64_t planned_us(const struct gate *gate, const struct gate_class *class)
{
	if (class->service.recent_us)
		return class->service.recent_us;
	return gate->service_us ? gate->service_us : class->target.latency_us / NEED_GUESS;
}

/* Works the floors out anew from the stated amounts, the service times and the limit. */
void gate_account_share_floors(struct gate *gate)
{
	uint32_t limit = gate->limit.current;
	uint64_t total = 0;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->active)
			continue;
		class->floor.need_micro =
			floor_need_micro(class->profile.rate_milli, planned_us(gate, class), limit);
		total += class->floor.need_micro;
	}
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			class->floor.share_micro =
				floor_share_micro(class->floor.need_micro, total, limit);
	}
}

/* Moves a mean towards a sample by one part in weight. */
static uint64_t mean_towards(uint64_t mean_us, uint64_t sample_us, uint32_t weight)
{
	if (!mean_us)
		return sample_us ? sample_us : 1;
	return (mean_us * (weight - 1) + sample_us + weight / 2) / weight;
}

/* Takes the service time of an answered attempt. */
static void take_service_time(struct gate *gate, const struct gate_ticket *ticket, uint64_t now_us)
{
	struct gate_service *service = &gate->classes[ticket->class_index].service;
	bool known = service->usual_count >= GATE_USUAL_KNOWN;
	struct limit_sample sample = {ticket->start_us, now_us, known ? service->usual_us : 0};
	uint64_t spent_us = now_us - ticket->start_us;

	service->recent_us = mean_towards(service->recent_us, spent_us, RECENT_WEIGHT);
	service->steady_us = mean_towards(service->steady_us, spent_us, STEADY_WEIGHT);
	gate->service_us = mean_towards(gate->service_us, spent_us, RECENT_WEIGHT);
	if (ticket->beside <= limit_low(&gate->limit)) {
		if (service->usual_count < GATE_USUAL_SAMPLES)
			service->usual_count++;
		service->usual_us = mean_towards(service->usual_us, spent_us, service->usual_count);
	}
	limit_served(&gate->limit, &sample);
}

/* Moves the penalty towards what a failed attempt cost its caller, or towards nothing. */
static void take_penalty(struct gate *gate, uint64_t cost_us)
{
	gate->penalty_us = (gate->penalty_us * (PENALTY_WEIGHT - 1) + cost_us) / PENALTY_WEIGHT;
}

/*
 * Takes the end of a running ticket. A failure costs at least the latency target of its class,
 * however fast it came, so that a backend server that fails fast does not look idle.
 */
void gate_account_result(struct gate *gate, const struct gate_ticket *ticket,
			 enum gate_result result, uint64_t now_us)
{
	uint64_t spent_us = now_us - ticket->start_us;
	uint64_t target_us = gate->classes[ticket->class_index].target.latency_us;

	switch (result) {
	case GATE_RESULT_OK:
		take_service_time(gate, ticket, now_us);
		take_penalty(gate, 0);
		return;
	case GATE_RESULT_SHED:
		limit_shed(&gate->limit, now_us);
		break;
	case GATE_RESULT_ERROR:
	case GATE_RESULT_TIMEOUT:
		break;
	}
	take_penalty(gate, spent_us > target_us ? spent_us : target_us);
}
