/*
 * State of an HTTP server and its connections, shared by its source files.
 */
#ifndef FESCUEMILL_HTTP_SERVER_DEFS_H
#define FESCUEMILL_HTTP_SERVER_DEFS_H

#include "fescuemill/decide/client_budget.h"
#include "fescuemill/http/server.h"

struct http_server {
	uv_tcp_t listener;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	struct http_server_options options;
	h2o_linklist_t connections; /* of struct connection */
	uint32_t connection_count;
	uint16_t port;
	bool is_detached; /* the owner's callbacks must not be called any more */
	struct http_server *next_guarded;
};

/* An accepted connection; it stays allocated until libuv has closed its handle and its lingering
 * close, if any, has ended. */
struct connection {
	uv_tcp_t tcp;
	h2o_linklist_t link;
	struct http_server *server;
	h2o_socket_t *sock;    /* NULL after h2o has closed it */
	size_t read_bytes;     /* bytes received when the last request was passed to the handler */
	uint64_t requests;     /* requests passed to the handler so far */
	bool is_handled;       /* the current request was passed to the handler */
	int refusal;	       /* status that the current request is refused with; 0: it is not */
	int lingering_fd;      /* duplicate descriptor that keeps the socket open; -1: none */
	uint64_t unread_bytes; /* bytes of requests sent ahead that the kernel holds */
	struct client_track track; /* used where the server has a guard */
};

struct connection *http_connection_of(const h2o_req_t *req);

#endif
