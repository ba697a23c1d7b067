/*
 * HTTP/1.1 server: one h2o listener in a libuv loop, with one handler for all requests.
 */
#include "fescuemill/http/server.h"

#include "fescuemill/http/head_scan.h"
#include "fescuemill/http/lingering_close.h"
#include "fescuemill/http/server_clients.h"
#include "fescuemill/http/server_defs.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RECEIVE_BUFFER_BYTES 65536
#define LISTEN_BACKLOG	     1024
#define GUARDED_REQUEST_MS   (24ULL * 3600 * 1000)

#define TCP_FLAGS_OFFSET 13	     /* offset of the flags byte in a TCP header */
#define ACCEPT_ALL	 0xffffffffU /* result of a socket filter: keep the whole packet */

struct request_handler {
	h2o_handler_t super;
	struct http_server *server;
};

struct respond_filter {
	h2o_filter_t super;
	struct http_server *server;
};

/* Returns the connection of a request. */
struct connection *http_connection_of(const h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

/* Answers a request that arrived after http_server_detach() with 503; it is not run. */
static void refuse_after_detach(h2o_req_t *req)
{
	req->http1_is_persistent = 0;
	http_respond(req, 503, NULL, 0);
}

/* Passes a request to the owner's handler. */
static int handle_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *srv = ((struct request_handler *)self)->server;
	struct connection *conn = http_connection_of(req);

	conn->read_bytes = conn->sock->bytes_read;
	conn->requests++;
	if (http_refuse_request(conn, req))
		return 0;
	conn->is_handled = true;
	if (srv->is_detached)
		refuse_after_detach(req);
	else
		srv->options.on_request(srv->options.user, req);
	return 0;
}

/* Returns true if the current answer was given by the handler, not by h2o itself. Only valid inside
 * on_respond: the flag is reset after it. */
bool http_answer_is_from_handler(const h2o_req_t *req)
{
	return http_connection_of(req)->is_handled;
}

/* Sets the error of an ambiguous request. The connection is closed after the answer, since the
 * bytes that follow may be part of the body or another request. */
static bool refuse_ambiguous(h2o_req_t *req, struct error *err, const char *why)
{
	req->http1_is_persistent = 0;
	error_set(err, ERROR_SYNTAX, "%s", why);
	return true;
}

/* Returns true if two parsers could disagree on the end of a request or on its host. h2o drops the
 * headers that frame a body, so the head is scanned again in the connection's input buffer, which
 * still starts with it. */
bool http_request_is_ambiguous(h2o_req_t *req, struct error *err)
{
	const h2o_buffer_t *input = http_connection_of(req)->sock->input;
	struct head_scan scan = {0};

	if (head_scan_read(&scan, input->bytes, input->size) != 0)
		return refuse_ambiguous(req, err, "head: not understood");
	if (scan.is_http_1_0 && scan.codings > 0)
		return refuse_ambiguous(req, err, "transfer-encoding: not allowed in HTTP/1.0");
	if (scan.hosts != 1)
		return refuse_ambiguous(req, err, "host: allowed is one");
	if (scan.lengths > 1)
		return refuse_ambiguous(req, err, "content-length: allowed is one");
	if (scan.codings > 0 && scan.lengths > 0)
		return refuse_ambiguous(req, err,
					"transfer-encoding: not allowed with content-length");
	if (scan.codings > 1 || scan.has_unknown_coding)
		return refuse_ambiguous(req, err, "transfer-encoding: allowed is chunked");
	return false;
}

/* Returns true if part of a request's body was received and the request is not handled yet. */
bool http_request_is_receiving(const h2o_req_t *req)
{
	return timerisset(&req->timestamps.request_body_begin_at) &&
	       !timerisset(&req->processed_at.at);
}

/* Selects a lingering close for the connection of a request. h2o closes the socket when the answer
 * is written, so a duplicate descriptor keeps it open. If that cannot be created, the connection is
 * closed at once. */
void http_server_use_lingering_close(h2o_req_t *req)
{
	struct connection *conn = http_connection_of(req);
	const struct client_guard *guard = conn->server->options.guard;

	if (conn->lingering_fd < 0)
		conn->lingering_fd = fcntl(h2o_socket_get_fd(conn->sock), F_DUPFD_CLOEXEC, 0);
	if (conn->lingering_fd >= 0 && guard &&
	    !client_guard_allows_lingering(guard, conn->lingering_fd)) {
		close(conn->lingering_fd);
		conn->lingering_fd = -1;
	}
}

