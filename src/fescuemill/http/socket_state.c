/*
 * State of a connection's socket that the loop has not read yet.
 */
#include "fescuemill/http/socket_state.h"

#include <errno.h>
#include <sys/socket.h>

/* Looks at the next byte of a socket. Returns what recv() does, or -2 if there is no socket. */
static ssize_t peek(const uv_handle_t *handle)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno(handle, &fd) != 0)
		return -2;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/* Returns true if the peer closed the connection in order rather than by a reset. */
bool socket_ended_in_order(const uv_handle_t *handle)
{
	return peek(handle) == 0;
}

/* Returns true if the peer has neither closed the connection nor sent bytes on it. */
bool socket_is_quiet(const uv_handle_t *handle)
{
	return peek(handle) == -1 && errno == EAGAIN;
}
