/*
 * Client: one HTTP connection for each platform call. Calls are rare, so a new connection costs
 * little, and one that goes silent can hold up only its own call, until its time-out.
 */
#include "fescuemill/platform/client.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#define ANSWER_BYTES_MAX ((size_t)32 * 1024 * 1024)
#define HEAD_BYTES	 512
#define IP_BYTES	 16
#define HTTP_OK		 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND	 404
#define HTTP_CONFLICT	 409
#define HTTP_TOO_LARGE	 413
#define HTTP_TOO_MANY	 429

struct platform_client {
	struct platform interface; /* first, so that the interface is the client */
	uv_loop_t *loop;
	uv_timer_t closer; /* its close callback frees the client after all other handles */
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t context;
	uint32_t endpoint_count;
	uint32_t endpoint; /* the one in use */
	struct endpoint endpoints[PLATFORM_ENDPOINTS_MAX];
	uint32_t timeout_ms;
	struct client_call *calls; /* list of calls that run */
};

struct client_call {
	struct platform_client *client;
	struct client_call *next;
	struct client_call *previous;
	enum platform_call_type type;
	uint32_t endpoint;
	platform_done_fn done;
	void *user;
	uv_timer_t timer;
	h2o_http1client_t *http; /* NULL once the library has ended it */
	bool sent;
	int status;
	uint64_t header_version;
	char *body;
	size_t body_size;
	char *value;
	char head[HEAD_BYTES];
	h2o_iovec_t buffers[2];
};

static bool call_changes(const struct client_call *call)
{
	return call->type == PLATFORM_CREATE || call->type == PLATFORM_UPDATE ||
	       call->type == PLATFORM_DELETE;
}

static void on_call_closed(uv_handle_t *handle)
{
	struct client_call *call = handle->data;

	free(call->body);
	free(call->value);
	free(call);
}

static void unlink_call(struct client_call *call)
{
	if (call->previous)
		call->previous->next = call->next;
	else
		call->client->calls = call->next;
	if (call->next)
		call->next->previous = call->previous;
}

/* Ends a call: tells its starter, and frees it once its timer is closed. */
static void finish(struct client_call *call, struct platform_result *result)
{
	bool lost = result->err.kind == ERROR_TIMEOUT || result->err.kind == ERROR_UNREACHABLE ||
		    result->err.kind == ERROR_STATE;

	result->effect_unknown = lost && call->sent && call_changes(call);
	if (lost && call->endpoint == call->client->endpoint)
		call->client->endpoint = (call->endpoint + 1) % call->client->endpoint_count;
	unlink_call(call);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
	call->done(call->user, result);
}

static void finish_error(struct client_call *call, enum error_kind kind, const char *what)
{
	struct platform_result result = {0};

	error_set(&result.err, kind, "platform %s: %s", platform_call_name(call->type), what);
	finish(call, &result);
}

