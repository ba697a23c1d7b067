// Unit tests of the state charts: all transitions of all charts, and invalid charts.
#include <gtest/gtest.h>
#include <jansson.h>
#include <string>

extern "C" {
#include "fescuemill/chart/chart.h"
#include "fescuemill/chart/chart_data.h"
}

namespace
{
const char *const states[] = {"a", "b", "c"};
const char *const inputs[] = {"go", "stop"};
const chart_names names = {"sample", 3, 2, states, inputs};

error_kind parse(const std::string &text)
{
	chart chart;
	error err;

	error_clear(&err);
	if (chart_parse(&chart, &names, text.c_str(), &err) == 0)
		return ERROR_NONE;
	return err.kind;
}

std::string sample(const std::string &rows, const std::string &final = "[\"c\"]")
{
	return R"({"name":"sample","initial":"a","final":)" + final + R"(,"states":{)" + rows +
	       "}}";
}

// Checks that chart_next() returns each transition in the JSON text of a chart, and ERROR_STATE for
// all other pairs of a state and an input.
void check_transitions(chart_id id)
{
	const chart_names *known = chart_get_names(id);
	json_t *root = json_loads(chart_texts[id], 0, nullptr);
	json_t *rows = json_object_get(root, "states");

	for (uint32_t s = 0; s < known->state_count; s++) {
		json_t *row = json_object_get(rows, known->states[s]);

		for (uint32_t i = 0; i < known->input_count; i++) {
			json_t *to = json_object_get(row, known->inputs[i]);
			uint32_t next = UINT32_MAX;
			error err;

			error_clear(&err);
			if (!to) {
				EXPECT_EQ(-1, chart_next(id, s, i, &next, &err));
				EXPECT_EQ(ERROR_STATE, err.kind);
				continue;
			}
			ASSERT_EQ(0, chart_next(id, s, i, &next, &err)) << err.detail;
			EXPECT_STREQ(json_string_value(to), known->states[next]);
		}
	}
	json_decref(root);
}
} // namespace

TEST(Chart, EveryTransitionMatchesTheChartText)
{
	error err;

	ASSERT_EQ(0, charts_load(&err)) << err.detail;
	for (int id = 0; id < CHART_COUNT; id++) {
		SCOPED_TRACE(chart_get_names((chart_id)id)->name);
		check_transitions((chart_id)id);
	}
}

TEST(Chart, OutOfRangeStatesAndInputsAreErrors)
{
	uint32_t next;
	error err;

	ASSERT_EQ(0, charts_load(&err));
	EXPECT_EQ(-1, chart_next(CHART_NODE, NODE_STATE_COUNT, 0, &next, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
	EXPECT_EQ(-1, chart_next(CHART_NODE, 0, NODE_INPUT_COUNT, &next, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
}

TEST(Chart, ValidChartIsAccepted)
{
	EXPECT_EQ(ERROR_NONE, parse(sample(R"("a":{"go":"b"},"b":{"go":"a","stop":"c"},"c":{})")));
	EXPECT_EQ(ERROR_NONE,
		  parse(sample(R"("a":{"go":"b"},"b":{"go":"c"},"c":{"stop":"a"})", "[]")));
}

TEST(Chart, UnknownNamesAreRefused)
{
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(sample(R"("a":{"go":"d"},"b":{},"c":{})")));
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(sample(R"("a":{"run":"b"},"b":{},"c":{})")));
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(sample(R"("a":{"go":"b"},"b":{},"c":{},"d":{})")));
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(sample(R"("a":{},"b":{},"c":{})", "[\"d\"]")));
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(R"({"name":"other"})"));
	EXPECT_EQ(ERROR_UNKNOWN_KEY, parse(R"({"name":"sample","comment":"x"})"));
}

TEST(Chart, UnreachableAndDeadEndStatesAreRefused)
{
	EXPECT_EQ(ERROR_STATE, parse(sample(R"("a":{"go":"c","stop":"c"},"b":{"go":"c"},"c":{})")));
	EXPECT_EQ(ERROR_STATE, parse(sample(R"("a":{"go":"b","stop":"c"},"b":{"go":"b"},"c":{})")));
	EXPECT_EQ(ERROR_STATE,
		  parse(sample(R"("a":{"go":"b","stop":"c"},"b":{"go":"a"},"c":{})", "[]")));
	EXPECT_EQ(ERROR_STATE, parse(sample(R"("a":{"go":"b"},"b":{"go":"c"},"c":{"stop":"a"})")));
}

TEST(Chart, MissingPartsAndWrongTypesAreRefused)
{
	EXPECT_EQ(ERROR_SYNTAX, parse("{"));
	EXPECT_EQ(ERROR_SYNTAX, parse(sample(R"("a":{},"a":{},"b":{},"c":{})")));
	EXPECT_EQ(ERROR_MISSING, parse(sample(R"("a":{"go":"c"},"c":{})")));
	EXPECT_EQ(ERROR_MISSING, parse(sample(R"("a":{"go":"b"},"b":{"go":"c"},"c":{})")));
	EXPECT_EQ(ERROR_TYPE, parse(sample(R"("a":{"go":1},"b":{},"c":{})")));
	EXPECT_EQ(ERROR_TYPE, parse(sample(R"("a":[],"b":{},"c":{})")));
	EXPECT_EQ(ERROR_MISSING, parse(R"({"name":"sample","initial":"a","final":[]})"));
}
