/*
 * Flight: builds a call's request, judges its answer, and repeats a keyed call whose outcome is
 * unknown.
 */
#include "fescue_load/flight.h"

#include "fescue_load/payload.h"
#include "fescue_load/plan.h"
#include "fescuemill/base/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HEAD_BYTES	1024
#define KEY_TEXT_BYTES	37
#define SENDS_MAX	3
#define HEADER_IS(h, s) h2o_memis((h)->name->base, (h)->name->len, H2O_STRLIT(s))

/* What the answer's head states. */
struct answer {
	int status;
	bool has_outcome;
	enum call_outcome outcome;
	bool refused_unrun; /* x-fescue-not-run, from a backend server */
	bool has_sum;
	bool sum_differs;
	uint64_t attempts;
	int64_t server_us; /* -1: not stated */
	int64_t run_us;	   /* -1: not stated */
};

struct flight {
	struct client_call call; /* first: the callbacks cast it back */
	uv_timer_t timer;
	struct run *run;
	const struct plan_stream *stream;
	uint32_t index;
	uint64_t intended_us;
	bool is_keyed;
	char key[KEY_TEXT_BYTES];
	bool is_body_corrupt;
	char *body;
	char head[HEAD_BYTES];
	char id[LEDGER_CALL_BYTES];
	char body_sum[PAYLOAD_SUM_BYTES];
	struct payload expected; /* the answer's bytes, as far as they have come */
	struct answer answer;
};

static void flight_send(struct flight *flight);

/* Gives the record of a flight's call. */
static struct call_record *record_of(const struct flight *flight)
{
	return &flight->run->result->ledger.calls[flight->index];
}

/* Frees a flight after its timer is closed. */
static void free_flight(uv_handle_t *handle)
{
	struct flight *flight = handle->data;

	free(flight->body);
	free(flight);
}

/* Reads a header's value as a number. */
static uint64_t value_u64(const h2o_header_t *header)
{
	char copy[24] = "";
	size_t bytes = header->value.len < sizeof(copy) - 1 ? header->value.len : sizeof(copy) - 1;

	memcpy(copy, header->value.base, bytes);
	return strtoull(copy, NULL, 10);
}

/* Reads an outcome's name; an unknown name is no outcome. */
static void read_outcome(struct answer *answer, const h2o_header_t *header)
{
	for (int i = 0; i < OUTCOME_COUNT; i++) {
		const char *name = call_outcome_name((enum call_outcome)i);

		if (!h2o_memis(header->value.base, header->value.len, name, strlen(name)))
			continue;
		answer->has_outcome = true;
		answer->outcome = (enum call_outcome)i;
	}
}

/* Takes in the answer's head. */
static void on_head(struct client_call *call, int status, const h2o_header_t *headers, size_t count)
{
	struct flight *flight = (struct flight *)call;
	struct answer *answer = &flight->answer;

	answer->status = status;
	for (const h2o_header_t *header = headers; header < headers + count; header++) {
		if (HEADER_IS(header, "x-fescue-outcome"))
			read_outcome(answer, header);
		else if (HEADER_IS(header, "x-fescue-attempts"))
			answer->attempts = value_u64(header);
		else if (HEADER_IS(header, "x-fescue-server-us"))
			answer->server_us = (int64_t)value_u64(header);
		else if (HEADER_IS(header, "x-standin-run-us"))
			answer->run_us = (int64_t)value_u64(header);
		else if (HEADER_IS(header, "x-fescue-not-run"))
			answer->refused_unrun = true;
		else if (HEADER_IS(header, "x-standin-body-sum")) {
			answer->has_sum = true;
			answer->sum_differs =
				!h2o_memis(header->value.base, header->value.len, flight->body_sum,
					   strlen(flight->body_sum));
		}
	}
}

/* Checks a part of the answer's body. */
static void on_data(struct client_call *call, const char *data, size_t bytes)
{
	struct flight *flight = (struct flight *)call;

	if (!payload_check(&flight->expected, data, bytes))
		flight->is_body_corrupt = true;
}

