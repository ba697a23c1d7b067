/*
 * Load call: builds the request of a call, classifies its answer, and repeats a keyed call whose
 * outcome is unknown.
 */
#include "fescue_load/load_call.h"

#include "fescue_load/payload.h"
#include "fescue_load/plan.h"
#include "fescuemill/base/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HEAD_BYTES	1024
#define KEY_TEXT_BYTES	37 /* text of a UUID and the terminating NUL */
#define SENDS_MAX	3  /* of a keyed call, repeated while its outcome is unknown */
#define HEADER_IS(h, s) h2o_memis((h)->name->base, (h)->name->len, H2O_STRLIT(s))

/* Status and headers of an answer. */
struct answer {
	int status;
	bool has_outcome;
	enum call_outcome outcome;
	bool has_not_run;  /* a backend server sent x-fescue-not-run */
	bool has_sum;	   /* x-standin-body-sum was sent */
	bool sum_mismatch; /* it is not the checksum of the request body */
	uint64_t attempts; /* x-fescue-attempts; 0: no such header */
	int64_t server_us; /* x-fescue-server-us; -1: no such header */
	int64_t run_us;	   /* x-standin-run-us; -1: no such header */
};

struct load_call {
	struct client_call call; /* must be first: callbacks cast it to struct load_call */
	uv_timer_t timer;
	struct run *run;
	const struct plan_stream *stream;
	uint32_t index;	      /* of its record in the ledger */
	uint64_t intended_us; /* monotonic time at which it should be sent first */
	bool is_keyed;
	char key[KEY_TEXT_BYTES]; /* idempotency key, sent if is_keyed */
	bool is_body_corrupt;	  /* the answer body differs from the expected one */
	char *body;		  /* of the request */
	char head[HEAD_BYTES];	  /* request line and headers */
	char id[LEDGER_CALL_BYTES];
	char body_sum[PAYLOAD_CHECKSUM_BYTES]; /* checksum of the request body */
	struct payload expected;	       /* position in the expected answer body */
	struct answer answer;
};

static void load_call_send(struct load_call *load_call);

/* Returns the ledger's record of a call. */
static struct call_record *get_call_record(const struct load_call *load_call)
{
	return &load_call->run->result->ledger.calls[load_call->index];
}

/* Frees a call after its timer is closed. */
static void free_load_call(uv_handle_t *handle)
{
	struct load_call *load_call = handle->data;

	free(load_call->body);
	free(load_call);
}

/* Returns the value of a header as a decimal number; 0 if it is not a number. */
static uint64_t parse_header_u64(const h2o_header_t *header)
{
	char copy[24] = "";
	size_t bytes = header->value.len < sizeof(copy) - 1 ? header->value.len : sizeof(copy) - 1;

	memcpy(copy, header->value.base, bytes);
	return strtoull(copy, NULL, 10);
}

/* Parses the name of an outcome. An unknown name counts as no outcome. */
static void parse_outcome(struct answer *answer, const h2o_header_t *header)
{
	for (int i = 0; i < OUTCOME_COUNT; i++) {
		const char *name = call_outcome_name((enum call_outcome)i);

		if (!h2o_memis(header->value.base, header->value.len, name, strlen(name)))
			continue;
		answer->has_outcome = true;
		answer->outcome = (enum call_outcome)i;
	}
}

/* Stores the status and the headers of the answer. */
static void on_head(struct client_call *call, int status, const h2o_header_t *headers, size_t count)
{
	struct load_call *load_call = (struct load_call *)call;
	struct answer *answer = &load_call->answer;

	answer->status = status;
	for (const h2o_header_t *header = headers; header < headers + count; header++) {
		if (HEADER_IS(header, "x-fescue-outcome"))
			parse_outcome(answer, header);
		else if (HEADER_IS(header, "x-fescue-attempts"))
			answer->attempts = parse_header_u64(header);
		else if (HEADER_IS(header, "x-fescue-server-us"))
			answer->server_us = (int64_t)parse_header_u64(header);
		else if (HEADER_IS(header, "x-standin-run-us"))
			answer->run_us = (int64_t)parse_header_u64(header);
		else if (HEADER_IS(header, "x-fescue-not-run"))
			answer->has_not_run = true;
		else if (HEADER_IS(header, "x-standin-body-sum")) {
			answer->has_sum = true;
			answer->sum_mismatch =
				!h2o_memis(header->value.base, header->value.len,
					   load_call->body_sum, strlen(load_call->body_sum));
		}
	}
}

