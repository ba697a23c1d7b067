/*
 * Fetch: HTTP client on h2o's HTTP/1 client. Each request has its own connection, so that a dead
 * connection delays only one request.
 */
#include "fescuemill/http/fetch.h"

#include "fescuemill/http/keepalive.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>

#define ANSWER_BYTES_MAX   ((size_t)32 * 1024 * 1024)
#define HEAD_BYTES	   1024
#define IP_BYTES	   16
#define CONNECT_TIMEOUT_MS 500		       /* TCP resends a lost SYN only after 1 s or more */
#define IO_TIMEOUT_MS	   (10ULL * 60 * 1000) /* for h2o; the timer of the request expires first */

struct fetcher {
	uv_loop_t *loop;
	uv_timer_t closer; /* its close callback frees the fetcher after all other handles */
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t context;
	struct fetch *fetches; /* list of running requests */
};

struct fetch {
	struct fetcher *fetcher;
	struct fetch *next;
	struct fetch *previous;
	fetch_done_fn done;
	void *user;
	uv_timer_t timer;
	h2o_http1client_t *http; /* NULL once h2o has ended it */
	struct fetch_result result;
	uint32_t timeout_ms;
	/* Names of the wanted headers; empty: none. */
	char wanted[FETCH_HEADERS_MAX][FETCH_HEADER_BYTES];
	char *body;		/* body of the answer */
	char *sent_body;	/* copy of the body of the request */
	char head[HEAD_BYTES];	/* head of the request */
	h2o_iovec_t buffers[2]; /* head and body of the request */
};

static void on_fetch_closed(uv_handle_t *handle)
{
	struct fetch *fetch = handle->data;

	free(fetch->body);
	free(fetch->sent_body);
	free(fetch);
}

static void unlink_fetch(struct fetch *fetch)
{
	if (fetch->previous)
		fetch->previous->next = fetch->next;
	else
		fetch->fetcher->fetches = fetch->next;
	if (fetch->next)
		fetch->next->previous = fetch->previous;
}

/* Ends a request: calls `done`, and frees the request once its timer is closed. */
static void finish(struct fetch *fetch)
{
	fetch->http = NULL;
	fetch->result.body = fetch->body ? fetch->body : "";
	unlink_fetch(fetch);
	uv_close((uv_handle_t *)&fetch->timer, on_fetch_closed);
	fetch->done(fetch->user, &fetch->result);
}

static void finish_error(struct fetch *fetch, enum error_kind kind, const char *what)
{
	error_set(&fetch->result.err, kind, "%s", what);
	finish(fetch);
}

static int append_body(struct fetch *fetch, h2o_buffer_t **input)
{
	size_t had = fetch->result.body_size;
	size_t size = (*input)->size;
	char *body;

	if (had + size > ANSWER_BYTES_MAX)
		return -1;
	body = realloc(fetch->body, had + size + 1);
	if (!body)
		return -1;
	memcpy(body + had, (*input)->bytes, size);
	fetch->body = body;
	fetch->result.body_size = had + size;
	body[had + size] = '\0';
	h2o_buffer_consume(input, size);
	return 0;
}

static int on_body(h2o_http1client_t *http, const char *errstr)
{
	struct fetch *fetch = http->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_error(fetch, ERROR_UNREACHABLE, errstr);
		return 0;
	}
	if (append_body(fetch, &http->sock->input)) {
		finish_error(fetch, ERROR_TOO_LARGE, "the answer is over the size limit");
		return -1;
	}
	if (errstr)
		finish(fetch);
	return 0;
}

