/*
 * A link to a gate: when it is pinged, found silent and replaced. Pure.
 */
#ifndef FESCUEMILL_DECIDE_PEER_H
#define FESCUEMILL_DECIDE_PEER_H

#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/attempt_defs.h"

#include <stdbool.h>

struct peer_settings {
	uint64_t quiet_us;     /* silent for so long with work outstanding: ping */
	uint64_t ping_wait_us; /* no answer to the ping for so long: replace */
	uint64_t idle_max_us;  /* unused for so long: replace before the next use */
	uint64_t bytes_per_s;  /* least rate at which large bodies are expected to pass */
};

enum peer_action {
	PEER_NOTHING,
	PEER_PING,    /* send a ping */
	PEER_REPLACE, /* close the link, open a new one, peer_opened, ask again for every attempt */
};

struct peer {
	uint64_t heard_us;    /* last message from the gate */
	uint64_t used_us;     /* last message to the gate, pings included */
	uint64_t waits_us;    /* since when an answer is due */
	uint64_t pinged_us;   /* when the present ping was sent */
	uint64_t refused_us;  /* since when the socket takes no message; 0: it does */
	uint64_t transfer_us; /* expected time of the large bodies under way */
	uint32_t epoch;	      /* of the open link; 0 before the first */
	uint32_t outstanding;
	uint32_t unheard; /* connections opened in a row over which nothing came */
	uint8_t kind;	  /* enum link_kind */
	uint8_t state;	  /* enum peer_state */
	bool is_doubtful; /* opened after a loss, and nothing came over it yet */
};

extern const struct peer_settings peer_default_settings;

void peer_init(struct peer *peer, enum link_kind kind);
uint32_t peer_opened(struct peer *peer, uint64_t now_us);
void peer_closed(struct peer *peer);
void peer_heard(struct peer *peer, uint64_t now_us);
void peer_attempt_sent(struct peer *peer, uint64_t now_us);
void peer_transfer(struct peer *peer, const struct peer_settings *settings, uint64_t bytes);
void peer_attempt_done(struct peer *peer);
enum peer_action peer_before_use(const struct peer *peer, const struct peer_settings *settings,
				 uint64_t now_us);
enum peer_action peer_tick(struct peer *peer, const struct peer_settings *settings,
			   uint64_t now_us);
/* Notes that the socket took no message. */
void peer_refused(struct peer *peer, uint64_t now_us);
/* Tells whether to open another connection: the socket has taken no message for so long without a
 * word from the gate that its queue cannot just be full, or nothing came over one that was opened
 * after a loss. */
bool peer_seems_lost(const struct peer *peer, const struct peer_settings *settings,
		     uint64_t now_us);
/* Tells what to do when the connection turns out to be gone. */
enum peer_action peer_lost(struct peer *peer);
/* Tells whether an attempt must not go out on the link: its connection was lost, and whether the
 * gate still answers is being found out. */
bool peer_is_doubtful(const struct peer *peer);
bool peer_is_unreachable(const struct peer *peer);
uint64_t peer_next_due_us(const struct peer *peer, const struct peer_settings *settings);

#endif
