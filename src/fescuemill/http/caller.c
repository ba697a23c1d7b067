/*
 * HTTP listener for callers.
 *
 * h2o does not read from a connection while its request is being handled, so disconnected callers
 * are detected by polling the sockets of the calls in progress.
 */
#include "fescuemill/http/caller.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/http/body_limit.h"
#include "fescuemill/http/server.h"

#include <jansson.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DISCONNECT_POLL_MS 25 /* work for a disconnected caller must end within 500 ms */
#define IDLE_MS		   60000
#define POLL_CHUNK	   64 /* sockets per poll() */
#define LOG_ID_BYTES_MAX   64
#define REFUSED_RETRY_MS   1000 /* stalled bodies are ended by then */
/* Bytes of a body that are read beyond body_bytes_max, so that the caller receives the 413. */
#define BODY_EXCESS_BYTES_MAX (1024UL * 1024)

struct caller {
	struct http_server *server;
	struct body_limit body_limit;
	struct caller_options options;
	uv_timer_t disconnect_timer;
	h2o_linklist_t calls; /* of struct caller_call: calls that are not answered yet */
	uint32_t call_count;
	uint64_t memory_bytes; /* bytes of the complete request and answer bodies in memory */
};

struct caller_call {
	h2o_linklist_t link; /* first member: a link is cast to its call */
	struct caller *caller;
	h2o_req_t *req;
	const struct call_request *request;
	void *data;		  /* the entry's state of this call */
	uint64_t body_bytes;	  /* bytes of this call counted in the listener's memory_bytes */
	bool disconnected;	  /* the caller closed its connection */
	bool disconnect_reported; /* on_disconnect was called */
};

/* Adds an answer header. The name is not copied and must be static; the value is copied. */
static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t text = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1, NULL, text.base,
			      text.len);
}

/* Adds the headers that report the outcome of a call. Returns the HTTP status. */
static int add_outcome_headers(const struct caller *caller, h2o_req_t *req,
			       const struct caller_answer *answer,
			       const struct call_request *request)
{
	struct answer_lines lines = {0};

	caller->options.dialect->write_outcome(answer, request, &lines);
	for (uint32_t i = 0; i < lines.count; i++)
		add_header(req, lines.list[i].name, lines.list[i].value);
	return lines.status;
}

/* Adds the outcome headers to answers of h2o and of the server (400, 413, 503). Such a request
 * never reached the entry, so it was not run. */
static void add_headers_to_h2o_answer(void *user, h2o_req_t *req)
{
	const struct caller *caller = user;
	struct caller_answer answer = {.outcome = OUTCOME_NOT_RUN, .reason = REASON_BAD_REQUEST};

	if (http_answer_is_from_handler(req))
		return;
	if (req->res.status == 413)
		answer.reason = REASON_TOO_LARGE;
	if (req->res.status == 503) {
		answer.reason = REASON_OVERLOAD;
		answer.retry_after_ms = REFUSED_RETRY_MS;
	}
	add_outcome_headers(caller, req, &answer, NULL);
	counter_add(COUNTER_CALLS_RECEIVED, 1);
	counter_add(COUNTER_CALLS_NOT_RUN, 1);
}

static void count_outcome(enum call_outcome outcome)
{
	static const enum counter counters[OUTCOME_COUNT] = {
		[OUTCOME_ANSWERED] = COUNTER_CALLS_ANSWERED,
		[OUTCOME_NOT_RUN] = COUNTER_CALLS_NOT_RUN,
		[OUTCOME_UNKNOWN] = COUNTER_CALLS_UNKNOWN,
	};

	counter_add(counters[outcome], 1);
}

/* Answers a call that has no answer of a backend server with a JSON body of outcome, reason and
 * error. */
static void respond_outcome(h2o_req_t *req, int status, const struct caller_answer *answer,
			    const struct error *err)
{
	json_t *body = json_pack("{s:s, s:s}", "outcome", call_outcome_name(answer->outcome),
				 "reason", call_reason_name(answer->reason));
	char *text;

	if (err && err->kind != ERROR_NONE) {
		json_object_set_new(body, "error", json_string(error_kind_name(err->kind)));
		json_object_set_new(body, "detail", json_string(err->detail));
	}
	text = json_dumps(body, JSON_COMPACT);
	http_respond_json(req, status, text ? text : "{}");
	free(text);
	json_decref(body);
}

