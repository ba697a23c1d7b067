// Properties of the gates' demand tables under loss, repeats, reordering, restarts and stops.
#include "support/demand_gates.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{
constexpr uint64_t STEP_US = 20000;
constexpr uint64_t SETTLE_US = 40 * USEC_PER_SEC;
constexpr uint32_t CALLS_PER_S = 1000;
constexpr double OVER_MAX = 1.05; // of the stated amount, by all gates together

DemandGates::Options random_options()
{
	DemandGates::Options options;

	options.gates = *rc::gen::inRange<uint32_t>(2, 24);
	options.classes = *rc::gen::inRange<uint32_t>(1, 5);
	options.loss = *rc::gen::inRange(0, 30) / 100.0;
	options.repeat = *rc::gen::inRange(0, 30) / 100.0;
	options.delay_us_max = *rc::gen::inRange<uint64_t>(1, 2000000);
	options.seed = *rc::gen::arbitrary<uint64_t>();
	return options;
}

class World
{
      public:
	explicit World(const DemandGates::Options &options)
	    : fleet(options), seen(options.gates), rates(options.gates), last(options.gates)
	{
		random_seed(&rng, options.seed + 1);
		change_rates();
	}

	// Draws the calls a second that the gates get; some gates get none.
	void change_rates()
	{
		double all = CALLS_PER_S * (0.1 + 3 * random_unit(&rng));
		double sum = 0;

		for (double &rate : rates) {
			rate = random_below(&rng, 4) ? pow(random_unit(&rng), 3) : 0;
			sum += rate;
		}
		for (double &rate : rates)
			rate *= sum > 0 ? all / sum : 0;
	}

	void run_for(uint64_t time_us)
	{
		for (uint64_t end_us = now_us + time_us; now_us < end_us; now_us += STEP_US) {
			for (size_t i = 0; i < rates.size(); i++)
				offer(i);
			if (fleet.step(now_us))
				check_reports();
		}
	}

	void restart(uint32_t index)
	{
		fleet.start(index, ++incarnation, now_us);
		last[index] = 0;
		seen[index].clear();
		fleet.tell_members();
	}

	// A gate that is stopped and not missed yet: the others go on counting it.
	void stop(uint32_t index)
	{
		fleet.gates[index].is_up = false;
	}

	double sum_of_parts() const
	{
		double sum = 0;

		for (uint32_t i = 0; i < rates.size(); i++) {
			if (fleet.gates[i].is_up)
				sum += (double)fleet.rate_milli(i, CALLS_PER_S, 0, now_us) / 1000;
		}
		return sum;
	}

	DemandGates fleet;
	uint64_t now_us = 100 * USEC_PER_SEC;

      private:
	void offer(size_t index)
	{
		last[index] += rates[index] * (double)STEP_US / 1e6;
		for (uint32_t i = 0; i < fleet.options.classes; i++)
			fleet.gates[index].offered[i] = (uint64_t)last[index];
	}

	// No gate counts a report after one that is newer, nor one older than its age may be and
	// the time that it was on its way, at most once from each gate to the next.
	void check_reports()
	{
		uint64_t longest_us = DEMAND_REPORT_MAX_AGE_US +
				      fleet.options.gates * (fleet.options.delay_us_max + STEP_US);

		for (uint32_t i = 0; i < rates.size(); i++) {
			const demand_table &table = fleet.gates[i].table;

			if (!fleet.gates[i].is_up)
				continue;
			RC_ASSERT(table.row_count < fleet.options.gates);
			for (uint32_t j = 0; j < table.row_count; j++) {
				const demand_row &row = table.rows[j];
				uint64_t age_us = row.age_us + now_us - row.received_us;

				if (!row.has_report || age_us > DEMAND_REPORT_MAX_AGE_US)
					continue;
				uint64_t made_us = made(row.tag, row.sequence);

				// RC_ASSERT is slow, and this runs for every row of every step.
				if (!made_us || now_us - made_us > longest_us ||
				    made_us < seen[i][row.tag]) {
					RC_ASSERT(made_us > 0U);
					RC_ASSERT(now_us - made_us <= longest_us);
					RC_ASSERT(made_us >= seen[i][row.tag]);
				}
				seen[i][row.tag] = made_us;
			}
		}
	}

	// Gives when the report was made by the gate that is present under this tag.
	uint64_t made(uint32_t tag, uint16_t sequence)
	{
		for (uint32_t i = 0; i < rates.size(); i++) {
			const DemandGates::Gate &gate = fleet.gates[i];

			if (gate.table.own.tag == tag)
				return fleet.counted_us[{i, gate.life.incarnation}][sequence];
		}
		return 0;
	}

	struct random rng;
	uint64_t incarnation = 1;
	std::vector<std::map<uint32_t, uint64_t>> seen; // by gate and tag, the newest report
	std::vector<double> rates;
	std::vector<double> last;
};
} // namespace

RC_GTEST_PROP(Demand, NoReportComesBackAndNoneIsCountedForLong, ())
{
	World world(random_options());
	uint32_t events = *rc::gen::inRange(1, 12);

	for (uint32_t i = 0; i < events; i++) {
		uint32_t gate = *rc::gen::inRange<uint32_t>(0, world.fleet.options.gates);

		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			world.change_rates();
			break;
		case 1:
			world.restart(gate);
			break;
		case 2:
			world.stop(gate);
			break;
		default:
			world.fleet.tell_members();
			break;
		}
		world.run_for(*rc::gen::inRange<uint64_t>(1, 40) * USEC_PER_SEC);
	}
	RC_ASSERT(world.fleet.largest <= (uint64_t)DEMAND_BYTES_MAX);
}

RC_GTEST_PROP(Demand, ThePartsAddUpOnceTheReportsHaveSettled, ())
{
	DemandGates::Options options = random_options();

	options.delay_us_max = *rc::gen::inRange<uint64_t>(1, 100000);
	World world(options);

	world.run_for(*rc::gen::inRange<uint64_t>(1, 10) * USEC_PER_SEC);
	for (uint32_t i = 0; i < options.gates; i++) {
		if (*rc::gen::inRange(0, 4) == 0)
			world.restart(i);
	}
	world.stop(0);
	world.run_for(3 * USEC_PER_SEC);
	world.fleet.tell_members();
	world.change_rates();
	world.run_for(SETTLE_US);
	RC_ASSERT(world.sum_of_parts() <= CALLS_PER_S * OVER_MAX);
	RC_ASSERT(world.sum_of_parts() >= CALLS_PER_S / OVER_MAX);
}
