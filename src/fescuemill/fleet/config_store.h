/*
 * Contents of the configuration store, shared by its source files only.
 */
#ifndef FESCUEMILL_FLEET_CONFIG_STORE_H
#define FESCUEMILL_FLEET_CONFIG_STORE_H

#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/config_batch.h"
#include "fescuemill/fleet/route_history.h"

struct config_entry {
	char name[SERVICE_NAME_BYTES];
	bool in_force;
	struct service_object object; /* its config.version is the version in force */
	bool is_routing;	      /* the object in force is a routing object, not a service */
	json_t *value;		      /* the object in force, as delivered */
	/* The object in force is a later one than the platform's store has under its version: the
	 * store was restored from a copy and lacks it. */
	bool is_kept;
	uint64_t deleted_version;  /* newest deletion; 0: none */
	uint64_t rejected_version; /* newest object that did not parse; 0: none */
	json_t *rejected; /* that object while it is newer than the one in force, else NULL */
};

struct config_store {
	uint32_t entry_count;
	struct config_entry *entries[CONFIG_SERVICES_MAX];
	uint64_t revision;	   /* number of changes of what is in force */
	uint64_t applied_through;  /* all changes up to this version were delivered */
	uint64_t complete_version; /* version of the newest change up to applied_through */
	uint64_t peer_version;	   /* highest version that a peer announced */
	/* Objects of before this restore of the platform's store are not deleted by lists. */
	uint64_t unsettled_restores;
	uint64_t pruned_version; /* deletions up to this version may be unknown here */
	uint64_t ticket; /* sent with pulls; an answer must carry it to make the store ready */
	struct routing routing;			  /* in force; empty if routing_owner is NULL */
	const struct config_entry *routing_owner; /* the entry whose routes are in force */
	struct route_history history;		  /* of the routes in force */
	bool needs_whole_routes;		  /* a peer's changes could not be applied */
	struct random rng;
	bool ready;
};

/* Returns the newest version delivered for an entry: in force, deleted or rejected. */
uint64_t config_entry_newest_version(const struct config_entry *entry);
/* Frees a rejected object that is older than a new version in force or deletion. */
void config_drop_rejected(struct config_entry *entry, uint64_t version);
/* Returns true if an object is a routing object with a higher number, which the operators set, than
 * the routes in force. */
bool config_has_higher_number(const struct config_store *store, const struct config_entry *entry,
			      const json_t *json);
/* Keeps the object in force in place of the earlier state that a restored store has. Returns false
 * if the delivery is no such state. */
bool config_keep_later_state(struct config_store *store, struct config_entry *entry,
			     const struct delivery *delivery);
/* Returns true if an object may be missing in a list only because the store's copy lacks it. */
bool config_may_be_lost(const struct config_store *store, const struct config_entry *entry);

#endif
