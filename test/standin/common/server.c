/*
 * Server of the stand-ins: listener, start-up line, answers and held requests, on h2o.
 */
#include "standin/common/server.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES_MAX	     (65UL << 20)	 /* above the largest body that callers may send */
#define BUFFER_SPILL_BYTES   (64U * 1024 * 1024) /* h2o maps larger buffers to files */
#define KEEP_ALIVE_MS	     60000
#define LISTEN_BACKLOG	     1024
#define NAME_AND_VALUE_BYTES 128

static struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_signal_t signals[2];
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	server_handler on_request;
	void (*on_terminate)(void);
	int port;
} server;

/* Passes a request to the handler of the stand-in. */
static int handle_request(h2o_handler_t *handler, h2o_req_t *req)
{
	(void)handler;
	return server.on_request(req);
}

/* Accepts a connection and passes it to h2o. */
static void accept_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(listener->loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	h2o_accept(&server.accept, h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free));
}

/* Handles SIGTERM and SIGINT: calls on_terminate, or exits if the stand-in has none. */
static void handle_signal(uv_signal_t *signal, int number)
{
	(void)signal;
	(void)number;
	if (server.on_terminate)
		server.on_terminate();
	else
		exit(0);
}

/* Listens on 127.0.0.1. Returns the port, or -1 if it is not available. */
static int listen_on(uint16_t port)
{
	struct sockaddr_in addr;
	int bytes = sizeof(addr);

	uv_ip4_addr("127.0.0.1", port, &addr);
	uv_tcp_init(&server.loop, &server.listener);
	if (uv_tcp_bind(&server.listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server.listener, LISTEN_BACKLOG, accept_connection) != 0)
		return -1;
	uv_tcp_getsockname(&server.listener, (struct sockaddr *)&addr, &bytes);
	return ntohs(addr.sin_port);
}

/*
 * Starts the server on a port (0: any) and prints the start-up line, which names the port. At
 * SIGTERM and SIGINT on_terminate is called, or the process exits if it is NULL. Returns the loop,
 * or NULL if the port is not available.
 */
uv_loop_t *server_start(uint16_t port, server_handler on_request, void (*on_terminate)(void))
{
	static const int numbers[] = {SIGTERM, SIGINT};
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;

	signal(SIGPIPE, SIG_IGN);
	server.on_request = on_request;
	server.on_terminate = on_terminate;
	h2o_socket_buffer_mmap_settings.threshold = BUFFER_SPILL_BYTES;
	uv_loop_init(&server.loop);
	h2o_config_init(&server.config);
	server.config.max_request_entity_size = BODY_BYTES_MAX;
	server.config.http1.req_timeout = KEEP_ALIVE_MS;
	host = h2o_config_register_host(&server.config, h2o_iovec_init(H2O_STRLIT("default")),
					65535);
	path = h2o_config_register_path(host, "/", 0);
	h2o_create_handler(path, sizeof(h2o_handler_t))->on_req = handle_request;
	h2o_context_init(&server.context, &server.loop, &server.config);
	server.accept.ctx = &server.context;
	server.accept.hosts = server.config.hosts;
	server.port = listen_on(port);
	if (server.port < 0)
		return NULL;
	for (int i = 0; i < 2; i++) {
		uv_signal_init(&server.loop, &server.signals[i]);
		uv_signal_start(&server.signals[i], handle_signal, numbers[i]);
	}
	printf("{\"port\":%d}\n", server.port);
	fflush(stdout);
	return &server.loop;
}

/* Runs the loop until the stand-in calls exit. */
int server_run(void)
{
	return uv_run(&server.loop, UV_RUN_DEFAULT);
}

/* Returns the port on which the server listens. */
uint16_t server_port(void)
{
	return (uint16_t)server.port;
}

/* Returns true if the path of a request, without its query, is equal to path. */
bool server_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len, path, strlen(path));
}

/* Returns the value of a request header, or an empty value if there is none. */
h2o_iovec_t server_header(const h2o_req_t *req, const char *name)
{
	ssize_t at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);

	return at < 0 ? h2o_iovec_init(NULL, 0) : req->headers.entries[at].value;
}

