/*
 * Parses and checks the head of a caller's HTTP request, and maps call outcomes to HTTP statuses.
 */
#include "fescuemill/http/call_request.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/http/credential.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define DEADLINE_MS_MAX (CALL_DEADLINE_US_MAX / USEC_PER_MSEC)
#define NUMBER_DIGITS	9  /* most digits of a number; it always fits into a uint32_t */
#define SHOWN_BYTES	40 /* longest part of a header's name or value in error details */

/* Headers that the node interprets; not forwarded with the others. */
enum node_header {
	NODE_HEADER_NONE, /* any other header */
	NODE_HEADER_CLASS,
	NODE_HEADER_DEADLINE,
	NODE_HEADER_KEY,
	NODE_HEADER_IDEMPOTENT,
	NODE_HEADER_DEPTH,
	NODE_HEADER_RETRY_BUDGET,
	NODE_HEADER_UNKNOWN, /* has the prefix x-fescue- but is not defined; ignored */
};

static const char node_header_prefix[] = "x-fescue-";

static const struct {
	const char *name;
	enum node_header header;
} node_headers[] = {
	{"x-fescue-class", NODE_HEADER_CLASS}, {"x-fescue-deadline-ms", NODE_HEADER_DEADLINE},
	{"idempotency-key", NODE_HEADER_KEY},  {"x-fescue-idempotent", NODE_HEADER_IDEMPOTENT},
	{"x-fescue-depth", NODE_HEADER_DEPTH}, {"x-fescue-retry-budget", NODE_HEADER_RETRY_BUDGET},
};

/* Hop-by-hop headers, and headers that the node writes itself on each connection. */
static const char *const hop_by_hop[] = {
	"connection",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"proxy-connection",
	"expect",
	"host",
	"content-length",
};

static const char *const idempotent_methods[] = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
static const char *const other_methods[] = {"POST", "PATCH"};

/* Compares bytes with a text, ignoring ASCII case. */
bool wire_bytes_equal_nocase(struct wire_bytes bytes, const char *text)
{
	size_t size = strlen(text);

	return bytes.size == size && strncasecmp((const char *)bytes.data, text, size) == 0;
}

/* Parses a text of one to nine decimal digits and nothing else. Returns -1 if it is not one. */
int wire_bytes_parse_number(struct wire_bytes text, uint32_t *out)
{
	uint32_t number = 0;

	if (text.size == 0 || text.size > NUMBER_DIGITS)
		return -1;
	for (uint32_t i = 0; i < text.size; i++) {
		if (!isdigit(text.data[i]))
			return -1;
		number = number * 10 + (uint32_t)(text.data[i] - '0');
	}
	*out = number;
	return 0;
}

/* Returns true if a header applies to one connection only, or is written again on each. */
bool header_is_hop_by_hop(struct wire_bytes name)
{
	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++) {
		if (wire_bytes_equal_nocase(name, hop_by_hop[i]))
			return true;
	}
	return false;
}

/* Returns true if a comma-separated list, such as the value of a Connection header, contains a
 * name. Ignores ASCII case. */
bool header_is_listed(struct wire_bytes name, struct wire_bytes list)
{
	const uint8_t *at = list.data;
	const uint8_t *end = list.data + list.size;

	while (at < end) {
		const uint8_t *comma = memchr(at, ',', (size_t)(end - at));
		const uint8_t *stop = comma ? comma : end;
		struct wire_bytes item;

		while (at < stop && isspace(*at))
			at++;
		item.data = at;
		item.size = (uint32_t)(stop - at);
		while (item.size > 0 && isspace(item.data[item.size - 1]))
			item.size--;
		if (item.size == name.size && item.size > 0 &&
		    strncasecmp((const char *)item.data, (const char *)name.data, name.size) == 0)
			return true;
		at = stop + 1;
	}
	return false;
}

static enum node_header classify_header(struct wire_bytes name)
{
	size_t prefix = sizeof(node_header_prefix) - 1;

	for (size_t i = 0; i < sizeof(node_headers) / sizeof(node_headers[0]); i++) {
		if (wire_bytes_equal_nocase(name, node_headers[i].name))
			return node_headers[i].header;
	}
	if (name.size > prefix &&
	    strncasecmp((const char *)name.data, node_header_prefix, prefix) == 0)
		return NODE_HEADER_UNKNOWN;
	return NODE_HEADER_NONE;
}

/* Returns the precision for printing bytes with "%.*s" in error details. */
static int shown_size(struct wire_bytes bytes)
{
	return bytes.size < SHOWN_BYTES ? (int)bytes.size : SHOWN_BYTES;
}

/* Parses a header's value as a decimal number and checks its range. Errors: ERROR_TYPE,
 * ERROR_RANGE. */
