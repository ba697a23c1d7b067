/*
 * Default dialect: fescuemill's own header names and formats towards callers and backend servers.
 */
#include "fescuemill/http/dialect.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/json_read.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/http/answer.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define PORT_MAX	  65535
#define STATE_NAME_BYTES  32
#define HEADER_CALL_ID	  "x-fescue-call-id" /* an answer may repeat it */
#define CALL_ID_BYTES	  64
#define HEADER_RATE_LIMIT "x-fescue-rate-limit" /* calls per second */
#define HEADER_LEAVING	  "x-fescue-leaving"	/* "1" */
#define HEADER_CUSTOMER	  "fescuemill-customer" /* name of the customer */
#define HEADER_COLD	  "fescuemill-cold-ms"	/* how long the server remains cold */

static const struct {
	const char *name;
	enum backend_state state;
} states[] = {
	{"starting", BACKEND_STARTING},
	{"ready", BACKEND_READY},
	{"draining", BACKEND_DRAINING},
	{"leaving", BACKEND_LEAVING},
};

/* Adds a header to an answer; ignored if the list is full. The name must be static. */
void answer_lines_add(struct answer_lines *lines, const char *name, const char *format, ...)
{
	va_list args;

	if (lines->count == DIALECT_LINES_MAX)
		return;
	lines->list[lines->count].name = name;
	va_start(args, format);
	vsnprintf(lines->list[lines->count].value, sizeof(lines->list[0].value), format, args);
	va_end(args);
	lines->count++;
}

/* Appends formatted text. Appends nothing if the text does not fit into the buffer. */
void text_buffer_append(struct text_buffer *head, const char *format, ...)
{
	size_t room = head->room - head->size;
	va_list args;
	int size;

	va_start(args, format);
	size = vsnprintf(head->data + head->size, room, format, args);
	va_end(args);
	if (size > 0 && (size_t)size < room)
		head->size += (size_t)size;
}

void text_buffer_append_header(struct text_buffer *head, const struct wire_header *header)
{
	text_buffer_append(head, "%.*s: %.*s\r\n", (int)header->name.size,
			   (const char *)header->name.data, (int)header->value.size,
			   (const char *)header->value.data);
}

/* Sets the status and the x-fescue- headers that report the outcome. */
static void write_outcome(const struct caller_answer *answer, const struct call_request *request,
			  struct answer_lines *out)
{
	(void)request;
	out->status = answer->outcome == OUTCOME_ANSWERED
			      ? (int)answer->status
			      : outcome_http_status(answer->outcome, answer->reason);
	answer_lines_add(out, "x-fescue-outcome", "%s", call_outcome_name(answer->outcome));
	answer_lines_add(out, "x-fescue-reason", "%s", call_reason_name(answer->reason));
	answer_lines_add(out, "x-fescue-attempts", "%u", answer->attempts);
	if (answer->reason == REASON_UNKNOWN_KEY)
		answer_lines_add(out, "www-authenticate", "Bearer");
	if (answer->outcome == OUTCOME_ANSWERED)
		answer_lines_add(out, "x-fescue-server-us", "%u", answer->server_us);
}

/* Writes the id of an attempt as the backend server gets it. Returns its length. */
static uint32_t write_call_id(const struct attempt_id *id, char *out, size_t room)
{
	return (uint32_t)snprintf(out, room, "%016" PRIx64 "-%016" PRIx64 "-%" PRIu64,
				  id->entry.node_id, id->entry.incarnation, id->sequence);
}

/* Writes the header lines of a call to the backend server. */
static void write_call(const struct backend_request *req, struct text_buffer *head)
{
	const struct message_call *msg = req->call;
	char id[CALL_ID_BYTES];

	write_call_id(&req->id, id, sizeof(id));
	text_buffer_append(head, "host: 127.0.0.1:%u\r\n", req->to.port);
	text_buffer_append(head, HEADER_CALL_ID ": %s\r\n", id);
	text_buffer_append(head, "x-fescue-class: %s\r\n", msg->class_name);
	text_buffer_append(head, "x-fescue-deadline-ms: %" PRIu64 "\r\n",
			   (uint64_t)(req->time_left_us / USEC_PER_MSEC));
	text_buffer_append(head, "x-fescue-depth: %u\r\n", msg->depth + 1);
	text_buffer_append(head, "x-fescue-retry-budget: %u\r\n", msg->retries_left);
	if (msg->key.size > 0)
		text_buffer_append(head, "idempotency-key: %.*s\r\n", (int)msg->key.size,
				   (const char *)msg->key.data);
	for (uint32_t i = 0; i < msg->headers.count; i++)
		text_buffer_append_header(head, &msg->headers.list[i]);
}

/* Judges whether an answer belongs to its call and whether the call ran. An answer that repeats the
 * id of another call is a late copy of an earlier answer; one without an id is taken for the call's
 * own. */
