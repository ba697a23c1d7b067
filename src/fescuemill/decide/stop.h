/*
 * Stop: the phases of a graceful stop. They share the time limit of the whole stop: waits that are
 * optional end early enough to leave time for the phases that callers need. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_STOP_H
#define FESCUEMILL_DECIDE_STOP_H

#include <stdbool.h>
#include <stdint.h>

/* Times that are given to the phases and the waits of a stop. */
#define STOP_GOSSIP_SPREAD_US 2000000 /* for all members to learn of the stop, from its start */
#define STOP_ACKS_US	      2000000 /* for entries to acknowledge the last answers */
#define STOP_LEAVE_GOSSIP_US  500000  /* for the leave message to reach the other members */
#define STOP_LEAVE_ROSTER_US  1000000 /* for the roster; its writers later add or prune the rest */
#define STOP_HANDSHAKE_US     200000  /* for connections that callers are opening */
#define STOP_IDLE_US	      1000000 /* for requests over open connections, from the start */
#define STOP_QUIET_US	      300000  /* for requests sent while the listener closes */
#define STOP_ANSWERS_US	      200000  /* for the answers to the calls that the stop ends */
#define STOP_TICK_US	      100000  /* how late a phase may end: one housekeeping period */

enum stop_phase {
	STOP_NONE,
	STOP_SERVING,	    /* not ready, but accepts all work while callers notice */
	STOP_FINISHING,	    /* the backend server finishes its work and may still make calls */
	STOP_AWAITING_ACKS, /* calls end, and entries acknowledge the last answers */
	STOP_HANDSHAKES,    /* accepts only connections that callers are opening already */
	STOP_CLOSING,	    /* answers requests that arrived over the last connections */
	STOP_ENDED,
};

/* What the caller of stop_advance() must do now. */
enum stop_action {
	STOP_WAIT,	       /* nothing */
	STOP_REFUSE_ATTEMPTS,  /* stop admitting attempts, as a gate */
	STOP_REFUSE_CALLS,     /* stop accepting calls, as an entry */
	STOP_END_CALLS,	       /* answer the calls in progress, whose time the stop does not have */
	STOP_ANNOUNCE_LEAVING, /* leave the roster and gossip, accept no connections */
	STOP_CLOSE_LISTENER,   /* close the listener for callers */
	STOP_END,	       /* exit: all work is done */
	STOP_TIMED_OUT,	       /* exit: the time is up and work is still in progress */
};

struct stop {
	enum stop_phase phase;
	uint64_t since_us;	 /* start of the stop */
	uint64_t phase_since_us; /* start of the current phase */
	uint64_t announced_us;	 /* time of STOP_ANNOUNCE_LEAVING */
	uint64_t serve_us;	 /* duration of STOP_SERVING */
	uint64_t limit_us;	 /* duration of the whole stop */
	bool has_ended_calls;	 /* STOP_END_CALLS was returned */
};

/* What the stop waits for: current counts. */
struct stop_view {
	uint32_t attempts;    /* waiting or running at the gate */
	uint32_t calls;	      /* calls at the entry and operators' changes in progress */
	uint32_t answers;     /* attempts at the gate that entries have not acknowledged */
	uint32_t connections; /* open connections of callers */
	uint32_t requests;    /* requests over these that are being received or not answered yet */
	bool has_left;	      /* this node was removed from the roster, or cannot be */
};

void stop_begin(struct stop *stop, uint64_t serve_us, uint64_t limit_us, uint64_t now_us);
enum stop_action stop_advance(struct stop *stop, const struct stop_view *view, uint64_t now_us);
bool stop_accepts_call(const struct stop *stop, uint64_t time_left_us, uint64_t now_us);
uint64_t stop_work_end_us(const struct stop *stop);

#endif
