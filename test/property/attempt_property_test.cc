// Properties of attempts: each runs at most once, each call gets exactly one outcome, outcomes are
// true, and bounds are kept.
#include "property/attempt_world.h"

using namespace attempt_world;

namespace attempt_world
{
rc::Gen<Op> gen_op()
{
	return rc::gen::map(
		rc::gen::tuple(
			rc::gen::weightedElement<int>(
				{{12, 0}, {10, 1}, {3, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}}),
			rc::gen::arbitrary<uint16_t>(), rc::gen::arbitrary<uint16_t>(),
			rc::gen::inRange<uint32_t>(0, 1000000)),
		[](const std::tuple<int, uint16_t, uint16_t, uint32_t> &t) {
			return Op{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
		});
}

void showValue(const Op &op, std::ostream &os)
{
	os << "{" << op.kind << " " << op.a << " " << op.b << " " << op.c << "}";
}
} // namespace attempt_world

RC_GTEST_PROP(Attempt, OneOutcomeAtMostOnceAndHonestUnderAnyNetwork, ())
{
	uint32_t seed = *rc::gen::arbitrary<uint32_t>();
	auto ops = *rc::gen::resize(100, rc::gen::container<std::vector<Op>>(gen_op()));
	World world(seed);

	for (const auto &op : ops)
		world.apply(op);
	world.finish();
}
