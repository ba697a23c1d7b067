/*
 * Entry suspect: asks the crash shell before a call is sent to a gate.
 */
#include "fescuemilld/entry/entry_suspect.h"

#include "fescuemill/base/counter.h"
#include "fescuemilld/node/crash_shell.h"

/* Returns true if a request is refused, because backend servers end when they run it, and in
 * `retry_ms` when it may be tried again. */
bool entry_suspect_is_refused(struct entry *entry, const struct call_request *req,
			      uint64_t customer, uint32_t *retry_ms)
{
	struct request_parts parts = {
		.method = req->method,
		.path = req->path,
		.body = req->body,
		.headers = &req->headers,
		.customer = customer,
	};

	if (!entry->crashes || crash_shell_judge(entry->crashes, &parts, retry_ms) != CRASH_REFUSE)
		return false;
	counter_add(COUNTER_CRASH_REFUSED, 1);
	return true;
}

/* Sets what is known of requests that ran when backend servers ended. */
void entry_set_crashes(struct entry *entry, struct crash_shell *crashes)
{
	entry->crashes = crashes;
}
