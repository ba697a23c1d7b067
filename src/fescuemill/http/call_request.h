/*
 * Call request: reads and checks the head of a caller's HTTP request, and maps outcomes to HTTP.
 * Pure: no socket, no allocation; everything is borrowed from the caller's buffers.
 */
#ifndef FESCUEMILL_HTTP_CALL_REQUEST_H
#define FESCUEMILL_HTTP_CALL_REQUEST_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

#define CALL_DEADLINE_DEFAULT_US (10ULL * 1000 * 1000)
#define CALL_RETRY_BUDGET_MAX	 100
#define CALL_HEAD_BYTES_MAX	 (32U * 1024)

/* How a request names what it is for. */
enum call_address {
	CALL_ADDRESS_SERVICE, /* by service and class */
	CALL_ADDRESS_ROUTE,   /* by host and path, which the routes in force map to a service */
};

/* A caller's request, with the headers that go on to the backend server. */
struct call_request {
	enum call_address address;
	struct wire_bytes host; /* without its port; empty unless it is needed to find a route */
	struct wire_bytes id;	/* the client's own name of this attempt; size 0 when not stated */
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	uint64_t time_left_us;
	uint32_t depth;
	bool retry_budget_stated;
	uint32_t retry_budget;
	bool idempotent;
	struct wire_bytes key; /* size 0 when there is none */
	struct wire_bytes method;
	struct wire_bytes path;
	struct wire_headers headers;
	struct wire_bytes body;
};

/* The request as HTTP gave it: every header, in order. */
struct call_head {
	struct wire_bytes authority; /* the Host header, which the list does not have */
	struct wire_bytes method;
	struct wire_bytes path;
	const struct wire_header *headers;
	uint32_t header_count;
};

enum call_reason call_request_parse(const struct call_head *head, struct call_request *out,
				    struct error *err);
bool header_is_hop_by_hop(struct wire_bytes name);
bool header_is_listed(struct wire_bytes name, struct wire_bytes list);
bool wire_bytes_is(struct wire_bytes bytes, const char *text);
/* Reads a decimal number of at most nine digits that fills the text; -1 when it is none. */
int wire_bytes_number(struct wire_bytes text, uint32_t *out);
int outcome_http_status(enum call_outcome outcome, enum call_reason reason);

#endif
