/*
 * Roster: parsing, serialization and merging of the members of one failure domain. No I/O.
 */
#include "fescuemill/fleet/roster.h"

#include "fescuemill/fleet/config.h"
#include "fescuemill/settings/value.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

static const char *const roster_keys[] = {"failure_domain", "members", NULL};
static const char *const member_keys[] = {"name",
					  "region",
					  "address",
					  "node_port",
					  "gossip_port",
					  "external_address",
					  "external_node_port",
					  "external_gossip_port",
					  "incarnation",
					  "revision",
					  "service",
					  "slots",
					  "backend",
					  NULL};

static int read_text(const struct value *object, const char *name, char *out, size_t size,
		     struct error *err)
{
	struct value value;

	if (value_get_member(object, name, &value, err))
		return -1;
	return value_read_text(&value, out, size, 1, err);
}

/* Reads an integer from 0 to `highest`. An optional one that is absent is read as 0. */
static int read_number(const struct value *object, const char *name, bool optional,
		       uint64_t highest, uint64_t *out, struct error *err)
{
	struct value value;

	*out = 0;
	if (optional && !json_object_get(object->json, name))
		return 0;
	if (value_get_member(object, name, &value, err))
		return -1;
	return value_read_number(&value, 0, highest, "", out, err);
}

static int read_ip(const struct value *object, const char *name, uint32_t *out, struct error *err)
{
	struct value value;
	char text[INET_ADDRSTRLEN];
	struct in_addr address;

	if (value_get_member(object, name, &value, err) ||
	    value_read_text(&value, text, sizeof(text), 1, err))
		return -1;
	if (inet_pton(AF_INET, text, &address) != 1)
		return value_error(&value, ERROR_RANGE, err, "an IPv4 address");
	*out = ntohl(address.s_addr);
	return 0;
}

static int read_addresses(const struct value *value, struct member *out, struct error *err)
{
	uint64_t node_port;
	uint64_t gossip_port;

	if (read_ip(value, "address", &out->internal.ip, err) ||
	    read_number(value, "node_port", false, PORT_MAX, &node_port, err) ||
	    read_number(value, "gossip_port", false, PORT_MAX, &gossip_port, err))
		return -1;
	out->internal.node_port = (uint16_t)node_port;
	out->internal.gossip_port = (uint16_t)gossip_port;
	if (!json_object_get(value->json, "external_address"))
		return 0;
	if (read_ip(value, "external_address", &out->external.ip, err) ||
	    read_number(value, "external_node_port", false, PORT_MAX, &node_port, err) ||
	    read_number(value, "external_gossip_port", false, PORT_MAX, &gossip_port, err))
		return -1;
	out->external.node_port = (uint16_t)node_port;
	out->external.gossip_port = (uint16_t)gossip_port;
	return 0;
}

/* Reads the service, slots and state of the member's backend server. */
static int read_backend(const struct value *value, struct member *out, struct error *err)
{
	const char *state = json_string_value(json_object_get(value->json, "backend"));
	uint64_t slots;

	if (read_number(value, "slots", true, UINT16_MAX, &slots, err))
		return -1;
	out->slots = (uint32_t)slots;
	if (!json_object_get(value->json, "service"))
		return 0;
	if (read_text(value, "service", out->service, sizeof(out->service), err))
		return -1;
	out->backend = BACKEND_READY;
	for (int i = 0; state && i < BACKEND_STATE_COUNT; i++) {
		if (strcmp(state, backend_state_name((enum backend_state)i)) == 0)
			out->backend = (enum backend_state)i;
	}
	return 0;
}

static int read_member(const struct value *value, const char *domain, struct member *out,
		       struct error *err)
{
	uint64_t revision;

