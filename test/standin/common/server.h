/*
 * Server of the stand-ins: an h2o server on 127.0.0.1 with one libuv loop, JSON answers, and
 * requests that are held open until they are answered or their caller closes the connection.
 */
#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* A request that is answered later. The owner embeds it and owns its memory. */
struct held_request {
	h2o_req_t *req;
	uv_poll_t *poll; /* detects the end of the connection, on a duplicate of its descriptor */
	void (*on_caller_closed)(struct held_request *held);
};

typedef int (*server_handler)(h2o_req_t *req);

uv_loop_t *server_start(uint16_t port, server_handler on_request, void (*on_terminate)(void));
int server_run(void);
uint16_t server_port(void);

bool server_path_is(const h2o_req_t *req, const char *path);
h2o_iovec_t server_header(const h2o_req_t *req, const char *name);
uint64_t server_header_u64(const h2o_req_t *req, const char *name, uint64_t fallback);
uint64_t server_query_u64(const h2o_req_t *req, const char *name, uint64_t fallback);
void server_add_header(h2o_req_t *req, const char *name, const char *value);

int server_send_json(h2o_req_t *req, int status, json_t *value);
int server_send_text(h2o_req_t *req, int status, const char *body, size_t bytes);
void server_drop_connection(h2o_req_t *req);

void held_request_begin(struct held_request *held, h2o_req_t *req,
			void (*on_caller_closed)(struct held_request *held));
void held_request_end(struct held_request *held);

#endif
