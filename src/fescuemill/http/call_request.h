/*
 * Parses and checks the head of a caller's HTTP request, and maps call outcomes to HTTP statuses.
 * Uses no socket and allocates nothing: results point into the buffers of the request.
 */
#ifndef FESCUEMILL_HTTP_CALL_REQUEST_H
#define FESCUEMILL_HTTP_CALL_REQUEST_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#define CALL_DEADLINE_DEFAULT_US (10ULL * 1000 * 1000)
#define CALL_RETRY_BUDGET_MAX	 100	      /* retries */
#define CALL_HEAD_BYTES_MAX	 (32U * 1024) /* path, names and values of forwarded headers */

/* How a request addresses its service. */
enum call_address {
	CALL_ADDRESS_SERVICE, /* by service and class */
	CALL_ADDRESS_ROUTE,   /* by host and path, which the active routing maps to a service */
};

/* A caller's parsed request. */
struct call_request {
	enum call_address address;
	struct wire_bytes host; /* without the port; empty unless address is CALL_ADDRESS_ROUTE */
	struct wire_bytes id;	/* the caller's identifier of this attempt; size 0: none */
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	uint64_t time_left_us;	  /* until the deadline */
	uint32_t depth;		  /* number of calls above this one in its call chain */
	bool retry_budget_stated; /* the request states a retry budget */
	uint32_t retry_budget;	  /* retries allowed, 0 to CALL_RETRY_BUDGET_MAX */
	bool idempotent;
	struct wire_bytes
		credential;    /* the customer's key; size 0: none. Never forwarded or logged */
	struct wire_bytes key; /* idempotency key; size 0: none */
	struct wire_bytes method;
	struct wire_bytes path;
	struct wire_headers headers; /* to be forwarded to the backend server */
	struct wire_bytes body;
};

/* The head of an HTTP request, with all its headers in order. */
struct call_head {
	struct wire_bytes authority; /* value of the Host header, which is not in `headers` */
	struct wire_bytes method;
	struct wire_bytes path;
	const struct wire_header *headers;
	uint32_t header_count;
};

enum call_reason call_request_parse(const struct call_head *head, struct call_request *out,
				    struct error *err);
bool header_is_hop_by_hop(struct wire_bytes name);
bool header_is_listed(struct wire_bytes name, struct wire_bytes list);
bool wire_bytes_equal_nocase(struct wire_bytes bytes, const char *text);
/* Parses a text of one to nine decimal digits and nothing else. Returns -1 if it is not one. */
int wire_bytes_parse_number(struct wire_bytes text, uint32_t *out);
int outcome_http_status(enum call_outcome outcome, enum call_reason reason);

#endif
