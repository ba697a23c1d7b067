/*
 * Config: the store of accepted service configurations. Whatever the order or the source of
 * deliveries, the version in force of a service never goes down.
 */
#ifndef FESCUEMILL_FLEET_CONFIG_H
#define FESCUEMILL_FLEET_CONFIG_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/route.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/fleet/service_json.h"

#include <stddef.h>

#define CONFIG_SERVICES_MAX 512 /* deleted ones that are still remembered included */
#define CONFIG_KIND	    "service"

struct config_store;

/* Tickets rise from the first one, which must be above those of the node's earlier processes: its
 * incarnation is. */
int config_open(struct config_store **out, uint64_t first_ticket, struct error *err);
void config_close(struct config_store *store);

/* The routes in force, or NULL. Valid until the store is next changed. */
struct routing *config_routing(struct config_store *store);
/* The configuration in force, or NULL. Valid until the store is next changed. */
const struct service_config *config_find(const struct config_store *store, const char *service);
const struct class_target *config_class(const struct service_config *config, const char *name);
/* The whole accepted object in force, with team and changes, or NULL. */
const struct service_object *config_object(const struct config_store *store, const char *service);
/* Services in force in no stated order: index below config_count(). */
size_t config_count(const struct config_store *store);
const struct service_object *config_at(const struct config_store *store, size_t index);
/* Grows with every change in force. */
uint64_t config_revision(const struct config_store *store);

/* Takes the platform's answer {"version","items"} of a list (from is 0, and everything that exists
 * is in it) or of a watch after the version `from`. Objects that do not parse are logged once and
 * counted, and leave the last good one in force. Errors: ERROR_SYNTAX, ERROR_MISSING, ERROR_TYPE,
 * ERROR_RANGE: the answer itself is not understood; nothing was applied. */
int config_apply_batch(struct config_store *store, uint64_t from, const char *json, size_t size,
		       struct error *err);
/* Takes one accepted object, for instance from the writer's own accepted change. */
int config_apply_object(struct config_store *store, const char *service, uint64_t version,
			const char *json, size_t size, struct error *err);

/* Takes one accepted deletion. */
void config_apply_deletion(struct config_store *store, const char *service, uint64_t version);

/* The version of the newest change through which this node has everything: the digest that gossip
 * spreads. */
uint64_t config_version(const struct config_store *store);
/* Notes a peer's digest; a node behind it should pull. */
void config_note_version(struct config_store *store, uint64_t version);
bool config_is_behind(const struct config_store *store);
/* Not ready until the platform or a ready peer gave everything that this node had heard of. Stays
 * ready while later changes arrive. */
bool config_is_ready(const struct config_store *store);
/* After a pause of the process: not ready until a whole answer to a question asked after this.
 * Calls of follow_refresh() go with it, since answers of the platform to older questions must be
 * dropped. */
void config_mark_stale(struct config_store *store);
/* A hash of what exists here, so that a peer that has the same sends nothing. */
uint64_t config_content(const struct config_store *store);
/* Pulls: the asker sends its config_version(), content and ticket; a peer answers with
 * config_write_batch() and the same ticket. A node that is behind or not ready pulls. */
uint64_t config_ticket(const struct config_store *store);
/* Writes a malloc'ed JSON batch {"from","known","version","items"} and "same" of what is newer than
 * `after`. Errors: ERROR_STATE when this node is not ready itself, ERROR_MEMORY. */
int config_write_batch(const struct config_store *store, uint64_t after, uint64_t content,
		       char **json, size_t *size, struct error *err);
/* Takes a peer's batch. Errors: those of config_apply_batch(). */
int config_apply_peer_batch(struct config_store *store, uint64_t ticket, const char *json,
			    size_t size, struct error *err);

/* Whether this node is one of the watchers of its failure domain; the others get changes from
 * peers. */
bool config_is_watcher(const struct member_table *members, const struct member *self,
		       uint32_t watchers);

#endif
