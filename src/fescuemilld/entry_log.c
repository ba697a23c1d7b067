/*
 * Entry log: the lines by which a call can be followed from the client's id to its outcome.
 */
#include "fescuemilld/entry_log.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>

#define ID_SHOWN_BYTES	 64
#define PATH_SHOWN_BYTES 80

/* Cuts a size for "%.*s". */
static int shown(struct wire_bytes bytes, uint32_t most)
{
	return (int)(bytes.size < most ? bytes.size : most);
}

/* Calls that end well are told at the level of details, so that the volume stays bounded. */
static enum log_level level_of(const struct caller_answer *answer)
{
	return answer->outcome == OUTCOME_ANSWERED && answer->status < 500 ? LOG_DEBUG : LOG_INFO;
}

/* Tells that a call was refused before any attempt. */
void entry_log_refused(const struct call_request *req, enum call_reason reason,
		       uint32_t retry_after_ms)
{
	log_write(LOG_INFO, LOG_PART_ENTRY, "A call was refused.",
		  "request=%.*s host=%.*s path=%.*s reason=%s retry_after_ms=%u",
		  shown(req->id, ID_SHOWN_BYTES), (const char *)req->id.data,
		  shown(req->host, ID_SHOWN_BYTES), (const char *)req->host.data,
		  shown(req->path, PATH_SHOWN_BYTES), (const char *)req->path.data,
		  call_reason_name(reason), retry_after_ms);
}

/* Tells how a call ended. */
void entry_log_finished(const struct entry_call *call, const struct caller_answer *answer)
{
	const struct call_request *req = call->request;

	log_write(level_of(answer), LOG_PART_ENTRY, "A call ended.",
		  "request=%.*s route=%s service=%s class=%s outcome=%s reason=%s status=%u "
		  "attempts=%u refusals=%u elapsed_us=%" PRIu64 " retry_after_ms=%u",
		  shown(req->id, ID_SHOWN_BYTES), (const char *)req->id.data, call->route,
		  call->service->name, call->class_name, call_outcome_name(answer->outcome),
		  call_reason_name(answer->reason), answer->status, answer->attempts,
		  call->state.refusals, clock_monotonic_us() - call->begun_us,
		  answer->retry_after_ms);
}

/* Tells where an attempt goes. The first one is a detail; those after it are decisions to look at.
 */
void entry_log_sent(const struct entry_call *call, uint64_t time_left_us)
{
	const struct call_request *req = call->request;

	log_write(call->state.attempts > 1 ? LOG_INFO : LOG_DEBUG, LOG_PART_ENTRY,
		  "An attempt was sent.",
		  "request=%.*s attempt=%u sequence=%" PRIu64 " gate=%016" PRIx64
		  " time_left_us=%" PRIu64,
		  shown(req->id, ID_SHOWN_BYTES), (const char *)req->id.data, call->state.attempts,
		  call->state.target.id.sequence, call->state.target.gate.node_id, time_left_us);
}

/* Tells how an attempt ended at its gate, with the load that the gate told. */
void entry_log_ended(const struct entry_call *call, const struct message_answer *answer)
{
	const struct call_request *req = call->request;
	bool is_good = answer->outcome == OUTCOME_ANSWERED && answer->status < 500;

	log_write(is_good ? LOG_DEBUG : LOG_INFO, LOG_PART_ENTRY, "An attempt ended.",
		  "request=%.*s attempt=%u gate=%016" PRIx64 " outcome=%s reason=%s status=%u "
		  "elapsed_us=%" PRIu64 " queue_us=%u server_us=%u in_use=%u limit=%u queued=%u",
		  shown(req->id, ID_SHOWN_BYTES), (const char *)req->id.data, call->state.attempts,
		  call->link ? call->link->life.node_id : 0, call_outcome_name(answer->outcome),
		  call_reason_name(answer->reason), answer->status,
		  clock_monotonic_us() - call->sent_us, answer->gate_queue_us, answer->server_us,
		  answer->load.in_use, answer->load.limit, answer->load.queued);
}