/* Lets the owner add headers to an answer, whether the owner or h2o itself generated it. h2o
 * refuses a too large body while it is still arriving, so such a connection needs a lingering
 * close. */
static void setup_response(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct http_server *srv = ((struct respond_filter *)self)->server;
	struct connection *conn = http_connection_of(req);

	if (!conn->is_handled && timerisset(&req->timestamps.request_body_begin_at))
		http_server_use_lingering_close(req);
	if (srv->options.on_respond && !srv->is_detached)
		srv->options.on_respond(srv->options.user, req);
	conn->is_handled = false;
	h2o_setup_next_ostream(req, slot);
}

/* Frees a connection whose socket is closed. */
static void free_connection(void *user)
{
	struct connection *conn = user;

	conn->server->connection_count--;
	h2o_linklist_unlink(&conn->link);
	free(conn);
}

/* Starts the lingering close if one was selected, else frees the connection. Called after libuv has
 * closed the connection's handle. */
static void on_handle_closed(uv_handle_t *handle)
{
	struct connection *conn = (struct connection *)handle;

	if (conn->lingering_fd < 0 ||
	    lingering_close_start(handle->loop, conn->lingering_fd, free_connection, conn) != 0)
		free_connection(conn);
}

static void on_h2o_close(void *data)
{
	struct connection *conn = data;

	conn->sock = NULL;
}

/* Accepts one connection and passes it to h2o. */
static void accept_connection(uv_stream_t *listener, int status)
{
	struct http_server *srv = listener->data;
	struct connection *conn;

	if (status != 0)
		return;
	conn = calloc(1, sizeof(*conn));
	if (!conn)
		return;
	conn->server = srv;
	conn->lingering_fd = -1;
	client_track_start(&conn->track, uv_now(listener->loop));
	uv_tcp_init(listener->loop, &conn->tcp);
	srv->connection_count++;
	h2o_linklist_insert(&srv->connections, &conn->link);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp, on_handle_closed);
	conn->sock->on_close.cb = on_h2o_close;
	conn->sock->on_close.data = conn;
	h2o_accept(&srv->accept, conn->sock);
	if (srv->options.guard &&
	    !client_guard_accepted(srv->options.guard, srv, h2o_socket_get_fd(conn->sock)))
		http_client_close(conn);
}

/* Sets up h2o with one handler and one filter for every path. */
static void configure(struct http_server *srv, uv_loop_t *loop)
{
	h2o_hostconf_t *host;
	struct request_handler *handler;
	struct respond_filter *filter;

	/* Hosts have no disks: h2o must never move buffers to files. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	h2o_config_init(&srv->config);
	srv->config.server_name = h2o_iovec_init(NULL, 0);
	srv->config.max_request_entity_size = srv->options.body_bytes_max;
	/* h2o's only time limit runs from the end of the last request to the end of the next one. A
	 * guard has one for each phase instead. */
	srv->config.http1.req_timeout =
		srv->options.guard ? GUARDED_REQUEST_MS : srv->options.idle_ms;
	srv->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(&srv->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct request_handler *)h2o_create_handler(&host->fallback_path,
							       sizeof(*handler));
	handler->super.on_req = handle_request;
	handler->server = srv;
	filter = (struct respond_filter *)h2o_create_filter(&host->fallback_path, sizeof(*filter));
	filter->super.on_setup_ostream = setup_response;
	filter->server = srv;
	h2o_context_init(&srv->context, loop, &srv->config);
	srv->accept.ctx = &srv->context;
	srv->accept.hosts = srv->config.hosts;
}

/* Limits what the kernel takes from a client before the loop reads it: one turn of the loop reads
 * all of it from every connection, before the guard can see it. Accepted sockets inherit it. */
static void limit_receive_buffer(const struct http_server *srv)
{
	int bytes = RECEIVE_BUFFER_BYTES;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&srv->listener, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

/* Binds and listens. Returns 0 or a libuv error code. */
static int listen_on(struct http_server *srv, uv_loop_t *loop)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int size = sizeof(addr);
	int rc;

	addr.sin_addr.s_addr = htonl(srv->options.ip);
	addr.sin_port = htons(srv->options.port);
	uv_tcp_init(loop, &srv->listener);
	srv->listener.data = srv;
	rc = uv_tcp_bind(&srv->listener, (struct sockaddr *)&addr, 0);
	if (rc == 0 && srv->options.guard)
		limit_receive_buffer(srv);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&srv->listener, LISTEN_BACKLOG, accept_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(&srv->listener, (struct sockaddr *)&addr, &size);
	srv->port = ntohs(addr.sin_port);
	return rc;
}

