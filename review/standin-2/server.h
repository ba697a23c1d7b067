/*
 * A backend server that does what the pages say of a sound one: it works on `slots` requests at
 * once, queues a few more and rejects the rest as not run, and reports its state to its own node.
 */
#ifndef REVIEW_STANDIN_SERVER_H
#define REVIEW_STANDIN_SERVER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#define SERVER_CONNECTIONS_MAX 512

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
	bool is_delayed;	/* fleet_start() leaves its start to the case */
	int64_t born_ms;	/* start by the clock of its machine; 0: the real time */
	atomic_bool is_leaving; /* it reports `draining` */
	atomic_bool is_silent;	/* its regular reports don't arrive */
	atomic_ullong limit_ms; /* requests that arrive later are counted in late_count; 0: none */
	atomic_uint late_count;
	atomic_ullong sequence;
	int listener;
	atomic_uint life;			 /* starts so far */
	int connections[SERVER_CONNECTIONS_MAX]; /* 0: free */
	atomic_uint running;
	atomic_uint waiting;
	atomic_uint run_count; /* requests that it has begun to work on */
	pthread_mutex_t mutex;
	pthread_cond_t freed;
};

/* Starts the server and its reports. Returns -1 if the address is in use. */
int server_start(struct server *server);
/* Returns the real time in Unix milliseconds. */
int64_t server_clock_ms(void);
/* Ends the server as a crash does: its connections are reset. It may be started again. */
void server_crash(struct server *server);
/* Reports to the node that the server is draining, and from then on. Returns the status of the
 * node's answer, or 0. */
int server_drain(struct server *server);
/* Delivers a report `ready` with a sequence from before. Returns the status of the node's answer,
 * or 0.
 */
int server_report_late(struct server *server, uint64_t sequence);
/* Reports that the server is gone. Returns the status of the node's answer, or 0. */
int server_deregister(const struct server *server);

#endif
