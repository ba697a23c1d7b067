/*
 * Client: platform calls over HTTP. Calls are rare, so each has a connection of its own: a
 * connection that stops responding delays only its own call, until its timeout. All bytes of
 * platform calls are charged to the byte budget here and nowhere else.
 */
#include "fescuemill/store/client.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/http/fetch.h"
#include "fescuemill/store/cost.h"
#include "fescuemill/store/version.h"

#include <stdlib.h>
#include <string.h>

#define DECIMAL	  10
#define PAGES_MAX 1000 /* of one list, in case a store always returns another page */

struct platform_client {
	struct platform interface; /* first member: a pointer to it is one to the client */
	const struct store_dialect *dialect;
	struct fetcher *fetcher;
	uint32_t endpoint_count;
	uint32_t endpoint; /* index of the endpoint in use */
	struct endpoint endpoints[PLATFORM_ENDPOINTS_MAX];
	uint32_t timeout_ms;
	struct budget *budget;
	uint32_t call_count; /* running calls */
	bool closed;
};

struct client_call {
	struct platform_client *client;
	enum platform_call_type type;
	char kind[PLATFORM_NAME_BYTES];
	char after[PLATFORM_NAME_BYTES]; /* list: last name of the previous page */
	struct store_pages pages;	 /* list: pages read so far */
	uint32_t page_count;		 /* list: pages requested after the first one */
	uint64_t version;		 /* of the request */
	uint64_t restores;		 /* list: restores of the store at the first page */
	bool can_wait;
	uint64_t started_us;
	uint32_t endpoint; /* index of the endpoint that the request was sent to */
	platform_done_fn done;
	void *user;
};

static bool is_change(const struct client_call *call)
{
	return call->type == PLATFORM_CREATE || call->type == PLATFORM_UPDATE ||
	       call->type == PLATFORM_DELETE;
}

/* Charges the bytes of an answer, complete or not. */
static void charge_answer(const struct platform_client *client, const struct fetch_result *answer)
{
	uint32_t bytes = cost_of_payload(answer->head_size + answer->body_size);

	budget_charge_in_full(client->budget, bytes, client->interface.crosses_link,
			      clock_monotonic_us());
	counter_add(COUNTER_PLATFORM_RECEIVED, bytes);
}

/* Returns the number of restores of the store at the time of an answer, and records it. The era
 * that an answer states rises with each restore. */
static uint64_t record_restores(struct platform_client *client, const struct fetch_result *answer)
{
	const char *era = answer->headers[STORE_HEADER_ERA];
	uint64_t restores;

	if (!era[0])
		return client->interface.restores;
	client->interface.knows_restores = true;
	restores = store_restores_of_era(strtoull(era, NULL, DECIMAL));
	if (restores > client->interface.restores)
		client->interface.restores = restores;
	return restores;
}

/* Replaces the revisions of an answer by versions. An answer of after a restore does not continue
 * from the version that a watch named, nor from the earlier pages of a list. */
static void apply_restores(struct client_call *call, struct store_read_context *read,
			   struct platform_result *result, uint64_t restores)
{
	size_t index;
	json_t *item;

	if (call->page_count == 0)
		call->restores = restores;
	if ((call->type == PLATFORM_WATCH && restores > store_version_restores(call->version)) ||
	    restores != call->restores) {
		error_set(&result->err, ERROR_VERSION,
			  "platform %s: the store was restored from a copy meanwhile",
			  platform_call_name(call->type));
		return;
	}
	if (restores == 0)
		return;
	result->version = store_version(restores, result->version);
	if (call->type != PLATFORM_LIST && call->type != PLATFORM_WATCH)
		return;
	if (!read->root && result->body_size > 0) {
		read->root = json_loadb(result->body, result->body_size, 0, NULL);
		result->root = read->root;
	}
	json_object_set_new(read->root, "version", json_integer((json_int_t)result->version));
	json_array_foreach(json_object_get(read->root, "items"), index, item)
	{
		json_int_t revision = json_integer_value(json_object_get(item, "version"));

		json_object_set_new(
			item, "version",
			json_integer((json_int_t)store_version(restores, (uint64_t)revision)));
	}
}

/* Charges a request to the byte budget. Returns false if the request has to wait. A watch may be
 * sent while the budget has a backlog from earlier answers: it keeps the configuration up to date
 * and costs few bytes. */
