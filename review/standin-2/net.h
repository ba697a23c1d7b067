/*
 * HTTP/1.1 over blocking sockets, one thread for each connection, as much as the stand-ins need.
 */
#ifndef REVIEW_STANDIN_NET_H
#define REVIEW_STANDIN_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NET_HEAD_BYTES 16384

/* The head of a request or an answer, and what was read beyond it. */
struct net_head {
	char text[NET_HEAD_BYTES];
	size_t size; /* of the head, up to and including its empty line */
	size_t used; /* bytes read */
};

uint64_t net_now_ms(void);
void net_sleep_ms(uint64_t ms);

int net_listen(const char *ip, uint16_t port);
/* Serves each connection of a listener with fn in a thread of its own, until shutdown() of the
 * listener, which is closed then. */
void net_serve(int listener, void (*fn)(int fd, void *user), void *user);
/* Connects. With receive_bytes, the receive buffer, the connection has the segments of a usual
 * link; 0: as loopback has them. Returns -1 if refused. */
int net_connect(const char *ip, uint16_t port, int receive_bytes);
void net_set_timeout(int fd, uint64_t ms);

/* Reads a head. Returns 0, or -1 at the end of the connection, a time-out or a reset. */
int net_read_head(int fd, struct net_head *head);
/* Copies the value of a header; returns false if there is none. */
bool net_header(const struct net_head *head, const char *name, char *out, size_t room);
uint64_t net_header_number(const struct net_head *head, const char *name, uint64_t absent);
/* Returns the status of an answer's head. */
int net_status(const struct net_head *head);
/* Reads up to room bytes; what recv() returns. */
ssize_t net_read_some(int fd, char *out, size_t room);
/* Reads and drops the rest of a body. Returns the bytes of the body that were read. */
uint64_t net_drop_body(int fd, const struct net_head *head, uint64_t size);
/* Writes all bytes. Returns 0, or -1. */
int net_write(int fd, const void *data, size_t size);
int net_printf(int fd, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
