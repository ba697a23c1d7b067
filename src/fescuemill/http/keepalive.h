/*
 * TCP keepalive: the kernel probes an idle connection, so that the loss of the peer is reported as
 * an error of the socket though nothing is sent.
 */
#ifndef FESCUEMILL_HTTP_KEEPALIVE_H
#define FESCUEMILL_HTTP_KEEPALIVE_H

/* An unresponsive connection fails after 3 s: the shortest time possible in whole seconds if one
 * probe may be lost. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2

/* Enables keepalive probes on a connected TCP socket. */
void keepalive_start(int fd);

#endif
