/*
 * Server: one HTTP/1.1 listener by h2o in a libuv loop, with one handler for every request.
 * Bodies are gathered in memory up to a cap before the handler runs; nothing spills to files.
 */
#ifndef FESCUEMILL_HTTP_SERVER_H
#define FESCUEMILL_HTTP_SERVER_H

#include "fescuemill/base/error.h"

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_server;

/* The handler answers at once or later; the request stays valid until it is answered. */
typedef void (*http_request_fn)(void *user, h2o_req_t *req);

/* Called before any answer goes out, also those that h2o gives by itself (400, 413). */
typedef void (*http_respond_fn)(void *user, h2o_req_t *req);

struct http_server_options {
	uint32_t ip;	       /* host byte order */
	uint16_t port;	       /* 0: any */
	size_t body_bytes_max; /* larger bodies are answered with 413 */
	uint64_t idle_ms;      /* a connection without a request for this long is closed */
	http_request_fn on_request;
	http_respond_fn on_respond; /* may be NULL */
	void *user;
};

int http_server_open(struct http_server **out, uv_loop_t *loop,
		     const struct http_server_options *opt, struct error *err);
uint16_t http_server_port(const struct http_server *srv);
/* Closes each connection after its present answer; new connections are still taken. */
void http_server_drain(struct http_server *srv);
/* Takes no new connections; those whose handshake is under way are still accepted as long as the
 * loop runs. To be called some round trips before http_server_close. */
void http_server_stop_accepting(struct http_server *srv);
/* Stops listening. The loop must run on before http_server_free. */
void http_server_close(struct http_server *srv);
/* Stops listening, and refuses with 503 what still comes over open connections: the handler and its
 * user are not touched any more. */
void http_server_release(struct http_server *srv);
void http_server_free(struct http_server *srv);
/* Lingering connections included. */
uint32_t http_server_connections(const struct http_server *srv);
/* Connections of which a part of a request has come in. */
uint32_t http_server_receiving(const struct http_server *srv);

/* Calls fn for the present request of each connection, until it returns other than 0. */
void http_server_each_request(struct http_server *srv, int (*fn)(h2o_req_t *req, void *user),
			      void *user);
bool http_is_receiving(const h2o_req_t *req);
/* Whether the present answer was given by on_request, not by h2o itself. */
bool http_is_answered_by_handler(const h2o_req_t *req);
/* Whether two readers could disagree on where a request ends or on its host. Fills the error. */
bool http_is_ambiguous(h2o_req_t *req, struct error *err);
/* Has the connection read on for a while after its last answer, so that the answer arrives. */
void http_server_linger(h2o_req_t *req);

/* Sends a whole answer; the body must live as long as the request's pool. */
void http_respond(h2o_req_t *req, int status, const char *body, size_t size);
/* Sends a whole JSON text after copying it to the request's pool. */
void http_respond_json(h2o_req_t *req, int status, const char *text);

#endif
