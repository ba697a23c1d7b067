/*
 * Gate attempt: the memory of one attempt.
 */
#include "fescuemilld/gate_attempt.h"

#include "fescuemill/base/counter.h"

#include <stdlib.h>
#include <string.h>

/* Copies bytes to an arena. */
static struct wire_bytes copy_bytes(h2o_mem_pool_t *arena, struct wire_bytes from)
{
	uint8_t *data;

	if (from.size == 0)
		return (struct wire_bytes){NULL, 0};
	data = h2o_mem_alloc_pool(arena, from.size);
	memcpy(data, from.data, from.size);
	return (struct wire_bytes){data, from.size};
}

/* Makes headers own their bytes in an arena. */
static void own_headers(h2o_mem_pool_t *arena, struct wire_headers *headers)
{
	for (uint32_t i = 0; i < headers->count; i++) {
		struct wire_header *header = &headers->list[i];

		header->name = copy_bytes(arena, header->name);
		header->value = copy_bytes(arena, header->value);
	}
}

/* Sums the bytes that an attempt's request holds. */
uint64_t gate_attempt_bytes(const struct message_call *call)
{
	uint64_t bytes = call->path.size + call->key.size + call->body.size;

	for (uint32_t i = 0; i < call->headers.count; i++)
		bytes += call->headers.list[i].name.size + call->headers.list[i].value.size;
	return bytes;
}

/* Copies a call message into a new attempt; NULL without memory. */
struct gate_attempt *gate_attempt_new(struct gate_shell *shell, const struct origin *origin)
{
	struct gate_attempt *attempt = calloc(1, sizeof(*attempt));

	if (!attempt)
		return NULL;
	attempt->shell = shell;
	attempt->ticket.owner = attempt;
	attempt->id = origin->msg->id;
	attempt->route = *origin->route;
	h2o_mem_init_pool(&attempt->request_arena);
	h2o_mem_init_pool(&attempt->answer_arena);
	attempt->call = origin->msg->call;
	attempt->call.method = copy_bytes(&attempt->request_arena, attempt->call.method);
	attempt->call.path = copy_bytes(&attempt->request_arena, attempt->call.path);
	attempt->call.key = copy_bytes(&attempt->request_arena, attempt->call.key);
	attempt->call.body = copy_bytes(&attempt->request_arena, attempt->call.body);
	own_headers(&attempt->request_arena, &attempt->call.headers);
	return attempt;
}

/* Makes an answer own its bytes in an arena. */
void gate_attempt_own_answer(h2o_mem_pool_t *arena, struct message_answer *answer)
{
	own_headers(arena, &answer->headers);
	answer->body = copy_bytes(arena, answer->body);
}

/* Keeps a whole answer in the attempt. Returns its bytes. */
uint64_t gate_attempt_keep(struct gate_attempt *attempt, const struct backend_answer *answer)
{
	struct message_answer *kept = &attempt->answer;
	uint64_t bytes = answer->body.size;

	kept->status = answer->status;
	kept->server_us = answer->server_us;
	kept->headers = answer->headers;
	kept->body = answer->body;
	gate_attempt_own_answer(&attempt->answer_arena, kept);
	for (uint32_t i = 0; i < kept->headers.count; i++)
		bytes += kept->headers.list[i].name.size + kept->headers.list[i].value.size;
	return bytes;
}

/* Frees what the request holds; the run must have ended. */
void gate_attempt_release_request(struct gate_attempt *attempt)
{
	h2o_mem_clear_pool(&attempt->request_arena);
}

/* Frees what the answer holds. */
void gate_attempt_release_answer(struct gate_attempt *attempt)
{
	attempt->answer.body.size = 0;
	attempt->answer.headers.count = 0;
	h2o_mem_clear_pool(&attempt->answer_arena);
}

/* Frees an attempt that neither runs nor waits. */
void gate_attempt_free(struct gate_attempt *attempt)
{
	h2o_mem_clear_pool(&attempt->request_arena);
	h2o_mem_clear_pool(&attempt->answer_arena);
	free(attempt);
}

/* Counts an attempt by its profile. One that admission refused before it looked has none. */
void gate_attempt_count_profile(const struct gate_attempt *attempt)
{
	const struct gate_ticket *ticket = &attempt->ticket;

	if (ticket->arrival_us)
		counter_add(ticket->in_profile ? COUNTER_GATE_IN_PROFILE
					       : COUNTER_GATE_OUT_OF_PROFILE,
			    1);
}
