/*
 * Stand-in for a backend server: runs requests in slots, queues a few more, reports its state.
 */
#ifndef REVIEW_SERVER_H
#define REVIEW_SERVER_H

#include "scene.h"

/* Starts the backend server of a host. Returns -1 if it cannot listen. */
int server_start(struct host *host);

#endif
