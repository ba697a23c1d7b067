/*
 * Stop: the phases of a graceful stop. They share the time that the whole stop has: what is only
 * good manners waits no longer than leaves room for what callers need. Pure.
 */
#ifndef FESCUEMILL_DECIDE_STOP_H
#define FESCUEMILL_DECIDE_STOP_H

#include <stdbool.h>
#include <stdint.h>

#define STOP_SPREAD_US	  2000000 /* for word of the stop to reach all members, from its start */
#define STOP_ACKS_US	  2000000 /* for entries to acknowledge the last answers */
#define STOP_GOODBYE_US	  500000  /* for the goodbye to reach the others */
#define STOP_ROSTER_US	  1000000 /* for the roster; its writers enter or prune what is missing */
#define STOP_HANDSHAKE_US 200000  /* for connections that callers have begun */
#define STOP_IDLE_US	  1000000 /* from the start, for requests over connections that are open */
#define STOP_QUIET_US	  300000 /* for the last of these, which cross the closing of the listener */
#define STOP_STEP_US	  100000 /* how late a phase may end: one period of housekeeping */

enum stop_phase {
	STOP_NONE,
	STOP_SERVING,	 /* not ready, but all work is still taken while callers learn of it */
	STOP_FINISHING,	 /* the backend server's work ends, and may make calls meanwhile */
	STOP_ACKED,	 /* calls end, and the last answers are on their way to the entries */
	STOP_HANDSHAKES, /* no new connections but those that callers have begun */
	STOP_CLOSING,	 /* what came over the last connections is answered */
	STOP_ENDED,
};

/* What the owner does now. */
enum stop_action {
	STOP_WAIT,
	STOP_TAKE_NO_WORK,   /* as a gate */
	STOP_REFUSE_CALLS,   /* as an entry */
	STOP_SAY_GOODBYE,    /* to the roster and the others, and accept no connections */
	STOP_LISTEN_NO_MORE, /* on the callers' port */
	STOP_END,	     /* nothing was cut */
	STOP_CUT_OFF,	     /* the time is up and work is still in progress */
};

struct stop {
	enum stop_phase phase;
	uint64_t since_us;
	uint64_t phase_since_us;
	uint64_t goodbye_us;
	uint64_t serve_us; /* of STOP_SERVING */
	uint64_t limit_us; /* of the whole stop */
};

/* What the stop waits for, as it stands now. */
struct stop_view {
	uint32_t attempts;    /* at the gate */
	uint32_t calls;	      /* and operators' changes in progress */
	uint32_t answers;     /* not acknowledged by their entries */
	uint32_t connections; /* of callers */
	uint32_t requests;    /* on these: being received, or not answered */
	bool has_left;	      /* the roster is written, or cannot be */
};

void stop_begin(struct stop *stop, uint64_t serve_us, uint64_t limit_us, uint64_t now_us);
/* Takes the stop further; to be called again until it gives STOP_WAIT or the stop has ended. */
enum stop_action stop_advance(struct stop *stop, const struct stop_view *view, uint64_t now_us);

#endif
