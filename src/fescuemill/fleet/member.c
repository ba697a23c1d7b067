/*
 * Member table: a dense array of members with two indexes, by node and by service. Pure.
 */
#include "fescuemill/fleet/member.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define SLOTS	      (2U * FLEET_MEMBERS_MAX) /* a power of two, at most half full */
#define SERVICE_SLOTS 512U
#define NONE	      UINT16_MAX

struct member_table {
	uint32_t count;
	uint64_t revision;
	uint16_t by_id[SLOTS];		       /* index into members, or NONE */
	uint16_t service_first[SERVICE_SLOTS]; /* heads of chains over next_of_service */
	uint16_t next_of_service[FLEET_MEMBERS_MAX];
	struct member members[FLEET_MEMBERS_MAX];
};

static const char *const state_names[MEMBER_STATE_COUNT] = {"alive", "suspect", "leaving", "dead"};
static const char *const backend_names[BACKEND_STATE_COUNT] = {"none", "starting", "ready",
							       "draining", "leaving"};

/* Of two claims with the same incarnation and revision the graver one counts. */
static const uint8_t state_ranks[MEMBER_STATE_COUNT] = {
	[MEMBER_ALIVE] = 0,
	[MEMBER_LEAVING] = 1,
	[MEMBER_SUSPECT] = 2,
	[MEMBER_DEAD] = 3,
};

/* Gives the name of a member state as it stands in answers of the administration API. */
const char *member_state_name(enum member_state state)
{
	return (unsigned int)state < MEMBER_STATE_COUNT ? state_names[state] : "invalid";
}

/* Gives the name of a backend server's state. */
const char *backend_state_name(enum backend_state state)
{
	return (unsigned int)state < BACKEND_STATE_COUNT ? backend_names[state] : "invalid";
}

/* Gives the node id of a name; never 0. */
uint64_t member_id_of(const char *name)
{
	uint64_t id = XXH3_64bits(name, strlen(name));

	return id ? id : 1;
}

/* Gives the rank of a node for a key by rendezvous hashing. */
uint64_t member_rendezvous(uint64_t node_id, const char *key)
{
	return XXH3_64bits_withSeed(key, strlen(key), node_id);
}

/* Gives the address at which a node of a region reaches a member. */
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

/* Frees a table. */
void member_table_close(struct member_table *table)
{
	free(table);
}

/* Gives the slot of a node, or the empty slot where it would stand. */
static uint32_t slot_of(const struct member_table *table, uint64_t node_id)
{
	uint32_t slot = (uint32_t)node_id & (SLOTS - 1);

	while (table->by_id[slot] != NONE &&
	       table->members[table->by_id[slot]].identity.node_id != node_id)
		slot = (slot + 1) & (SLOTS - 1);
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

/* Tells whether a member's gate takes calls. */
bool member_is_serving(const struct member *member)
{
	return member->state == MEMBER_ALIVE && member->backend == BACKEND_READY;
}

/* Tells whether news of a member supersedes what is known: by incarnation, then the member's own
 * revision, then the graver state. */
bool member_is_newer(const struct member *news, const struct member *known)
{
	if (news->identity.incarnation != known->identity.incarnation)
		return news->identity.incarnation > known->identity.incarnation;
	if (news->revision != known->revision)
		return news->revision > known->revision;
	return state_ranks[news->state] > state_ranks[known->state];
}

static enum member_change add(struct member_table *table, uint32_t slot, const struct member *news)
{
	uint16_t index = (uint16_t)table->count;

	if (table->count == FLEET_MEMBERS_MAX)
		return MEMBER_REFUSED;
	table->members[index] = *news;
	table->by_id[slot] = index;
	table->count++;
	link_service(table, index);
	table->revision++;
	return MEMBER_ADDED;
}

/* Takes news of a member when it supersedes what is known of it. */
enum member_change member_upsert(struct member_table *table, const struct member *news)
{
	uint32_t slot;
	uint16_t index;

	if (!news->identity.node_id || (unsigned int)news->state >= MEMBER_STATE_COUNT)
		return MEMBER_REFUSED;
	slot = slot_of(table, news->identity.node_id);
	index = table->by_id[slot];
	if (index == NONE)
		return add(table, slot, news);
	if (!member_is_newer(news, &table->members[index]))
		return MEMBER_UNCHANGED;
	unlink_service(table, index);
	table->members[index] = *news;
	link_service(table, index);
	table->revision++;
	return MEMBER_UPDATED;
}

/* Empties a slot and moves later entries of its run, so that every lookup still finds them. */
static void clear_slot(struct member_table *table, uint32_t hole)
{
	uint32_t slot = hole;

	table->by_id[hole] = NONE;
	for (;;) {
		uint32_t home;

		slot = (slot + 1) & (SLOTS - 1);
		if (table->by_id[slot] == NONE)
			return;
		home = (uint32_t)table->members[table->by_id[slot]].identity.node_id & (SLOTS - 1);
		if (((slot - home) & (SLOTS - 1)) < ((slot - hole) & (SLOTS - 1)))
			continue;
		table->by_id[hole] = table->by_id[slot];
		table->by_id[slot] = NONE;
		hole = slot;
	}
}

/* Forgets a member; returns whether it was known. */
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

/* Finds a member, or NULL. Valid until the table is next changed. */
const struct member *member_find(const struct member_table *table, uint64_t node_id)
{
	uint16_t index = table->by_id[slot_of(table, node_id)];

	return index == NONE ? NULL : &table->members[index];
}

/* Counts all members, the dead that are not yet forgotten included. */
size_t member_count(const struct member_table *table)
{
	return table->count;
}

/* Counts the members in a state. */
size_t member_count_state(const struct member_table *table, enum member_state state)
{
	size_t count = 0;

	for (uint32_t i = 0; i < table->count; i++)
		count += table->members[i].state == state;
	return count;
}

/* Gives the member at an index below member_count(). */
const struct member *member_at(const struct member_table *table, size_t index)
{
	return index < table->count ? &table->members[index] : NULL;
}

/* Gives the next member of a service after `last` (NULL: the first), or NULL at the end. */
const struct member *member_next_of_service(const struct member_table *table, const char *service,
					    const struct member *last)
{
	uint16_t index = last ? table->next_of_service[last - table->members]
			      : table->service_first[service_slot(service)];

	while (index != NONE && strcmp(table->members[index].service, service) != 0)
		index = table->next_of_service[index];
	return index == NONE ? NULL : &table->members[index];
}

/* Counts the members of a service in every state. */
size_t member_count_service(const struct member_table *table, const char *service)
{
	const struct member *member = NULL;
	size_t count = 0;

	while ((member = member_next_of_service(table, service, member)))
		count++;
	return count;
}

/* Gives a number that grows with every change of the table. */
uint64_t member_table_revision(const struct member_table *table)
{
	return table->revision;
}

/* Tells whether self is among the `wanted` highest ranks of its failure domain's live members. A
 * member that is not in the table counts itself as live. */
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
