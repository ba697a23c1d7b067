/*
 * Shell of allotments: refuses the calls of customers beyond their limits, exchanges their use with
 * the customers' homes by gossip, and is the home of a part of the customers. Idle while no
 * customer has a limit.
 */
#ifndef FESCUEMILLD_NODE_ALLOTMENT_SHELL_H
#define FESCUEMILLD_NODE_ALLOTMENT_SHELL_H

#include "fescuemill/decide/allotment_entry.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/gossip.h"

#include <uv.h>

struct allotment_shell;

/* The pointers belong to the caller and must stay valid until the shell is closed. */
struct allotment_shell_options {
	struct gossip *gossip;
	const struct member_table *members;
	struct config_store *config;
	uint64_t seed;
};

/* What this node knows of a customer's use; for the administration API. */
struct allotment_view {
	uint32_t rate_milli;
	uint32_t burst;
	uint64_t home; /* node id; 0: not known */
	bool is_home;  /* this node is the home */
	enum allotment_basis basis;
	double share;	       /* of the offered calls that this node admits */
	uint64_t share_age_us; /* UINT64_MAX: the home has told none */
	uint32_t offered;      /* at this node since it last was without calls for a minute */
	uint32_t admitted;
	uint32_t given_back;
	uint32_t refused;
	double fleet_demand; /* calls a second at all entries; only at the home */
	double level;	     /* calls in the bucket; only at the home */
	uint32_t entries;    /* that reported in the last minute; only at the home */
};

/* Errors: ERROR_MEMORY. */
int allotment_shell_open(struct allotment_shell **out, uv_loop_t *loop,
			 const struct allotment_shell_options *options, struct error *err);
void allotment_shell_close(struct allotment_shell *shell);
/* Reads the limits and the members again; to be called when the configuration or the members have
 * changed. */
void allotment_shell_refresh(struct allotment_shell *shell, uint64_t now_us);
/* Handles an allotment message from a member. */
void allotment_shell_receive(struct allotment_shell *shell, uint64_t node_id, const uint8_t *data,
			     size_t size, uint64_t now_us);
/* Fills in what is known of a customer. Returns false if it has no limit. */
bool allotment_shell_view(struct allotment_shell *shell, const struct customer *customer,
			  uint64_t now_us, struct allotment_view *view);

#endif
