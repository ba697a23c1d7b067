/*
 * Store dialect: how the calls of the object API are spelled on the wire. own_store_dialect is that
 * of the product's own stand-ins; an adapter for another platform brings another.
 */
#ifndef FESCUEMILL_STORE_DIALECT_H
#define FESCUEMILL_STORE_DIALECT_H

#include "fescuemill/http/fetch.h"
#include "fescuemill/store/platform.h"

#include <jansson.h>

#define STORE_PATH_BYTES    256
#define STORE_HEADERS_BYTES 96

/* A call as it goes out. The writer may replace the body by one of its own, malloc'ed. */
struct store_text {
	const char *method;
	char path[STORE_PATH_BYTES];
	char headers[STORE_HEADERS_BYTES];
	const char *body;
	size_t body_size;
	char *owned; /* freed once the call is sent */
};

/* The pages of a list that were read so far. */
struct store_pages {
	json_t *items; /* NULL before the first page */
};

/* What a reader gives beside the result. */
struct store_answer {
	struct store_pages *pages;
	char after[PLATFORM_NAME_BYTES]; /* not empty: the list goes on after this name */
	char *text;			 /* malloc'ed, for a result that borrows from it; or NULL */
};

struct store_dialect {
	const char *version_header; /* of an answer that carries the object's version there */
	int (*write)(const struct platform_request *request, struct store_text *out,
		     struct error *err);
	void (*read)(enum platform_call_type type, const struct fetch_result *answer,
		     struct store_answer *read, struct platform_result *result);
};

extern const struct store_dialect own_store_dialect;

void store_pages_free(struct store_pages *pages);
/* The kind of error that an HTTP status tells. */
enum error_kind store_error_of_status(int status);

#endif
