/*
 * Answer: reads one HTTP/1.1 answer from the bytes of a connection as they come. Pure but for the
 * memory that it grows: no socket, no clock.
 */
#ifndef FESCUEMILL_HTTP_ANSWER_H
#define FESCUEMILL_HTTP_ANSWER_H

#include "fescuemill/wire/message_defs.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ANSWER_HEAD_BYTES_MAX ((size_t)32 * 1024)

enum answer_state {
	ANSWER_READING,	  /* more bytes are needed */
	ANSWER_WHOLE,	  /* the answer is here, up to its last byte */
	ANSWER_BROKEN,	  /* the bytes are no HTTP answer, or it ended early */
	ANSWER_TOO_LARGE, /* over the cap, or too many headers */
};

enum answer_framing {
	ANSWER_FRAMING_LENGTH,
	ANSWER_FRAMING_CHUNKED,
	ANSWER_FRAMING_CLOSE, /* the body ends with its connection */
};

struct answer {
	enum answer_state state;
	enum answer_framing framing;
	bool has_head;
	bool answers_head; /* the request was HEAD: there is no body, whatever the length says */
	bool keeps_connection;
	uint32_t keep_alive_s; /* how long the server keeps an idle connection; 0: not stated */
	uint32_t status;
	uint8_t *head; /* the headers borrow from it */
	size_t head_size;
	size_t head_room;
	uint8_t *body; /* as it was decoded */
	size_t body_size;
	size_t body_room;
	size_t body_max;
	uint64_t body_left; /* of a stated length, or of the present chunk */
	uint8_t chunk_state;
	uint32_t line_size; /* of the chunk line that is being read */
	struct wire_headers headers;
};

void answer_init(struct answer *answer, size_t body_max, bool answers_head);
void answer_free(struct answer *answer);
/* Takes bytes; `used` gets how many belong to this answer. Bytes after a whole answer are left. */
enum answer_state answer_feed(struct answer *answer, const uint8_t *data, size_t size,
			      size_t *used);
/* Takes the orderly end of the connection. */
enum answer_state answer_end(struct answer *answer);
/* The body of a whole answer. */
struct wire_bytes answer_body(const struct answer *answer);
/* Finds a header by its name in lower case; an absent one has no data. */
struct wire_bytes headers_find(const struct wire_headers *headers, const char *name);

#endif
