/*
 * HTTP/1.1 server: one h2o listener in a libuv loop, with one handler for all requests. A request's
 * body is collected in memory, up to a limit, before the handler runs; nothing is written to files.
 */
#ifndef FESCUEMILL_HTTP_SERVER_H
#define FESCUEMILL_HTTP_SERVER_H

#include "fescuemill/base/error.h"

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_server;
struct client_guard;

/* Handles a request and answers it at once or later. The request stays valid until then. */
typedef void (*http_request_fn)(void *user, h2o_req_t *req);

/* Called before each answer is sent, including those that h2o generates itself (400, 413), but for
 * its 400 to a request head that it cannot parse. */
typedef void (*http_respond_fn)(void *user, h2o_req_t *req);

struct http_server_options {
	uint32_t ip;		    /* host byte order */
	uint16_t port;		    /* 0: any free port */
	size_t body_bytes_max;	    /* larger bodies are answered with 413 */
	uint64_t idle_ms;	    /* a connection without a request for this long is closed */
	struct client_guard *guard; /* judges the connections; NULL: only idle_ms applies */
	bool is_reserved; /* part of the descriptors is reserved for this listener's clients */
	http_request_fn on_request;
	http_respond_fn on_respond; /* may be NULL */
	void *user;
};

int http_server_open(struct http_server **out, uv_loop_t *loop,
		     const struct http_server_options *opt, struct error *err);
/* Sets the largest body that is taken from now on. */
void http_server_set_body_bytes_max(struct http_server *srv, size_t bytes);
uint16_t http_server_port(const struct http_server *srv);
/* Closes each connection after its current answer. New connections are still accepted. */
void http_server_drain(struct http_server *srv);
/* Accepts no new connections except those whose TCP handshake has begun; these are accepted while
 * the loop runs. To be called some round trips before http_server_close(). */
void http_server_stop_accepting(struct http_server *srv);
/* Closes the listening socket. The loop must run on until libuv has closed it, before
 * http_server_free(). */
void http_server_close(struct http_server *srv);
/* Closes the listening socket and calls on_request and on_respond no more: requests that still
 * arrive over open connections are answered with 503. */
void http_server_detach(struct http_server *srv);
void http_server_free(struct http_server *srv);
/* Returns the number of open connections, including those in lingering close. */
uint32_t http_server_connection_count(const struct http_server *srv);
/* Returns the number of connections that have received part of a request. */
uint32_t http_server_receiving_count(const struct http_server *srv);

/* Calls fn for the current request of each connection, until fn returns non-zero. */
void http_server_foreach_request(struct http_server *srv, int (*fn)(h2o_req_t *req, void *user),
				 void *user);
/* Returns true if part of the request's body was received and the request is not handled yet. */
bool http_request_is_receiving(const h2o_req_t *req);
/* Returns true if the current answer was given by on_request, not by h2o itself. Only valid inside
 * on_respond. */
bool http_answer_is_from_handler(const h2o_req_t *req);
/* Returns true, with the reason in err, if two HTTP parsers could disagree on the end of the
 * request or on its host (request smuggling). */
bool http_request_is_ambiguous(h2o_req_t *req, struct error *err);
/* Selects a lingering close for the request's connection, so that its last answer arrives. */
void http_server_use_lingering_close(h2o_req_t *req);

/* Sends a complete answer. The body is not copied and must live as long as the request's pool. */
void http_respond(h2o_req_t *req, int status, const char *body, size_t size);
/* Sends a JSON text as a complete answer; copies it into the request's pool. */
void http_respond_json(h2o_req_t *req, int status, const char *text);

#endif
