// Unit tests of the gate: examples of its decisions.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/gate.h"
}

TEST(Gate, RefusesWithoutBackendServer)
{
	struct gate gate;
	struct gate_actions actions;
	struct gate_ticket ticket = {};
	struct service_config config = {"ledger", 1, 1, {{"purchase", 0, 50000, 990, 100}}};

	gate_init(&gate, 0);
	gate_set_config(&gate, &config, 0, &actions);
	EXPECT_EQ(REASON_NO_BACKEND, gate_offer(&gate, &ticket, 0, 1000, 0, &actions).reason);
}
