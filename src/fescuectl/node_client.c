/*
 * Node client: sends requests to the administration APIs of nodes and waits for the responses.
 */
#include "fescuectl/node_client.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HEADERS_BYTES 512
#define HTTP_OK_END   300

/*
 * Opens a client. The options are borrowed. Ignores SIGPIPE in the whole process. Errors:
 * ERROR_USAGE, ERROR_MEMORY.
 */
int node_client_open(struct node_client *client, const struct options *options, struct error *err)
{
	if (strpbrk(options->key, "\r\n") || strpbrk(options->by, "\r\n"))
		return error_set(err, ERROR_USAGE, "the key or the name has a line break");
	signal(SIGPIPE, SIG_IGN);
	client->options = options;
	uv_loop_init(&client->loop);
	return fetcher_open(&client->fetcher, &client->loop, err);
}

void node_client_close(struct node_client *client)
{
	fetcher_close(client->fetcher);
	uv_run(&client->loop, UV_RUN_DEFAULT);
	uv_loop_close(&client->loop);
}

/* Reads the error in a node's response; ERROR_STATE with the HTTP status if its kind is unknown. */
static void parse_error(const json_t *json, int status, struct error *err)
{
	json_t *error = json_object_get(json, "error");
	const char *kind = json_string_value(json_object_get(error, "kind"));
	const char *detail = json_string_value(json_object_get(error, "detail"));

	error_set(err, ERROR_STATE, "status %d", status);
	for (int i = 0; kind && i < ERROR_KIND_COUNT; i++) {
		if (strcmp(kind, error_kind_name((enum error_kind)i)) == 0)
			error_set(err, (enum error_kind)i, "%s", detail ? detail : "");
	}
}

static void on_response(void *user, const struct fetch_result *result)
{
	struct node_response *response = user;

	response->err = result->err;
	if (result->err.kind)
		return;
	response->status = result->status;
	response->json = json_loadb(result->body, result->body_size, 0, NULL);
	if (result->status >= HTTP_OK_END)
		parse_error(response->json, result->status, &response->err);
	else if (!response->json)
		error_set(&response->err, ERROR_SYNTAX, "the answer is not JSON");
}

static void start_request(struct node_client *client, const struct node_request *request,
			  struct node_response *response)
{
	char headers[HEADERS_BYTES];
	struct fetch_request fetch = {
		.to = response->node,
		.method = request->method,
		.path = request->path,
		.headers = headers,
		.body = request->body,
		.body_size = request->body ? strlen(request->body) : 0,
		.timeout_ms = client->options->timeout_ms,
	};

	snprintf(headers, sizeof(headers), "x-fescue-key: %s\r\n%s", client->options->key,
		 request->headers ? request->headers : "");
	fetch_start(client->fetcher, &fetch, on_response, response, &response->err);
}

/* Runs the loop until each response has arrived or failed. */
static void wait_for(struct node_client *client, const struct node_response *responses,
		     uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		while (!responses[i].json && !responses[i].err.kind)
			uv_run(&client->loop, UV_RUN_ONCE);
	}
}

static bool was_reached(const struct node_response *response)
{
	return response->status > 0;
}

/*
 * Sends a request to one node after the other until one answers. Errors: those of the nodes,
 * ERROR_UNREACHABLE, ERROR_TIMEOUT, and ERROR_USAGE without nodes.
 */
int node_client_request_any(struct node_client *client, const struct node_request *request,
			    json_t **json, struct error *err)
{
	struct node_response response;

	if (!client->options->node_count)
		return error_set(err, ERROR_USAGE,
				 "no nodes: give --node, FESCUECTL_NODES or "
				 "\"nodes\" in a settings file");
	for (uint32_t i = 0; i < client->options->node_count; i++) {
		memset(&response, 0, sizeof(response));
		response.node = client->options->nodes[i];
		start_request(client, request, &response);
		wait_for(client, &response, 1);
		if (was_reached(&response))
			break;
	}
	*json = response.json;
	if (!response.err.kind)
		return 0;
	json_decref(response.json);
	*json = NULL;
	if (was_reached(&response))
		*err = response.err;
	else
		error_set(err, response.err.kind, "none of %u nodes answered; last error: %.100s",
			  client->options->node_count, response.err.detail);
	return -1;
}

/* Sends a request to all nodes at once and waits for their responses. */
void node_client_request_all(struct node_client *client, const struct node_request *request,
			     struct node_response *responses)
{
	uint32_t count = client->options->node_count;

	memset(responses, 0, count * sizeof(*responses));
	for (uint32_t i = 0; i < count; i++) {
		responses[i].node = client->options->nodes[i];
		start_request(client, request, &responses[i]);
	}
	wait_for(client, responses, count);
}

/* Frees the JSON of the responses. */
void node_responses_free(struct node_response *responses, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		json_decref(responses[i].json);
}