/* Stores the value of a header if it is wanted. A value that does not fit is ignored. */
static void save_wanted_header(struct fetch *fetch, const h2o_header_t *header)
{
	size_t size = header->value.len;

	for (int i = 0; i < FETCH_HEADERS_MAX; i++) {
		const char *name = fetch->wanted[i];

		if (!name[0] || size >= FETCH_HEADER_BYTES ||
		    !h2o_memis(header->name->base, header->name->len, name, strlen(name)))
			continue;
		memcpy(fetch->result.headers[i], header->value.base, size);
		fetch->result.headers[i][size] = '\0';
	}
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http, const char *errstr,
				       int minor_version, int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t header_count, int header_size)
{
	struct fetch *fetch = http->data;

	(void)minor_version;
	(void)msg;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_error(fetch, ERROR_UNREACHABLE, errstr);
		return NULL;
	}
	fetch->result.status = status;
	fetch->result.head_size = header_size > 0 ? (size_t)header_size : 0;
	for (size_t i = 0; i < header_count; i++)
		save_wanted_header(fetch, &headers[i]);
	if (errstr) {
		finish(fetch);
		return NULL;
	}
	return on_body;
}

static void on_timeout(uv_timer_t *timer);

static h2o_http1client_head_cb on_connect(h2o_http1client_t *http, const char *errstr,
					  h2o_iovec_t **buffers, size_t *count, int *is_head)
{
	struct fetch *fetch = http->data;

	if (errstr) {
		finish_error(fetch, ERROR_UNREACHABLE, errstr);
		return NULL;
	}
	/* A long poll (watch) receives nothing for a long time, and its timeout would detect a dead
	 * connection far too late. */
	keepalive_start(h2o_socket_get_fd(http->sock));
	fetch->result.sent = true;
	uv_timer_start(&fetch->timer, on_timeout, fetch->timeout_ms, 0);
	*buffers = fetch->buffers;
	*count = fetch->buffers[1].len ? 2 : 1;
	*is_head = 0;
	return on_head;
}

static void cancel(struct fetch *fetch, enum error_kind kind, const char *what)
{
	if (fetch->http)
		h2o_http1client_cancel(fetch->http);
	finish_error(fetch, kind, what);
}

static void on_timeout(uv_timer_t *timer)
{
	cancel(timer->data, ERROR_TIMEOUT, "no complete answer within the timeout");
}

/* Ends a request that could not connect in CONNECT_TIMEOUT_MS. Nothing was sent, and connecting
 * again is quicker than waiting for the SYN to be resent. */
static void on_connect_timeout(uv_timer_t *timer)
{
	cancel(timer->data, ERROR_UNREACHABLE, "not connected within the connect timeout");
}

/* Writes the head of a request; returns its full size, which may be larger than the buffer. */
static int write_head(char *head, size_t size, const struct fetch_request *request)
{
	return snprintf(head, size,
			"%s %s HTTP/1.1\r\nhost: node\r\nconnection: close\r\n%s"
			"content-length: %zu\r\n\r\n",
			request->method, request->path, request->headers ? request->headers : "",
			request->body_size);
}

/* Returns the bytes that a request sends, head and body. */
size_t fetch_request_size(const struct fetch_request *request)
{
	char head[HEAD_BYTES];
	int size = write_head(head, sizeof(head), request);

	return (size > 0 ? (size_t)size : 0) + request->body_size;
}

/* Copies head and body of a request into its send buffers. Errors: ERROR_MEMORY, ERROR_TOO_LARGE.
 */
static int prepare(struct fetch *fetch, const struct fetch_request *request, struct error *err)
{
	int used = write_head(fetch->head, HEAD_BYTES, request);

	if (used < 0 || used >= HEAD_BYTES)
		return error_set(err, ERROR_TOO_LARGE, "path and headers are over %d bytes",
				 HEAD_BYTES);
	fetch->buffers[0] = h2o_iovec_init(fetch->head, (size_t)used);
	fetch->buffers[1] = h2o_iovec_init(NULL, 0);
	for (int i = 0; i < FETCH_HEADERS_MAX; i++) {
		if (request->wanted_headers[i])
			strncpy(fetch->wanted[i], request->wanted_headers[i],
				sizeof(fetch->wanted[i]) - 1);
	}
	if (!request->body_size)
		return 0;
	fetch->sent_body = malloc(request->body_size);
	if (!fetch->sent_body)
		return error_set(err, ERROR_MEMORY, "no memory for a request");
	memcpy(fetch->sent_body, request->body, request->body_size);
	fetch->buffers[1] = h2o_iovec_init(fetch->sent_body, request->body_size);
	return 0;
}

