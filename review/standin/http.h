/*
 * Blocking HTTP/1.1 for the review's stand-ins: one message at a time on a socket.
 */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP_HEAD_BYTES 16384

/* A request or an answer that was read. */
struct http_message {
	char head[HTTP_HEAD_BYTES]; /* first line and headers */
	char *body;
	size_t body_size;
};

uint64_t clock_ms(void);

/* Opens a listener on "ip:port". Returns the descriptor, or -1. */
int http_listen(const char *address);
/* Connects to "ip:port" within the time. Returns the descriptor, or -1. */
int http_connect(const char *address, uint32_t within_ms);

/* Reads one message. Returns 1, 0 if the connection ended before its first byte, or -1 if it ended
 * or the time passed within it. */
int http_read(int fd, struct http_message *msg, uint32_t within_ms);
void http_free(struct http_message *msg);
bool http_write(int fd, const char *text, size_t size);

/* Copies the value of a header; an empty text if there is none. */
void http_header(const struct http_message *msg, const char *name, char *out, size_t room);
/* Returns the status of an answer, or 0. */
int http_status(const struct http_message *msg);
/* Copies the first or second word of the first line. */
void http_word(const struct http_message *msg, int index, char *out, size_t room);

/* Sends a request on a connection of its own and reads the answer. Returns its status, or 0 if
 * there was no complete answer. */
int http_call(const char *address, const char *method, const char *path, const char *headers,
	      const char *body, uint32_t within_ms, struct http_message *answer);

#endif
