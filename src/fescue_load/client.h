/*
 * Client: HTTP/1.1 calls over kept-alive connections, with one pool per target.
 */
#ifndef FESCUE_LOAD_CLIENT_H
#define FESCUE_LOAD_CLIENT_H

#include <h2o.h>
#include <h2o/http1client.h>

/* How an exchange ended. */
enum client_end {
	CLIENT_END_COMPLETE,  /* the complete answer was received */
	CLIENT_END_TRUNCATED, /* the connection failed or was closed in the middle of the answer */
	/* The request was passed to the connection, which ended before the answer's head. */
	CLIENT_END_NO_ANSWER,
	CLIENT_END_NOT_CONNECTED, /* connecting failed; no byte of the request was sent */
};

struct client {
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
	h2o_multithread_receiver_t receiver;
};

/*
 * One exchange. The owner embeds it and sets the request and the callbacks, which must stay valid
 * until on_end or client_cancel is called. on_head and on_data may be NULL.
 */
struct client_call {
	h2o_iovec_t request[2]; /* head and body of the request */
	int is_head;		/* the method is HEAD, so the answer has no body */
	void (*on_head)(struct client_call *call, int status, const struct st_h2o_header_t *headers,
			size_t count);
	void (*on_data)(struct client_call *call, const char *data, size_t bytes);
	void (*on_end)(struct client_call *call, enum client_end end);
	h2o_http1client_t *exchange; /* NULL when no exchange is in progress */
};

void client_init(struct client *client, h2o_loop_t *loop);
void client_pool_init(h2o_socketpool_t *pool, const struct sockaddr_in *address, h2o_loop_t *loop);
void client_start(struct client *client, h2o_socketpool_t *pool, struct client_call *call);
void client_cancel(struct client_call *call);

#endif