static int read_number(struct wire_header header, uint32_t lowest, uint32_t highest, uint32_t *out,
		       struct error *err)
{
	struct wire_bytes text = header.value;
	uint32_t number = 0;

	if (text.size == 0 || text.size > NUMBER_DIGITS)
		return error_set(err, ERROR_TYPE, "%.*s: found %u bytes, allowed 1 to %d digits",
				 shown_size(header.name), (const char *)header.name.data, text.size,
				 NUMBER_DIGITS);
	if (wire_bytes_parse_number(text, &number) != 0)
		return error_set(err, ERROR_TYPE, "%.*s: found \"%.*s\", allowed digits",
				 shown_size(header.name), (const char *)header.name.data,
				 shown_size(text), (const char *)text.data);
	if (number < lowest || number > highest)
		return error_set(err, ERROR_RANGE, "%.*s: found %u, allowed %u to %u",
				 shown_size(header.name), (const char *)header.name.data, number,
				 lowest, highest);
	*out = number;
	return 0;
}

/* Returns true if a byte is allowed in the name of a service or class. */
static bool is_name_byte(uint8_t byte)
{
	return isalnum(byte) || byte == '-' || byte == '_' || byte == '.';
}

/* Checks and copies the name of a service or class; `what` names the field in error details.
 * Errors: ERROR_RANGE, ERROR_SYNTAX. */
static int read_name(struct wire_bytes text, const char *what, char *out, size_t room,
		     struct error *err)
{
	if (text.size == 0 || text.size >= room)
		return error_set(err, ERROR_RANGE, "%s: found %u bytes, allowed 1 to %zu", what,
				 text.size, room - 1);
	for (uint32_t i = 0; i < text.size; i++) {
		if (!is_name_byte(text.data[i]))
			return error_set(err, ERROR_SYNTAX,
					 "%s: byte %u is not a letter, digit, '-', '_' or '.'",
					 what, i);
	}
	memcpy(out, text.data, text.size);
	out[text.size] = '\0';
	return 0;
}

/* Parses the depth of the call. A depth over CALL_DEPTH_MAX is refused with REASON_TOO_DEEP. */
static enum call_reason read_depth(struct wire_header header, struct call_request *out,
				   struct error *err)
{
	if (read_number(header, 0, UINT32_MAX, &out->depth, err) != 0)
		return REASON_BAD_REQUEST;
	if (out->depth <= CALL_DEPTH_MAX)
		return REASON_NONE;
	error_set(err, ERROR_RANGE, "depth: found %u, allowed 0 to %u", out->depth, CALL_DEPTH_MAX);
	return REASON_TOO_DEEP;
}

/* Checks and stores the idempotency key. Errors: ERROR_RANGE. */
static int read_key(struct wire_header header, struct call_request *out, struct error *err)
{
	if (header.value.size == 0 || header.value.size >= KEY_BYTES)
		return error_set(err, ERROR_RANGE,
				 "idempotency-key: found %u bytes, allowed 1 to %d",
				 header.value.size, KEY_BYTES - 1);
	out->key = header.value;
	return 0;
}

/* Parses a header that the node interprets into the request. */
static enum call_reason read_node_header(enum node_header which, struct wire_header header,
					 struct call_request *out, struct error *err)
{
	uint32_t number = 0;
	int rc = 0;

	switch (which) {
	case NODE_HEADER_CLASS:
		rc = read_name(header.value, "x-fescue-class", out->class_name,
			       sizeof(out->class_name), err);
		break;
	case NODE_HEADER_DEADLINE:
		rc = read_number(header, 1, DEADLINE_MS_MAX, &number, err);
		out->time_left_us = number * USEC_PER_MSEC;
		break;
	case NODE_HEADER_KEY:
		rc = read_key(header, out, err);
		break;
	case NODE_HEADER_IDEMPOTENT:
		rc = read_number(header, 0, 1, &number, err);
		out->idempotent = out->idempotent || number == 1;
		break;
	case NODE_HEADER_DEPTH:
		return read_depth(header, out, err);
	case NODE_HEADER_RETRY_BUDGET:
		rc = read_number(header, 0, CALL_RETRY_BUDGET_MAX, &out->retry_budget, err);
		out->retry_budget_stated = true;
		break;
	case NODE_HEADER_NONE:
	case NODE_HEADER_UNKNOWN:
		break;
	}
	return rc == 0 ? REASON_NONE : REASON_BAD_REQUEST;
}

/* Adds a header to those that are forwarded to the backend server. Errors: ERROR_LIMIT. */
static int keep_header(struct wire_header header, struct call_request *out, struct error *err)
{
	if (out->headers.count == WIRE_HEADERS_MAX)
		return error_set(err, ERROR_LIMIT, "headers: allowed %d", WIRE_HEADERS_MAX);
	out->headers.list[out->headers.count++] = header;
	return 0;
}

