/*
 * What the stand-ins share: one h2o server on loopback on one libuv loop, answers in JSON, and
 * requests that are held open until they are answered or their caller closes the connection.
 */
#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* A request that waits for its answer. The caller embeds it and owns its memory. */
struct held {
	h2o_req_t *req;
	uv_poll_t *poll; /* watches a duplicate of the connection's descriptor for its end */
	void (*gone)(struct held *held);
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
void server_cut(h2o_req_t *req);

void held_begin(struct held *held, h2o_req_t *req, void (*gone)(struct held *held));
void held_end(struct held *held);

#endif
