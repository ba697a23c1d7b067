/*
 * Member table: a dense array of members with two indexes, by node id and by service. Pure.
 */
#include "fescuemill/fleet/member.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define NODE_SLOTS    (2U * FLEET_MEMBERS_MAX) /* a power of two, at most half full */
#define SERVICE_SLOTS 512U		       /* a power of two */
#define NONE	      UINT16_MAX

struct member_table {
	uint32_t count;
	uint64_t revision;
	uint16_t by_id[NODE_SLOTS]; /* slot of a node id -> index into members, or NONE */
	uint16_t service_first[SERVICE_SLOTS]; /* first member in the chain of a service hash */
	uint16_t next_of_service[FLEET_MEMBERS_MAX];
	struct member members[FLEET_MEMBERS_MAX];
};

static const char *const state_names[MEMBER_STATE_COUNT] = {"alive", "suspect", "leaving", "dead"};
static const char *const backend_names[BACKEND_STATE_COUNT] = {"none", "starting", "ready",
							       "draining", "leaving"};

/* Of two updates with the same incarnation and revision, the state with the higher rank wins. */
static const uint8_t state_ranks[MEMBER_STATE_COUNT] = {
	[MEMBER_ALIVE] = 0,
	[MEMBER_LEAVING] = 1,
	[MEMBER_SUSPECT] = 2,
	[MEMBER_DEAD] = 3,
};

/* Returns the name of a member state as used in responses of the administration API. */
const char *member_state_name(enum member_state state)
{
	return (unsigned int)state < MEMBER_STATE_COUNT ? state_names[state] : "invalid";
}

/* Returns the name of a backend server's state. */
const char *backend_state_name(enum backend_state state)
{
	return (unsigned int)state < BACKEND_STATE_COUNT ? backend_names[state] : "invalid";
}

/* Returns the node id of a node name; never 0. */
uint64_t member_id_of(const char *name)
{
	uint64_t id = XXH3_64bits(name, strlen(name));

	return id ? id : 1;
}

/* Returns the rank of a node for a key by rendezvous hashing. */
uint64_t member_rendezvous(uint64_t node_id, const char *key)
{
	return XXH3_64bits_withSeed(key, strlen(key), node_id);
}

/* Returns the address at which a node of region `from_region` reaches a member. */
const struct node_address *member_node_address(const struct member *member, const char *from_region)
{
	bool is_near = strcmp(member->region, from_region) == 0;
	bool use_external = !is_near && member->external.node_port != 0;

	return use_external ? &member->external : &member->internal;
}

/* Opens an empty table. Errors: ERROR_MEMORY. */
int member_table_open(struct member_table **out, struct error *err)
{
	struct member_table *table = calloc(1, sizeof(*table));

	if (!table)
		return error_set(err, ERROR_MEMORY, "no memory for the member table");
	memset(table->by_id, 0xff, sizeof(table->by_id));
	memset(table->service_first, 0xff, sizeof(table->service_first));
	*out = table;
	return 0;
}

void member_table_close(struct member_table *table)
{
	free(table);
}

/* Returns the slot of a node, or the empty slot where it would be inserted. */
static uint32_t slot_of(const struct member_table *table, uint64_t node_id)
{
	uint32_t slot = (uint32_t)node_id & (NODE_SLOTS - 1);

	while (table->by_id[slot] != NONE &&
	       table->members[table->by_id[slot]].identity.node_id != node_id)
		slot = (slot + 1) & (NODE_SLOTS - 1);
	return slot;
}

static uint32_t service_slot(const char *service)
{
	return (uint32_t)XXH3_64bits(service, strlen(service)) & (SERVICE_SLOTS - 1);
}

static void link_service(struct member_table *table, uint16_t index)
{
	uint16_t *first = &table->service_first[service_slot(table->members[index].service)];

	table->next_of_service[index] = *first;
	*first = index;
}

static void unlink_service(struct member_table *table, uint16_t index)
{
	uint16_t *at = &table->service_first[service_slot(table->members[index].service)];

	while (*at != index)
		at = &table->next_of_service[*at];
	*at = table->next_of_service[index];
}

/* Returns true if a member is alive and its backend server is ready. */
bool member_is_serving(const struct member *member)
{
	return member->state == MEMBER_ALIVE && member->backend == BACKEND_READY;
}

/* Returns true if an update supersedes the known record: by the later incarnation, then by the
 * higher revision, then by the state of higher rank. */
bool member_is_newer(const struct member *update, const struct member *known)
{
	if (update->identity.incarnation != known->identity.incarnation)
		return update->identity.incarnation > known->identity.incarnation;
	if (update->revision != known->revision)
		return update->revision > known->revision;
	return state_ranks[update->state] > state_ranks[known->state];
}

