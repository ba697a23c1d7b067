/*
 * Client budget: judges the connections of clients that nobody controls by what they do, how long
 * they do it, and what they hold. Pure: the caller samples its connections and passes the time.
 */
#ifndef FESCUEMILL_DECIDE_CLIENT_BUDGET_H
#define FESCUEMILL_DECIDE_CLIENT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum client_phase {
	CLIENT_IDLE,	/* between requests, or before the first */
	CLIENT_HEAD,	/* part of a request's head was received */
	CLIENT_BODY,	/* part of a request's body was received */
	CLIENT_RUNNING, /* a whole request waits for its answer */
	CLIENT_ANSWER,	/* an answer is being sent */
};

/* Limits on what clients send and on how long they take. */
struct client_rules {
	uint32_t header_bytes_max;  /* 0: no limit but that of the parser */
	uint32_t header_timeout_ms; /* for a whole head, from its first byte */
	uint32_t idle_timeout_ms;   /* between requests, and without progress of a body or answer */
};

/* What a connection does at one moment. */
struct client_sample {
	enum client_phase phase;
	uint64_t requests;    /* whole requests received so far */
	uint64_t moved_bytes; /* a number that changes with each byte received or sent */
	uint64_t held_bytes;  /* memory allocated for the connection */
	uint64_t head_bytes;  /* of the unfinished head; CLIENT_HEAD only */
};

/* History of a connection, updated by each sample. */
struct client_track {
	struct client_sample last;
	uint64_t since_ms;     /* when the phase was first seen */
	uint64_t moved_ms;     /* when a byte was last seen to move */
	uint64_t marked_bytes; /* moved_bytes when the progress was last worth its memory */
	uint64_t marked_ms;
};

enum client_verdict {
	CLIENT_KEEP,
	CLIENT_CLOSE,	       /* nothing is owed to it: close the connection */
	CLIENT_TIMED_OUT,      /* its request is too slow: 408 */
	CLIENT_HEAD_TOO_LARGE, /* 431 */
};

/* What is held by the clients of a process. */
struct client_totals {
	uint64_t held_bytes;
	uint64_t held_bytes_max;
};

void client_track_start(struct client_track *track, uint64_t now_ms);
void client_track_update(struct client_track *track, const struct client_sample *sample,
			 uint64_t now_ms);
enum client_verdict client_judge(const struct client_track *track, const struct client_rules *rules,
				 uint64_t now_ms);

/* Returns true if a connection may be ended to get memory back. The only large holder never is: a
 * legal request sent alone is served. */
bool client_may_release(const struct client_track *track, const struct client_totals *totals,
			uint64_t now_ms);
/* Returns true if a is to be ended before b when memory is short. Both may be released. */
bool client_is_worse_holder(const struct client_track *a, const struct client_track *b,
			    uint64_t now_ms);
/* Returns true if a connection may be ended to get its descriptor back. */
bool client_may_disconnect(const struct client_track *track, uint64_t now_ms);
/* Returns true if a is to be ended before b when descriptors are short. */
bool client_is_worse_connection(const struct client_track *a, const struct client_track *b);

#endif
