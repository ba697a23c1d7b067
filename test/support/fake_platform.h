// An in-memory platform behind the platform interface. A test decides for each call whether it is
// answered, held, refused, or takes effect with its answer lost.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>

extern "C" {
#include "fescuemill/store/platform.h"
}

namespace support
{
class FakePlatform
{
      public:
	enum CallOutcome {
		ANSWER,
		LOSE_ANSWER, // the call takes effect, then fails with a timeout
		REFUSE,	     // the call fails: the platform is unreachable
		HOLD,	     // the call waits for release()
	};

	struct Object {
		uint64_t version = 0;
		bool exists = false;
		std::string value;
	};

	FakePlatform()
	{
		static const platform_ops ops = {start, nullptr};

		head.base.ops = &ops;
		head.owner = this;
	}
	FakePlatform(const FakePlatform &) = delete;

	platform *interface()
	{
		return &head.base;
	}

	void put(const std::string &kind, const std::string &name, const std::string &value)
	{
		objects[kind][name] = {++version, true, value};
		wake();
	}

	// Answers the held calls, in the order of their start.
	void release()
	{
		std::list<Call> ready;

		ready.swap(held);
		for (Call &call : ready)
			answer(call);
	}

	// Fails all held calls and watches, as a client does when it closes.
	void close()
	{
		std::list<Call> ready;

		ready.splice(ready.end(), held);
		ready.splice(ready.end(), watches);
		for (Call &call : ready)
			finish_error(call, ERROR_STATE);
	}

	std::function<CallOutcome(const platform_request &)> outcome =
		[](const platform_request &) { return ANSWER; };
	std::map<std::string, std::map<std::string, Object>> objects;
	std::map<int, int> counts; // calls by platform_call_type
	uint64_t version = 0;
	bool sends_current = true; // send the current object on a conflict

      private:
	struct Head {
		platform base;
		FakePlatform *owner;
	};

	struct Call {
		platform_call_type type;
		std::string kind, name, value;
		uint64_t version;
		uint32_t wait_ms;
		platform_done_fn done;
		void *user;
	};

	static void start(platform *base, const platform_request *request, platform_done_fn done,
			  void *user)
	{
		FakePlatform *self = reinterpret_cast<Head *>(base)->owner;
		Call call = {request->type,
			     request->kind,
			     request->name ? request->name : "",
			     std::string(request->value ? request->value : "", request->value_size),
			     request->version,
			     request->wait_ms,
			     done,
			     user};
		CallOutcome outcome = self->outcome(*request);

		self->counts[request->type]++;
		if (outcome == HOLD)
			self->held.push_back(call);
		else if (outcome == REFUSE)
			finish_error(call, ERROR_UNREACHABLE);
		else if (outcome == LOSE_ANSWER)
			self->lose(call);
		else
			self->answer(call);
	}

	static void finish_error(Call &call, error_kind kind, bool effect_unknown = false)
	{
		platform_result result = {};

		error_set(&result.err, kind, "fake");
		result.effect_unknown = effect_unknown;
		call.done(call.user, &result);
	}

	void lose(Call &call)
	{
		platform_result unused = {};
		std::string body;

		if (call.type >= PLATFORM_CREATE && call.type <= PLATFORM_DELETE) {
			change(call, &unused, &body);
			finish_error(call, ERROR_TIMEOUT, true);
		} else {
			finish_error(call, ERROR_TIMEOUT);
		}
		wake();
	}

	void answer(Call &call)
	{
		platform_result result = {};
		std::string body;

		if (call.type == PLATFORM_WATCH && call.wait_ms > 0 &&
		    version_of(call.kind) <= call.version) {
			watches.push_back(call);
			return;
		}
		if (call.type == PLATFORM_LIST || call.type == PLATFORM_WATCH) {
			body = batch(call.kind, call.type == PLATFORM_LIST ? 0 : call.version);
			result.version = version;
		} else if (call.type == PLATFORM_GET) {
			get(call, &result, &body);
		} else {
			change(call, &result, &body);
		}
		result.body = body.c_str();
		result.body_size = body.size();
		call.done(call.user, &result);
		wake();
	}

	void get(const Call &call, platform_result *result, std::string *body)
	{
		const Object &object = objects[call.kind][call.name];

		if (!object.exists)
			error_set(&result->err, ERROR_NOT_FOUND, "fake");
		result->version = object.version;
		*body = object.value;
	}

	// Writes an object. A conflict returns the current object, as the users' platform does.
	void change(const Call &call, platform_result *result, std::string *body)
	{
		Object &object = objects[call.kind][call.name];
		uint64_t expected = call.type == PLATFORM_CREATE ? 0 : call.version;

		result->version = object.exists ? object.version : 0;
		if (result->version != expected) {
			error_set(&result->err, ERROR_CONFLICT, "fake");
			result->has_current = sends_current && object.exists;
			*body = object.value;
			return;
		}
		object = {++version, call.type != PLATFORM_DELETE, call.value};
		result->version = version;
	}

	uint64_t version_of(const std::string &kind)
	{
		uint64_t newest = 0;

		for (const auto &[name, object] : objects[kind])
			newest = std::max(newest, object.version);
		return newest;
	}

	std::string batch(const std::string &kind, uint64_t after)
	{
		std::string items;

		for (const auto &[name, object] : objects[kind]) {
			if (object.version <= after || (!after && !object.exists))
				continue;
			items += (items.empty() ? "" : ",") + (R"({"name":")" + name) +
				 R"(","version":)" + std::to_string(object.version) +
				 (object.exists ? R"(,"value":)" + object.value + "}"
						: std::string(R"(,"deleted":true})"));
		}
		return R"({"version":)" + std::to_string(version) + R"(,"items":[)" + items + "]}";
	}

	// Answers the watches that have new changes.
	void wake()
	{
		std::list<Call> ready;

		ready.swap(watches);
		for (Call &call : ready)
			answer(call);
	}

	Head head;
	std::list<Call> held;
	std::list<Call> watches;
};
} // namespace support
