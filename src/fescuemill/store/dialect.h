/*
 * Store dialect: translates calls of the platform's object API to and from HTTP.
 * native_store_dialect is the format of fescuemill's own stand-in platform; an adapter for another
 * platform defines another dialect.
 */
#ifndef FESCUEMILL_STORE_DIALECT_H
#define FESCUEMILL_STORE_DIALECT_H

#include "fescuemill/http/fetch.h"
#include "fescuemill/store/platform.h"

#include <jansson.h>

#define STORE_PATH_BYTES    256
#define STORE_HEADERS_BYTES 96

/* HTTP request of a call. A dialect's write() may replace the body by a malloc'ed one. */
struct store_http_request {
	const char *method;
	char path[STORE_PATH_BYTES];
	char headers[STORE_HEADERS_BYTES];
	const char *body;
	size_t body_size;
	char *owned; /* malloc'ed body, which the caller of write() frees; or NULL */
};

/* Pages of a list that were read so far. */
struct store_pages {
	json_t *items; /* items of all pages; NULL before the first page */
};

/* Input and output of a dialect's read() besides the answer and the result. */
struct store_read_context {
	struct store_pages *pages;	 /* pages before this answer; a page is added to them */
	char after[PLATFORM_NAME_BYTES]; /* if not empty, the next page starts after this name */
	char *text;			 /* malloc'ed body that the result points to; or NULL */
	json_t *root; /* parsed body that the result points to, to be released; or NULL */
};

struct store_dialect {
	const char *version_header; /* answer header with the object's version; NULL: none */
	const char *era_header;	    /* answer header with the store's era */
	/* Writes the HTTP request of a call. */
	int (*write)(const struct platform_request *request, struct store_http_request *out,
		     struct error *err);
	/* Reads the HTTP answer to a call. */
	void (*read)(enum platform_call_type type, const struct fetch_result *answer,
		     struct store_read_context *read, struct platform_result *result);
};

/* Positions in fetch_result.headers. */
enum store_header {
	STORE_HEADER_VERSION,
	STORE_HEADER_ERA,
};

extern const struct store_dialect native_store_dialect;

void store_pages_free(struct store_pages *pages);
/* Returns the kind of error for an HTTP status that reports a failure. */
enum error_kind store_error_from_status(int status);

#endif
