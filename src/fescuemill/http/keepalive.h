/*
 * Keepalive: probes by the kernel on a connection that is quiet, so that one gone silent for good
 * ends with an error though nothing is sent on it.
 */
#ifndef FESCUEMILL_HTTP_KEEPALIVE_H
#define FESCUEMILL_HTTP_KEEPALIVE_H

/* A silent connection ends after 3 s, the shortest that whole seconds give with one probe to
 * spare for loss. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2

/* Starts the probes of a connected TCP socket. */
void keepalive_start(int fd);

#endif