static bool charge_request(const struct platform_client *client,
			   const struct platform_request *request, uint32_t bytes)
{
	uint64_t now_us = clock_monotonic_us();
	bool admitted = true;

	if (!request->can_wait)
		budget_charge_in_full(client->budget, bytes, client->interface.crosses_link,
				      now_us);
	else if (request->type == PLATFORM_WATCH)
		admitted =
			budget_take(client->budget, bytes, client->interface.crosses_link, now_us);
	else
		admitted = budget_take_if_no_backlog(client->budget, bytes,
						     client->interface.crosses_link, now_us);
	counter_add(admitted ? COUNTER_PLATFORM_SENT : COUNTER_PLATFORM_BUDGET_WAITS,
		    admitted ? bytes : 1);
	return admitted;
}

/* Reports the result of a call and frees the call. After an error of the connection, later calls go
 * to the next endpoint. */
static void end_call(struct client_call *call, struct platform_result *result, bool was_sent)
{
	struct platform_client *client = call->client;
	bool lost = result->err.kind == ERROR_TIMEOUT || result->err.kind == ERROR_UNREACHABLE ||
		    result->err.kind == ERROR_STATE;

	if (call->type != PLATFORM_WATCH)
		latency_record(LATENCY_STORE_CALL, clock_monotonic_us() - call->started_us);
	result->effect_unknown = lost && was_sent && is_change(call);
	if (lost && call->endpoint == client->endpoint)
		client->endpoint = (call->endpoint + 1) % client->endpoint_count;
	client->call_count--;
	call->done(call->user, result);
	store_pages_free(&call->pages);
	free(call);
	if (client->closed && !client->call_count)
		free(client);
}

static int send_call(struct platform_client *client, const struct platform_request *request,
		     struct client_call *call, struct error *err);

/* Requests the next page of a list. Errors: ERROR_LIMIT, those of send_call(). */
static int request_next_page(struct client_call *call, struct error *err)
{
	struct platform_request request = {
		.type = call->type,
		.kind = call->kind,
		.after_name = call->after,
		.can_wait = call->can_wait,
	};

	if (++call->page_count > PAGES_MAX)
		return error_set(err, ERROR_LIMIT, "the platform's list has more than %d pages",
				 PAGES_MAX);
	return send_call(call->client, &request, call, err);
}

/* Handles an answer: requests the next page of a list, or ends the call. */
static void on_fetched(void *user, const struct fetch_result *answer)
{
	struct client_call *call = user;
	struct platform_client *client = call->client;
	struct platform_result result = {0};
	struct store_read_context read = {.pages = &call->pages};
	uint64_t restores;

	charge_answer(client, answer);
	restores = record_restores(client, answer);
	if (answer->err.kind)
		error_set(&result.err, answer->err.kind, "platform %s: %.100s",
			  platform_call_name(call->type), answer->err.detail);
	else
		client->dialect->read(call->type, answer, &read, &result);
	if (!result.err.kind || result.err.kind == ERROR_CONFLICT)
		apply_restores(call, &read, &result, restores);
	if (!result.err.kind && read.after[0]) {
		memcpy(call->after, read.after, sizeof(call->after));
		if (request_next_page(call, &result.err) == 0)
			return;
	}
	end_call(call, &result, answer->sent);
	free(read.text);
	json_decref(read.root);
}

/* Returns true if a name is short enough and can stand in a request line without escapes. */
static bool is_valid_name(const char *name)
{
	size_t size = strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789-_.");

	return size > 0 && size < PLATFORM_NAME_BYTES && !name[size];
}

/* Returns the reason why a request cannot be sent, or NULL if it can. */
static const char *find_request_fault(const struct platform_request *request)
{
	bool needs_name = request->type != PLATFORM_LIST && request->type != PLATFORM_WATCH;

	if (!is_valid_name(request->kind) || (needs_name && !is_valid_name(request->name)))
		return "an object's kind and name must have 1 to 63 letters, digits, \"-\", \"_\" "
		       "or \".\"";
	if (request->value_size > PLATFORM_VALUE_BYTES)
		return "the object's value is larger than 1 MiB";
	return NULL;
}

/* Reports the failure of a call that was not started. */
static void fail(platform_done_fn done, void *user, enum error_kind kind, const char *why)
{
	struct platform_result result = {0};

	error_set(&result.err, kind, "%s", why);
	done(user, &result);
}

/* Sends a valid request. Errors: ERROR_MEMORY, ERROR_BUDGET, those of the dialect and of
 * fetch_start(). */
