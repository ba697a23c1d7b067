/*
 * Node types that its parts share.
 */
#ifndef FESCUEMILLD_NODE_DEFS_H
#define FESCUEMILLD_NODE_DEFS_H

#include "fescuemill/chart/chart_defs.h"
#include "fescuemill/decide/stop.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/keeper.h"
#include "fescuemill/http/announce.h"
#include "fescuemill/http/caller.h"
#include "fescuemill/store/follow.h"
#include "fescuemilld/admin_shell.h"
#include "fescuemilld/config_pull.h"
#include "fescuemilld/demand_shell.h"
#include "fescuemilld/entry.h"
#include "fescuemilld/gate_shell.h"
#include "fescuemilld/gossip_shell.h"
#include "fescuemilld/key_members.h"
#include "fescuemilld/ready.h"

#include "fescuemilld/node.h"

#include <uv.h>

#define NODE_HOUSEKEEPING_MS 100ULL
#define NODE_SIGNALS	     3
#define SETTINGS_PATH_BYTES  256

struct node {
	uv_loop_t loop;
	struct settings settings;
	struct outside outside;
	struct member self; /* as at the start; gossip keeps what is said of it now */
	uint32_t state;	    /* enum node_state */
	struct stop stop;
	bool has_left; /* the roster does not name this node any more, or cannot be written */
	uint64_t time_checked_us; /* at the latest at the last housekeeping */
	uint64_t stall_us;	  /* how long the loop stood still last */
	uint64_t stall_end_us;
	uint64_t config_ready_us; /* since when, 0 while it is not */
	uint64_t config_revision;
	uint64_t members_revision;
	bool was_signalled; /* to stop */
	bool was_cut;
	uv_timer_t housekeeping;
	uv_signal_t signals[NODE_SIGNALS];
	char settings_path[SETTINGS_PATH_BYTES]; /* empty: settings do not change */
	uint64_t settings_changed_ns;
	uint64_t settings_checked_us;
	struct config_store *config;
	struct member_table *members;
	struct burn_tables burn;
	struct channel *channel;
	struct caller *caller;
	struct announce *announce;
	struct platform *store;
	struct ready *ready;
	struct follow *follow;
	struct keeper *keeper;
	struct budget budget;
	struct gossip_shell *gossip_shell;
	struct gossip *gossip;
	struct config_pull *pull;
	struct key_members *key_members;
	uint64_t keys_applied_us;
	struct entry *entry;
	struct gate_shell *gate;
	struct demand_shell *demand;
	struct admin_shell *admin;
};

#endif
