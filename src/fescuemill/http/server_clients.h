/*
 * The connections of an HTTP server as its guard sees them: samples of what each does, and the ways
 * to end one.
 */
#ifndef FESCUEMILL_HTTP_SERVER_CLIENTS_H
#define FESCUEMILL_HTTP_SERVER_CLIENTS_H

#include "fescuemill/http/client_guard.h"
#include "fescuemill/http/server_defs.h"

/* Samples every connection and calls fn with it. fn must not end connections. counts_unread: asks
 * the kernel for the bytes that it holds of connections that are not being read, which costs a
 * system call each; otherwise the last known number counts. */
void http_server_sample_clients(struct http_server *srv, bool counts_unread,
				void (*fn)(void *user, struct connection *conn, h2o_req_t *req),
				void *user);
/* Answers a request that is being refused. Returns false if it is not. */
bool http_refuse_request(struct connection *conn, h2o_req_t *req);
/* Refuses the request that a connection has received in part, with an answer of this status, and
 * closes the connection. */
void http_client_refuse(struct connection *conn, h2o_req_t *req, int status);
/* Returns true if bytes have arrived on a connection that is being read, but were not read yet: the
 * process may have been paused. */
bool http_client_has_unread(const struct connection *conn);
/* Closes a connection without an answer. If it has carried a request before, and the next one may
 * have arrived, does nothing and returns false. */
bool http_client_close(struct connection *conn);

#endif