/* Compares a received part of the answer body with the expected bytes. */
static void on_data(struct client_call *call, const char *data, size_t bytes)
{
	struct load_call *load_call = (struct load_call *)call;

	if (!payload_check(&load_call->expected, data, bytes))
		load_call->is_body_corrupt = true;
}

/* Returns true if an answer with status 200 belongs to this call and is complete. */
static bool is_expected_answer(const struct load_call *load_call)
{
	const struct answer *answer = &load_call->answer;

	if (!answer->has_sum || answer->sum_mismatch)
		return false;
	if (load_call->call.is_head)
		return true;
	return !load_call->is_body_corrupt &&
	       load_call->expected.offset == load_call->stream->answer_bytes;
}

/*
 * Returns the outcome that the answer reports: in the outcome header, or, if the backend servers
 * are called directly, in its status.
 */
static enum call_outcome reported_outcome(const struct load_call *load_call)
{
	if (!load_call->run->plan->direct)
		return load_call->answer.outcome;
	if (load_call->answer.status == 503 && load_call->answer.has_not_run)
		return OUTCOME_NOT_RUN;
	return OUTCOME_ANSWERED;
}

/* Returns the result of a call whose complete answer was received. */
static enum call_result classify_answer(const struct load_call *load_call)
{
	const struct answer *answer = &load_call->answer;

	if (!load_call->run->plan->direct && !answer->has_outcome)
		return CALL_CORRUPT;
	switch (reported_outcome(load_call)) {
	case OUTCOME_NOT_RUN:
		return CALL_NOT_RUN;
	case OUTCOME_UNKNOWN:
		return CALL_UNKNOWN;
	default:
		break;
	}
	if (answer->status == 200 && !is_expected_answer(load_call))
		return CALL_CORRUPT;
	return CALL_ANSWERED;
}

/* Returns the result of a call whose exchange has ended. */
static enum call_result classify_end(const struct load_call *load_call, enum client_end end)
{
	bool may_fail = load_call->run->plan->entries_may_fail;

	switch (end) {
	case CLIENT_END_COMPLETE:
		return classify_answer(load_call);
	case CLIENT_END_TRUNCATED:
		return may_fail ? CALL_UNKNOWN : CALL_CUT;
	case CLIENT_END_NO_ANSWER:
		return may_fail ? CALL_UNKNOWN : CALL_LOST;
	default:
		return CALL_NOT_RUN;
	}
}