/* Copies the backend server's headers, except hop-by-hop headers. */
static void copy_headers(h2o_req_t *req, const struct wire_headers *headers)
{
	for (uint32_t i = 0; headers && i < headers->count; i++) {
		const struct wire_header *header = &headers->list[i];
		h2o_iovec_t name;
		h2o_iovec_t value;

		/* h2o adds a Date header itself. */
		if (header_is_hop_by_hop(header->name) ||
		    wire_bytes_equal_nocase(header->name, "date"))
			continue;
		name = h2o_strdup(&req->pool, (const char *)header->name.data, header->name.size);
		value = h2o_strdup(&req->pool, (const char *)header->value.data,
				   header->value.size);
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
				      value.base, value.len);
	}
}

/* Removes a call from the list of unanswered calls. */
static void unlink_call(struct caller_call *call)
{
	if (!h2o_linklist_is_linked(&call->link))
		return;
	h2o_linklist_unlink(&call->link);
	call->caller->call_count--;
}

/* Releases a call's share of the memory limit. Called by h2o when it frees the request. */
static void dispose_call(void *data)
{
	struct caller_call *call = data;

	unlink_call(call);
	call->caller->memory_bytes -= call->body_bytes;
}

/* Sends a complete answer; copies all of it. The call must not be used afterwards. */
void caller_answer(struct caller_call *call, const struct caller_answer *answer)
{
	h2o_req_t *req = call->req;
	int status;
	char *body;

	unlink_call(call);
	count_outcome(answer->outcome);
	status = add_outcome_headers(call->caller, req, answer, call->request);
	if (answer->outcome != OUTCOME_ANSWERED) {
		respond_outcome(req, status, answer, NULL);
		return;
	}
	copy_headers(req, answer->headers);
	body = h2o_mem_alloc_pool(&req->pool, answer->body.size + 1);
	h2o_memcpy(body, answer->body.data, answer->body.size);
	call->body_bytes += answer->body.size;
	call->caller->memory_bytes += answer->body.size;
	http_respond(req, status, body, answer->body.size);
}

/* Answers a request that did not pass the checks. */
static void refuse(const struct caller *caller, h2o_req_t *req, const struct call_request *request,
		   enum call_reason reason, const struct error *err)
{
	struct caller_answer answer = {.outcome = OUTCOME_NOT_RUN, .reason = reason};
	int status = add_outcome_headers(caller, req, &answer, request);

	count_outcome(answer.outcome);
	respond_outcome(req, status, &answer, err);
}

/* Fills a call head from a request. Its bytes point into h2o's buffers. */
static void read_head(h2o_req_t *req, struct call_head *head)
{
	struct wire_header *list =
		h2o_mem_alloc_pool(&req->pool, (req->headers.size + 1) * sizeof(*list));

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *from = &req->headers.entries[i];

		list[i].name.data = (const uint8_t *)from->name->base;
		list[i].name.size = (uint32_t)from->name->len;
		list[i].value.data = (const uint8_t *)from->value.base;
		list[i].value.size = (uint32_t)from->value.len;
	}
	head->headers = list;
	head->header_count = (uint32_t)req->headers.size;
	head->authority.data = (const uint8_t *)req->input.authority.base;
	head->authority.size = (uint32_t)req->input.authority.len;
	head->method.data = (const uint8_t *)req->input.method.base;
	head->method.size = (uint32_t)req->input.method.len;
	head->path.data = (const uint8_t *)req->input.path.base;
	head->path.size = (uint32_t)req->input.path.len;
}

/* Creates the call of a request, in the request's memory pool. */
static struct caller_call *add_call(struct caller *caller, h2o_req_t *req,
				    const struct call_request *request)
{
	struct caller_call *call = h2o_mem_alloc_shared(&req->pool, sizeof(*call), dispose_call);

	memset(call, 0, sizeof(*call));
	call->caller = caller;
	call->req = req;
	call->request = request;
	call->body_bytes = req->entity.len;
	caller->memory_bytes += call->body_bytes;
	if (h2o_linklist_is_empty(&caller->calls))
		uv_timer_again(&caller->disconnect_timer);
	h2o_linklist_insert(&caller->calls, &call->link);
	caller->call_count++;
	return call;
}

/* Returns the bytes of the complete request and answer bodies in memory. */
static uint64_t complete_body_bytes(void *user)
{
	const struct caller *caller = user;

	return caller->memory_bytes;
}

/* Checks the size of a body against the limit for one body and the limit for all bodies. */
static enum call_reason check_body(const struct caller *caller, const h2o_req_t *req,
				   struct error *err)
{
	const struct caller_options *options = &caller->options;
	size_t size = req->entity.len;

