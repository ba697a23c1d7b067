/*
 * Linger: reads and discards what a peer still sends after its answer. Closing a socket with unread
 * bytes resets the connection, and the peer may lose the answer that it was sent.
 */
#ifndef FESCUEMILL_HTTP_LINGER_H
#define FESCUEMILL_HTTP_LINGER_H

#include <uv.h>

#define LINGER_MS	 2000
#define LINGER_BYTES_MAX (64ULL << 20)

/* Sends the end of the stream and discards what comes, until the peer closes or a bound is reached;
 * then closes fd and calls done. Returns -1 when it cannot; fd is closed then. */
int linger_start(uv_loop_t *loop, int fd, void (*done)(void *user), void *user);

#endif
