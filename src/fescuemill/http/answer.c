/*
 * Incremental parser of one HTTP/1.1 answer.
 *
 * The head is buffered completely and then parsed. The body is decoded into a separate buffer:
 * the parsed headers point into the head's buffer, which must not move.
 */
#include "fescuemill/http/answer.h"

#include "fescuemill/http/call_request.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_BYTES_MIN      2048
#define CHUNK_LINE_BYTES_MAX  256
#define CHUNK_SIZE_DIGITS_MAX 8
#define STATUS_LINE_BYTES_MIN 12 /* "HTTP/1.1 200" */
#define STATUS_MIN	      100
#define STATUS_MAX	      599

/* Part of a chunked body that the next byte belongs to. */
enum chunk_state {
	CHUNK_SIZE,	 /* the hexadecimal chunk size */
	CHUNK_EXTENSION, /* the rest of the chunk size's line */
	CHUNK_DATA,
	CHUNK_DATA_END, /* the line end after the chunk's data */
	CHUNK_TRAILER,	/* trailer lines after the last chunk, up to an empty line */
};

/* Initializes the parser for an answer whose body has at most body_max bytes. */
void answer_init(struct answer *answer, size_t body_max, bool is_head_response)
{
	memset(answer, 0, sizeof(*answer));
	answer->body_max = body_max;
	answer->is_head_response = is_head_response;
}

/* Frees the buffers of an answer. */
void answer_free(struct answer *answer)
{
	free(answer->head);
	free(answer->body);
	answer->head = NULL;
	answer->body = NULL;
}

static enum answer_state set_state(struct answer *answer, enum answer_state state)
{
	answer->state = state;
	return state;
}

/* Appends bytes to a buffer, growing it as needed. Returns -1 if out of memory. */
static int append(uint8_t **buffer, size_t *used, size_t *capacity, const uint8_t *data,
		  size_t size)
{
	size_t wanted = *capacity ? *capacity : BUFFER_BYTES_MIN;
	uint8_t *bytes;

	while (wanted < *used + size)
		wanted *= 2;
	if (wanted != *capacity) {
		bytes = realloc(*buffer, wanted);
		if (!bytes)
			return -1;
		*buffer = bytes;
		*capacity = wanted;
	}
	memcpy(*buffer + *used, data, size);
	*used += size;
	return 0;
}

/* Returns the value of the first header of that name, ignoring case; data is NULL if absent. */
struct wire_bytes headers_find(const struct wire_headers *headers, const char *name)
{
	for (uint32_t i = 0; i < headers->count; i++) {
		if (wire_bytes_equal_nocase(headers->list[i].name, name))
			return headers->list[i].value;
	}
	return (struct wire_bytes){NULL, 0};
}

/* Removes the first line from the rest of the head and returns it without its LF or CRLF. */
static struct wire_bytes next_line(struct wire_bytes *rest)
{
	const uint8_t *end = memchr(rest->data, '\n', rest->size);
	struct wire_bytes line = {rest->data, (uint32_t)(end - rest->data)};

	rest->size -= line.size + 1;
	rest->data = end + 1;
	if (line.size > 0 && line.data[line.size - 1] == '\r')
		line.size--;
	return line;
}

/* Parses the status line. Returns -1 if it is malformed, or if its status is none of HTTP. */
static int read_status_line(struct answer *answer, struct wire_bytes line)
{
	uint32_t status;

	if (line.size < STATUS_LINE_BYTES_MIN || memcmp(line.data, "HTTP/1.", 7) != 0 ||
	    !isdigit(line.data[7]) || line.data[8] != ' ')
		return -1;
	if (wire_bytes_parse_number((struct wire_bytes){line.data + 9, 3}, &status) != 0 ||
	    status < STATUS_MIN || status > STATUS_MAX ||
	    (line.size > STATUS_LINE_BYTES_MIN && line.data[STATUS_LINE_BYTES_MIN] != ' '))
		return -1;
	answer->status = status;
	answer->is_persistent = line.data[7] != '0';
	return 0;
}

/* Strips spaces and tabs from both ends. */
static struct wire_bytes trimmed(struct wire_bytes text)
{
	while (text.size > 0 && (text.data[0] == ' ' || text.data[0] == '\t')) {
		text.data++;
		text.size--;
	}
	while (text.size > 0 &&
	       (text.data[text.size - 1] == ' ' || text.data[text.size - 1] == '\t'))
		text.size--;
	return text;
}