	if (body_limit_is_refusing(&caller->body_limit, req)) {
		error_set(err, ERROR_MEMORY,
			  "body not taken: all bodies together exceed %llu bytes",
			  (unsigned long long)options->memory_bytes_max);
		return REASON_OVERLOAD;
	}
	if (size > options->body_bytes_max) {
		error_set(err, ERROR_TOO_LARGE, "body: found %zu bytes, allowed %u", size,
			  options->body_bytes_max);
		return REASON_TOO_LARGE;
	}
	if (caller->memory_bytes > 0 && caller->memory_bytes + size > options->memory_bytes_max) {
		error_set(err, ERROR_MEMORY, "bodies: %llu bytes held, allowed %llu",
			  (unsigned long long)caller->memory_bytes,
			  (unsigned long long)options->memory_bytes_max);
		return REASON_OVERLOAD;
	}
	return REASON_NONE;
}

/* Returns true if the caller of a request has closed its connection already. */
static bool has_left(const h2o_req_t *req)
{
	struct pollfd fd = {
		.fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)),
		.events = POLLRDHUP,
	};

	return poll(&fd, 1, 0) > 0;
}

/* Ends a request whose caller left while it waited to be read. */
static void drop_abandoned(const struct caller *caller, h2o_req_t *req,
			   const struct call_request *request)
{
	counter_add(COUNTER_CALLS_ABANDONED_UNREAD, 1);
	log_write(LOG_INFO, LOG_PART_ENTRY, "The caller left before its request was read.",
		  "request=%.*s",
		  (int)(request->id.size < LOG_ID_BYTES_MAX ? request->id.size : LOG_ID_BYTES_MAX),
		  (const char *)request->id.data);
	refuse(caller, req, request, REASON_CANCELLED, NULL);
}

/* Checks a request and passes it to the entry. */
static void handle_request(void *user, h2o_req_t *req)
{
	struct caller *caller = user;
	struct call_head head;
	struct call_request *parsed = h2o_mem_alloc_pool(&req->pool, sizeof(*parsed));
	struct error err = {0};
	enum call_reason reason;

	memset(parsed, 0, sizeof(*parsed));
	counter_add(COUNTER_CALLS_RECEIVED, 1);
	read_head(req, &head);
	reason = http_request_is_ambiguous(req, &err)
			 ? REASON_BAD_REQUEST
			 : caller->options.dialect->read_call(&head, parsed, &err);
	if (reason == REASON_NONE)
		reason = check_body(caller, req, &err);
	if (reason != REASON_NONE) {
		refuse(caller, req, parsed, reason, &err);
		return;
	}
	if (has_left(req)) {
		drop_abandoned(caller, req, parsed);
		return;
	}
	parsed->body.data = (const uint8_t *)req->entity.base;
	parsed->body.size = (uint32_t)req->entity.len;
	caller->options.on_call(caller->options.user, add_call(caller, req, parsed), parsed);
}

/* Polls the sockets of up to POLL_CHUNK calls from `at` on and marks those whose caller has
 * disconnected. Returns the position after the last one. */
static h2o_linklist_t *mark_disconnected(struct caller *caller, h2o_linklist_t *at)
{
	struct pollfd fds[POLL_CHUNK];
	struct caller_call *calls[POLL_CHUNK];
	nfds_t count = 0;

	for (; at != &caller->calls && count < POLL_CHUNK; at = at->next) {
		struct caller_call *call = (struct caller_call *)at;
		h2o_conn_t *conn = call->req->conn;

		if (call->disconnected)
			continue;
		fds[count].fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn));
		fds[count].events = POLLRDHUP;
		calls[count++] = call;
	}
	if (count == 0 || poll(fds, count, 0) <= 0)
		return at;
	for (nfds_t i = 0; i < count; i++)
		calls[i]->disconnected = fds[i].revents != 0;
	return at;
}

/* Notifies the entry of each newly marked call. The callback may answer any call, which changes the
 * list, so the walk restarts after each. */
static void report_disconnected(struct caller *caller)
{
	h2o_linklist_t *at = caller->calls.next;

	while (at != &caller->calls) {
		struct caller_call *call = (struct caller_call *)at;

		at = at->next;
		if (!call->disconnected || call->disconnect_reported)
			continue;
		call->disconnect_reported = true;
		caller->options.on_disconnect(caller->options.user, call);
		at = caller->calls.next;
	}
}

