/*
 * Client: platform calls over HTTP. Calls are rare, so each has a connection of its own, and one
 * that goes silent can hold up only its own call, until its time-out. Every call passes the byte
 * budget of measuring here and nowhere else.
 */
#include "fescuemill/platform/client.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/http/fetch.h"
#include "fescuemill/platform/cost.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_BYTES	 192
#define HEADERS_BYTES	 96
#define HTTP_OK		 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND	 404
#define HTTP_CONFLICT	 409
#define HTTP_TOO_LARGE	 413
#define HTTP_TOO_MANY	 429

struct platform_client {
	struct platform interface; /* first, so that the interface is the client */
	struct fetcher *fetcher;
	uint32_t endpoint_count;
	uint32_t endpoint; /* the one in use */
	struct endpoint endpoints[PLATFORM_ENDPOINTS_MAX];
	uint32_t timeout_ms;
	struct budget *budget;
	bool crosses_link;
	uint32_t calls; /* that run */
	bool closed;
};

struct client_call {
	struct platform_client *client;
	enum platform_call_type type;
	uint32_t endpoint;
	platform_done_fn done;
	void *user;
};

static bool call_changes(const struct client_call *call)
{
	return call->type == PLATFORM_CREATE || call->type == PLATFORM_UPDATE ||
	       call->type == PLATFORM_DELETE;
}

/* Reads the version that stands in the body of every answer but a get's. */
static int read_version(const struct fetch_result *answer, uint64_t *version)
{
	json_t *root = json_loadb(answer->body, answer->body_size, 0, NULL);
	json_t *number = json_object_get(root, "version");
	int status = json_is_integer(number) ? 0 : -1;

	*version = (uint64_t)json_integer_value(number);
	json_decref(root);
	return status;
}

static enum error_kind kind_of_status(int status)
{
	switch (status) {
	case HTTP_NOT_FOUND:
		return ERROR_NOT_FOUND;
	case HTTP_CONFLICT:
		return ERROR_CONFLICT;
	case HTTP_TOO_LARGE:
		return ERROR_TOO_LARGE;
	case HTTP_TOO_MANY:
		return ERROR_LIMIT;
	case HTTP_BAD_REQUEST:
		return ERROR_USAGE;
	default:
		return ERROR_UNREACHABLE; /* a server error may hide a change that took effect */
	}
}

/* Turns a whole answer into the result of the call. */
static void read_answer(const struct client_call *call, const struct fetch_result *answer,
			struct platform_result *result)
{
	bool versioned = call->type != PLATFORM_GET || answer->status == HTTP_CONFLICT;

	result->body = answer->body;
	result->body_size = answer->body_size;
	if (answer->status != HTTP_OK)
		error_set(&result->err, kind_of_status(answer->status), "platform %s: status %d",
			  platform_call_name(call->type), answer->status);
	if (!versioned)
		result->version = strtoull(answer->header, NULL, 10);
	else if (read_version(answer, &result->version) && answer->status == HTTP_OK)
		error_set(&result->err, ERROR_UNREACHABLE, "platform %s: answer without a version",
			  platform_call_name(call->type));
}

/* Charges what came back, whole or not. */
static void charge_answer(const struct platform_client *client, const struct fetch_result *answer)
{
	uint32_t bytes = cost_of_payload(answer->head_size + answer->body_size);

	budget_charge_whole(client->budget, bytes, client->crosses_link, clock_monotonic_us());
	counter_add(COUNTER_PLATFORM_RECEIVED, bytes);
}

/* Charges a request, or tells that it has to wait. A watch may go while an earlier answer is still
 * being paid off: it keeps the configuration current and costs little. */
static bool charge_request(const struct platform_client *client,
			   const struct platform_request *request, uint32_t bytes)
{
	uint64_t now_us = clock_monotonic_us();
	bool admitted = true;

	if (!request->can_wait)
		budget_charge_whole(client->budget, bytes, client->crosses_link, now_us);
	else if (request->type == PLATFORM_WATCH)
		admitted = budget_take(client->budget, bytes, client->crosses_link, now_us);
	else
		admitted = budget_take_settled(client->budget, bytes, client->crosses_link, now_us);
	counter_add(admitted ? COUNTER_PLATFORM_SENT : COUNTER_PLATFORM_BUDGET_WAITS,
		    admitted ? bytes : 1);
	return admitted;
}

static void on_fetched(void *user, const struct fetch_result *answer)
{
	struct client_call *call = user;
	struct platform_client *client = call->client;
	struct platform_result result = {0};
	bool lost;

	charge_answer(client, answer);
	if (answer->err.kind)
		error_set(&result.err, answer->err.kind, "platform %s: %.100s",
			  platform_call_name(call->type), answer->err.detail);
	else
		read_answer(call, answer, &result);
	lost = result.err.kind == ERROR_TIMEOUT || result.err.kind == ERROR_UNREACHABLE ||
	       result.err.kind == ERROR_STATE;
	result.effect_unknown = lost && answer->sent && call_changes(call);
	if (lost && call->endpoint == client->endpoint)
		client->endpoint = (call->endpoint + 1) % client->endpoint_count;
	client->calls--;
	call->done(call->user, &result);
	free(call);
	if (client->closed && !client->calls)
		free(client);
}

static const char *method_of(enum platform_call_type type)
{
	if (type == PLATFORM_CREATE || type == PLATFORM_UPDATE)
		return "PUT";
	return type == PLATFORM_DELETE ? "DELETE" : "GET";
}

