/*
 * Dialect: how calls, answers and announcements are spelled on the wire towards clients and backend
 * servers. own_dialect is the product's own; an adapter for another platform brings another.
 * A dialect translates: it reads and writes names and formats, and decides nothing.
 */
#ifndef FESCUEMILL_HTTP_DIALECT_H
#define FESCUEMILL_HTTP_DIALECT_H

#include "fescuemill/http/announcement.h"
#include "fescuemill/http/backend.h"
#include "fescuemill/http/call_request.h"

#define DIALECT_LINES_MAX  8
#define DIALECT_NAME_BYTES 40

/* What a client is told. Everything is borrowed. */
struct caller_answer {
	enum call_outcome outcome;
	enum call_reason reason;
	uint32_t attempts;
	uint32_t status; /* of the backend server, when answered */
	uint32_t server_us;
	uint32_t retry_after_ms; /* when to come back, for a call that was not run; 0: not stated */
	const struct wire_headers *headers; /* of the backend server; may be NULL */
	struct wire_bytes body;
};

/* The status of an answer, and the header lines that the node adds to it. */
struct answer_lines {
	int status;
	uint32_t count;
	struct {
		const char *name; /* static */
		char value[WIRE_LINE_VALUE_BYTES];
	} list[DIALECT_LINES_MAX];
};

/* What an answer of the backend server says of the call that it came for. */
enum answer_verdict {
	ANSWER_RUN,	/* it is this call's, which ran */
	ANSWER_NOT_RUN, /* it is this call's, which did not and will not run */
	ANSWER_FOREIGN, /* it belongs to an earlier call on the connection */
	ANSWER_INVALID, /* it cannot be trusted to be this call's whole answer */
};

/* Bytes of a request head that are being written. */
struct head_text {
	char *data;
	size_t size;
	size_t room;
};

struct http_dialect {
	/* Reads a client's head. */
	enum call_reason (*read_call)(const struct call_head *head, struct call_request *out,
				      struct error *err);
	/* Adds what a client is told beside the backend server's own headers. The request is NULL
	 * when its head was not understood. */
	void (*write_outcome)(const struct caller_answer *answer,
			      const struct call_request *request, struct answer_lines *out);
	/* Writes the lines of a call's head after its request line, without those that frame its
	 * body. */
	void (*write_call)(const struct backend_request *request, struct head_text *head);
	enum answer_verdict (*judge_answer)(const struct backend_request *request, uint32_t status,
					    const struct wire_headers *headers);
	/* Reads the load that an answer tells; false when it tells none. */
	bool (*read_load)(const struct wire_headers *headers, struct backend_load *out);
	/* Reads what the backend server beside this node says of itself. Errors: ERROR_NOT_FOUND
	 * for any other request, and why the request is not understood. */
	int (*read_announcement)(const struct call_head *head, struct wire_bytes body,
				 struct announcement *out, struct error *err);
	/* Writes the body of the answer to an announcement. */
	void (*write_announced)(const struct announcement *now, uint32_t in_use,
				struct head_text *body);
	/* Whether a body may end with its connection: then only a reset tells that it was cut. */
	bool takes_unframed_answers;
};

extern const struct http_dialect own_dialect;

/* Adds a line to an answer. */
void answer_lines_add(struct answer_lines *lines, const char *name, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Appends formatted text to a head that has room for it; what does not fit is left out. */
void head_append(struct head_text *head, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void head_append_header(struct head_text *head, const struct wire_header *header);

#endif
