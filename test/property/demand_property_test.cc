// Properties of the demand tables of several gates while messages are lost, repeated and reordered
// and gates restart and stop.
#include "support/demand_gates.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{
constexpr uint64_t STEP_US = 20000;
constexpr uint64_t SETTLE_US = 40 * USEC_PER_SEC;
constexpr uint32_t CALLS_PER_S = 1000;
constexpr double OVER_MAX = 1.05; // maximum of the sum of all shares / fleet-wide rate

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

class Cluster
{
      public:
	explicit Cluster(const DemandGates::Options &options)
	    : fleet(options), newest_us(options.gates), rates(options.gates),
	      offered_total(options.gates)
	{
		random_seed(&rng, options.seed + 1);
		change_rates();
	}

	// Draws the rate of calls at each gate. Some gates get none.
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
		offered_total[index] = 0;
		newest_us[index].clear();
		fleet.update_members();
	}

	// Stops a gate. Its peers do not notice it until update_members() is called.
	void stop(uint32_t index)
	{
		fleet.gates[index].is_up = false;
	}

	double sum_of_shares() const
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
		offered_total[index] += rates[index] * (double)STEP_US / 1e6;
		for (uint32_t i = 0; i < fleet.options.classes; i++)
			fleet.gates[index].offered[i] = (uint64_t)offered_total[index];
	}

	// Checks that no gate replaces a report by an older one or uses one that is too old: older
	// than the maximum age plus the time in transit, with at most one hop from each gate.
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
				uint64_t made_us = report_time_us(row.tag, row.sequence);

				// RC_ASSERT is slow, and this runs for every row of every step.
				if (!made_us || now_us - made_us > longest_us ||
				    made_us < newest_us[i][row.tag]) {
					RC_ASSERT(made_us > 0U);
					RC_ASSERT(now_us - made_us <= longest_us);
					RC_ASSERT(made_us >= newest_us[i][row.tag]);
				}
				newest_us[i][row.tag] = made_us;
			}
		}
	}

	// Returns when the gate with this tag made a report, or 0 if there is no such report.
	uint64_t report_time_us(uint32_t tag, uint16_t sequence)
	{
		for (uint32_t i = 0; i < rates.size(); i++) {
			const DemandGates::Gate &gate = fleet.gates[i];

			if (gate.table.own.tag == tag)
				return fleet.counted_us[{i, gate.identity.incarnation}][sequence];
		}
		return 0;
	}

	struct random rng;
	uint64_t incarnation = 1;
	// Time of the newest report that each gate has received, by the tag of the reporting gate.
	std::vector<std::map<uint32_t, uint64_t>> newest_us;
	std::vector<double> rates;
	std::vector<double> offered_total;
};
} // namespace

RC_GTEST_PROP(Demand, NoReportComesBackAndNoneIsCountedForLong, ())
{
	Cluster cluster(random_options());
	uint32_t events = *rc::gen::inRange(1, 12);

	for (uint32_t i = 0; i < events; i++) {
		uint32_t gate = *rc::gen::inRange<uint32_t>(0, cluster.fleet.options.gates);

		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			cluster.change_rates();
			break;
		case 1:
			cluster.restart(gate);
			break;
		case 2:
			cluster.stop(gate);
			break;
		default:
			cluster.fleet.update_members();
			break;
		}
		cluster.run_for(*rc::gen::inRange<uint64_t>(1, 40) * USEC_PER_SEC);
	}
	RC_ASSERT(cluster.fleet.largest_message_bytes <= (uint64_t)DEMAND_BYTES_MAX);
}

RC_GTEST_PROP(Demand, ThePartsAddUpOnceTheReportsHaveSettled, ())
{
	DemandGates::Options options = random_options();

	options.delay_us_max = *rc::gen::inRange<uint64_t>(1, 100000);
	Cluster cluster(options);

	cluster.run_for(*rc::gen::inRange<uint64_t>(1, 10) * USEC_PER_SEC);
	for (uint32_t i = 0; i < options.gates; i++) {
		if (*rc::gen::inRange(0, 4) == 0)
			cluster.restart(i);
	}
	cluster.stop(0);
	cluster.run_for(3 * USEC_PER_SEC);
	cluster.fleet.update_members();
	cluster.change_rates();
	cluster.run_for(SETTLE_US);
	RC_ASSERT(cluster.sum_of_shares() <= CALLS_PER_S * OVER_MAX);
	RC_ASSERT(cluster.sum_of_shares() >= CALLS_PER_S / OVER_MAX);
}
