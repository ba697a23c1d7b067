/*
 * Keepalive: probes by the kernel on a connection that is quiet.
 */
#include "fescuemill/http/keepalive.h"

#include "fescuemill/base/log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Sets one option, or says why the connection goes unprobed. */
static void set(int fd, int level, int name, int value)
{
	if (setsockopt(fd, level, name, &value, sizeof(value)) != 0)
		log_write(LOG_WARNING, LOG_PART_MAIN, "A connection is not probed.",
			  "option=%d reason=\"%s\"", name, strerror(errno));
}

/* Starts the probes of a connected TCP socket; without them its owner's time-out must do. */
void keepalive_start(int fd)
{
	set(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
}