/* Writes the path and the headers of a call. */
static void write_head(const struct platform_request *request, char *path, char *headers)
{
	uint64_t version = request->type == PLATFORM_CREATE ? 0 : request->version;

	headers[0] = '\0';
	if (request->type == PLATFORM_WATCH) {
		snprintf(path, PATH_BYTES, "/v1/watch/%s?after=%" PRIu64 "&wait_ms=%u",
			 request->kind, request->version, request->wait_ms);
		return;
	}
	if (request->type == PLATFORM_LIST)
		snprintf(path, PATH_BYTES, "/v1/objects/%s", request->kind);
	else
		snprintf(path, PATH_BYTES, "/v1/objects/%s/%s", request->kind, request->name);
	if (request->type == PLATFORM_GET || request->type == PLATFORM_LIST)
		return;
	snprintf(headers, HEADERS_BYTES,
		 "if-version: %" PRIu64 "\r\ncontent-type: application/json\r\n", version);
}

/* Names go into the request line, so they are of a narrow alphabet. */
static bool name_is_plain(const char *name)
{
	size_t size = strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789-_.");

	return size > 0 && size < PLATFORM_NAME_BYTES && !name[size];
}

/* Tells why a request cannot be sent, or NULL. */
static const char *refusal(const struct platform_request *request)
{
	bool named = request->type != PLATFORM_LIST && request->type != PLATFORM_WATCH;

	if (!name_is_plain(request->kind) || (named && !name_is_plain(request->name)))
		return "a name has 1 to 63 letters, digits, \"-\", \"_\" or \".\"";
	if (request->value_size > PLATFORM_VALUE_BYTES)
		return "the value is over 1 MiB";
	return NULL;
}

static void refuse(platform_done_fn done, void *user, enum error_kind kind, const char *why)
{
	struct platform_result result = {0};

	error_set(&result.err, kind, "%s", why);
	done(user, &result);
}

/* Sends a call whose request was found to be in order. Errors: ERROR_MEMORY, ERROR_BUDGET. */
static int send_call(struct platform_client *client, const struct platform_request *request,
		     struct client_call *call, struct error *err)
{
	char path[PATH_BYTES];
	char headers[HEADERS_BYTES];
	bool writes = request->type == PLATFORM_CREATE || request->type == PLATFORM_UPDATE;
	struct fetch_request fetch = {
		.to = client->endpoints[client->endpoint],
		.method = method_of(request->type),
		.path = path,
		.headers = headers,
		.body = writes ? request->value : NULL,
		.body_size = writes ? request->value_size : 0,
		.timeout_ms = client->timeout_ms +
			      (request->type == PLATFORM_WATCH ? request->wait_ms : 0),
		.wanted_header = "x-object-version",
	};

	write_head(request, path, headers);
	if (!charge_request(client, request, cost_of_request(fetch_request_size(&fetch))))
		return error_set(err, ERROR_BUDGET, "the byte budget of measuring is spent");
	return fetch_start(client->fetcher, &fetch, on_fetched, call, err);
}

/* Starts a call over a connection of its own. */
static void client_start(struct platform *platform, const struct platform_request *request,
			 platform_done_fn done, void *user)
{
	struct platform_client *client = (struct platform_client *)platform;
	const char *why = refusal(request);
	struct client_call *call;
	struct error err = {0};

	if (why) {
		refuse(done, user, ERROR_RANGE, why);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call) {
		refuse(done, user, ERROR_MEMORY, "no memory for a platform call");
		return;
	}
	call->client = client;
	call->type = request->type;
	call->endpoint = client->endpoint;
	call->done = done;
	call->user = user;
	if (send_call(client, request, call, &err)) {
		free(call);
		refuse(done, user, err.kind, err.detail);
		return;
	}
	client->calls++;
	counter_add(COUNTER_PLATFORM_CALLS, 1);
}

static const struct platform_ops client_ops = {.start = client_start};

/* Opens a client for the endpoints in the settings. Errors: ERROR_MEMORY. */
int platform_client_open(struct platform_client **out, uv_loop_t *loop,
			 const struct settings *settings, struct budget *budget, struct error *err)
{
	struct platform_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the platform client");
	if (fetcher_open(&client->fetcher, loop, err)) {
		free(client);
		return -1;
	}
	client->interface.ops = &client_ops;
	client->endpoint_count = settings->platform_count;
	memcpy(client->endpoints, settings->platform, sizeof(client->endpoints));
	client->timeout_ms = settings->platform_timeout_ms;
	client->budget = budget;
	/* A region that is not stated counts as another one, so that no link is overspent. */
	client->crosses_link = strcmp(settings->platform_region, settings->region) != 0;
	*out = client;
	return 0;
}

/* Gives the interface that the client implements. */
struct platform *platform_client_interface(struct platform_client *client)
{
	return &client->interface;
}

/* Tells whether calls count as crossing the link between regions. */
bool platform_client_crosses_link(const struct platform_client *client)
{
	return client->crosses_link;
}

/* Ends all calls that run with ERROR_STATE, and frees the client. */
void platform_client_close(struct platform_client *client)
{
	if (!client)
		return;
	client->calls++; /* so that the last call that ends does not free it under the fetcher */
	fetcher_close(client->fetcher);
	client->calls--;
	client->closed = true;
	if (!client->calls)
		free(client);
}