/* Parses a decimal number. Returns fallback if there are no digits or too many bytes. */
static uint64_t parse_u64(const char *text, size_t bytes, uint64_t fallback)
{
	char copy[24] = "";
	char *end;
	uint64_t value;

	if (bytes == 0 || bytes >= sizeof(copy))
		return fallback;
	memcpy(copy, text, bytes);
	value = strtoull(copy, &end, 10);
	return end == copy ? fallback : value;
}

/* Returns the value of a request header as a number, or fallback if it is not one. */
uint64_t server_header_u64(const h2o_req_t *req, const char *name, uint64_t fallback)
{
	h2o_iovec_t value = server_header(req, name);

	return parse_u64(value.base, value.len, fallback);
}

/* Returns the number of NAME=NUMBER in the query, or fallback if there is none. */
uint64_t server_query_u64(const h2o_req_t *req, const char *name, uint64_t fallback)
{
	size_t bytes = strlen(name);
	const char *end = req->path.base + req->path.len;
	const char *at = req->query_at == SIZE_MAX ? end : req->path.base + req->query_at + 1;

	while (at < end) {
		const char *stop = memchr(at, '&', (size_t)(end - at));

		if (!stop)
			stop = end;
		if ((size_t)(stop - at) > bytes && memcmp(at, name, bytes) == 0 && at[bytes] == '=')
			return parse_u64(at + bytes + 1, (size_t)(stop - at) - bytes - 1, fallback);
		at = stop + 1;
	}
	return fallback;
}

/* Adds a header to the answer. Name and value are copied. */
void server_add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t key = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t text = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len, 0, NULL, text.base,
			      text.len);
}

/* Sends an answer with a copy of the body. Returns 0, so that handlers can return the result. */
int server_send_text(h2o_req_t *req, int status, const char *body, size_t bytes)
{
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Refused";
	req->res.content_length = bytes;
	h2o_send_inline(req, body, bytes);
	return 0;
}

/* Sends an answer with a JSON value and frees the value. Returns 0, as server_send_text does. */
int server_send_json(h2o_req_t *req, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	server_add_header(req, "content-type", "application/json");
	server_send_text(req, status, text, strlen(text));
	free(text);
	json_decref(value);
	return 0;
}

/* Ends a request by closing its connection without sending any byte of an answer. */
void server_drop_connection(h2o_req_t *req)
{
	shutdown(h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)), SHUT_RDWR);
	server_send_text(req, 500, "", 0);
}

/* Poll handle on a duplicate of the descriptor of a connection. */
struct watch {
	uv_poll_t poll;
	int fd;
};

/* Closes the duplicate descriptor, which would keep the connection open, and frees the watch. */
static void free_watch(uv_handle_t *handle)
{
	struct watch *watch = (struct watch *)handle;

	close(watch->fd);
	free(watch);
}

/* Calls on_caller_closed of a held request whose caller closed the connection. */
static void handle_disconnect(uv_poll_t *poll, int status, int events)
{
	struct held_request *held = poll->data;

	(void)status;
	(void)events;
	uv_poll_stop(poll);
	held->on_caller_closed(held);
}

/*
 * Holds a request open. on_caller_closed is called once if the caller closes the connection before
 * held_request_end. The owner must then still call held_request_end and server_drop_connection.
 */
void held_request_begin(struct held_request *held, h2o_req_t *req,
			void (*on_caller_closed)(struct held_request *held))
{
	struct watch *watch = h2o_mem_alloc(sizeof(*watch));

	watch->fd = dup(h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)));
	held->req = req;
	held->on_caller_closed = on_caller_closed;
	held->poll = &watch->poll;
	uv_poll_init(&server.loop, held->poll, watch->fd);
	held->poll->data = held;
	uv_poll_start(held->poll, UV_DISCONNECT, handle_disconnect);
}

/* Stops watching the connection of a held request. The owner must answer the request next. */
void held_request_end(struct held_request *held)
{
	uv_poll_stop(held->poll);
	uv_close((uv_handle_t *)held->poll, free_watch);
	held->poll = NULL;
}