/* Splits a header line. Returns -1 if it is malformed. */
static int split_header_line(struct wire_bytes line, struct wire_header *header)
{
	const uint8_t *colon = memchr(line.data, ':', line.size);

	if (!colon || colon == line.data)
		return -1;
	header->name = (struct wire_bytes){line.data, (uint32_t)(colon - line.data)};
	for (uint32_t i = 0; i < header->name.size; i++) {
		if (!isgraph(header->name.data[i]))
			return -1;
	}
	header->value = trimmed((struct wire_bytes){colon + 1, line.size - header->name.size - 1});
	return 0;
}

/* Returns the seconds of "timeout=N" in a Keep-Alive header, which may have other parameters, or 0
 * if there is none. */
static uint32_t read_keep_alive(struct wire_bytes value)
{
	static const char name[] = "timeout=";
	uint32_t seconds = 0;

	if (!value.data)
		return 0;
	for (uint32_t i = 0; i + sizeof(name) - 1 < value.size; i++) {
		if (memcmp(value.data + i, name, sizeof(name) - 1) != 0)
			continue;
		for (i += sizeof(name) - 1; i < value.size && isdigit(value.data[i]); i++)
			seconds = seconds * 10 + (uint32_t)(value.data[i] - '0');
		return seconds;
	}
	return 0;
}

/* Returns true if an answer has no body because of its request's method or its status. */
static bool is_bodiless(const struct answer *answer)
{
	return answer->is_head_response || answer->status == 204 || answer->status == 304;
}

static uint32_t count_headers(const struct wire_headers *headers, const char *name)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < headers->count; i++)
		count += wire_bytes_equal_nocase(headers->list[i].name, name);
	return count;
}

/* Parses the value of content-length. Returns -1 if it is not a number. */
static int read_length(struct answer *answer, struct wire_bytes text)
{
	uint32_t length;

	if (wire_bytes_parse_number(text, &length) != 0)
		return -1;
	answer->body_left = length;
	return 0;
}

/* Determines how the end of the body is marked. Returns -1 if the headers contradict each other or
 * the transfer coding is not supported. */
static int read_framing(struct answer *answer)
{
	struct wire_bytes coding = headers_find(&answer->headers, "transfer-encoding");
	struct wire_bytes length = headers_find(&answer->headers, "content-length");

	answer->framing = ANSWER_FRAMING_LENGTH;
	answer->body_left = 0;
	if (coding.data) {
		if (length.data || !wire_bytes_equal_nocase(coding, "chunked"))
			return -1;
		answer->framing = ANSWER_FRAMING_CHUNKED;
		answer->chunk_state = CHUNK_SIZE;
		return 0;
	}
	if (count_headers(&answer->headers, "content-length") > 1)
		return -1;
	if (length.data)
		return read_length(answer, length);
	answer->framing = ANSWER_FRAMING_CLOSE;
	answer->is_persistent = false;
	return 0;
}

/* Parses the buffered head; the headers point into it. */
static enum answer_state parse_head(struct answer *answer)
{
	struct wire_bytes rest = {answer->head, (uint32_t)answer->head_size};
	struct wire_bytes line = next_line(&rest);
	struct wire_bytes connection;

	answer->headers.count = 0;
	if (read_status_line(answer, line) != 0)
		return set_state(answer, ANSWER_MALFORMED);
	for (line = next_line(&rest); line.size > 0; line = next_line(&rest)) {
		if (answer->headers.count == WIRE_HEADERS_MAX)
			return set_state(answer, ANSWER_TOO_LARGE);
		if (split_header_line(line, &answer->headers.list[answer->headers.count]) != 0)
			return set_state(answer, ANSWER_MALFORMED);
		answer->headers.count++;
	}
	connection = headers_find(&answer->headers, "connection");
	if (connection.data &&
	    header_is_listed((struct wire_bytes){(const uint8_t *)"close", 5}, connection))
		answer->is_persistent = false;
	answer->keep_alive_timeout_s =
		read_keep_alive(headers_find(&answer->headers, "keep-alive"));
	if (read_framing(answer) != 0)
		return set_state(answer, ANSWER_MALFORMED);
	answer->has_head = true;
	if (is_bodiless(answer)) {
		answer->framing = ANSWER_FRAMING_LENGTH;
		answer->body_left = 0;
	}
	if (answer->framing == ANSWER_FRAMING_LENGTH && answer->body_left > answer->body_max)
		return set_state(answer, ANSWER_TOO_LARGE);
	if (answer->framing == ANSWER_FRAMING_LENGTH && answer->body_left == 0)
		return set_state(answer, ANSWER_COMPLETE);
	return ANSWER_READING;
}

