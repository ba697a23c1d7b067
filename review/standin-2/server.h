/*
 * A backend server that does what the pages say of a sound one: it works on `slots` requests at
 * once, queues a few more and rejects the rest as not run, and reports its state to its own node.
 */
#ifndef REVIEW_STANDIN_SERVER_H
#define REVIEW_STANDIN_SERVER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

struct server {
	char ip[32];
	uint16_t port;	      /* requests */
	uint16_t report_port; /* of its node, at the same address */
	char service[32];
	char instance[32];
	const char *report; /* path of a file with the fields of a report that do not change */
	uint32_t slots;
	uint32_t queue;
	uint64_t work_ms;
	uint64_t answer_bytes;
	atomic_uint running;
	atomic_uint waiting;
	atomic_uint run_count; /* requests that it has begun to work on */
	pthread_mutex_t mutex;
	pthread_cond_t freed;
};

/* Starts the server and its reports. Returns -1 if the address is in use. */
int server_start(struct server *server);

#endif
