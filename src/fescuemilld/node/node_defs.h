/*
 * The node's state, shared by the source files of the node.
 */
#ifndef FESCUEMILLD_NODE_NODE_DEFS_H
#define FESCUEMILLD_NODE_NODE_DEFS_H

#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/placement.h"
#include "fescuemill/decide/stop.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/registration.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/http/caller.h"
#include "fescuemill/http/client_guard.h"
#include "fescuemill/store/list_watch.h"
#include "fescuemilld/entry/entry.h"
#include "fescuemilld/gate/demand_shell.h"
#include "fescuemilld/gate/gate_pieces.h"
#include "fescuemilld/gate/gate_shell.h"
#include "fescuemilld/node/admin_shell.h"
#include "fescuemilld/node/allotment_shell.h"
#include "fescuemilld/node/config_pull.h"
#include "fescuemilld/node/config_reply.h"
#include "fescuemilld/node/crash_shell.h"
#include "fescuemilld/node/gossip_shell.h"
#include "fescuemilld/node/key_members.h"
#include "fescuemilld/node/key_proof_shell.h"
#include "fescuemilld/node/ready.h"

#include "fescuemilld/node/node.h"

#include <uv.h>

#define NODE_HOUSEKEEPING_MS 100ULL /* period; STOP_TICK_US is the same time */
#define NODE_SIGNALS	     3	    /* SIGTERM, SIGINT, SIGHUP */
#define SETTINGS_PATH_BYTES  256

struct node {
	uv_loop_t loop;
	struct settings settings;
	struct node_dialects dialects;
	/* Own member record. Only its incarnation is current, the rest is as at the start:
	 * gossip_self() returns the current record. */
	struct member self;
	uint32_t state;		  /* enum node_state */
	struct stop stop;	  /* progress of a graceful stop */
	bool has_left;		  /* this node was removed from the roster, or the removal failed */
	uint64_t opened_us;	  /* when the process started */
	uint64_t time_checked_us; /* when the loop was last seen running, see node_detect_stall() */
	uint64_t stall_us;	  /* duration of the last stall of the loop */
	uint64_t stall_end_us;	  /* when the last stall ended */
	uint64_t config_ready_us; /* start of the wait for peers; 0 before, and while the
				     configuration is not ready */
	uint64_t config_revision; /* config_revision() that was applied last */
	uint64_t members_revision; /* member_table_revision() that was applied last */
	bool has_limits;	   /* the next two fields are in force */
	struct client_rules rules; /* limits of the HTTP clients */
	uint32_t body_bytes_max;   /* largest body of a caller */
	bool was_signalled;	   /* SIGTERM or SIGINT was received */
	/* The process ends with work in progress: the stop's time is up or a second signal came. */
	bool stop_was_aborted;
	uv_timer_t housekeeping;
	uv_signal_t signals[NODE_SIGNALS];
	char settings_path[SETTINGS_PATH_BYTES]; /* empty: the settings are not read again */
	uint64_t settings_modified_ns; /* modification time of the settings file that was last read
					*/
	uint64_t settings_checked_us;  /* when the settings file was last checked for a change */
	struct config_store *config;
	struct member_table *members;
	struct burn_tables burn;
	struct channel *channel;
	struct client_guard *guard;
	struct caller *caller;
	struct announce *announce;
	struct platform *store;
	bool knows_restores;	   /* the next field is set */
	uint64_t store_restores;   /* of the store, as this node has acted on them */
	uint64_t store_settled_us; /* when a restored store counts as complete again; 0: it does */
	struct ready *ready;
	struct list_watch *list_watch;
	struct registration *registration;
	struct budget budget;
	struct gossip_shell *gossip_shell;
	struct gossip *gossip;
	struct config_pull *pull;
	struct key_proof_shell *key_proof; /* NULL until the parts that it uses are open */
	struct config_reply config_reply;
	struct key_members *key_members;
	uint64_t keys_applied_us; /* when the owners of keys were last updated */
	struct entry *entry;
	struct gate_shell *gate;
	struct placement_gate place;	     /* of this node's gate */
	enum backend_state announced_state;  /* of the backend server, latest */
	struct evacuation_table evacuations; /* orders in force, as far as known */
	uint64_t evacuations_revision;	     /* revision that was applied last */
	bool evacuations_were_current;	     /* at the latest housekeeping */
	uint64_t evacuations_listed_us;	     /* when the latest list of them was asked for */
	struct list_watch *evacuation_watch; /* NULL: the setting evacuation_ms is not set */
	struct gate_pieces pieces;	     /* bodies of attempts to come */
	struct demand_shell *demand;
	struct allotment_shell *allotment;
	struct crash_shell *crashes;
	struct admin_shell *admin;
};

#endif
