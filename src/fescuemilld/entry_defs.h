/*
 * Entry types that its parts share: calls, links to gates, services.
 */
#ifndef FESCUEMILLD_ENTRY_DEFS_H
#define FESCUEMILLD_ENTRY_DEFS_H

#include "fescuemill/base/random.h"
#include "fescuemill/decide/attempt_entry.h"
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/peer.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/decide/slot_map.h"
#include "fescuemilld/entry.h"

#include <h2o/linklist.h>

#define ENTRY_CALLS_MAX 16384 /* a sequence modulo this is the slot of its call */

struct entry_call;
struct gate_link;

/* One kind of connection to a gate. */
struct link_side {
	struct gate_link *owner;
	struct peer peer;
	struct channel_link *connection; /* NULL while closed */
	bool is_other_life;		 /* a later process of the gate answered on it */
	h2o_linklist_t calls;		 /* of struct call_place: answers that are due */
};

/* The connections to one gate in one life. */
struct gate_link {
	struct entry *entry;
	struct node_life life;
	struct gate_link *next_dropped;
	uint32_t ip;
	uint16_t port;
	bool crosses_regions;
	struct link_side sides[LINK_KIND_COUNT];
};

/* A call's place in the list of a link's side. */
struct call_place {
	h2o_linklist_t link; /* the first member, so that a link is a place */
	struct entry_call *call;
	struct link_side *side;
};

/* One service as this entry sees it. */
struct entry_service {
	struct entry_service *next;
	char name[SERVICE_NAME_BYTES];
	struct choice *choice;
	struct retry_bucket bucket;
	struct key_table *keys; /* for the homes of keys only */
	uint64_t members_revision;
	uint64_t homes_warmed_us; /* when connections to the homes of keys were last seen to */
	uint64_t refreshed_us;
};

/* One call of a caller; lies in the call's arena. */
struct entry_call {
	struct attempt_entry state;
	struct entry *entry;
	struct entry_service *service;
	struct caller_call *caller;
	const struct call_request *request;
	struct gate_link *link; /* of the present attempt; NULL when none is outstanding */
	struct call_place places[LINK_KIND_COUNT];
	uint64_t begun_us; /* when the caller's request was whole */
	uint64_t sent_us;
	uint32_t wait_us; /* as the gate told it that answered last */
	uint32_t slot;
	uint8_t class_index; /* in the service's configuration */
	char class_name[CLASS_NAME_BYTES];
	char route[ROUTE_NAME_BYTES]; /* empty when the request names its service */
	bool idempotent;
};

/* What a request is classified as. */
struct call_class {
	char service[SERVICE_NAME_BYTES];
	char name[CLASS_NAME_BYTES];
	char route[ROUTE_NAME_BYTES];
	uint8_t index; /* in the service's configuration */
	bool idempotent;
	uint32_t servers_max;  /* 0: not bounded */
	uint64_t time_left_us; /* the client's, cut to the route's */
};

struct entry {
	uv_loop_t *loop;
	uv_timer_t timer; /* runs while calls are in progress */
	struct entry_options options;
	struct peer_settings peer_settings;
	struct choice_settings choice_settings;
	struct random rng;
	uint64_t draws; /* sequences drawn so far */
	struct entry_call *calls[ENTRY_CALLS_MAX];
	uint32_t free_slots[ENTRY_CALLS_MAX];
	uint32_t free_count;
	struct due_heap due;
	struct entry_service *services;
	struct slot_map link_map;
	struct gate_link *links[FLEET_MEMBERS_MAX];
	struct gate_link *dropped; /* freed when nothing up the stack can use them */
};

/* Where a message came from: what a step needs besides its event. */
struct entry_input {
	struct link_side *side; /* NULL when no message is being handled */
	const struct message_answer *answer;
	uint32_t held_bytes; /* of a large answer that waits at the gate */
};

void entry_call_step(struct entry_call *call, const struct attempt_entry_event *event,
		     const struct entry_input *input);
struct entry_call *entry_find_call(struct entry *entry, const struct attempt_id *id);

#endif
