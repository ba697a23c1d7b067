/*
 * Lingering close: before a socket is closed, reads and discards what the peer still sends. Closing
 * a socket with unread input resets the connection, and the peer may lose the answer that was sent
 * to it.
 */
#ifndef FESCUEMILL_HTTP_LINGERING_CLOSE_H
#define FESCUEMILL_HTTP_LINGERING_CLOSE_H

#include <uv.h>

#define LINGERING_CLOSE_MS_MAX	  2000
#define LINGERING_CLOSE_BYTES_MAX (64ULL << 20)

/* Shuts down the sending side of fd and discards its input until the peer closes, or until
 * LINGERING_CLOSE_MS_MAX or LINGERING_CLOSE_BYTES_MAX is exceeded; then closes fd and calls done.
 * Returns -1 if out of memory; fd is closed then and done is not called. */
int lingering_close_start(uv_loop_t *loop, int fd, void (*done)(void *user), void *user);

#endif
