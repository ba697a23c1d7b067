/*
 * TCP keepalive.
 */
#include "fescuemill/http/keepalive.h"

#include "fescuemill/base/log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Sets one socket option; logs a warning if that fails. */
static void set_option(int fd, int level, int name, int value)
{
	if (setsockopt(fd, level, name, &value, sizeof(value)) != 0)
		log_write(LOG_WARNING, LOG_PART_MAIN,
			  "Cannot set a TCP keepalive option on a connection.",
			  "option=%d reason=\"%s\"", name, strerror(errno));
}

/* Enables keepalive probes on a connected TCP socket. If that fails, the loss of the peer is
 * noticed only by the timeouts of the socket's owner. */
void keepalive_start(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
}