/* Adds a request to the fetcher's list, starts its timer and connects. */
static void start_connect(struct fetch *fetch, const struct fetch_request *request)
{
	struct fetcher *fetcher = fetch->fetcher;
	uint32_t ip = request->to.ip;
	char text[IP_BYTES];
	int used = snprintf(text, sizeof(text), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
			    (ip >> 8) & 255, ip & 255);

	fetch->next = fetcher->fetches;
	if (fetch->next)
		fetch->next->previous = fetch;
	fetcher->fetches = fetch;
	uv_timer_init(fetcher->loop, &fetch->timer);
	fetch->timer.data = fetch;
	if (request->timeout_ms > CONNECT_TIMEOUT_MS)
		uv_timer_start(&fetch->timer, on_connect_timeout, CONNECT_TIMEOUT_MS, 0);
	else
		uv_timer_start(&fetch->timer, on_timeout, request->timeout_ms, 0);
	h2o_http1client_connect(&fetch->http, fetch, &fetcher->context,
				h2o_iovec_init(text, (size_t)used), request->to.port, 0,
				on_connect);
}

/* Starts a request; `done` is called exactly once, after this has returned. Errors: ERROR_MEMORY,
 * ERROR_TOO_LARGE for the path and headers; `done` is then not called. */
int fetch_start(struct fetcher *fetcher, const struct fetch_request *request, fetch_done_fn done,
		void *user, struct error *err)
{
	struct fetch *fetch = calloc(1, sizeof(*fetch));

	if (!fetch)
		return error_set(err, ERROR_MEMORY, "no memory for a request");
	fetch->fetcher = fetcher;
	fetch->timeout_ms = request->timeout_ms;
	fetch->done = done;
	fetch->user = user;
	if (prepare(fetch, request, err)) {
		free(fetch);
		return -1;
	}
	start_connect(fetch, request);
	return 0;
}

/* Ignores messages: the receiver is needed only for lookups of host names, which are not used. */
static void on_message(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
	(void)receiver;
	(void)messages;
}

/* Opens a fetcher. Errors: ERROR_MEMORY. */
int fetcher_open(struct fetcher **out, uv_loop_t *loop, struct error *err)
{
	struct fetcher *fetcher = calloc(1, sizeof(*fetcher));

	if (!fetcher)
		return error_set(err, ERROR_MEMORY, "no memory for an HTTP client");
	fetcher->loop = loop;
	/* Hosts have no disks, so h2o must never move its buffers to a file. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	fetcher->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(fetcher->queue, &fetcher->receiver, on_message);
	h2o_timeout_init(loop, &fetcher->io_timeout, IO_TIMEOUT_MS);
	fetcher->context.loop = loop;
	fetcher->context.getaddr_receiver = &fetcher->receiver;
	fetcher->context.io_timeout = &fetcher->io_timeout;
	uv_timer_init(loop, &fetcher->closer);
	fetcher->closer.data = fetcher;
	*out = fetcher;
	return 0;
}

static void on_fetcher_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Ends all running requests with ERROR_STATE. The fetcher is freed while the loop runs on. */
void fetcher_close(struct fetcher *fetcher)
{
	if (!fetcher)
		return;
	while (fetcher->fetches)
		cancel(fetcher->fetches, ERROR_STATE, "the client is closing");
	/* libuv runs close callbacks in the reverse order of uv_close(), so that of `closer` runs
	 * last. */
	uv_close((uv_handle_t *)&fetcher->closer, on_fetcher_closed);
	h2o_timeout_dispose(fetcher->loop, &fetcher->io_timeout);
	h2o_multithread_unregister_receiver(fetcher->queue, &fetcher->receiver);
	h2o_multithread_destroy_queue(fetcher->queue);
}