/* Returns the value of the Connection header, which lists further headers not to be forwarded. */
static struct wire_bytes connection_list(const struct call_head *head)
{
	for (uint32_t i = 0; i < head->header_count; i++) {
		if (wire_bytes_equal_nocase(head->headers[i].name, "connection"))
			return head->headers[i].value;
	}
	return (struct wire_bytes){NULL, 0};
}

/* Parses the headers that the node interprets, drops hop-by-hop headers and keeps the others. */
static enum call_reason read_headers(const struct call_head *head, struct call_request *out,
				     struct error *err)
{
	struct wire_bytes listed = connection_list(head);
	uint32_t bytes = head->path.size;

	for (uint32_t i = 0; i < head->header_count; i++) {
		struct wire_header header = head->headers[i];
		enum node_header which = classify_header(header.name);
		enum call_reason reason = read_node_header(which, header, out, err);

		if (reason != REASON_NONE)
			return reason;
		if (which != NODE_HEADER_NONE || header_is_hop_by_hop(header.name) ||
		    header_is_listed(header.name, listed))
			continue;
		bytes += header.name.size + header.value.size;
		if (keep_header(header, out, err) != 0)
			return REASON_BAD_REQUEST;
	}
	if (bytes > CALL_HEAD_BYTES_MAX) {
		error_set(err, ERROR_TOO_LARGE, "head: found %u bytes, allowed %u", bytes,
			  CALL_HEAD_BYTES_MAX);
		return REASON_BAD_REQUEST;
	}
	return REASON_NONE;
}

/* Splits /SERVICE/PATH into the service and the backend server's path. Errors: ERROR_SYNTAX,
 * ERROR_RANGE. */
static int read_path(struct wire_bytes path, struct call_request *out, struct error *err)
{
	static const uint8_t root[] = "/";
	struct wire_bytes service;
	const uint8_t *slash;

	if (path.size < 2 || path.data[0] != '/')
		return error_set(err, ERROR_SYNTAX, "path: allowed is /SERVICE/PATH");
	service.data = path.data + 1;
	slash = memchr(service.data, '/', path.size - 1);
	service.size = slash ? (uint32_t)(slash - service.data) : path.size - 1;
	if (slash)
		out->path = (struct wire_bytes){slash, path.size - 1 - service.size};
	else
		out->path = (struct wire_bytes){root, 1};
	return read_name(service, "path: service", out->service, sizeof(out->service), err);
}

/* Checks the method. Marks the call as idempotent if the method is. Errors: ERROR_SYNTAX. */
static int read_method(struct wire_bytes method, struct call_request *out, struct error *err)
{
	out->method = method;
	for (size_t i = 0; i < sizeof(idempotent_methods) / sizeof(idempotent_methods[0]); i++) {
		if (wire_bytes_equal_nocase(method, idempotent_methods[i])) {
			out->idempotent = true;
			return 0;
		}
	}
	for (size_t i = 0; i < sizeof(other_methods) / sizeof(other_methods[0]); i++) {
		if (wire_bytes_equal_nocase(method, other_methods[i]))
			return 0;
	}
	return error_set(err, ERROR_SYNTAX, "method: found \"%.*s\"", shown_size(method),
			 (const char *)method.data);
}

/* Parses and checks the head of a request. Returns REASON_NONE, or the reason for refusing the
 * request, with the details in err. Leaves the body empty. */
enum call_reason call_request_parse(const struct call_head *head, struct call_request *out,
				    struct error *err)
{
	enum call_reason reason;

	memset(out, 0, sizeof(*out));
	out->time_left_us = CALL_DEADLINE_DEFAULT_US;
	if (read_method(head->method, out, err) != 0)
		return REASON_BAD_REQUEST;
	if (read_path(head->path, out, err) != 0)
		return REASON_BAD_REQUEST;
	out->credential = credential_read(head);
	reason = read_headers(head, out, err);
	if (reason != REASON_NONE)
		return reason;
	if (out->class_name[0] == '\0') {
		error_set(err, ERROR_MISSING, "x-fescue-class: required");
		return REASON_BAD_REQUEST;
	}
	return REASON_NONE;
}

/* Returns the HTTP status of a call that has no answer of a backend server. */
int outcome_http_status(enum call_outcome outcome, enum call_reason reason)
{
	if (outcome == OUTCOME_UNKNOWN)
		return 504;
	switch (reason) {
	case REASON_BAD_REQUEST:
	case REASON_TOO_DEEP:
		return 400;
	case REASON_UNKNOWN_SERVICE:
	case REASON_UNKNOWN_CLASS:
		return 404;
	case REASON_TOO_LARGE:
		return 413;
	case REASON_UNKNOWN_KEY:
		return 401;
	case REASON_RETRY_BUDGET:
		return 429;
	default:
		return 503;
	}
}
