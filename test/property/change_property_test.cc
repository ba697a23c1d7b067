// Properties of a conditional change: if several writers change the same base version, exactly one
// is accepted; and whatever messages are lost, delayed or repeated, the result that a writer gets
// matches what became of its change.
#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/gtest.h>

extern "C" {
#include "fescuemill/store/change.h"
}

namespace
{
const int healthy = 28; // draw for a step in which nothing fails

// One object of the platform, and how often each change took effect.
struct Store {
	uint64_t version = 1;
	bool exists = false;
	service_object object = {};
	std::map<std::string, int> applied;

	// Applies a conditional write. Returns true if it took effect.
	bool write(uint64_t base, const service_object *next, const char *id)
	{
		if (base != (exists ? object.config.version : 0))
			return false;
		applied[id]++;
		exists = next != nullptr;
		if (next)
			object = *next;
		object.config.version = ++version;
		return true;
	}
};

struct Writer {
	struct change change = {};
	service_object next = {};
	enum change_step step = CHANGE_WRITE;
	bool late_write = false; // a stalled connection may still deliver the write

	bool ended() const
	{
		return step != CHANGE_WRITE && step != CHANGE_READ;
	}
};

service_change change_of(const std::string &id)
{
	service_change change = {};

	strcpy(change.id, id.c_str());
	strcpy(change.by, id.c_str());
	return change;
}

void begin(Writer &writer, const Store &store, const std::string &id, bool deletes)
{
	service_change own = change_of(id);

	change_init(&writer.change, store.exists ? &store.object : nullptr,
		    store.exists ? store.object.config.version : 0, deletes, id.c_str());
	writer.next = store.object;
	service_add_change(&writer.next, &own);
}

bool deliver_write(Writer &writer, Store &store)
{
	return store.write(writer.change.base_version,
			   writer.change.deletes ? nullptr : &writer.next, writer.change.id);
}

// Carries out one write with the outcome that was drawn for it.
void do_write(Writer &writer, Store &store, int outcome)
{
	uint64_t present = store.exists ? store.object.config.version : 0;

	switch (outcome % 5) {
	case 0: // fails before it is sent
		writer.step = change_write_done(&writer.change, ERROR_UNREACHABLE, false, 0);
		break;
	case 1: // takes effect if the base version matches, but the answer is lost
		deliver_write(writer, store);
		writer.step = change_write_done(&writer.change, ERROR_TIMEOUT, true, 0);
		break;
	case 2: // delayed on a stalled connection; it may arrive later
		writer.late_write = true;
		writer.step = change_write_done(&writer.change, ERROR_TIMEOUT, true, 0);
		break;
	default:
		if (deliver_write(writer, store))
			writer.step =
				change_write_done(&writer.change, ERROR_NONE, false, store.version);
		else if (writer.change.deletes && !store.exists)
			writer.step = change_write_done(&writer.change, ERROR_NOT_FOUND, false, 0);
		else
			writer.step =
				change_write_done(&writer.change, ERROR_CONFLICT, false, present);
	}
}

void do_read(Writer &writer, const Store &store, int outcome)
{
	if (outcome % 4 == 0)
		writer.step = change_read_done(&writer.change, ERROR_TIMEOUT, 0, nullptr);
	else if (!store.exists)
		writer.step = change_read_done(&writer.change, ERROR_NOT_FOUND, 0, nullptr);
	else
		writer.step = change_read_done(&writer.change, ERROR_NONE,
					       store.object.config.version, &store.object);
}

void run_step(Writer &writer, Store &store, int outcome)
{
	if (writer.late_write && outcome % 3 == 0) {
		writer.late_write = false;
		deliver_write(writer, store);
	}
	if (writer.step == CHANGE_WRITE)
		do_write(writer, store, outcome / 3);
	else if (writer.step == CHANGE_READ)
		do_read(writer, store, outcome / 3);
}

void put_base(Store &store)
{
	service_object object = {};
	service_change change = change_of("base");

	service_add_change(&object, &change);
	store.write(0, &object, "base");
}

// Runs all writers to their ends, with the drawn order and outcomes. Delayed writes that are left
// are delivered after their writer's end.
void run_all(std::vector<Writer> &writers, Store &store, const std::vector<int> &draws)
{
	size_t at = 0;
	auto draw = [&] {
		int drawn = draws.empty() ? healthy : draws[at % draws.size()] + (int)(at / 97);

		at++;
		return drawn;
	};

	for (int guard = 0; guard < 1000; guard++) {
		Writer &writer = writers[(size_t)draw() % writers.size()];

		if (!writer.ended())
			run_step(writer, store, draw());
	}
	for (Writer &writer : writers) {
		for (int guard = 0; guard < 100 && !writer.ended(); guard++)
			run_step(writer, store, healthy);
		RC_ASSERT(writer.ended());
		if (writer.late_write)
			deliver_write(writer, store);
	}
}

std::vector<int> draws_gen()
{
	return *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
}

} // namespace