	if (value_check_keys(value, member_keys, err) ||
	    read_text(value, "name", out->name, sizeof(out->name), err) ||
	    read_text(value, "region", out->region, sizeof(out->region), err) ||
	    read_addresses(value, out, err) || read_backend(value, out, err) ||
	    read_number(value, "incarnation", false, INT64_MAX, &out->identity.incarnation, err) ||
	    read_number(value, "revision", true, UINT32_MAX, &revision, err))
		return -1;
	memcpy(out->domain, domain, sizeof(out->domain));
	out->revision = (uint32_t)revision;
	out->identity.node_id = member_id_of(out->name);
	out->state = MEMBER_ALIVE;
	return 0;
}

static int read_members(const struct value *root, struct roster *out, struct error *err)
{
	struct value list;
	uint32_t count;

	if (value_get_member(root, "members", &list, err) ||
	    value_check_list_size(&list, 0, ROSTER_MEMBERS_MAX, &count, err))
		return -1;
	out->members = calloc(count + 1, sizeof(*out->members));
	if (!out->members)
		return error_set(err, ERROR_MEMORY, "no memory for a roster");
	for (uint32_t i = 0; i < count; i++) {
		struct value entry = value_get_item(&list, i);

		if (read_member(&entry, out->domain, &out->members[i], err))
			return -1;
	}
	out->count = count;
	return 0;
}

/* Parses a roster. The caller frees it with roster_free(), also after an error. Errors name the
 * JSON path: ERROR_SYNTAX, ERROR_MISSING, ERROR_UNKNOWN_KEY, ERROR_TYPE, ERROR_RANGE, ERROR_MEMORY.
 */
int roster_parse(const char *json, size_t size, struct roster *out, struct error *err)
{
	struct value root = {.source = "roster", .path = "$"};
	json_error_t fault;
	int status = -1;

	memset(out, 0, sizeof(*out));
	root.json = json_loadb(json, size, JSON_REJECT_DUPLICATES, &fault);
	if (!root.json)
		return error_set(err, ERROR_SYNTAX, "roster: line %d: %s", fault.line, fault.text);
	if (value_check_keys(&root, roster_keys, err) == 0 &&
	    read_text(&root, "failure_domain", out->domain, sizeof(out->domain), err) == 0 &&
	    read_members(&root, out, err) == 0)
		status = 0;
	json_decref(root.json);
	return status;
}

/* Frees the members of a roster, but not the struct itself, which is set to zero. */
void roster_free(struct roster *roster)
{
	free(roster->members);
	memset(roster, 0, sizeof(*roster));
}

static void pack_address(json_t *object, const char *prefix, const struct node_address *address)
{
	static const char *const names[] = {"address", "node_port", "gossip_port"};
	struct in_addr ip = {.s_addr = htonl(address->ip)};
	char text[INET_ADDRSTRLEN];
	char key[32];

	inet_ntop(AF_INET, &ip, text, sizeof(text));
	snprintf(key, sizeof(key), "%s%s", prefix, names[0]);
	json_object_set_new(object, key, json_string(text));
	snprintf(key, sizeof(key), "%s%s", prefix, names[1]);
	json_object_set_new(object, key, json_integer(address->node_port));
	snprintf(key, sizeof(key), "%s%s", prefix, names[2]);
	json_object_set_new(object, key, json_integer(address->gossip_port));
}

/* Returns a member as a new JSON value. The failure domain is left out, as the roster has it. */
static json_t *pack_member(const struct member *member)
{
	json_t *object =
		json_pack("{s:s, s:s, s:I, s:I}", "name", member->name, "region", member->region,
			  "incarnation", (json_int_t)member->identity.incarnation, "revision",
			  (json_int_t)member->revision);

	pack_address(object, "", &member->internal);
	if (member->external.ip)
		pack_address(object, "external_", &member->external);
	if (!member->service[0])
		return object;
	json_object_set_new(object, "service", json_string(member->service));
	json_object_set_new(object, "slots", json_integer(member->slots));
	json_object_set_new(object, "backend", json_string(backend_state_name(member->backend)));
	return object;
}