static enum answer_state append_body(struct answer *answer, const uint8_t *data, size_t size)
{
	if (answer->body_size + size > answer->body_max)
		return set_state(answer, ANSWER_TOO_LARGE);
	if (append(&answer->body, &answer->body_size, &answer->body_capacity, data, size) != 0)
		return set_state(answer, ANSWER_TOO_LARGE);
	return ANSWER_READING;
}

/* Returns true if the bytes of the head received so far can still become an answer: they begin like
 * one, and each complete line is a status line or a header. `rest` is the line that has just ended,
 * or the unfinished one. */
static bool may_become_answer(struct answer *answer, bool line_has_ended)
{
	static const char prefix[] = "HTTP/1.";
	size_t compared = sizeof(prefix) - 1;
	struct wire_bytes line = {answer->head + answer->line_start,
				  (uint32_t)(answer->head_size - answer->line_start)};
	struct wire_header header;

	if (answer->line_start == 0 && compared > answer->head_size)
		compared = answer->head_size;
	if (memcmp(answer->head, prefix, compared) != 0)
		return false;
	if (!line_has_ended)
		return true;
	line = next_line(&line);
	if (answer->line_start == 0)
		return read_status_line(answer, line) == 0;
	return line.size == 0 || split_header_line(line, &header) == 0;
}

/* Starts over after an interim answer. Returns false if there were too many. */
static bool skip_interim_answer(struct answer *answer)
{
	answer->head_size = 0;
	answer->line_start = 0;
	answer->has_head = false;
	answer->state = ANSWER_READING;
	return ++answer->interim_count <= ANSWER_INTERIM_MAX;
}

/* Parses a head whose empty line has arrived. An interim answer (1xx) is skipped. */
static enum answer_state end_head(struct answer *answer)
{
	if (parse_head(answer) == ANSWER_MALFORMED || answer->state == ANSWER_TOO_LARGE)
		return answer->state;
	if (answer->status >= 200 || skip_interim_answer(answer))
		return answer->state;
	return set_state(answer, ANSWER_MALFORMED);
}

/* Buffers the head byte by byte up to its empty line and parses it. What cannot become an answer is
 * refused at once, not when the head is full. */
static enum answer_state feed_head(struct answer *answer, const uint8_t *data, size_t size,
				   size_t *used)
{
	while (*used < size && answer->state == ANSWER_READING && !answer->has_head) {
		uint8_t byte = data[*used];
		bool is_empty_line;

		if (append(&answer->head, &answer->head_size, &answer->head_capacity, &byte, 1) !=
			    0 ||
		    answer->head_size > ANSWER_HEAD_BYTES_MAX)
			return set_state(answer, ANSWER_TOO_LARGE);
		(*used)++;
		if (!may_become_answer(answer, byte == '\n'))
			return set_state(answer, ANSWER_MALFORMED);
		if (byte != '\n')
			continue;
		is_empty_line = answer->head_size - answer->line_start == 1 ||
				(answer->head_size - answer->line_start == 2 &&
				 answer->head[answer->line_start] == '\r');
		if (is_empty_line)
			end_head(answer);
		else
			answer->line_start = answer->head_size;
	}
	return answer->state;
}

/* Appends bytes to the body, up to the end of the body or of the current chunk, whose length is
 * known. */
static enum answer_state feed_counted(struct answer *answer, const uint8_t *data, size_t size,
				      size_t *used)
{
	size_t take = size - *used;

	if (take > answer->body_left)
		take = (size_t)answer->body_left;
	if (append_body(answer, data + *used, take) != ANSWER_READING)
		return answer->state;
	*used += take;
	answer->body_left -= take;
	return ANSWER_READING;
}

/* Returns the value of a hexadecimal digit, or -1 for any other byte. */
static int hex_value(uint8_t byte)
{
	if (isdigit(byte))
		return byte - '0';
	if (!isxdigit(byte))
		return -1;
	return tolower(byte) - 'a' + 10;
}

/* Changes the state at the end of a chunk-size line: size 0 marks the last chunk. */
static void end_chunk_line(struct answer *answer)
{
	answer->chunk_state = answer->body_left > 0 ? CHUNK_DATA : CHUNK_TRAILER;
	answer->line_size = 0;
}

/* Parses one byte of a chunk size. */
static enum answer_state feed_chunk_size(struct answer *answer, uint8_t byte)
{
	int digit = hex_value(byte);

	if (digit >= 0 && answer->line_size < CHUNK_SIZE_DIGITS_MAX) {
		answer->body_left = answer->body_left * 16 + (uint64_t)digit;
		answer->line_size++;
		return ANSWER_READING;
	}
	if (answer->line_size == 0 || digit >= 0)
		return set_state(answer, ANSWER_MALFORMED);
	answer->chunk_state = CHUNK_EXTENSION;
	if (byte == '\n')
		end_chunk_line(answer);
	else if (byte != '\r' && byte != ';' && byte != ' ')
		return set_state(answer, ANSWER_MALFORMED);
	return ANSWER_READING;
}