RC_GTEST_PROP(Change, AWriterIsToldTheTruth, ())
{
	Store store;
	std::vector<Writer> writers((size_t)*rc::gen::inRange(2, 5));

	if (*rc::gen::arbitrary<bool>())
		put_base(store);
	for (size_t i = 0; i < writers.size(); i++)
		begin(writers[i], store, "writer-" + std::to_string(i), false);
	run_all(writers, store, draws_gen());
	for (const Writer &writer : writers) {
		int applied = store.applied[writer.change.id];

		RC_ASSERT(applied <= 1);
		if (writer.step == CHANGE_ACCEPTED)
			RC_ASSERT(applied == 1);
		if (writer.step == CHANGE_CONFLICT || writer.step == CHANGE_FAILED)
			RC_ASSERT(applied == 0);
		if (writer.step == CHANGE_UNKNOWN)
			RC_ASSERT(writer.change.may_have_applied);
	}
}

RC_GTEST_PROP(Change, OfWritersOnOneBaseExactlyOneIsAccepted, ())
{
	Store store;
	std::vector<Writer> writers(2);
	int accepted = 0;

	put_base(store);
	for (size_t i = 0; i < writers.size(); i++)
		begin(writers[i], store, "writer-" + std::to_string(i), false);
	// The platform does not fail here: only the order of the steps varies.
	for (int turn : *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 2))) {
		if (!writers[(size_t)turn].ended())
			run_step(writers[(size_t)turn], store, healthy);
	}
	for (Writer &writer : writers) {
		while (!writer.ended())
			run_step(writer, store, healthy);
		accepted += writer.step == CHANGE_ACCEPTED;
		RC_ASSERT(writer.step == CHANGE_ACCEPTED || writer.step == CHANGE_CONFLICT);
	}
	RC_ASSERT(accepted == 1);
	for (const Writer &writer : writers) {
		if (writer.step == CHANGE_CONFLICT)
			RC_ASSERT(strcmp(writer.change.other.by, store.object.changes[1].by) == 0);
	}
}

RC_GTEST_PROP(Change, ALostAnswerIsResolvedWhenThePlatformAnswersAgain, ())
{
	Store store;
	std::vector<Writer> writers(1);
	bool takes_effect = *rc::gen::arbitrary<bool>();
	int lost = *rc::gen::inRange(1, CHANGE_ATTEMPTS_MAX - 3);

	put_base(store);
	begin(writers[0], store, "writer", *rc::gen::arbitrary<bool>());
	if (takes_effect)
		deliver_write(writers[0], store);
	writers[0].step = change_write_done(&writers[0].change, ERROR_TIMEOUT, true, 0);
	for (int i = 1; i < lost; i++)
		writers[0].step = change_read_done(&writers[0].change, ERROR_TIMEOUT, 0, nullptr);
	while (!writers[0].ended())
		run_step(writers[0], store, healthy);
	RC_ASSERT(writers[0].step == CHANGE_ACCEPTED);
	RC_ASSERT(store.applied["writer"] == 1);
}

// The history of changes is bounded. A writer whose change is no longer in it gets the result
// "unknown" instead of a guess.
TEST(ChangeHistory, ChangeNoLongerInTheHistoryIsUnknown)
{
	Store store;
	Writer writer;

	put_base(store);
	begin(writer, store, "writer", false);
	deliver_write(writer, store);
	writer.step = change_write_done(&writer.change, ERROR_TIMEOUT, true, 0);
	for (int i = 0; i <= SERVICE_CHANGES_MAX; i++) {
		Writer other;

		begin(other, store, "other-" + std::to_string(i), false);
		deliver_write(other, store);
	}
	do_read(writer, store, 1);
	EXPECT_EQ(CHANGE_UNKNOWN, writer.step);
}
