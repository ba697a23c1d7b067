/*
 * Incremental parser of one HTTP/1.1 answer (response) of a backend server. It allocates its
 * buffers but uses no socket and no clock.
 */
#ifndef FESCUEMILL_HTTP_ANSWER_H
#define FESCUEMILL_HTTP_ANSWER_H

#include "fescuemill/wire/message_defs.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits on what does not count as body, so that a server in trouble cannot keep a call and the
 * loop busy with bytes that never become an answer. */
#define ANSWER_HEAD_BYTES_MAX	 ((size_t)32 * 1024)
#define ANSWER_FRAMING_BYTES_MAX ((size_t)32 * 1024) /* chunk extensions and trailers together */
#define ANSWER_INTERIM_MAX	 8 /* interim answers (1xx) before the final one */

enum answer_state {
	ANSWER_READING,	  /* more bytes are needed */
	ANSWER_COMPLETE,  /* the whole answer was received */
	ANSWER_MALFORMED, /* not an HTTP answer, or the connection closed before the answer's end */
	ANSWER_TOO_LARGE, /* head or body over its size limit, too many headers, or no memory */
};

/* How the end of the body is marked. */
enum answer_framing {
	ANSWER_FRAMING_LENGTH,
	ANSWER_FRAMING_CHUNKED,
	ANSWER_FRAMING_CLOSE, /* the body ends when the server closes the connection */
};

struct answer {
	enum answer_state state;
	enum answer_framing framing;
	bool has_head;	       /* the head was parsed */
	bool is_head_response; /* answers a HEAD request: no body, whatever content-length is */
	bool is_persistent;    /* the server allows another request on the connection */
	uint32_t keep_alive_timeout_s; /* timeout of the Keep-Alive header, in seconds; 0: absent */
	uint32_t status;
	uint8_t *head; /* status line and header lines; `headers` points into it */
	size_t head_size;
	size_t head_capacity;
	uint8_t *body; /* without chunk framing */
	size_t body_size;
	size_t body_capacity;
	size_t body_max;     /* limit on body_size, in bytes */
	uint64_t body_left;  /* bytes missing of the body, or of the current chunk if chunked */
	uint8_t chunk_state; /* enum chunk_state */
	uint32_t line_size;  /* bytes read of the current chunk-size, extension or trailer line */
	size_t line_start;   /* where the current line of the head begins */
	size_t framing_size; /* bytes read of chunk extensions and trailers */
	uint32_t interim_count;
	struct wire_headers headers;
};

void answer_init(struct answer *answer, size_t body_max, bool is_head_response);
void answer_free(struct answer *answer);
/* Parses received bytes. Sets `used` to the number of bytes that belong to this answer: bytes after
 * its end are not consumed. */
enum answer_state answer_feed(struct answer *answer, const uint8_t *data, size_t size,
			      size_t *used);
/* Reports to the parser that the server closed the connection without an error. */
enum answer_state answer_end_of_stream(struct answer *answer);
/* Returns the body of a complete answer; it points into the answer's buffer. */
struct wire_bytes answer_body(const struct answer *answer);
/* Returns the value of the first header of that name, ignoring case; data is NULL if absent. */
struct wire_bytes headers_find(const struct wire_headers *headers, const char *name);

#endif
