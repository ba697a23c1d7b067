/*
 * The connections of an HTTP server as its guard sees them: samples of what each does, and the ways
 * to end one.
 */
#ifndef FESCUEMILL_HTTP_SERVER_CLIENTS_H
#define FESCUEMILL_HTTP_SERVER_CLIENTS_H

#include "fescuemill/http/client_guard.h"
#include "fescuemill/http/server_defs.h"

/* Samples every connection and calls fn with it. fn must not end connections. */
void http_server_sample_clients(struct http_server *srv,
				void (*fn)(void *user, struct connection *conn, h2o_req_t *req),
				void *user);
/* Answers a request that is being refused. Returns false if it is not. */
bool http_refuse_request(struct connection *conn, h2o_req_t *req);
/* Refuses the request that a connection has received in part, with an answer of this status, and
 * closes the connection. */
void http_client_refuse(struct connection *conn, h2o_req_t *req, int status);
/* Closes a connection without an answer. Does nothing if bytes have arrived that were not read. */
void http_client_close(struct connection *conn);

#endif