static enum answer_verdict judge_answer(const struct backend_request *request, uint32_t status,
					const struct wire_headers *headers)
{
	struct wire_bytes answered = headers_find(headers, HEADER_CALL_ID);
	char asked[CALL_ID_BYTES];
	uint32_t size = write_call_id(&request->id, asked, sizeof(asked));

	if (answered.data &&
	    (answered.size != size || memcmp(answered.data, asked, answered.size) != 0))
		return ANSWER_EARLIER_CALL;
	if (status == 503 &&
	    wire_bytes_equal_nocase(headers_find(headers, "x-fescue-not-run"), "1"))
		return ANSWER_NOT_RUN;
	return ANSWER_RUN;
}

/* Backend servers report no load in this dialect. */
static bool read_load(const struct wire_headers *headers, struct backend_load *out)
{
	(void)headers;
	(void)out;
	return false;
}

/* Parses the name of the service. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE, ERROR_SYNTAX. */
static int read_service(const json_t *object, struct announcement *out, struct error *err)
{
	if (json_read_text(object, "service", out->service, sizeof(out->service), err) != 0)
		return -1;
	for (size_t i = 0; out->service[i]; i++) {
		if (!isalnum((unsigned char)out->service[i]) && !strchr("-_.", out->service[i]))
			return error_set(err, ERROR_SYNTAX, "service: byte %zu is not allowed", i);
	}
	return 0;
}

/* Parses the backend server's state. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
static int read_state(const json_t *object, struct announcement *out, struct error *err)
{
	char text[STATE_NAME_BYTES];

	if (json_read_text(object, "state", text, sizeof(text), err) != 0)
		return -1;
	for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++) {
		if (strcmp(text, states[i].name) == 0) {
			out->state = states[i].state;
			return 0;
		}
	}
	return error_set(err, ERROR_RANGE,
			 "state: found \"%.20s\", allowed starting, ready, "
			 "draining, leaving",
			 text);
}

static int read_fields(const json_t *object, struct announcement *out, struct error *err)
{
	uint32_t port = 0;

	if (read_service(object, out, err) != 0)
		return -1;
	if (json_read_u32(object, "port", 1, PORT_MAX, &port, err) != 0)
		return -1;
	out->port = (uint16_t)port;
	if (json_read_u32(object, "slots", 1, ANNOUNCE_SLOTS_MAX, &out->slots, err) != 0)
		return -1;
	if (json_object_get(object, "cold_ms")) {
		if (json_read_u32(object, "cold_ms", 0, UINT32_MAX, &out->cold_ms, err) != 0)
			return -1;
		out->states_cold = true;
	}
	return read_state(object, out, err);
}

/* Parses a JSON announcement. Errors: ERROR_SYNTAX, ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int announcement_parse(const char *json, size_t size, struct announcement *out, struct error *err)
{
	json_error_t where;
	json_t *object = json_loadb(json ? json : "", size, 0, &where);
	int rc;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(object)) {
		json_decref(object);
		return error_set(err, ERROR_SYNTAX, "announcement: allowed is a JSON object");
	}
	rc = read_fields(object, out, err);
	json_decref(object);
	return rc;
}

/* Parses POST /announce. Errors: ERROR_NOT_FOUND for any other request, and those of
 * announcement_parse(). */
static int read_announcement(const struct call_head *head, struct wire_bytes body,
			     struct announcement *out, struct error *err)
{
	if (!wire_bytes_equal_nocase(head->path, "/announce") ||
	    !wire_bytes_equal_nocase(head->method, "POST"))
		return error_set(err, ERROR_NOT_FOUND, "allowed is POST /announce");
	return announcement_parse((const char *)body.data, body.size, out, err);
}

/* Writes the lease in milliseconds and the number of running attempts as JSON. */
static void write_announcement_reply(const struct announcement *now, uint32_t in_use,
				     struct text_buffer *body)
{
	(void)now;
	text_buffer_append(body, "{\"lease_ms\":%d,\"in_use\":%u}", ANNOUNCE_LEASE_MS, in_use);
}

/* Reads the limit and the leaving that an answer states. */
static void read_notice(const struct wire_headers *headers, struct backend_notice *out)
{
	backend_notice_read(headers_find(headers, HEADER_RATE_LIMIT),
			    headers_find(headers, HEADER_LEAVING), out);
}

/* Reads how long the backend server remains cold. */
static bool read_cold(const struct wire_headers *headers, uint32_t *left_ms)
{
	struct wire_bytes text = headers_find(headers, HEADER_COLD);

	return text.data && wire_bytes_parse_number(text, left_ms) == 0;
}

const struct http_dialect native_dialect = {
	.read_call = call_request_parse,
	.write_outcome = write_outcome,
	.write_call = write_call,
	.judge_answer = judge_answer,
	.read_load = read_load,
	.read_notice = read_notice,
	.read_cold = read_cold,
	.read_announcement = read_announcement,
	.write_announcement_reply = write_announcement_reply,
	.allows_close_delimited_body = false,
	.customer_header = HEADER_CUSTOMER,
};
