/*
 * Ask: one loop that runs until the answers are there.
 */
#include "fescuectl/ask.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HEADERS_BYTES 512
#define HTTP_OK_END   300

/* Opens an asker. Errors: ERROR_USAGE, ERROR_MEMORY. */
int asker_open(struct asker *asker, const struct options *options, struct error *err)
{
	if (strpbrk(options->key, "\r\n") || strpbrk(options->by, "\r\n"))
		return error_set(err, ERROR_USAGE, "a line break in the key or the name");
	signal(SIGPIPE, SIG_IGN);
	asker->options = options;
	uv_loop_init(&asker->loop);
	return fetcher_open(&asker->fetcher, &asker->loop, err);
}

/* Closes an asker. */
void asker_close(struct asker *asker)
{
	fetcher_close(asker->fetcher);
	uv_run(&asker->loop, UV_RUN_DEFAULT);
	uv_loop_close(&asker->loop);
}

/* Turns the error in a node's answer into an error of its kind. */
static void read_error(const json_t *json, int status, struct error *err)
{
	json_t *inner = json_object_get(json, "error");
	const char *kind = json_string_value(json_object_get(inner, "kind"));
	const char *detail = json_string_value(json_object_get(inner, "detail"));

	error_set(err, ERROR_STATE, "status %d", status);
	for (int i = 0; kind && i < ERROR_KIND_COUNT; i++) {
		if (strcmp(kind, error_kind_name((enum error_kind)i)) == 0)
			error_set(err, (enum error_kind)i, "%s", detail ? detail : "");
	}
}

static void on_answer(void *user, const struct fetch_result *result)
{
	struct answer *answer = user;

	answer->err = result->err;
	if (result->err.kind)
		return;
	answer->status = result->status;
	answer->json = json_loadb(result->body, result->body_size, 0, NULL);
	if (result->status >= HTTP_OK_END)
		read_error(answer->json, result->status, &answer->err);
	else if (!answer->json)
		error_set(&answer->err, ERROR_SYNTAX, "an answer that is not JSON");
}

static void start(struct asker *asker, const struct question *question, struct answer *answer)
{
	char headers[HEADERS_BYTES];
	struct fetch_request request = {
		.to = answer->node,
		.method = question->method,
		.path = question->path,
		.headers = headers,
		.body = question->body,
		.body_size = question->body ? strlen(question->body) : 0,
		.timeout_ms = asker->options->timeout_ms,
	};

	snprintf(headers, sizeof(headers), "x-fescue-key: %s\r\n%s", asker->options->key,
		 question->headers ? question->headers : "");
	fetch_start(asker->fetcher, &request, on_answer, answer, &answer->err);
}

/* Runs the loop until every answer is there or has failed. */
static void wait_for(struct asker *asker, const struct answer *answers, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		while (!answers[i].json && !answers[i].err.kind)
			uv_run(&asker->loop, UV_RUN_ONCE);
	}
}

static bool was_reached(const struct answer *answer)
{
	return answer->status > 0;
}

/* Asks one node after the other. Errors as the header says. */
int ask_any(struct asker *asker, const struct question *question, json_t **json, struct error *err)
{
	struct answer answer;

	if (!asker->options->node_count)
		return error_set(err, ERROR_USAGE,
				 "no nodes: give --node, FESCUECTL_NODES or "
				 "\"nodes\" in a settings file");
	for (uint32_t i = 0; i < asker->options->node_count; i++) {
		memset(&answer, 0, sizeof(answer));
		answer.node = asker->options->nodes[i];
		start(asker, question, &answer);
		wait_for(asker, &answer, 1);
		if (was_reached(&answer))
			break;
	}
	*json = answer.json;
	if (!answer.err.kind)
		return 0;
	json_decref(answer.json);
	*json = NULL;
	if (was_reached(&answer))
		*err = answer.err;
	else
		error_set(err, answer.err.kind, "none of %u nodes answers; the last: %.100s",
			  asker->options->node_count, answer.err.detail);
	return -1;
}

/* Asks all nodes. */
void ask_all(struct asker *asker, const struct question *question, struct answer *answers)
{
	uint32_t count = asker->options->node_count;

	memset(answers, 0, count * sizeof(*answers));
	for (uint32_t i = 0; i < count; i++) {
		answers[i].node = asker->options->nodes[i];
		start(asker, question, &answers[i]);
	}
	wait_for(asker, answers, count);
}

/* Frees what answers hold. */
void answers_free(struct answer *answers, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		json_decref(answers[i].json);
}