/* Reads the version that stands in the body of every answer but a get's. */
static int read_version(struct client_call *call, uint64_t *version)
{
	json_error_t fault;
	json_t *root = json_loadb(call->body ? call->body : "", call->body_size, 0, &fault);
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
static void finish_answer(struct client_call *call)
{
	struct platform_result result = {.body = call->body ? call->body : "",
					 .body_size = call->body_size};
	bool versioned = call->type != PLATFORM_GET || call->status == HTTP_CONFLICT;

	if (call->status != HTTP_OK)
		error_set(&result.err, kind_of_status(call->status), "platform %s: status %d",
			  platform_call_name(call->type), call->status);
	if (!versioned)
		result.version = call->header_version;
	else if (read_version(call, &result.version) && call->status == HTTP_OK)
		error_set(&result.err, ERROR_UNREACHABLE, "platform %s: answer without a version",
			  platform_call_name(call->type));
	finish(call, &result);
}

static int append_body(struct client_call *call, h2o_buffer_t **input)
{
	size_t size = (*input)->size;
	char *body;

	if (call->body_size + size > ANSWER_BYTES_MAX)
		return -1;
	body = realloc(call->body, call->body_size + size + 1);
	if (!body)
		return -1;
	memcpy(body + call->body_size, (*input)->bytes, size);
	call->body = body;
	call->body_size += size;
	body[call->body_size] = '\0';
	h2o_buffer_consume(input, size);
	return 0;
}

static int on_body(h2o_http1client_t *http, const char *errstr)
{
	struct client_call *call = http->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call->http = NULL;
		finish_error(call, ERROR_UNREACHABLE, errstr);
		return 0;
	}
	if (append_body(call, &http->sock->input)) {
		call->http = NULL;
		finish_error(call, ERROR_TOO_LARGE, "answer over the limit");
		return -1;
	}
	if (errstr) {
		call->http = NULL;
		finish_answer(call);
	}
	return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *errstr,
				       int minor_version, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t header_count, int header_size)
{
	static const char name[] = "x-object-version";
	struct client_call *call = http->data;

	(void)minor_version;
	(void)msg;
	(void)header_size;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call->http = NULL;
		finish_error(call, ERROR_UNREACHABLE, errstr);
		return NULL;
	}
	call->status = status;
	for (size_t i = 0; i < header_count; i++) {
		if (h2o_memis(headers[i].name->base, headers[i].name->len, name, sizeof(name) - 1))
			call->header_version =
				h2o_strtosize(headers[i].value.base, headers[i].value.len);
	}
	if (errstr) {
		call->http = NULL;
		finish_answer(call);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *http, const char *errstr,
					  h2o_iovec_t **buffers, size_t *count, int *is_head)
{
	struct client_call *call = http->data;

	if (errstr) {
		call->http = NULL;
		finish_error(call, ERROR_UNREACHABLE, errstr);
		return NULL;
	}
	call->sent = true;
	*buffers = call->buffers;
	*count = call->buffers[1].len ? 2 : 1;
	*is_head = 0;
	return on_head;
}

static void on_timeout(uv_timer_t *timer)
{
	struct client_call *call = timer->data;

	if (call->http)
		h2o_http1client_cancel(call->http);
	call->http = NULL;
	finish_error(call, ERROR_TIMEOUT, "no answer in time");
}

/* Writes the request line and headers; returns the bytes, or -1 when they do not fit. */
static int write_head(struct client_call *call, const struct platform_request *request)
{
	const char *tail = "host: platform\r\nconnection: close\r\n";
	size_t size = sizeof(call->head);
	int used = -1;

	switch (request->type) {
	case PLATFORM_GET:
		used = snprintf(call->head, size, "GET /v1/objects/%s/%s HTTP/1.1\r\n%s\r\n",
				request->kind, request->name, tail);
		break;
	case PLATFORM_LIST:
		used = snprintf(call->head, size, "GET /v1/objects/%s HTTP/1.1\r\n%s\r\n",
				request->kind, tail);
		break;
	case PLATFORM_CREATE:
	case PLATFORM_UPDATE:
		used = snprintf(call->head, size,
				"PUT /v1/objects/%s/%s HTTP/1.1\r\n%sif-version: %" PRIu64
				"\r\ncontent-type: application/json\r\ncontent-length: %zu\r\n\r\n",
				request->kind, request->name, tail,
				request->type == PLATFORM_CREATE ? 0 : request->version,
				request->value_size);
		break;
	case PLATFORM_DELETE:
		used = snprintf(call->head, size,
				"DELETE /v1/objects/%s/%s HTTP/1.1\r\n%sif-version: %" PRIu64
				"\r\n\r\n",
				request->kind, request->name, tail, request->version);
		break;
	case PLATFORM_WATCH:
		used = snprintf(call->head, size,
				"GET /v1/watch/%s?after=%" PRIu64 "&wait_ms=%u HTTP/1.1\r\n%s\r\n",
				request->kind, request->version, request->wait_ms, tail);
		break;
	case PLATFORM_CALL_COUNT:
		break;
	}
	return used > 0 && (size_t)used < size ? used : -1;
}

