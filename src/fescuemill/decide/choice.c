/*
 * Selection of the gate with the lowest expected completion time: round trip, expected wait and
 * service time, plus the expected cost of an error. Each pick compares a few random gates at each
 * distance, so that entries with the same stale load report do not all select the same gate.
 */
#include "fescuemill/decide/choice.h"

#include "fescuemill/decide/choice_cold.h"
#include "fescuemill/decide/choice_table.h"
#include "fescuemill/decide/slowdown.h"
#include "fescuemill/fleet/member_defs.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_TRIP_DECAY_US  1000000 /* delays of a link or a host last seconds */
#define ERROR_RATE_TOLERANCE 0.25F   /* error rate tolerated above twice the typical one */

#define UTILIZATION_DECAY_US 1000000 /* overloads start and end within seconds */

#define FAST_FACTOR	   0.25F /* slowness below which a gate is fast, and not just by chance */
#define MEASURED_GATES_MIN 3	 /* with fewer, what is typical says little of the others */
#define UNTRIED_SLOWNESS   0.5F	 /* of a gate without a result; low, as it may be a better one */

#define WAIT_LIMIT_US_MAX 60000000 /* a longer limit is none */

#define RATE_MILLI_INTERVAL_US 1e9F /* between two calls at a rate of one in 1000 s */

/* Fills in the defaults. The settings of the node may override them. */
void choice_default_settings(struct choice_settings *settings)
{
	*settings = (struct choice_settings){
		.policy = CHOICE_EXPECTED_COMPLETION,
		.gates_per_domain = 8,
		.candidates = 5,
		.round_trip_us = {300, 3500, 17000},
		.distance_cost_us = {0, 200, 10000},
		.distance_cost_us_per_kib = {0, 0, 0},
		.service_time_us = 5000,
		.load_decay_us = 50000,
		.trial_interval_us = 1000000,
		.error_trial_interval_us = 5000000,
		.error_penalty_us = 1000000,
	};
}

/* Creates a choice without members. Returns -1 with ERROR_RANGE if a setting is out of range, or
 * with ERROR_MEMORY if memory runs out. */
