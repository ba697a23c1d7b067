/*
 * Probes: pings that wait for their acks, and pings relayed on behalf of other nodes.
 */
#ifndef FESCUEMILL_FLEET_PROBE_H
#define FESCUEMILL_FLEET_PROBE_H

#include "fescuemill/fleet/gossip_defs.h"

#define PROBES_MAX 16
#define RELAYS_MAX 32

struct probe {
	uint32_t seq;	 /* 0: free slot */
	uint64_t target; /* node id */
	uint64_t sent_us;
	uint64_t asked_us;  /* the same by the clock of key proofs; 0: not needed */
	bool indirect_sent; /* indirect probes were sent */
};

/* A ping sent on behalf of another node; its ack is forwarded to that node. */
struct relay {
	uint32_t seq;	     /* 0: free slot */
	uint32_t origin_seq; /* sequence number of the ping request */
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
	PROBE_SEND_INDIRECT, /* no ack so far: other members should ping the target */
	PROBE_FAILED,	     /* no ack within GOSSIP_PROBE_TIMEOUT_US */
};

/* Starts a probe and returns its sequence number, or 0 if all slots are in use or the target is
 * being probed already. */
uint32_t probe_start(struct probe_list *list, uint64_t target, uint64_t now_us);
uint32_t probe_start_relay(struct probe_list *list, uint32_t origin_seq, uint32_t origin_ip,
			   uint16_t origin_port, uint64_t now_us);
/* Returns the probe with a sequence number, or NULL. */
struct probe *probe_find(struct probe_list *list, uint32_t seq);
bool probe_is_pending(const struct probe_list *list, uint64_t target);
/* Ends the probe or relay with a sequence number. Returns true and fills `relay` if the ping was
 * sent on behalf of another node. */
bool probe_end(struct probe_list *list, uint32_t seq, struct relay *relay);
/* Returns the step that is due for one probe, and the probe in `due`. */
enum probe_step probe_next_due(struct probe_list *list, uint64_t now_us, struct probe *due);
void probe_clear(struct probe_list *list);

#endif
