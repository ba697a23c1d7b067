/*
 * State of a connection's socket that the loop has not read yet.
 */
#ifndef FESCUEMILL_HTTP_SOCKET_STATE_H
#define FESCUEMILL_HTTP_SOCKET_STATE_H

#include <stdbool.h>
#include <uv.h>

/* Returns true if the peer closed the connection in order rather than by a reset. libuv reports a
 * reset right behind the last bytes as UV_EOF, so the socket is checked with recv(). */
bool socket_ended_in_order(const uv_handle_t *handle);
/* Returns true if the peer has neither closed the connection nor sent bytes on it, both of which
 * the loop may not have read yet. */
bool socket_is_quiet(const uv_handle_t *handle);

#endif