int choice_create(struct choice **out, const struct choice_settings *settings, struct error *err)
{
	struct choice *choice;

	if (settings->policy >= CHOICE_POLICY_COUNT || settings->candidates == 0 ||
	    settings->gates_per_domain == 0)
		return error_set(err, ERROR_RANGE,
				 "choice setting out of range: policy %d, candidates %u, "
				 "gates_per_domain %u",
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

void choice_destroy(struct choice *choice)
{
	free(choice);
}

/* Returns true if a gate can be selected for a query: usable, not excluded by the query, not
 * reported as draining, and where the call may be placed. */
bool choice_is_eligible(const struct choice_gate *gate, const struct choice_query *query,
			uint64_t now_us)
{
	if (!gate->member.usable || now_us < gate->excluded_until_us)
		return false;
	if (choice_place(gate, query->regions) != REASON_NONE)
		return false;
	for (uint32_t i = 0; i < query->excluded_count; i++) {
		if (query->excluded[i] == gate->member.identity.node_id)
			return false;
	}
	return true;
}

/* Returns the remaining weight of an observation, from 1 (now) down to 0. The weight decays
 * exponentially with the time constant decay_us. The weight is 0 if nothing was observed
 * (observed_us is 0). */
static float decayed_weight(uint64_t observed_us, uint64_t now_us, uint32_t decay_us)
{
	if (observed_us == 0)
		return 0;
	if (observed_us >= now_us)
		return 1;
	return expf(-(float)(now_us - observed_us) / (float)decay_us);
}

/* Returns true if the measured slowness of a gate is significant. Smaller differences are random
 * variation of service times. Reacting to them would send the calls of all entries to the gate
 * that happened to be fast last. */
bool choice_is_slow(const struct choice_gate *gate)
{
	return gate->slowness > CHOICE_SLOW_FACTOR;
}

/* Returns by how much the error rate of a gate exceeds the tolerated one. A single error does not
 * exceed it. */
float choice_error_excess(const struct choice *choice, const struct choice_gate *gate)
{
	float excess = gate->error_rate - 2 * choice->typical_error_rate - ERROR_RATE_TOLERANCE;

	return excess > 0 ? excess : 0;
}

/* Returns true if a slow or failing gate may be tried again, with its slowness and errors ignored.
 * Trials are a bounded share of the picks, and a gate has one at a time, so that they do not affect
 * the 99th percentile of the latency. */
static bool is_due_for_trial(const struct choice *choice, const struct choice_gate *gate,
			     uint64_t now_us)
{
	bool is_failing = choice_error_excess(choice, gate) > 0;
	uint64_t interval_us = is_failing ? choice->settings.error_trial_interval_us
					  : choice->settings.trial_interval_us;

	if (!is_failing && !choice_is_slow(gate))
		return false;
	return gate->in_flight == 0 && choice->trial_tokens >= CHOICE_TRIAL_TOKEN_COST &&
	       now_us >= gate->last_result_us + interval_us;
}

/* Returns the typical service time of a class, or that of all classes while it has no answer. */
static float class_typical_us(const struct choice *choice, uint32_t class_index)
{
	if (class_index >= CLASSES_PER_SERVICE_MAX || choice->class_answer_count[class_index] == 0)
		return choice->typical_us;
	return choice->class_typical_us[class_index];
}

/* Returns true if a gate is so much faster than the typical service time that this time must come
 * from slower gates. */
static bool is_fast(const struct choice_gate *gate)
{
	return gate->slowness < FAST_FACTOR;
}

/* Returns the expected round trip to a gate. The measured one shifts to that of the distance as its
 * last sample ages: a gate that is not chosen because of a long round trip gets no new samples. */
float choice_round_trip_us(const struct choice *choice, const struct choice_gate *gate,
			   uint64_t now_us)
{
	float usual_us = (float)choice->settings.round_trip_us[gate->member.distance];
	float weight = decayed_weight(gate->round_trip_observed_us, now_us, ROUND_TRIP_DECAY_US);

	return usual_us + weight * (gate->round_trip_us - usual_us);
}

/* Returns true if a gate without a result is to be tried before gates that look typical: a nearer
 * one may only look so because hardly any other gate was measured. Outside the own failure domain
 * this ends once MEASURED_GATES_MIN gates were measured, since each try costs a connection and
 * crosses failure domains. */
static bool is_worth_trying(const struct choice *choice, const struct choice_gate *gate)
{
	return gate->last_result_us == 0 && gate->in_flight == 0 &&
	       (gate->member.distance == DISTANCE_SAME_DOMAIN ||
		choice->measured_count < MEASURED_GATES_MIN);
}

/* Returns the expected slowness of a gate. A gate that is worth trying gets a low value. If
 * attempts are in flight and the last progress is much longer ago than the typical service time,
 * that duration is used, so that a stalled gate is detected before it answers. */
static float expected_slowness(const struct choice *choice, const struct choice_gate *gate,
			       uint64_t now_us)
{
	float slowness = 1;
	float stalled;

	if (is_fast(gate) || (choice_is_slow(gate) && !is_due_for_trial(choice, gate, now_us)))
		slowness = gate->slowness;
	if (is_worth_trying(choice, gate))
		return UNTRIED_SLOWNESS;
	if (gate->in_flight == 0 || now_us <= gate->progress_us)
		return slowness;
	stalled =
		((float)(now_us - gate->progress_us) - choice_round_trip_us(choice, gate, now_us)) /
		choice->typical_us;
	return stalled > CHOICE_SLOW_FACTOR * slowness ? stalled : slowness;
}

/* Returns the expected number of attempts at a gate whose load is unknown, from the gates that
 * reported theirs recently. During an overload all gates are full. If the unknown ones were assumed
 * to be idle, each call would be tried at all of them in turn. */
static float typical_occupancy(const struct choice *choice, const struct choice_gate *gate,
			       uint64_t now_us)
{
	return decayed_weight(choice->utilization_observed_us, now_us, UTILIZATION_DECAY_US) *
	       choice->typical_utilization * (float)gate->limit;
}

/* Returns the expected number of attempts at a gate: the last reported number, which shifts to the
 * typical number as the report ages, plus the attempts that this entry has sent since the report.
 * The result is at least the number of in-flight attempts of this entry. */
static float expected_occupancy(const struct choice *choice, const struct choice_gate *gate,
				uint64_t now_us)
{
	float weight =
		decayed_weight(gate->load_observed_us, now_us, choice->settings.load_decay_us);
	float expected = weight * (float)gate->occupancy +
			 (1 - weight) * typical_occupancy(choice, gate, now_us) +
			 (float)gate->sent_since_load;

	return expected > (float)gate->in_flight ? expected : (float)gate->in_flight;
}

/* Returns the expected delay, in microseconds, of a call with the given service time because the
 * gate's host is slowed down. The delay is at most the expected duration of a slowdown, since the
 * gate holds a call until the slowdown ends if that is sooner. The weight of the last report decays
 * with the same duration. */
static float host_slowdown_us(const struct choice_gate *gate, float service_us, uint64_t now_us)
{
	float weight = decayed_weight(gate->load_observed_us, now_us, SLOWDOWN_EXPECTED_US);
	float extra_us;

	if (gate->slowdown_percent <= SLOWDOWN_NONE_PERCENT)
		return 0;
	extra_us = service_us * (float)(gate->slowdown_percent - SLOWDOWN_NONE_PERCENT) /
		   SLOWDOWN_NONE_PERCENT;
	return weight * (extra_us < SLOWDOWN_EXPECTED_US ? extra_us : SLOWDOWN_EXPECTED_US);
}

/* Returns the expected wait for the rate that a gate's backend server allows: the wait that it last
 * reported, which loses its weight slowly as other entries use up what the rate allows meanwhile,
 * and the time that each attempt sent since then takes up. */
static float rate_wait_us(const struct choice_gate *gate, uint64_t now_us)
{
	float weight = decayed_weight(gate->load_observed_us, now_us, UTILIZATION_DECAY_US);

	if (gate->rate_limit_milli == 0)
		return 0;
	return weight *
	       ((float)gate->wait_us + (float)gate->sent_since_load * RATE_MILLI_INTERVAL_US /
					       (float)gate->rate_limit_milli);
}

/* What an attempt sent to a gate now is expected to take, in microseconds. */
struct expectation {
	float wait_us;	 /* part of total_us: the wait for a slot or for its rate */
	float cost_us;	 /* part of total_us: the cost of the distance */
	float total_us;	 /* completion, with the cost of an error and of the distance */
	bool is_used_up; /* its cold backend server takes no call now */
};

/* Returns the cost of a distance for a call. With spillover, the typical answer of its class counts
 * like the body of the request, as it crosses the same links. */
static float distance_cost_us(const struct choice *choice, const struct choice_query *query,
			      uint32_t distance)
{
	const struct choice_settings *settings = &choice->settings;
	float bytes = (float)query->body_bytes;

	if (settings->has_spillover)
		bytes += choice->class_answer_bytes[query->class_index % CLASSES_PER_SERVICE_MAX];
	return (float)settings->distance_cost_us[distance] +
	       bytes / 1024 * (float)settings->distance_cost_us_per_kib[distance];
}

/* Returns what an attempt sent to a gate now is expected to take. */
static struct expectation expect_completion(const struct choice *choice,
					    const struct choice_gate *gate,
					    const struct choice_query *query, uint64_t now_us)
{
	uint32_t class_index = query->class_index;
	float cost = distance_cost_us(choice, query, gate->member.distance);
	float slowness = expected_slowness(choice, gate, now_us);
	float service = slowness * class_typical_us(choice, class_index);
	float limit = (float)gate->limit;
	float excess = expected_occupancy(choice, gate, now_us) + 1 - limit;
	float errors =
		is_due_for_trial(choice, gate, now_us) ? 0 : choice_error_excess(choice, gate);
	float slot_wait = excess > 0 ? slowness * choice->typical_us * excess / limit : 0;
	float wait = fmaxf(slot_wait, gate->has_cold_room ? choice_cold_wait_us(gate, now_us)
							  : rate_wait_us(gate, now_us));
	float total = choice_round_trip_us(choice, gate, now_us) + wait + service +
		      host_slowdown_us(gate, service, now_us) +
		      errors * (float)choice->settings.error_penalty_us + cost;

	return (struct expectation){wait, cost, total, choice_cold_is_used_up(gate, now_us)};
}

/* The gates compared so far in one pick. */
struct comparison {
	int best; /* index of the best gate; -1 if there is none */
	struct expectation best_expected;
	float second_us;     /* total_us of the second best; INFINITY if there is none */
	bool limits_leaving; /* only gates of failure domains with room by spillover.h */
};

/* Returns true if a gate is better than another: one with room is better than a cold one without.
 */
static bool is_better(const struct expectation *a, const struct expectation *b)
{
	if (a->is_used_up != b->is_used_up)
		return b->is_used_up;
	return a->total_us < b->total_us;
}

/* Adds a gate to a comparison. */
static void compare_gate(struct comparison *cmp, int number, struct expectation expected)
{
	if (cmp->best >= 0 && !is_better(&expected, &cmp->best_expected)) {
		cmp->second_us = fminf(cmp->second_us, expected.total_us);
		return;
	}
	if (cmp->best >= 0)
		cmp->second_us = cmp->best_expected.total_us;
	cmp->best = number;
	cmp->best_expected = expected;
}

/* Draws gates at one distance at random, without repeats, and adds them to a comparison. */
static void draw_gates(struct choice *choice, const struct choice_query *query, uint32_t distance,
		       struct random *rng, uint64_t now_us, struct comparison *cmp)
{
	uint32_t end = choice->distance_start[distance + 1];
	uint32_t drawn = 0;

	for (uint32_t i = choice->distance_start[distance];
	     i < end && drawn < choice->settings.candidates; i++) {
		uint32_t j = i + random_below(rng, end - i);
		uint16_t number = choice->draw_order[j];

		choice->draw_order[j] = choice->draw_order[i];
		choice->draw_order[i] = number;
		if (!choice_is_eligible(&choice->gates[number], query, now_us))
			continue;
		if (cmp->limits_leaving &&
		    !spillover_has_room(&choice->spillover, choice->gates[number].member.domain,
					now_us))
			continue;
		drawn++;
		compare_gate(cmp, number,
			     expect_completion(choice, &choice->gates[number], query, now_us));
	}
}

/* Returns how long a call may wait at the best gate: until the second best is expected to have
 * completed it, had it been sent there instead. */
static uint32_t wait_limit_us(const struct comparison *cmp)
{
	float limit_us = fmaxf(
		0, cmp->second_us - (cmp->best_expected.total_us - cmp->best_expected.wait_us));

	return limit_us < (float)WAIT_LIMIT_US_MAX ? (uint32_t)limit_us : UINT32_MAX;
}

/* Returns true if a call leaves for the best gate elsewhere. A cold gate without room does not keep
 * it, nor does one draw it. */
static bool leaves(const struct expectation *home, const struct expectation *away,
		   const struct spillover_offer *offer)
{
	if (home->is_used_up != away->is_used_up)
		return home->is_used_up;
	return spillover_leaves(spillover_judge(offer));
}

/* Selects between the best gate of the own failure domain and the best one elsewhere. Without a
 * gate in the own one, there is nothing to weigh, and any other may be used. */
static int pick_with_spillover(struct choice *choice, const struct choice_query *query,
			       struct random *rng, uint64_t now_us, uint32_t *wait_max_us)
{
	struct comparison home = {.best = -1, .second_us = INFINITY};
	struct comparison away = {.best = -1, .second_us = INFINITY};
	struct spillover_offer offer;
	float stay_us;

	draw_gates(choice, query, DISTANCE_SAME_DOMAIN, rng, now_us, &home);
	away.limits_leaving = home.best >= 0;
	for (uint32_t d = DISTANCE_SAME_REGION; d < DISTANCE_COUNT; d++)
		draw_gates(choice, query, d, rng, now_us, &away);
	if (home.best < 0 || away.best < 0) {
		const struct comparison *only = home.best < 0 ? &away : &home;

		*wait_max_us = wait_limit_us(only);
		return only->best;
	}
	offer = (struct spillover_offer){
		.home_us = home.best_expected.total_us - home.best_expected.cost_us,
		.away_us = away.best_expected.total_us - away.best_expected.cost_us,
		.bytes_us = away.best_expected.cost_us - home.best_expected.cost_us,
		.objective_us = (float)query->objective_us,
	};
	if (leaves(&home.best_expected, &away.best_expected, &offer)) {
		away.second_us = fminf(away.second_us, home.best_expected.total_us);
		*wait_max_us = wait_limit_us(&away);
		return away.best;
	}
	stay_us = offer.away_us + spillover_gain_needed_us(&offer);
	home.second_us = fminf(home.second_us, stay_us + home.best_expected.cost_us);
	*wait_max_us = wait_limit_us(&home);
	return home.best;
}

/* Selects the gate with the lowest expected completion time. Returns its index, or -1 if none is
 * eligible. */
static int pick_expected(struct choice *choice, const struct choice_query *query,
			 struct random *rng, uint64_t now_us, uint32_t *wait_max_us)
{
	struct comparison cmp = {.best = -1, .second_us = INFINITY};

	choice->trial_tokens += CHOICE_TRIAL_TOKENS_PER_PICK;
	if (choice->trial_tokens > CHOICE_TRIAL_TOKENS_MAX)
		choice->trial_tokens = CHOICE_TRIAL_TOKENS_MAX;
	if (choice->settings.has_spillover) {
		cmp.best = pick_with_spillover(choice, query, rng, now_us, wait_max_us);
	} else {
		for (uint32_t d = 0; d < DISTANCE_COUNT; d++)
			draw_gates(choice, query, d, rng, now_us, &cmp);
		*wait_max_us = wait_limit_us(&cmp);
	}
	if (cmp.best >= 0 && is_due_for_trial(choice, &choice->gates[cmp.best], now_us))
		choice->trial_tokens -= CHOICE_TRIAL_TOKEN_COST;
	return cmp.best;
}

/* Selects a gate by the configured policy. Returns false if no gate is eligible. */
bool choice_pick(struct choice *choice, const struct choice_query *query, struct random *rng,
		 uint64_t now_us, struct choice_selection *picked)
{
	int number;

	picked->wait_max_us = 0;
	switch (choice->settings.policy) {
	case CHOICE_EXPECTED_COMPLETION:
		number = pick_expected(choice, query, rng, now_us, &picked->wait_max_us);
		break;
	default:
		number = choice_pick_baseline(choice, query, rng, now_us);
		break;
	}
	if (number < 0)
		return false;
	picked->gate = choice->gates[number].member.identity;
	return true;
}

/* Returns the number of tracked gates. */
uint32_t choice_gate_count(const struct choice *choice)
{
	return choice->count;
}

/* Returns the memory size of a choice in bytes. */
uint64_t choice_bytes(const struct choice *choice)
{
	return sizeof(*choice);
}