/* Tells whether an answer with status 200 is this call's own and whole. */
static bool is_own_answer(const struct flight *flight)
{
	const struct answer *answer = &flight->answer;

	if (!answer->has_sum || answer->sum_differs)
		return false;
	if (flight->call.is_head)
		return true;
	return !flight->is_body_corrupt && flight->expected.offset == flight->stream->answer_bytes;
}

/* Gives the outcome that the answer states: by its header, or from a backend server called directly
 * by its status. */
static enum call_outcome stated_outcome(const struct flight *flight)
{
	if (!flight->run->plan->direct)
		return flight->answer.outcome;
	if (flight->answer.status == 503 && flight->answer.refused_unrun)
		return OUTCOME_NOT_RUN;
	return OUTCOME_ANSWERED;
}

/* Judges a whole answer. */
static enum call_result judge_answer(const struct flight *flight)
{
	const struct answer *answer = &flight->answer;

	if (!flight->run->plan->direct && !answer->has_outcome)
		return CALL_CORRUPT;
	switch (stated_outcome(flight)) {
	case OUTCOME_NOT_RUN:
		return CALL_NOT_RUN;
	case OUTCOME_UNKNOWN:
		return CALL_UNKNOWN;
	default:
		break;
	}
	if (answer->status == 200 && !is_own_answer(flight))
		return CALL_CORRUPT;
	return CALL_WHOLE;
}

/* Judges how an exchange ended. */
static enum call_result judge(const struct flight *flight, enum client_end end)
{
	bool may_fail = flight->run->plan->entries_may_fail;

	switch (end) {
	case CLIENT_END_WHOLE:
		return judge_answer(flight);
	case CLIENT_END_CUT:
		return may_fail ? CALL_UNKNOWN : CALL_CUT;
	case CLIENT_END_NO_ANSWER:
		return may_fail ? CALL_UNKNOWN : CALL_LOST;
	default:
		return CALL_NOT_RUN;
	}
}

/* Records the latencies of a whole answer. */
static void record_latency(const struct flight *flight)
{
	struct run_latency *latency = &flight->run->result->latency[record_of(flight)->stream];
	uint64_t total_us = clock_monotonic_us() - flight->intended_us;
	int64_t server_us = flight->answer.server_us;
	int64_t run_us = flight->answer.run_us;

	if (flight->run->plan->direct)
		server_us = run_us;
	histogram_record(&latency->total, total_us);
	if (server_us >= 0)
		histogram_record(&latency->added, total_us > (uint64_t)server_us
							  ? total_us - (uint64_t)server_us
							  : 0);
	if (run_us >= 0)
		histogram_record(&latency->outside,
				 total_us > (uint64_t)run_us ? total_us - (uint64_t)run_us : 0);
}

/* Ends a flight with its result. A keyed call that was unknown before stays so unless it is
 * answered: that a repeat did not run says nothing of the first. */
static void flight_end(struct flight *flight, enum call_result result)
{
	struct call_record *record = record_of(flight);
	struct run *run = flight->run;
	uint32_t stream = record->stream;

	record->attempts += (uint16_t)flight->answer.attempts;
	if (result == CALL_UNKNOWN && flight->is_keyed && record->sends < SENDS_MAX) {
		flight_send(flight);
		return;
	}
	if (result == CALL_NOT_RUN && record->sends > 1)
		result = CALL_UNKNOWN;
	record->result = (uint8_t)result;
	if (result == CALL_WHOLE) {
		record->is_error = flight->answer.status != 200;
		record_latency(flight);
	}
	uv_close((uv_handle_t *)&flight->timer, free_flight);
	run->in_flight--;
	run->on_call_end(run, stream);
}

/* The exchange has ended. */
static void on_end(struct client_call *call, enum client_end end)
{
	struct flight *flight = (struct flight *)call;

	uv_timer_stop(&flight->timer);
	flight_end(flight, judge(flight, end));
}

/* Nothing came by the deadline and the grace. */
static void on_late(uv_timer_t *timer)
{
	struct flight *flight = timer->data;

	client_cancel(&flight->call);
	flight_end(flight, CALL_LOST);
}