/* Counts a byte of a chunk extension or a trailer. Returns false if there are too many. */
static bool count_framing_byte(struct answer *answer)
{
	if (++answer->framing_size <= ANSWER_FRAMING_BYTES_MAX)
		return true;
	set_state(answer, ANSWER_TOO_LARGE);
	return false;
}

/* Skips one byte of the trailer; an empty line completes the answer. */
static enum answer_state feed_trailer(struct answer *answer, uint8_t byte)
{
	if (!count_framing_byte(answer))
		return answer->state;
	if (byte == '\r')
		return ANSWER_READING;
	if (byte != '\n') {
		answer->line_size++;
		return answer->line_size > CHUNK_LINE_BYTES_MAX
			       ? set_state(answer, ANSWER_MALFORMED)
			       : ANSWER_READING;
	}
	if (answer->line_size == 0)
		return set_state(answer, ANSWER_COMPLETE);
	answer->line_size = 0;
	return ANSWER_READING;
}

/* Parses one byte of a chunked body that is not data of a chunk. */
static enum answer_state feed_chunk_byte(struct answer *answer, uint8_t byte)
{
	switch ((enum chunk_state)answer->chunk_state) {
	case CHUNK_SIZE:
		return feed_chunk_size(answer, byte);
	case CHUNK_EXTENSION:
		if (!count_framing_byte(answer))
			return answer->state;
		if (++answer->line_size > CHUNK_LINE_BYTES_MAX)
			return set_state(answer, ANSWER_MALFORMED);
		if (byte == '\n')
			end_chunk_line(answer);
		return ANSWER_READING;
	case CHUNK_DATA_END:
		if (byte == '\r')
			return ANSWER_READING;
		if (byte != '\n')
			return set_state(answer, ANSWER_MALFORMED);
		answer->chunk_state = CHUNK_SIZE;
		return ANSWER_READING;
	case CHUNK_TRAILER:
		return feed_trailer(answer, byte);
	case CHUNK_DATA:
		break;
	}
	return ANSWER_READING;
}

/* Parses bytes of a chunked body. */
static enum answer_state feed_chunked(struct answer *answer, const uint8_t *data, size_t size,
				      size_t *used)
{
	while (*used < size && answer->state == ANSWER_READING) {
		if (answer->chunk_state != CHUNK_DATA) {
			feed_chunk_byte(answer, data[(*used)++]);
			continue;
		}
		if (feed_counted(answer, data, size, used) == ANSWER_READING &&
		    answer->body_left == 0)
			answer->chunk_state = CHUNK_DATA_END;
	}
	return answer->state;
}

static enum answer_state feed_body(struct answer *answer, const uint8_t *data, size_t size,
				   size_t *used)
{
	switch (answer->framing) {
	case ANSWER_FRAMING_CHUNKED:
		return feed_chunked(answer, data, size, used);
	case ANSWER_FRAMING_LENGTH:
		if (feed_counted(answer, data, size, used) == ANSWER_READING &&
		    answer->body_left == 0)
			set_state(answer, ANSWER_COMPLETE);
		return answer->state;
	case ANSWER_FRAMING_CLOSE:
		append_body(answer, data + *used, size - *used);
		*used = size;
		return answer->state;
	}
	return answer->state;
}

/* Parses received bytes. Sets `used` to the number of bytes that belong to this answer. */
enum answer_state answer_feed(struct answer *answer, const uint8_t *data, size_t size, size_t *used)
{
	*used = 0;
	if (answer->state == ANSWER_READING && !answer->has_head)
		feed_head(answer, data, size, used);
	if (answer->state == ANSWER_READING && answer->has_head && *used < size)
		feed_body(answer, data, size, used);
	return answer->state;
}

/* Ends the parsing after the server closed the connection without an error. Only a close-delimited
 * body is complete then; any other unfinished answer is malformed. */
enum answer_state answer_end_of_stream(struct answer *answer)
{
	if (answer->state != ANSWER_READING)
		return answer->state;
	if (answer->has_head && answer->framing == ANSWER_FRAMING_CLOSE)
		return set_state(answer, ANSWER_COMPLETE);
	return set_state(answer, ANSWER_MALFORMED);
}

/* Returns the body received so far. */
struct wire_bytes answer_body(const struct answer *answer)
{
	return (struct wire_bytes){answer->body, (uint32_t)answer->body_size};
}