/* Prepares the buffers that are sent. */
static int prepare(struct client_call *call, const struct platform_request *request)
{
	int used = write_head(call, request);

	if (used < 0)
		return -1;
	call->buffers[0] = h2o_iovec_init(call->head, (size_t)used);
	call->buffers[1] = h2o_iovec_init(NULL, 0);
	if (request->type != PLATFORM_CREATE && request->type != PLATFORM_UPDATE)
		return 0;
	call->value = malloc(request->value_size + 1);
	if (!call->value)
		return -1;
	memcpy(call->value, request->value, request->value_size);
	call->buffers[1] = h2o_iovec_init(call->value, request->value_size);
	return 0;
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

static void connect_call(struct client_call *call)
{
	struct endpoint *to = &call->client->endpoints[call->endpoint];
	char ip[IP_BYTES];
	int used = snprintf(ip, sizeof(ip), "%u.%u.%u.%u", to->ip >> 24, (to->ip >> 16) & 255,
			    (to->ip >> 8) & 255, to->ip & 255);

	h2o_http1client_connect(&call->http, call, &call->client->context,
				h2o_iovec_init(ip, (size_t)used), to->port, 0, on_connect);
}

/* Starts a call over a connection of its own. */
static void client_start(struct platform *platform, const struct platform_request *request,
			 platform_done_fn done, void *user)
{
	struct platform_client *client = (struct platform_client *)platform;
	const char *why = refusal(request);
	struct client_call *call;
	uint32_t held_ms = request->type == PLATFORM_WATCH ? request->wait_ms : 0;

	if (why) {
		refuse(done, user, ERROR_RANGE, why);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call || prepare(call, request)) {
		free(call);
		refuse(done, user, ERROR_MEMORY, "no memory for a platform call");
		return;
	}
	counter_add(COUNTER_PLATFORM_CALLS, 1);
	call->client = client;
	call->type = request->type;
	call->endpoint = client->endpoint;
	call->done = done;
	call->user = user;
	call->next = client->calls;
	if (call->next)
		call->next->previous = call;
	client->calls = call;
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, on_timeout, client->timeout_ms + held_ms, 0);
	connect_call(call);
}

static const struct platform_ops client_ops = {.start = client_start};

static void on_message(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
	(void)receiver;
	(void)messages;
}

/* Opens a client for the endpoints in the settings. Errors: ERROR_MEMORY. */
int platform_client_open(struct platform_client **out, uv_loop_t *loop,
			 const struct settings *settings, struct error *err)
{
	struct platform_client *client = calloc(1, sizeof(*client));

	if (!client)
		return error_set(err, ERROR_MEMORY, "no memory for the platform client");
	client->interface.ops = &client_ops;
	client->loop = loop;
	client->endpoint_count = settings->platform_count;
	memcpy(client->endpoints, settings->platform, sizeof(client->endpoints));
	client->timeout_ms = settings->platform_timeout_ms;
	/* Hosts have no disks: buffers never spill to a file. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	client->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(client->queue, &client->receiver, on_message);
	/* The call's own timer ends it first; this bounds what the library waits for. */
	h2o_timeout_init(loop, &client->io_timeout,
			 2ULL * settings->platform_timeout_ms + settings->platform_watch_ms);
	client->context.loop = loop;
	client->context.getaddr_receiver = &client->receiver;
	client->context.io_timeout = &client->io_timeout;
	uv_timer_init(loop, &client->closer);
	client->closer.data = client;
	*out = client;
	return 0;
}

/* Gives the interface that the client implements. */
struct platform *platform_client_interface(struct platform_client *client)
{
	return &client->interface;
}

static void on_client_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Ends all calls that run with ERROR_STATE, and frees the client once the loop ran. */
void platform_client_close(struct platform_client *client)
{
	if (!client)
		return;
	while (client->calls) {
		struct client_call *call = client->calls;

		if (call->http)
			h2o_http1client_cancel(call->http);
		call->http = NULL;
		finish_error(call, ERROR_STATE, "the client is closing");
	}
	/* libuv runs close callbacks newest first, so the closer's comes last. */
	uv_close((uv_handle_t *)&client->closer, on_client_closed);
	h2o_timeout_dispose(client->loop, &client->io_timeout);
	h2o_multithread_unregister_receiver(client->queue, &client->receiver);
	h2o_multithread_destroy_queue(client->queue);
}
