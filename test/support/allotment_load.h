// Loads of one customer at the nodes of a simulated fleet.
#ifndef TEST_SUPPORT_ALLOTMENT_LOAD_H
#define TEST_SUPPORT_ALLOTMENT_LOAD_H

#include <cstdint>
#include <functional>

extern "C" {
#include "fescuemill/base/random.h"
}

namespace allotment
{

// Calls of one customer: the rate at a time, and the node that takes the next call.
struct Load {
	std::function<double(uint64_t now_us)> rate;
	std::function<uint32_t(uint64_t now_us, struct random *rng)> node;
};

inline auto constant(double calls_per_s)
{
	return [=](uint64_t) { return calls_per_s; };
}

// Takes calls at `count` nodes from `first` on, each as often.
inline auto even(uint32_t first, uint32_t count, uint32_t nodes)
{
	return [=](uint64_t, struct random *rng) {
		return (first + random_below(rng, count)) % nodes;
	};
}

// Takes calls at `count` nodes; the i-th takes a part in proportion to 1 / i.
inline auto zipf(uint32_t first, uint32_t count, uint32_t nodes)
{
	double sum = 0;

	for (uint32_t i = 1; i <= count; i++)
		sum += 1.0 / i;
	return [=](uint64_t, struct random *rng) {
		double at = random_unit(rng) * sum;
		uint32_t i = 0;

		while (i + 1 < count && (at -= 1.0 / (i + 1)) > 0)
			i++;
		return (first + i * 7) % nodes;
	};
}

// Takes calls at `count` nodes, at other ones each `period_us`.
inline auto moving(uint32_t count, uint64_t period_us, uint32_t nodes)
{
	return [=](uint64_t now_us, struct random *rng) {
		uint32_t first = (uint32_t)(now_us / period_us) * count;

		return (first + random_below(rng, count)) % nodes;
	};
}

} // namespace allotment

#endif
