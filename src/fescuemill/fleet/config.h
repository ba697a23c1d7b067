/*
 * Config: this node's copy of the accepted configuration objects. Objects arrive from the platform
 * and from peers in any order; the version in force of a service never goes down.
 */
#ifndef FESCUEMILL_FLEET_CONFIG_H
#define FESCUEMILL_FLEET_CONFIG_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/fleet/service_json.h"

#include <stddef.h>

#define CONFIG_SERVICES_MAX 512 /* includes remembered deletions */
#define CONFIG_KIND	    "service"

struct config_store;

/* What a peer that pulls says of its store. */
struct config_request {
	uint64_t after;	    /* it has all changes up to this version */
	uint64_t content;   /* its config_content_hash() */
	bool takes_changes; /* its config_takes_changes() */
};

/* first_ticket is the ticket of the first pulls (see config_ticket()). It must be above every
 * ticket of the node's earlier processes; the incarnation number meets this. */
int config_open(struct config_store **out, uint64_t first_ticket, struct error *err);
void config_close(struct config_store *store);

/* Returns the routes in force, or NULL. Valid until the store is next changed. */
struct routing *config_routing(struct config_store *store);
/* Returns the configuration of a service in force, or NULL. Valid until the store is next
 * changed. */
const struct service_config *config_find(const struct config_store *store, const char *service);
const struct class_target *config_find_class(const struct service_config *config, const char *name);
/* Returns the whole service object in force, with team and changes, or NULL. */
const struct service_object *config_object(const struct config_store *store, const char *service);
/* Return the number of service objects in force, and the object at an index below that number. The
 * order is unspecified. */
size_t config_count(const struct config_store *store);
const struct service_object *config_at(const struct config_store *store, size_t index);
/* Returns a number that grows with every change of what is in force. */
uint64_t config_revision(const struct config_store *store);

/* Applies the platform's answer {"version","items"} to a list (`from` is 0; the answer has every
 * object that exists) or to a watch for changes after the version `from`. An object that does not
 * parse is logged and counted once, and the last valid one stays in force. Errors: ERROR_SYNTAX,
 * ERROR_MISSING, ERROR_TYPE, ERROR_RANGE if the answer itself is malformed; nothing was applied. */
int config_apply_batch(struct config_store *store, uint64_t from, const char *json, size_t size,
		       struct error *err);
/* The same for an answer that is parsed already; NULL: it could not be. */
int config_apply_answer(struct config_store *store, uint64_t from, json_t *root, struct error *err);
/* Applies one object that the platform has accepted, such as a change made through this node. */
int config_apply_object(struct config_store *store, const char *service, uint64_t version,
			const char *json, size_t size, struct error *err);

/* Applies one deletion that the platform has accepted. */
void config_apply_deletion(struct config_store *store, const char *service, uint64_t version);

/* Returns the version of the newest change up to which this node has all changes. Gossip announces
 * it, so that peers see whether they are behind. */
uint64_t config_version(const struct config_store *store);
/* Returns the version of the store up to which this node has all changes of the configuration. It
 * grows with other objects of the store, too, and differs between nodes. */
uint64_t config_applied_through(const struct config_store *store);
/* Returns the newest version that this node has or that a peer announced. */
uint64_t config_newest_version(const struct config_store *store);
/* Records the configuration version that a peer announced. A node that is behind it should pull. */
void config_record_peer_version(struct config_store *store, uint64_t version);
bool config_is_behind(const struct config_store *store);
/* Returns false until the platform or a ready peer has sent every change that this node knows to
 * exist. The store stays ready while later changes arrive. */
bool config_is_ready(const struct config_store *store);
/* Makes the store not ready after a pause of the process, until a complete answer to a request sent
 * after this call arrives. The caller must also call list_watch_refresh(), so that the platform's
 * answers to earlier requests are dropped. */
void config_mark_stale(struct config_store *store);
/* Records that the platform's store was restored from a copy, which may lack objects. Until they
 * are written again, objects that a list lacks stay in force. */
void config_store_restored(struct config_store *store, uint64_t restores);
/* Records that what the copy lacked was written again, so that a list is complete. */
void config_store_settled(struct config_store *store);
/* Returns a hash of the objects in this store. A peer with the same hash sends no items in answer
 * to a pull. */
uint64_t config_content_hash(const struct config_store *store);
/* Returns the ticket for a pull. A node that is behind or not ready pulls: it sends its
 * config_version(), config_content_hash(), config_takes_changes() and ticket to a peer, which
 * answers with config_write_batch() and the same ticket. */
uint64_t config_ticket(const struct config_store *store);
/* Returns true if this store can apply the changes of routes that a peer sends instead of all
 * routes. */
bool config_takes_changes(const struct config_store *store);
/* Writes a malloc'ed JSON batch {"from","known","version","items"} that answers a peer's pull. If
 * the peer's content hash equals this store's, the batch has no items and adds "same" with the
 * hash. Errors: ERROR_STATE if this store is not ready, ERROR_MEMORY. */
int config_write_batch(const struct config_store *store, const struct config_request *request,
		       char **json, size_t *size, struct error *err);
/* Applies a peer's batch; `ticket` is the one that the answer carries. Errors: those of
 * config_apply_batch(). */
int config_apply_peer_batch(struct config_store *store, uint64_t ticket, const char *json,
			    size_t size, struct error *err);

/* Returns true if this node is one of the nodes of its failure domain that watch the platform for
 * configuration changes. The others get changes from peers. */
bool config_is_watcher(const struct member_table *members, const struct member *self,
		       uint32_t watchers);

#endif
