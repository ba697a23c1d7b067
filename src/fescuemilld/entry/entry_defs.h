/*
 * Types shared by the entry's source files: calls, links to gates, services.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_DEFS_H
#define FESCUEMILLD_ENTRY_ENTRY_DEFS_H

#include "fescuemill/base/random.h"
#include "fescuemill/decide/attempt_entry.h"
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/notice_table.h"
#include "fescuemill/decide/peer.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/decide/slot_map.h"
#include "fescuemilld/entry/entry.h"

#include <h2o/linklist.h>

#define ENTRY_ROUTE_BYTES 64
#define ENTRY_CALLS_MAX	  16384 /* sequence % ENTRY_CALLS_MAX is the call's slot */

struct entry_call;
struct allotment_shell;
struct gate_link;

/* One of the two connections of a link: for calls or for large bodies. */
struct gate_conn {
	struct gate_link *owner;
	struct peer peer;
	struct channel_link *channel_link; /* NULL while closed */
	uint64_t asked_us;	      /* boot time of the oldest ping without a pong; 0: none */
	bool reached_new_incarnation; /* a later incarnation of the gate answered on it */
	h2o_linklist_t calls;	      /* of struct pending_answer: calls that await an answer */
};

/* The connections to one incarnation of a gate. */
struct gate_link {
	struct entry *entry;
	struct node_incarnation identity;
	struct gate_link *next_dropped;
	uint32_t ip;
	uint16_t port;
	bool crosses_regions;
	struct gate_conn conns[LINK_KIND_COUNT];
};

/* Links a call into the list of calls that await an answer on a connection. */
struct pending_answer {
	h2o_linklist_t link; /* must be first: a list link is cast to this struct */
	struct entry_call *call;
	struct gate_conn *conn;
};

/* Gate choice, retry budget and key ownership of one service at this entry. */
struct entry_service {
	struct entry_service *next;
	char name[SERVICE_NAME_BYTES];
	struct choice *choice;
	struct retry_bucket bucket;
	struct key_table *keys;	   /* only finds the gates that own keys; records no calls */
	uint64_t members_revision; /* entry_placement_revision() that was applied last */
	uint64_t preconnected_us;  /* when the links to key owners were last checked */
	uint64_t refreshed_us;	   /* when the members were last updated */
};

/* Where a call may be served, as of the configuration that was last applied to it. */
struct entry_placement {
	struct region_set regions;
	uint64_t config_revision; /* config_revision() that was applied last */
	uint64_t customer_id;	  /* of the call's customer; 0: none */
};

/* One call of a caller, allocated in the caller call's arena. */
struct entry_call {
	struct attempt_entry state;
	struct entry *entry;
	struct entry_service *service;
	struct caller_call *caller;
	const struct call_request *request;
	struct gate_link *link; /* of the current attempt; NULL when none is outstanding */
	struct pending_answer pending_answers[LINK_KIND_COUNT];
	uint64_t received_us;  /* when the whole request had been received */
	uint64_t sent_us;      /* when the current attempt was sent */
	uint64_t asked_us;     /* the same as boot time; 0: not needed */
	uint32_t wait_max_us;  /* expected wait at the chosen gate at which another is better */
	uint32_t wait_us;      /* expected queue wait that the last answering gate reported */
	uint32_t slot;	       /* index in the entry's calls */
	uint32_t objective_us; /* latency objective of the class */
	uint8_t class_index;   /* index in the service's configuration */
	char class_name[CLASS_NAME_BYTES];
	char route[ENTRY_ROUTE_BYTES]; /* for the log; empty when the request names its service */
	uint64_t customer;	       /* id of the customer; 0: none */
	const char *customer_name;     /* NULL: none */
	bool idempotent;
	struct entry_placement placement;
};

/* Service, class and limits that apply to a request. */
struct call_class {
	char service[SERVICE_NAME_BYTES];
	char name[CLASS_NAME_BYTES];
	char route[ENTRY_ROUTE_BYTES];
	uint8_t index; /* class index in the service's configuration */
	bool idempotent;
	uint32_t servers_max;  /* backend servers that the call may be sent to; 0: no limit */
	uint32_t objective_us; /* latency objective */
	uint64_t time_left_us; /* from the request, at most the route's timeout */
	/* Regions of the route; NULL: any. Valid until the configuration changes. */
	const struct region_set *regions;
	/* Of the request's key; NULL: none. Valid until the configuration changes. */
	const struct customer *customer;
	const char *customer_name; /* copy for the call's lifetime; NULL: none */
	bool hides_keys;	   /* customers are configured: keys are not forwarded */
};

struct entry {
	uv_loop_t *loop;
	uv_timer_t timer; /* runs while calls are in progress */
	struct entry_options options;
	struct peer_settings peer_settings;
	struct choice_settings choice_settings;
	struct random rng;
	struct crash_shell *crashes; /* requests that ran when servers ended; NULL: not known */
	struct allotment_shell *allotment; /* NULL: calls of customers are not limited */
	h2o_linklist_t held;		   /* of struct held_call: calls that wait for it */
	uint32_t held_count;
	uint64_t sequence_count; /* number of attempt sequences issued */
	uint32_t connections;	 /* number of connections opened to gates */
	struct entry_call *calls[ENTRY_CALLS_MAX];
	uint32_t free_slots[ENTRY_CALLS_MAX];
	uint32_t free_count;
	struct due_heap due; /* deadlines of the calls, by slot */
	struct entry_service *services;
	struct notice_table notices; /* of backend servers, by the id of their gate's node */
	struct slot_map link_map;    /* finds the slot of a node id in `links` */
	struct gate_link *links[FLEET_MEMBERS_MAX];
	struct gate_link *dropped; /* removed links, freed once no caller on the stack uses them */
};

/* What a step needs besides its event: the message being handled and its connection. */
struct entry_input {
	struct gate_conn *conn; /* connection of the message; NULL when no message is handled */
	const struct message_answer *answer; /* NULL unless the message is an answer */
	uint32_t held_bytes;		     /* body size of a large answer that the gate holds */
};

/* Starts a call that was classified, or refuses one. */
void entry_start_call(struct entry *entry, struct caller_call *caller,
		      const struct call_request *req, const struct call_class *cls);
void entry_refuse_request(struct entry *entry, struct caller_call *caller,
			  const struct call_request *req, const struct call_class *cls,
			  enum call_reason reason, uint32_t retry_ms);
void entry_call_step(struct entry_call *call, const struct attempt_entry_event *event,
		     const struct entry_input *input);
struct entry_call *entry_find_call(struct entry *entry, const struct attempt_id *id);

#endif