static enum member_change add(struct member_table *table, uint32_t slot,
			      const struct member *update)
{
	uint16_t index = (uint16_t)table->count;

	if (table->count == FLEET_MEMBERS_MAX)
		return MEMBER_REFUSED;
	table->members[index] = *update;
	table->by_id[slot] = index;
	table->count++;
	link_service(table, index);
	table->revision++;
	return MEMBER_ADDED;
}

/* Adds a member, or replaces its record if the update is newer. */
enum member_change member_upsert(struct member_table *table, const struct member *update)
{
	uint32_t slot;
	uint16_t index;

	if (!update->identity.node_id || (unsigned int)update->state >= MEMBER_STATE_COUNT)
		return MEMBER_REFUSED;
	slot = slot_of(table, update->identity.node_id);
	index = table->by_id[slot];
	if (index == NONE)
		return add(table, slot, update);
	if (!member_is_newer(update, &table->members[index]))
		return MEMBER_UNCHANGED;
	unlink_service(table, index);
	table->members[index] = *update;
	link_service(table, index);
	table->revision++;
	return MEMBER_UPDATED;
}

/* Empties a slot and moves later entries of its probe sequence, so that every lookup still finds
 * them. */
static void clear_slot(struct member_table *table, uint32_t hole)
{
	uint32_t slot = hole;

	table->by_id[hole] = NONE;
	for (;;) {
		uint32_t home;

		slot = (slot + 1) & (NODE_SLOTS - 1);
		if (table->by_id[slot] == NONE)
			return;
		home = (uint32_t)table->members[table->by_id[slot]].identity.node_id &
		       (NODE_SLOTS - 1);
		if (((slot - home) & (NODE_SLOTS - 1)) < ((slot - hole) & (NODE_SLOTS - 1)))
			continue;
		table->by_id[hole] = table->by_id[slot];
		table->by_id[slot] = NONE;
		hole = slot;
	}
}

/* Removes a member; returns false if it was not in the table. */
bool member_remove(struct member_table *table, uint64_t node_id)
{
	uint32_t slot = slot_of(table, node_id);
	uint16_t index = table->by_id[slot];
	uint16_t last = (uint16_t)(table->count - 1);

	if (index == NONE)
		return false;
	unlink_service(table, index);
	clear_slot(table, slot);
	table->count--;
	table->revision++;
	if (index == last)
		return true;
	slot = slot_of(table, table->members[last].identity.node_id);
	unlink_service(table, last);
	table->members[index] = table->members[last];
	table->by_id[slot] = index;
	link_service(table, index);
	return true;
}

/* Returns a member, or NULL. The pointer is valid until the table is next changed. */
const struct member *member_find(const struct member_table *table, uint64_t node_id)
{
	uint16_t index = table->by_id[slot_of(table, node_id)];

	return index == NONE ? NULL : &table->members[index];
}

/* Returns the number of members, including dead ones that are not yet removed. */
size_t member_count(const struct member_table *table)
{
	return table->count;
}

/* Returns the number of members in a state. */
size_t member_count_state(const struct member_table *table, enum member_state state)
{
	size_t count = 0;

	for (uint32_t i = 0; i < table->count; i++)
		count += table->members[i].state == state;
	return count;
}

/* Returns the member at an index, or NULL if it is not below member_count(). */
const struct member *member_at(const struct member_table *table, size_t index)
{
	return index < table->count ? &table->members[index] : NULL;
}

/* Returns the next member of a service after `last`, the first one if `last` is NULL, or NULL at
 * the end. */
const struct member *member_next_of_service(const struct member_table *table, const char *service,
					    const struct member *last)
{
	uint16_t index = last ? table->next_of_service[last - table->members]
			      : table->service_first[service_slot(service)];

	while (index != NONE && strcmp(table->members[index].service, service) != 0)
		index = table->next_of_service[index];
	return index == NONE ? NULL : &table->members[index];
}

/* Returns the number of members of a service, in any state. */
size_t member_count_service(const struct member_table *table, const char *service)
{
	const struct member *member = NULL;
	size_t count = 0;

	while ((member = member_next_of_service(table, service, member)))
		count++;
	return count;
}

/* Returns a number that grows with every change of the table. */
uint64_t member_table_revision(const struct member_table *table)
{
	return table->revision;
}

/* Returns true if self is among the `wanted` highest-ranked live members of its failure domain for
 * a key. Self counts as live if its own state is alive, even if it is not in the table. */
bool member_is_chosen(const struct member_table *table, const struct member *self, const char *key,
		      uint32_t wanted)
{
	uint64_t own = member_rendezvous(self->identity.node_id, key);
	uint32_t higher = 0;

	if (self->state != MEMBER_ALIVE)
		return false;
	for (uint32_t i = 0; i < table->count && higher < wanted; i++) {
		const struct member *other = &table->members[i];

		if (other->state == MEMBER_ALIVE &&
		    other->identity.node_id != self->identity.node_id &&
		    strcmp(other->domain, self->domain) == 0 &&
		    member_rendezvous(other->identity.node_id, key) > own)
			higher++;
	}
	return higher < wanted;
}
