/*
 * Fetch: HTTP client that opens one connection with its own timeout for each request. For
 * infrequent requests: those to the platform, and those that the command-line tools send to nodes.
 */
#ifndef FESCUEMILL_HTTP_FETCH_H
#define FESCUEMILL_HTTP_FETCH_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#define FETCH_HEADER_BYTES 64
#define FETCH_HEADERS_MAX  2

/* The strings need to live only until fetch_start() returns. */
struct fetch_request {
	struct endpoint to;
	const char *method;
	const char *path;
	const char *headers; /* lines that end in "\r\n", or NULL */
	const char *body;    /* NULL: none */
	size_t body_size;
	uint32_t timeout_ms; /* for the complete answer, from when the request is sent */
	/* Lower-case names of headers whose values are returned in the result; NULL: none. */
	const char *wanted_headers[FETCH_HEADERS_MAX];
};

/* Valid only during the call of `done`. Errors: ERROR_UNREACHABLE, ERROR_TIMEOUT, ERROR_TOO_LARGE,
 * ERROR_STATE if the fetcher was closed. */
struct fetch_result {
	struct error err; /* none for a complete answer, whatever its status */
	bool sent;	  /* connected, and the request was passed to the socket */
	size_t head_size; /* bytes of the answer's status line and headers */
	int status;
	const char *body;
	size_t body_size;
	/* Values of the wanted headers, in their order; empty if absent or too long. */
	char headers[FETCH_HEADERS_MAX][FETCH_HEADER_BYTES];
};

typedef void (*fetch_done_fn)(void *user, const struct fetch_result *result);

struct fetcher;

int fetcher_open(struct fetcher **out, uv_loop_t *loop, struct error *err);
/* Ends all running requests with ERROR_STATE. The fetcher is freed while the loop runs on. */
void fetcher_close(struct fetcher *fetcher);
/* Returns the bytes that a request sends, head and body. */
size_t fetch_request_size(const struct fetch_request *request);
/* Starts a request; `done` is called exactly once, after this has returned. Errors: ERROR_MEMORY,
 * ERROR_TOO_LARGE for the path and headers; `done` is then not called. */
int fetch_start(struct fetcher *fetcher, const struct fetch_request *request, fetch_done_fn done,
		void *user, struct error *err);

#endif
