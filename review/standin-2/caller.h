/*
 * Requesters: one request on a connection of its own.
 */
#ifndef REVIEW_STANDIN_CALLER_H
#define REVIEW_STANDIN_CALLER_H

#include <stdbool.h>
#include <stdint.h>

struct caller_request {
	const char *ip; /* of the node that takes it */
	const char *method;
	const char *path;
	char id[32];
	uint64_t budget_ms;   /* how long the requester waits for the whole answer */
	uint64_t body_bytes;  /* sent in one piece */
	int receive_bytes;    /* receive buffer, 0: the default */
	uint64_t bytes_per_s; /* at which the answer is read, 0: at once */
};

struct caller_answer {
	int status;	   /* 0: none came */
	uint64_t expected; /* bytes of the body by its head */
	uint64_t received;
	bool is_whole;
	bool is_sealed;	 /* the server's seal is there */
	uint64_t end_ms; /* from the start of the request to the end of the answer */
};

/* Sends a request and reads its answer. Both are written to the record. */
void caller_send(const struct caller_request *request, struct caller_answer *answer);

#endif