/* Serializes a roster to malloc'ed JSON text. Errors: ERROR_MEMORY. */
int roster_write(const struct roster *roster, char **json, size_t *size, struct error *err)
{
	json_t *members = json_array();
	json_t *root;

	for (uint32_t i = 0; i < roster->count; i++)
		json_array_append_new(members, pack_member(&roster->members[i]));
	root = json_pack("{s:s, s:o}", "failure_domain", roster->domain, "members", members);
	*json = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	if (!*json)
		return error_set(err, ERROR_MEMORY, "no memory to write a roster");
	*size = strlen(*json);
	return 0;
}

static bool address_equal(const struct node_address *a, const struct node_address *b)
{
	return a->ip == b->ip && a->node_port == b->node_port && a->gossip_port == b->gossip_port;
}

/* Returns true if both members have the same entry in a roster, apart from the revision: a new
 * revision alone is not worth a write. */
static bool has_same_entry(const struct member *a, const struct member *b)
{
	return a->identity.incarnation == b->identity.incarnation && a->slots == b->slots &&
	       a->backend == b->backend && strcmp(a->service, b->service) == 0 &&
	       strcmp(a->region, b->region) == 0 && address_equal(&a->internal, &b->internal) &&
	       address_equal(&a->external, &b->external);
}

static struct member *find_entry(const struct roster *roster, uint64_t node_id)
{
	for (uint32_t i = 0; i < roster->count; i++) {
		if (roster->members[i].identity.node_id == node_id)
			return &roster->members[i];
	}
	return NULL;
}

/* Adds or updates the entry of a member, unless the roster has the same or a newer one, or is full.
 * Returns true if the roster changed. */
bool roster_put(struct roster *roster, const struct member *member)
{
	struct member *entry = find_entry(roster, member->identity.node_id);
	struct member *members;

	if (entry) {
		if (has_same_entry(entry, member) || !member_is_newer(member, entry))
			return false;
		*entry = *member;
		return true;
	}
	if (roster->count == ROSTER_MEMBERS_MAX)
		return false;
	members = realloc(roster->members, (roster->count + 1) * sizeof(*members));
	if (!members)
		return false;
	roster->members = members;
	members[roster->count++] = *member;
	return true;
}

/* Returns true if the roster has an entry for a member. */
bool roster_has(const struct roster *roster, uint64_t node_id)
{
	return find_entry(roster, node_id) != NULL;
}

/* Removes the entry of a member. Returns false if there was none. */
bool roster_remove(struct roster *roster, uint64_t node_id)
{
	struct member *entry = find_entry(roster, node_id);

	if (!entry)
		return false;
	*entry = roster->members[--roster->count];
	return true;
}

static bool is_gone(const struct member *member)
{
	return member->state == MEMBER_DEAD || member->state == MEMBER_LEAVING;
}

/* Removes the members that are dead or leaving according to the table, unless the roster has a
 * newer incarnation of them, and adds or updates the live ones. Returns true if the roster changed.
 */
bool roster_reconcile(struct roster *roster, const struct member_table *members)
{
	bool changed = false;

	for (uint32_t i = roster->count; i-- > 0;) {
		const struct member *entry = &roster->members[i];
		const struct member *known = member_find(members, entry->identity.node_id);

		if (known && is_gone(known) &&
		    known->identity.incarnation >= entry->identity.incarnation)
			changed |= roster_remove(roster, entry->identity.node_id);
	}
	for (size_t i = 0; i < member_count(members); i++) {
		const struct member *member = member_at(members, i);

		if (member->state == MEMBER_ALIVE && strcmp(member->domain, roster->domain) == 0)
			changed |= roster_put(roster, member);
	}
	return changed;
}

/* Returns true if a node is a writer of the roster of its failure domain. The writers are nodes
 * that also watch the configuration, because a part of the budget of the link between regions is
 * reserved for those if the platform is in another region. */
bool roster_is_writer(const struct member_table *members, const struct member *self)
{
	return config_is_watcher(members, self, ROSTER_WRITERS);
}