/* Opens a listener. Errors: ERROR_SYSTEM (cannot bind or listen), ERROR_MEMORY. */
int http_server_open(struct http_server **out, uv_loop_t *loop,
		     const struct http_server_options *opt, struct error *err)
{
	struct http_server *srv = calloc(1, sizeof(*srv));
	int rc;

	if (!srv)
		return error_set(err, ERROR_MEMORY, "no memory for an HTTP listener");
	srv->options = *opt;
	h2o_linklist_init_anchor(&srv->connections);
	configure(srv, loop);
	rc = listen_on(srv, loop);
	if (rc != 0) {
		uv_close((uv_handle_t *)&srv->listener, NULL);
		uv_run(loop, UV_RUN_NOWAIT);
		http_server_free(srv);
		return error_set_errno(err, -rc, "cannot listen on port %u", opt->port);
	}
	if (srv->options.guard)
		client_guard_add(srv->options.guard, srv);
	*out = srv;
	return 0;
}

/* Sets the largest body that is taken from now on. */
void http_server_set_body_bytes_max(struct http_server *srv, size_t bytes)
{
	srv->config.max_request_entity_size = bytes;
}

/* Returns the port that the listener is bound to. */
uint16_t http_server_port(const struct http_server *srv)
{
	return srv->port;
}

/* Closes each connection after its current answer, for a planned stop.
 * h2o_context_request_shutdown() is not used: it also starts an HTTP/2 timer that must have ended
 * before http_server_free(). */
void http_server_drain(struct http_server *srv)
{
	srv->context.shutdown_requested = 1;
}

/* Has the kernel drop the first packet (SYN) of every new connection, while handshakes that have
 * begun are completed and accepted. Closing the listener at once would reset the connections in its
 * queue, whose callers may have sent a request already. If the filter cannot be attached, closing
 * works without this protection. */
void http_server_stop_accepting(struct http_server *srv)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, ACCEPT_ALL),
	};
	struct sock_fprog program = {sizeof(code) / sizeof(code[0]), code};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&srv->listener, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/* Closes the listening socket; open connections stay open. */
void http_server_close(struct http_server *srv)
{
	if (!uv_is_closing((uv_handle_t *)&srv->listener))
		uv_close((uv_handle_t *)&srv->listener, NULL);
}

/* Closes the listening socket and stops calling the owner, which is about to be freed. */
void http_server_detach(struct http_server *srv)
{
	srv->is_detached = true;
	if (srv->options.guard)
		client_guard_remove(srv->options.guard, srv);
	http_server_close(srv);
}

/* Frees a closed server, which must have no connections. */
void http_server_free(struct http_server *srv)
{
	h2o_context_dispose(&srv->context);
	h2o_config_dispose(&srv->config);
	free(srv);
}

/* Returns the number of open connections, including those in lingering close. */
uint32_t http_server_connection_count(const struct http_server *srv)
{
	return srv->connection_count;
}

/* Returns the number of connections that have received part of a request. */
uint32_t http_server_receiving_count(const struct http_server *srv)
{
	const h2o_linklist_t *at;
	uint32_t count = 0;

	for (at = srv->connections.next; at != &srv->connections; at = at->next) {
		const struct connection *conn = H2O_STRUCT_FROM_MEMBER(struct connection, link, at);

		count += conn->sock && conn->sock->bytes_read > conn->read_bytes;
	}
	return count;
}

/* Calls fn for the current request of each connection, until fn returns non-zero. */
void http_server_foreach_request(struct http_server *srv, int (*fn)(h2o_req_t *req, void *user),
				 void *user)
{
	srv->config.http1.callbacks.foreach_request(&srv->context, fn, user);
}

/* Sends a complete answer, with the headers that were added to the request before. The body is not
 * copied and must live as long as the request's pool. */
void http_respond(h2o_req_t *req, int status, const char *body, size_t size)
{
	static h2o_generator_t generator = {NULL, NULL};
	h2o_iovec_t buf = h2o_iovec_init(body, size);

	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	req->res.content_length = size;
	h2o_start_response(req, &generator);
	h2o_send(req, &buf, size > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

/* Sends a JSON text as a complete answer; copies it into the request's pool. */
void http_respond_json(h2o_req_t *req, int status, const char *text)
{
	h2o_iovec_t body = h2o_strdup(&req->pool, text, SIZE_MAX);

	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
		       H2O_STRLIT("application/json"));
	http_respond(req, status, body.base, body.len);
}