/* Checks for disconnected callers; stops the timer if no calls are in progress. */
static void poll_disconnects(uv_timer_t *timer)
{
	struct caller *caller = timer->data;
	h2o_linklist_t *at = caller->calls.next;

	if (h2o_linklist_is_empty(&caller->calls)) {
		uv_timer_stop(timer);
		return;
	}
	while (at != &caller->calls)
		at = mark_disconnected(caller, at);
	report_disconnected(caller);
}

/* Opens the listener. Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int caller_open(struct caller **out, uv_loop_t *loop, const struct caller_options *opt,
		struct error *err)
{
	struct caller *caller = calloc(1, sizeof(*caller));
	struct http_server_options options = {
		.ip = opt->ip,
		.port = opt->port,
		/* h2o refuses a body over this limit while it is still arriving and closes the
		 * connection, which can reset it before the caller has read the answer. */
		.body_bytes_max = opt->body_bytes_max + BODY_EXCESS_BYTES_MAX,
		.idle_ms = IDLE_MS,
		.on_request = handle_request,
		.on_respond = add_headers_to_h2o_answer,
		.guard = opt->guard,
		.user = caller,
	};
	struct body_limit_options limit_options = {
		.bytes_max = opt->memory_bytes_max,
		.complete_body_bytes = complete_body_bytes,
		.user = caller,
	};

	if (!caller)
		return error_set(err, ERROR_MEMORY, "no memory for the callers' listener");
	caller->options = *opt;
	h2o_linklist_init_anchor(&caller->calls);
	if (http_server_open(&caller->server, loop, &options, err) != 0) {
		free(caller);
		return -1;
	}
	limit_options.server = caller->server;
	body_limit_open(&caller->body_limit, loop, &limit_options);
	uv_timer_init(loop, &caller->disconnect_timer);
	caller->disconnect_timer.data = caller;
	uv_timer_start(&caller->disconnect_timer, poll_disconnects, DISCONNECT_POLL_MS,
		       DISCONNECT_POLL_MS);
	uv_timer_stop(&caller->disconnect_timer);
	*out = caller;
	return 0;
}

/* Sets the largest request body that is taken from now on. */
void caller_set_body_bytes_max(struct caller *caller, uint32_t bytes)
{
	caller->options.body_bytes_max = bytes;
	http_server_set_body_bytes_max(caller->server, bytes + BODY_EXCESS_BYTES_MAX);
}

/* Returns the port that the listener is bound to. */
uint16_t caller_port(const struct caller *caller)
{
	return http_server_port(caller->server);
}

/* Closes each connection after its current answer. */
void caller_drain(struct caller *caller)
{
	http_server_drain(caller->server);
}

/* Accepts no new connections except those whose TCP handshake has begun. */
void caller_stop_accepting(struct caller *caller)
{
	http_server_stop_accepting(caller->server);
}

/* Closes the listening socket. Calls in progress continue. */
void caller_stop_listening(struct caller *caller)
{
	http_server_close(caller->server);
}

/* Closes the listening socket, and stops checking for disconnected callers and limiting the memory
 * of bodies. Requests that still arrive are answered with 503. */
void caller_close(struct caller *caller)
{
	http_server_detach(caller->server);
	body_limit_close(&caller->body_limit);
	uv_close((uv_handle_t *)&caller->disconnect_timer, NULL);
}

/* Frees a closed listener that has no connections any more. */
void caller_free(struct caller *caller)
{
	http_server_free(caller->server);
	free(caller);
}

/* Returns the number of calls that are not answered yet. */
uint32_t caller_call_count(const struct caller *caller)
{
	return caller->call_count;
}

/* Returns the number of open connections, including those in lingering close. */
uint32_t caller_connection_count(const struct caller *caller)
{
	return http_server_connection_count(caller->server);
}

/* Returns the number of connections that have received part of a request. */
uint32_t caller_receiving_count(const struct caller *caller)
{
	return http_server_receiving_count(caller->server);
}

/* Returns the memory pool of a call, freed after its answer was sent. */
h2o_mem_pool_t *caller_call_pool(struct caller_call *call)
{
	return &call->req->pool;
}

/* Attaches the entry's state to a call. */
void caller_call_set_data(struct caller_call *call, void *data)
{
	call->data = data;
}

/* Returns the entry's state that was attached to a call. */
void *caller_call_data(const struct caller_call *call)
{
	return call->data;
}
