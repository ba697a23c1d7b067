/*
 * Dialect: the header names and formats of calls, answers and announcements in HTTP towards callers
 * and backend servers. native_dialect is the default; the adapter for another platform defines its
 * own. A dialect only translates and makes no decisions.
 */
#ifndef FESCUEMILL_HTTP_DIALECT_H
#define FESCUEMILL_HTTP_DIALECT_H

#include "fescuemill/http/announcement.h"
#include "fescuemill/http/backend.h"
#include "fescuemill/http/call_request.h"

#define DIALECT_LINES_MAX  8
#define DIALECT_NAME_BYTES 40

/* Outcome of a call, to be sent to the caller. Its pointers are borrowed. */
struct caller_answer {
	enum call_outcome outcome;
	enum call_reason reason;
	uint32_t attempts;	 /* number of attempts made */
	uint32_t status;	 /* HTTP status of the backend server, for OUTCOME_ANSWERED */
	uint32_t server_us;	 /* time that the backend server took */
	uint32_t retry_after_ms; /* when to retry a call that was not run; 0: not stated */
	const struct wire_headers *headers; /* headers of the backend server; may be NULL */
	struct wire_bytes body;		    /* body of the backend server's answer */
};

/* HTTP status of an answer, and the headers that the node adds to it. */
struct answer_lines {
	int status;
	uint32_t count;
	struct {
		const char *name; /* a static string, not copied */
		char value[WIRE_HEADER_VALUE_BYTES];
	} list[DIALECT_LINES_MAX];
};

/* What an answer of the backend server means for the call that it was received for. */
enum answer_verdict {
	ANSWER_RUN,	     /* the answer of this call, which was run */
	ANSWER_NOT_RUN,	     /* the answer of this call, which was not run and will not be */
	ANSWER_EARLIER_CALL, /* the answer of an earlier call on the connection */
	ANSWER_INVALID,	     /* not certain to be the complete answer of this call */
};

/* Buffer for the text of a request head or a reply body. */
struct text_buffer {
	char *data;
	size_t size;
	size_t room; /* capacity of data */
};

struct http_dialect {
	/* Parses the head of a caller's request. Returns REASON_NONE, or why it is refused. */
	enum call_reason (*read_call)(const struct call_head *head, struct call_request *out,
				      struct error *err);
	/* Sets the status and the headers that report the outcome, in addition to the backend
	 * server's own headers. request is NULL if h2o refused it before read_call(). */
	void (*write_outcome)(const struct caller_answer *answer,
			      const struct call_request *request, struct answer_lines *out);
	/* Writes the header lines of a call to the backend server. The request line and the headers
	 * that frame the body are written by the backend client. */
	void (*write_call)(const struct backend_request *request, struct text_buffer *head);
	/* Classifies an answer of the backend server by its status and headers. */
	enum answer_verdict (*judge_answer)(const struct backend_request *request, uint32_t status,
					    const struct wire_headers *headers);
	/* Parses the backend server's load from an answer's headers; returns false if they have
	 * none. */
	bool (*read_load)(const struct wire_headers *headers, struct backend_load *out);
	/* Reads the limit and the leaving that the backend server states in an answer. */
	void (*read_notice)(const struct wire_headers *headers, struct backend_notice *out);
	/* Reads from the answer to a health check how long the backend server remains cold, in
	 * milliseconds; returns false if it does not state it. */
	bool (*read_cold)(const struct wire_headers *headers, uint32_t *left_ms);
	/* Parses an announcement of this node's own backend server. Errors: ERROR_NOT_FOUND if the
	 * request is not an announcement, others if it is malformed. */
	int (*read_announcement)(const struct call_head *head, struct wire_bytes body,
				 struct announcement *out, struct error *err);
	/* Writes the body of the reply to an announcement. in_use: attempts that are running. */
	void (*write_announcement_reply)(const struct announcement *now, uint32_t in_use,
					 struct text_buffer *body);
	/* True if an answer's body may be close-delimited: a truncated one is then detected only if
	 * the connection was reset. */
	bool allows_close_delimited_body;
	/* Header, in lower case, that tells the backend server the name of the customer. */
	const char *customer_header;
	/* Header, in lower case, that names the service which makes a call; NULL: none does. */
	const char *caller_header;
};

extern const struct http_dialect native_dialect;

/* Adds a header to an answer; ignored if the list is full. The name must be static. */
void answer_lines_add(struct answer_lines *lines, const char *name, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Appends formatted text. Appends nothing if the text does not fit into the buffer. */
void text_buffer_append(struct text_buffer *head, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Reads a limit from the value of a header, a decimal number of calls per second, and a leaving
 * from one that is "1"; the data of a header that is missing is NULL. */
void backend_notice_read(struct wire_bytes limit, struct wire_bytes leaving,
			 struct backend_notice *out);
void text_buffer_append_header(struct text_buffer *head, const struct wire_header *header);

#endif
