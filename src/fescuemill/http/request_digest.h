/*
 * Request digest: a number that is the same for each repeat of a request, at any node: a hash of
 * its method, host, path with query, calling service, customer and body. Ids of attempts and other
 * headers differ between repeats and do not count. No I/O.
 */
#ifndef FESCUEMILL_HTTP_REQUEST_DIGEST_H
#define FESCUEMILL_HTTP_REQUEST_DIGEST_H

#include "fescuemill/wire/message_defs.h"

struct request_parts {
	struct wire_bytes method;
	struct wire_bytes path;
	struct wire_bytes body;
	const struct wire_headers *headers;
	const char *caller_header; /* in lower case, names the calling service; NULL: none does */
	uint64_t customer;	   /* id; 0: none */
};

uint64_t request_digest(const struct request_parts *parts);

#endif
