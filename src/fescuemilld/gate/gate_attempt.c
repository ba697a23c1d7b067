/*
 * Memory of one attempt at the gate.
 */
#include "fescuemilld/gate/gate_attempt.h"

#include "fescuemilld/gate/gate_pieces.h"

#include <stdlib.h>
#include <string.h>

/* Copies bytes into an arena. */
static struct wire_bytes copy_bytes(h2o_mem_pool_t *arena, struct wire_bytes from)
{
	uint8_t *data;

	if (from.size == 0)
		return (struct wire_bytes){NULL, 0};
	data = h2o_mem_alloc_pool(arena, from.size);
	memcpy(data, from.data, from.size);
	return (struct wire_bytes){data, from.size};
}

/* Copies the bytes of headers into an arena and makes the headers refer to the copies. */
static void copy_headers(h2o_mem_pool_t *arena, struct wire_headers *headers)
{
	for (uint32_t i = 0; i < headers->count; i++) {
		struct wire_header *header = &headers->list[i];

		header->name = copy_bytes(arena, header->name);
		header->value = copy_bytes(arena, header->value);
	}
}

/* Returns the size in bytes of an attempt's request. */
uint64_t gate_attempt_request_bytes(const struct message_call *call)
{
	uint64_t bytes = call->path.size + call->key.size + call->body.size;

	for (uint32_t i = 0; i < call->headers.count; i++)
		bytes += call->headers.list[i].name.size + call->headers.list[i].value.size;
	return bytes;
}

/* Copies the body of a call. One that was gathered from pieces is taken over instead. */
static void take_body(struct gate_attempt *attempt)
{
	struct gathered_body *gathered = attempt->call.gathered;

	attempt->call.gathered = NULL;
	if (!gathered) {
		attempt->call.body = copy_bytes(&attempt->request_arena, attempt->call.body);
		return;
	}
	attempt->gathered = gathered->data;
	gathered->data = NULL;
}

/* Creates an attempt with a copy of the call message. Returns NULL if out of memory. */
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
	take_body(attempt);
	copy_headers(&attempt->request_arena, &attempt->call.headers);
	return attempt;
}

/* Returns the parts of the request that make its digest. */
struct request_parts gate_attempt_parts(const struct gate_attempt *attempt)
{
	const struct message_call *call = &attempt->call;

	return (struct request_parts){
		.method = call->method,
		.path = call->path,
		.body = call->body,
		.headers = &call->headers,
		.caller_header = attempt->shell->options.dialect->caller_header,
		.customer = call->customer,
	};
}

/* Returns the digest of the request, which must not have been released yet. */
uint64_t gate_attempt_digest(const struct gate_attempt *attempt)
{
	struct request_parts parts = gate_attempt_parts(attempt);

	return request_digest(&parts);
}

/* Copies the bytes of an answer into an arena and makes the answer refer to the copies. */
void gate_attempt_copy_answer(h2o_mem_pool_t *arena, struct message_answer *answer)
{
	copy_headers(arena, &answer->headers);
	answer->body = copy_bytes(arena, answer->body);
}

/* Stores a complete answer in the attempt. Returns its size in bytes. */
uint64_t gate_attempt_store_answer(struct gate_attempt *attempt,
				   const struct backend_answer *answer)
{
	struct message_answer *stored = &attempt->answer;
	uint64_t bytes = answer->body.size;

	stored->status = answer->status;
	stored->server_us = answer->server_us;
	stored->headers = answer->headers;
	stored->body = answer->body;
	gate_attempt_copy_answer(&attempt->answer_arena, stored);
	for (uint32_t i = 0; i < stored->headers.count; i++)
		bytes += stored->headers.list[i].name.size + stored->headers.list[i].value.size;
	return bytes;
}

/* Frees the memory of the request; the run must have ended. */
void gate_attempt_release_request(struct gate_attempt *attempt)
{
	if (attempt->is_apart)
		attempt->shell->apart_count--;
	attempt->is_apart = false;
	free(attempt->gathered);
	attempt->gathered = NULL;
	h2o_mem_clear_pool(&attempt->request_arena);
}

/* Frees the memory of the answer. */
void gate_attempt_release_answer(struct gate_attempt *attempt)
{
	attempt->answer.body.size = 0;
	attempt->answer.headers.count = 0;
	h2o_mem_clear_pool(&attempt->answer_arena);
}

/* Frees an attempt that neither runs nor waits. */
void gate_attempt_free(struct gate_attempt *attempt)
{
	gate_attempt_release_request(attempt);
	h2o_mem_clear_pool(&attempt->answer_arena);
	free(attempt);
}
