/*
 * Probes: pings that wait for their acks, and pings sent on behalf of others.
 */
#ifndef FESCUEMILL_FLEET_PROBE_H
#define FESCUEMILL_FLEET_PROBE_H

#include "fescuemill/fleet/gossip_defs.h"

#define PROBES_MAX 16
#define RELAYS_MAX 32

struct probe {
	uint32_t seq; /* 0: free */
	uint64_t target;
	uint64_t sent_us;
	bool asked_others;
};

/* A ping sent because another node asked for it; its ack goes back to that node. */
struct relay {
	uint32_t seq; /* 0: free */
	uint32_t origin_seq;
	uint32_t origin_ip;
	uint16_t origin_port;
	uint64_t sent_us;
};

struct probe_list {
	uint32_t last_seq;
	struct probe probes[PROBES_MAX];
	struct relay relays[RELAYS_MAX];
};

enum probe_step {
	PROBE_NONE,
	PROBE_ASK_OTHERS, /* no ack yet: others should ping the target */
	PROBE_FAILED,	  /* no ack at all */
};

/* Starts a probe and gives its sequence, or 0 when there is no place or one is under way. */
uint32_t probe_start(struct probe_list *list, uint64_t target, uint64_t now_us);
uint32_t probe_start_relay(struct probe_list *list, uint32_t origin_seq, uint32_t origin_ip,
			   uint16_t origin_port, uint64_t now_us);
bool probe_is_under_way(const struct probe_list *list, uint64_t target);
/* Ends the probe of a sequence; gives the relay if the ping was another node's. */
bool probe_end(struct probe_list *list, uint32_t seq, struct relay *relay);
/* Gives one probe for which something is due. */
enum probe_step probe_next_due(struct probe_list *list, uint64_t now_us, struct probe *due);
void probe_forget_all(struct probe_list *list);

#endif
