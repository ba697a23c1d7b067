/*
 * Spillover: when a call leaves the failure domain of its entry, and how many calls may be away at
 * a time. Each entry decides for one service, from the answers that it gets itself. No I/O.
 *
 * A call leaves when the servers of its own failure domain are expected to miss its latency
 * objective and others are not, or when it gains more time than its bytes are worth. How much
 * leaves is a window of calls in flight for each failure domain, which grows with each call that a
 * gate there takes and halves when one there has no room: reports of load are too old to tell how
 * much room the other entries leave.
 */
#ifndef FESCUEMILL_DECIDE_SPILLOVER_H
#define FESCUEMILL_DECIDE_SPILLOVER_H

#include <stdbool.h>
#include <stdint.h>

#define SPILLOVER_DOMAINS_MAX 32

/* What one failure domain has taken of this entry's calls. */
struct spillover_domain {
	uint32_t domain;
	uint32_t in_flight;
	float window;		  /* calls that may be in flight there */
	float threshold;	  /* the window grows fast below it, see record_taken() */
	uint64_t shrunk_us;	  /* when the window was last halved; 0: never */
	uint64_t closed_until_us; /* no call is sent there until then */
	uint64_t used_us;	  /* when a call was last sent there */
	uint32_t refused_in_row;
};

/* The failure domains in use; past SPILLOVER_DOMAINS_MAX the one unused for longest is replaced. */
struct spillover {
	uint32_t count;
	struct spillover_domain list[SPILLOVER_DOMAINS_MAX];
};

enum spillover_end {
	SPILLOVER_TAKEN,   /* a gate there ran the call, or queued it */
	SPILLOVER_NO_ROOM, /* a gate there refused it for lack of room */
	SPILLOVER_OTHER,   /* the end says nothing of the room there */
};

/* What a call is expected to take, in microseconds, at the best gate of the own failure domain and
 * at the best one elsewhere, without any cost of the distance. */
struct spillover_offer {
	float home_us;
	float away_us;
	float bytes_us;	    /* what the bytes that would cross failure domains are worth */
	float objective_us; /* what is left of the call's latency objective; 0: it has none */
};

/* Why a call stays or leaves. */
enum spillover_reason {
	SPILLOVER_NO_GAIN,     /* stays: the gain is small beside the objective */
	SPILLOVER_NOT_WORTH,   /* stays: the gain is less than the bytes are worth */
	SPILLOVER_AWAY_MEETS,  /* leaves: only other failure domains meet the objective */
	SPILLOVER_AWAY_SOONER, /* leaves: the gain is more than the bytes are worth */
};

enum spillover_reason spillover_judge(const struct spillover_offer *offer);
/* Returns the gain, in microseconds, from which on the call leaves whatever its objective. */
float spillover_gain_needed_us(const struct spillover_offer *offer);
bool spillover_leaves(enum spillover_reason reason);
/* Returns true if another call may be sent to a failure domain. */
bool spillover_has_room(const struct spillover *spillover, uint32_t domain, uint64_t now_us);
/* Replaces the calls in flight there, after gates were dropped that had some. */
void spillover_set_in_flight(struct spillover *spillover, uint32_t domain, uint32_t in_flight);
void spillover_record_sent(struct spillover *spillover, uint32_t domain, uint64_t now_us);
void spillover_record_end(struct spillover *spillover, uint32_t domain, enum spillover_end end,
			  uint64_t now_us);

#endif
