/*
 * Fetch: one HTTP request over a connection of its own, ended by a time-out of its own. For rare
 * requests: to the platform, and of the commands to nodes.
 */
#ifndef FESCUEMILL_HTTP_FETCH_H
#define FESCUEMILL_HTTP_FETCH_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#define FETCH_HEADER_BYTES 64

/* The strings need to live only until fetch_start() returns. */
struct fetch_request {
	struct endpoint to;
	const char *method;
	const char *path;
	const char *headers; /* lines that end in "\r\n", or NULL */
	const char *body;    /* NULL: none */
	size_t body_size;
	uint32_t timeout_ms;
	const char *wanted_header; /* lower case; its value is handed back; or NULL */
};

/* Valid only during the call of done. Errors: ERROR_UNREACHABLE, ERROR_TIMEOUT, ERROR_TOO_LARGE,
 * ERROR_STATE when the fetcher was closed. */
struct fetch_result {
	struct error err; /* a whole answer of any status is no error */
	bool sent;	  /* the request was handed to a connection */
	size_t head_size; /* bytes of the answer's status line and headers */
	int status;
	const char *body;
	size_t body_size;
	char header[FETCH_HEADER_BYTES];
};

typedef void (*fetch_done_fn)(void *user, const struct fetch_result *result);

struct fetcher;

int fetcher_open(struct fetcher **out, uv_loop_t *loop, struct error *err);
/* Ends all requests that run with ERROR_STATE, and frees the fetcher once the loop ran. */
void fetcher_close(struct fetcher *fetcher);
/* Gives the bytes that a request puts on its connection. */
size_t fetch_request_size(const struct fetch_request *request);
/* Calls done exactly once, after this has returned. Errors: ERROR_MEMORY, ERROR_TOO_LARGE for the
 * path and headers; done is then not called. */
int fetch_start(struct fetcher *fetcher, const struct fetch_request *request, fetch_done_fn done,
		void *user, struct error *err);

#endif