/* Writes a key as a UUID of version 7, whose time tells the key's home that it is new. */
static void write_key(struct flight *flight)
{
	uint64_t now_ms = clock_wall_us() / USEC_PER_MSEC;
	uint64_t hash = XXH3_64bits(flight->id, strlen(flight->id));

	snprintf(flight->key, sizeof(flight->key), "%08x-%04x-7%03x-8%03x-%012llx",
		 (unsigned int)(now_ms >> 16), (unsigned int)(now_ms & 0xffff),
		 (unsigned int)(hash >> 60), (unsigned int)(hash >> 48 & 0xfff),
		 (unsigned long long)(hash & 0xffffffffffff));
}

/* Writes the request's head. */
static void write_head(struct flight *flight)
{
	const struct plan_stream *stream = flight->stream;
	bool direct = flight->run->plan->direct;
	int bytes;

	bytes = snprintf(flight->head, HEAD_BYTES,
			 "%s %s%s%s HTTP/1.1\r\nhost: fescue-load\r\nx-call: %s\r\n"
			 "x-standin-size: %u\r\nx-fescue-class: %s\r\nx-fescue-deadline-ms: %u\r\n"
			 "content-length: %u\r\n%s%s%s%s\r\n",
			 stream->method, direct ? "" : "/", direct ? "" : stream->service,
			 stream->path, flight->id, stream->answer_bytes, stream->class_name,
			 stream->deadline_ms, stream->body_bytes,
			 stream->states_idempotent ? "x-fescue-idempotent: 1\r\n" : "",
			 flight->is_keyed ? "idempotency-key: " : "",
			 flight->is_keyed ? flight->key : "", flight->is_keyed ? "\r\n" : "");
	flight->call.request[0] = h2o_iovec_init(flight->head, (size_t)bytes);
	flight->call.request[1] = h2o_iovec_init(flight->body, stream->body_bytes);
}

/* Chooses the pool of an entry, or of a backend server of the stream's service. */
static h2o_socketpool_t *choose_pool(struct run *run, const struct plan_stream *stream)
{
	const struct plan *plan = run->plan;
	uint32_t i;

	if (!plan->direct)
		return &run->entry_pools[random_below(&run->rng, plan->entry_count)];
	do {
		i = random_below(&run->rng, plan->backend_count);
	} while (strcmp(plan->backends[i].service, stream->service) != 0);
	return &run->backend_pools[i];
}

/* Sends a flight's call, for the first time or as a repeat. */
static void flight_send(struct flight *flight)
{
	const struct plan_stream *stream = flight->stream;
	struct run *run = flight->run;

	memset(&flight->answer, 0, sizeof(flight->answer));
	flight->answer.server_us = -1;
	flight->answer.run_us = -1;
	flight->is_body_corrupt = false;
	payload_start(&flight->expected, flight->id, strlen(flight->id));
	record_of(flight)->sends++;
	uv_timer_start(&flight->timer, on_late, stream->deadline_ms + run->plan->grace_ms, 0);
	client_start(&run->client, choose_pool(run, stream), &flight->call);
}

/* Sends a call that the ledger has opened. intended_us is when it should have been sent, on the
 * monotonic clock; its latency counts from there. */
void flight_start(struct run *run, uint32_t index, uint64_t intended_us)
{
	struct flight *flight = h2o_mem_alloc(sizeof(*flight));
	struct payload payload;

	memset(flight, 0, sizeof(*flight));
	flight->run = run;
	flight->index = index;
	flight->intended_us = intended_us;
	flight->stream = &run->plan->streams[record_of(flight)->stream];
	flight->is_keyed = random_unit(&run->rng) < flight->stream->keyed_share;
	flight->call.is_head = strcmp(flight->stream->method, "HEAD") == 0;
	flight->call.on_head = on_head;
	flight->call.on_data = on_data;
	flight->call.on_end = on_end;
	flight->body = h2o_mem_alloc(flight->stream->body_bytes + 1);
	ledger_call_id(&run->result->ledger, index, flight->id);
	write_key(flight);
	payload_start(&payload, flight->id, strlen(flight->id));
	payload_fill(&payload, flight->body, flight->stream->body_bytes);
	payload_sum(flight->body, flight->stream->body_bytes, flight->body_sum);
	write_head(flight);
	uv_timer_init(run->loop, &flight->timer);
	flight->timer.data = flight;
	run->in_flight++;
	histogram_record(&run->result->send_lag, clock_monotonic_us() - intended_us);
	flight_send(flight);
}
