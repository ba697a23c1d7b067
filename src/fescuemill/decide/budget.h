/*
 * Byte budget for measurement and control traffic: one token bucket for the node and one for its
 * share of the link to other regions. The traffic of calls is never charged.
 */
#ifndef FESCUEMILL_DECIDE_BUDGET_H
#define FESCUEMILL_DECIDE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define BUDGET_PACKET_HEADER_BYTES  28	/* IPv4 and UDP */
#define BUDGET_SEGMENT_HEADER_BYTES 52	/* IPv4 and TCP with timestamps */
#define BUDGET_HEARTBEAT_BYTES	    240 /* a ping and its pong, each with its headers */

/* Token bucket. Its tokens go below zero when received bytes are charged, since receiving cannot be
 * refused. This overdraft is bounded. */
struct budget_bucket {
	uint64_t rate_bytes_per_s;
	int64_t burst_bytes;
	double tokens_bytes;
	double backlog_bytes; /* charged beyond the overdraft limit, repaid from later refills */
	uint64_t refilled_us;
	uint64_t spent_bytes;
	uint64_t refused_bytes;
};

struct budget {
	struct budget_bucket node;
	struct budget_bucket link;
	uint64_t link_total_bytes_per_s; /* rate of the link, which all nodes share */
};

void budget_init(struct budget *bud, uint64_t node_bytes_per_s, uint64_t link_bytes_per_s,
		 uint64_t now_us);
void budget_share_link(struct budget *bud, uint32_t nodes, uint32_t watchers, bool is_watcher);
bool budget_take(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us);
bool budget_take_if_no_backlog(struct budget *bud, uint32_t bytes, bool crosses_link,
			       uint64_t now_us);
bool budget_is_low(struct budget *bud, uint64_t now_us);
void budget_charge(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us);
void budget_charge_in_full(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us);

#endif
