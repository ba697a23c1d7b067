/*
 * Members of the fleet: the record that every node keeps of every other node. A node has at most
 * one backend server.
 */
#ifndef FESCUEMILL_FLEET_MEMBER_DEFS_H
#define FESCUEMILL_FLEET_MEMBER_DEFS_H

#include "fescuemill/decide/call_defs.h"

#define FLEET_MEMBERS_MAX 4096

/* IPv4 address of a node with the two ports that other nodes use. Port 0: not set. */
struct node_address {
	uint32_t ip; /* host byte order */
	uint16_t node_port;
	uint16_t gossip_port;
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* did not answer probes; may still refute */
	MEMBER_LEAVING, /* draining; takes no new work */
	MEMBER_DEAD,
	MEMBER_STATE_COUNT,
};

enum backend_state {
	BACKEND_NONE, /* no backend server has announced itself to this node */
	BACKEND_STARTING,
	BACKEND_READY,
	BACKEND_DRAINING,
	BACKEND_LEAVING,
	BACKEND_STATE_COUNT,
};

/* A change of the member's service raises the bits of its revision from this bit up. A compact
 * update does not contain the service; from these bits its receiver sees whether the service that
 * it knows is current. */
#define MEMBER_SERVICE_SHIFT 8

struct member {
	char name[NODE_NAME_BYTES];
	char region[REGION_NAME_BYTES];
	char domain[DOMAIN_NAME_BYTES];
	char service[SERVICE_NAME_BYTES]; /* empty while backend is BACKEND_NONE */
	struct node_incarnation identity;
	uint32_t revision; /* raised by the member itself, within one incarnation */
	uint32_t slots;
	enum member_state state;
	enum backend_state backend;
	struct node_address internal; /* for nodes of the same region */
	struct node_address external; /* for nodes of other regions; falls back to internal */
};

#endif