static int send_call(struct platform_client *client, const struct platform_request *request,
		     struct client_call *call, struct error *err)
{
	struct platform_request own = *request;
	struct store_http_request text = {.body = request->value, .body_size = request->value_size};
	struct fetch_request fetch = {
		.to = client->endpoints[client->endpoint],
		.timeout_ms = client->timeout_ms +
			      (request->type == PLATFORM_WATCH ? request->wait_ms : 0),
		.wanted_headers = {[STORE_HEADER_VERSION] = client->dialect->version_header,
				   [STORE_HEADER_ERA] = client->dialect->era_header},
	};
	int status;

	own.version = store_version_revision(request->version);
	if (client->dialect->write(&own, &text, err) != 0)
		return -1;
	fetch.method = text.method;
	fetch.path = text.path;
	fetch.headers = text.headers;
	fetch.body = text.body;
	fetch.body_size = text.body ? text.body_size : 0;
	call->endpoint = client->endpoint;
	if (charge_request(client, request, cost_of_request(fetch_request_size(&fetch))))
		status = fetch_start(client->fetcher, &fetch, on_fetched, call, err);
	else
		status = error_set(err, ERROR_BUDGET,
				   "the byte budget for control traffic is used up");
	free(text.owned);
	return status;
}

/* Returns the error of a call whose version the store no longer has, because it was restored from a
 * copy since. The store cannot tell: it gives the revision out again. */
static enum error_kind find_outdated_version(const struct platform_client *client,
					     const struct platform_request *request)
{
	if (store_version_restores(request->version) >= client->interface.restores)
		return ERROR_NONE;
	switch (request->type) {
	case PLATFORM_WATCH:
		return ERROR_VERSION;
	case PLATFORM_UPDATE:
	case PLATFORM_DELETE:
		return ERROR_CONFLICT;
	default:
		return ERROR_NONE;
	}
}

/* Starts a call over a connection of its own. */
static void client_start(struct platform *platform, const struct platform_request *request,
			 platform_done_fn done, void *user)
{
	struct platform_client *client = (struct platform_client *)platform;
	const char *why = find_request_fault(request);
	enum error_kind outdated = find_outdated_version(client, request);
	struct client_call *call;
	struct error err = {0};

	if (why) {
		fail(done, user, ERROR_RANGE, why);
		return;
	}
	if (outdated != ERROR_NONE) {
		fail(done, user, outdated,
		     "the store was restored from a copy after the named version");
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call) {
		fail(done, user, ERROR_MEMORY, "no memory for a platform call");
		return;
	}
	call->client = client;
	call->type = request->type;
	call->version = request->version;
	call->can_wait = request->can_wait;
	call->started_us = clock_monotonic_us();
	memcpy(call->kind, request->kind, strlen(request->kind) + 1);
	call->done = done;
	call->user = user;
	if (send_call(client, request, call, &err)) {
		free(call);
		fail(done, user, err.kind, err.detail);
		return;
	}
	client->call_count++;
	counter_add(COUNTER_PLATFORM_CALLS, 1);
}

/* Ends all running calls with ERROR_STATE and frees the client. */
static void client_close(struct platform *platform)
{
	struct platform_client *client = (struct platform_client *)platform;

	client->call_count++; /* keeps the client until fetcher_close() has returned */
	fetcher_close(client->fetcher);
	client->call_count--;
	client->closed = true;
	if (!client->call_count)
		free(client);
}

static const struct platform_ops client_ops = {.start = client_start, .close = client_close};

/* Opens a client for the endpoints in the settings. Errors: ERROR_MEMORY. */
int platform_client_open(struct platform **out, uv_loop_t *loop, const struct settings *settings,
			 const struct store_dialect *dialect, struct budget *budget,
			 struct error *err)
{
	struct platform_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the platform client");
	if (fetcher_open(&client->fetcher, loop, err)) {
		free(client);
		return -1;
	}
	client->interface.ops = &client_ops;
	client->dialect = dialect;
	client->endpoint_count = settings->platform_count;
	memcpy(client->endpoints, settings->platform, sizeof(client->endpoints));
	client->timeout_ms = settings->platform_timeout_ms;
	client->budget = budget;
	/* An unset region counts as another region, so that the link budget is never exceeded. */
	client->interface.crosses_link = strcmp(settings->platform_region, settings->region) != 0;
	*out = &client->interface;
	return 0;
}
