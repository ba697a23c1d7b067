/*
 * Log lines of the entry, by which a call can be traced from the client's request id to its
 * outcome.
 */
#include "fescuemilld/entry/entry_log.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>
#include <stdio.h>

#define LOG_ID_BYTES_MAX     64
#define LOG_PATH_BYTES_MAX   80
#define CUSTOMER_FIELD_BYTES 96 /* longer names are truncated */

/* Returns the length to pass for "%.*s": the size of `bytes`, at most `most`. */
static int truncated_length(struct wire_bytes bytes, uint32_t most)
{
	return (int)(bytes.size < most ? bytes.size : most);
}

/* Returns the log level for the end of a call: LOG_DEBUG for successful calls, which limits the
 * volume of the log at LOG_INFO. */
static enum log_level call_log_level(const struct caller_answer *answer)
{
	return answer->outcome == OUTCOME_ANSWERED && answer->status < 500 ? LOG_DEBUG : LOG_INFO;
}

/* Writes the field of a call's customer, with a leading space; nothing if the call has none. */
static const char *customer_field(const char *name, char *out)
{
	out[0] = '\0';
	if (name)
		snprintf(out, CUSTOMER_FIELD_BYTES, " customer=%s", name);
	return out;
}

/* Writes the fields of a refused request's customer and of its key, which itself is never logged;
 * nothing if calls need no key. */
static const char *refused_field(const struct call_request *req, const struct call_class *class,
				 char *out)
{
	const struct wire_bytes *key = &req->credential;

	customer_field(class->customer_name ? class->customer_name
		       : class->customer    ? class->customer->name
					    : NULL,
		       out);
	if (class->hides_keys && !class->customer && !class->customer_name && key->size > 0)
		snprintf(out, CUSTOMER_FIELD_BYTES, " key_fingerprint=%06x",
			 customer_key_fingerprint(key->data, key->size));
	return out;
}

/* Logs a call that was refused before its first attempt. */
void entry_log_refused(const struct call_request *req, const struct call_class *class,
		       enum call_reason reason, uint32_t retry_after_ms)
{
	char field[CUSTOMER_FIELD_BYTES];

	log_write(LOG_INFO, LOG_PART_ENTRY, "A call was refused before its first attempt.",
		  "request=%.*s host=%.*s path=%.*s reason=%s retry_after_ms=%u%s",
		  truncated_length(req->id, LOG_ID_BYTES_MAX), (const char *)req->id.data,
		  truncated_length(req->host, LOG_ID_BYTES_MAX), (const char *)req->host.data,
		  truncated_length(req->path, LOG_PATH_BYTES_MAX), (const char *)req->path.data,
		  call_reason_name(reason), retry_after_ms, refused_field(req, class, field));
}

/* Logs the outcome of a call. */
void entry_log_finished(const struct entry_call *call, const struct caller_answer *answer)
{
	const struct call_request *req = call->request;
	char field[CUSTOMER_FIELD_BYTES];

	log_write(call_log_level(answer), LOG_PART_ENTRY, "A call ended.",
		  "request=%.*s route=%s service=%s class=%s outcome=%s reason=%s status=%u "
		  "attempts=%u refusals=%u elapsed_us=%" PRIu64 " retry_after_ms=%u%s",
		  truncated_length(req->id, LOG_ID_BYTES_MAX), (const char *)req->id.data,
		  call->route, call->service->name, call->class_name,
		  call_outcome_name(answer->outcome), call_reason_name(answer->reason),
		  answer->status, answer->attempts, call->state.refusals,
		  clock_monotonic_us() - call->received_us, answer->retry_after_ms,
		  customer_field(call->customer_name, field));
}

/* Logs the gate of an attempt. Retries are logged at LOG_INFO, since each is a decision that an
 * operator may want to examine; first attempts at LOG_DEBUG. */
void entry_log_sent(const struct entry_call *call, uint64_t time_left_us)
{
	const struct call_request *req = call->request;

	log_write(call->state.attempts > 1 ? LOG_INFO : LOG_DEBUG, LOG_PART_ENTRY,
		  "An attempt was sent to a gate.",
		  "request=%.*s attempt=%u sequence=%" PRIu64 " gate=%016" PRIx64
		  " time_left_us=%" PRIu64,
		  truncated_length(req->id, LOG_ID_BYTES_MAX), (const char *)req->id.data,
		  call->state.attempts, call->state.target.id.sequence,
		  call->state.target.gate.node_id, time_left_us);
}

/* Logs the outcome of an attempt and the load that its gate reported. */
void entry_log_ended(const struct entry_call *call, const struct message_answer *answer)
{
	const struct call_request *req = call->request;
	bool is_success = answer->outcome == OUTCOME_ANSWERED && answer->status < 500;

	log_write(is_success ? LOG_DEBUG : LOG_INFO, LOG_PART_ENTRY, "An attempt at a gate ended.",
		  "request=%.*s attempt=%u gate=%016" PRIx64 " outcome=%s reason=%s status=%u "
		  "elapsed_us=%" PRIu64 " queue_us=%u server_us=%u in_use=%u limit=%u queued=%u",
		  truncated_length(req->id, LOG_ID_BYTES_MAX), (const char *)req->id.data,
		  call->state.attempts, call->link ? call->link->identity.node_id : 0,
		  call_outcome_name(answer->outcome), call_reason_name(answer->reason),
		  answer->status, clock_monotonic_us() - call->sent_us, answer->gate_queue_us,
		  answer->server_us, answer->load.in_use, answer->load.limit, answer->load.queued);
}