/* Records the latencies of an answered call. */
static void record_latency(const struct load_call *load_call)
{
	struct run_latency *latency =
		&load_call->run->result->latency[get_call_record(load_call)->stream];
	uint64_t total_us = clock_monotonic_us() - load_call->intended_us;
	int64_t server_us = load_call->answer.server_us;
	int64_t run_us = load_call->answer.run_us;

	if (load_call->run->plan->direct)
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

/*
 * Finishes a call with a result, or repeats it if it is keyed and its outcome is unknown. A repeat
 * that did not run leaves the outcome unknown, since the first send may have run.
 */
static void load_call_finish(struct load_call *load_call, enum call_result result)
{
	struct call_record *record = get_call_record(load_call);
	struct run *run = load_call->run;
	uint32_t stream = record->stream;

	record->attempts += (uint16_t)load_call->answer.attempts;
	if (result == CALL_UNKNOWN && load_call->is_keyed && record->sends < SENDS_MAX) {
		load_call_send(load_call);
		return;
	}
	if (result == CALL_NOT_RUN && record->sends > 1)
		result = CALL_UNKNOWN;
	record->result = (uint8_t)result;
	if (result == CALL_ANSWERED) {
		record->is_error = load_call->answer.status != 200;
		record_latency(load_call);
	}
	uv_close((uv_handle_t *)&load_call->timer, free_load_call);
	run->in_flight--;
	run->on_call_end(run, stream);
}

/* Finishes the call when its exchange ends. */
static void on_end(struct client_call *call, enum client_end end)
{
	struct load_call *load_call = (struct load_call *)call;

	uv_timer_stop(&load_call->timer);
	load_call_finish(load_call, classify_end(load_call, end));
}

/* Counts a call without an answer by its deadline plus the grace period as lost. */
static void on_call_timeout(uv_timer_t *timer)
{
	struct load_call *load_call = timer->data;

	client_cancel(&load_call->call);
	load_call_finish(load_call, CALL_LOST);
}

/*
 * Writes an idempotency key as a version 7 UUID. Its timestamp shows the owner of the key that the
 * key is new.
 */
static void write_key(struct load_call *load_call)
{
	uint64_t now_ms = clock_wall_us() / USEC_PER_MSEC;
	uint64_t hash = XXH3_64bits(load_call->id, strlen(load_call->id));

	snprintf(load_call->key, sizeof(load_call->key), "%08x-%04x-7%03x-8%03x-%012llx",
		 (unsigned int)(now_ms >> 16), (unsigned int)(now_ms & 0xffff),
		 (unsigned int)(hash >> 60), (unsigned int)(hash >> 48 & 0xfff),
		 (unsigned long long)(hash & 0xffffffffffff));
}

/* Writes the request line and the headers, and sets the request of the call. */
static void write_head(struct load_call *load_call)
{
	const struct plan_stream *stream = load_call->stream;
	bool direct = load_call->run->plan->direct;
	int bytes;

	bytes = snprintf(
		load_call->head, HEAD_BYTES,
		"%s %s%s%s HTTP/1.1\r\nhost: fescue-load\r\nx-call: %s\r\n"
		"x-standin-size: %u\r\nx-fescue-class: %s\r\nx-fescue-deadline-ms: %u\r\n"
		"content-length: %u\r\n%s%s%s%s\r\n",
		stream->method, direct ? "" : "/", direct ? "" : stream->service, stream->path,
		load_call->id, stream->answer_bytes, stream->class_name, stream->deadline_ms,
		stream->body_bytes, stream->marked_idempotent ? "x-fescue-idempotent: 1\r\n" : "",
		load_call->is_keyed ? "idempotency-key: " : "",
		load_call->is_keyed ? load_call->key : "", load_call->is_keyed ? "\r\n" : "");
	load_call->call.request[0] = h2o_iovec_init(load_call->head, (size_t)bytes);
	load_call->call.request[1] = h2o_iovec_init(load_call->body, stream->body_bytes);
}

/*
 * Returns the connection pool of a random entry or, for direct calls, of a random backend server of
 * the stream's service.
 */
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

/* Sends a call, for the first time or as a repeat. */
static void load_call_send(struct load_call *load_call)
{
	const struct plan_stream *stream = load_call->stream;
	struct run *run = load_call->run;

	memset(&load_call->answer, 0, sizeof(load_call->answer));
	load_call->answer.server_us = -1;
	load_call->answer.run_us = -1;
	load_call->is_body_corrupt = false;
	payload_start(&load_call->expected, load_call->id, strlen(load_call->id));
	get_call_record(load_call)->sends++;
	uv_timer_start(&load_call->timer, on_call_timeout,
		       stream->deadline_ms + run->plan->grace_ms, 0);
	client_start(&run->client, choose_pool(run, stream), &load_call->call);
}

/*
 * Starts a call that was added to the ledger. intended_us is the monotonic time at which it should
 * be sent; its latency is measured from that time.
 */
void load_call_start(struct run *run, uint32_t index, uint64_t intended_us)
{
	struct load_call *load_call = h2o_mem_alloc(sizeof(*load_call));
	struct payload payload;

	memset(load_call, 0, sizeof(*load_call));
	load_call->run = run;
	load_call->index = index;
	load_call->intended_us = intended_us;
	load_call->stream = &run->plan->streams[get_call_record(load_call)->stream];
	load_call->is_keyed = random_unit(&run->rng) < load_call->stream->keyed_share;
	load_call->call.is_head = strcmp(load_call->stream->method, "HEAD") == 0;
	load_call->call.on_head = on_head;
	load_call->call.on_data = on_data;
	load_call->call.on_end = on_end;
	load_call->body = h2o_mem_alloc(load_call->stream->body_bytes + 1);
	ledger_call_id(&run->result->ledger, index, load_call->id);
	write_key(load_call);
	payload_start(&payload, load_call->id, strlen(load_call->id));
	payload_fill(&payload, load_call->body, load_call->stream->body_bytes);
	payload_checksum(load_call->body, load_call->stream->body_bytes, load_call->body_sum);
	write_head(load_call);
	uv_timer_init(run->loop, &load_call->timer);
	load_call->timer.data = load_call;
	run->in_flight++;
	histogram_record(&run->result->send_lag, clock_monotonic_us() - intended_us);
	load_call_send(load_call);
}
