/*
 * Roster: the members of one failure domain, stored as a platform object. Used only to join the
 * fleet at the start and to rejoin it later.
 */
#ifndef FESCUEMILL_FLEET_ROSTER_H
#define FESCUEMILL_FLEET_ROSTER_H

#include "fescuemill/base/error.h"
#include "fescuemill/fleet/member.h"

#define ROSTER_KIND	   "roster"
#define ROSTER_MEMBERS_MAX 1024
#define ROSTER_WRITERS	   2 /* number of nodes of a failure domain that maintain its roster */

struct roster {
	char domain[DOMAIN_NAME_BYTES];
	uint32_t count;
	struct member *members; /* malloc'ed */
};

int roster_parse(const char *json, size_t size, struct roster *out, struct error *err);
int roster_write(const struct roster *roster, char **json, size_t *size, struct error *err);
void roster_free(struct roster *roster);
/* Adds or updates the entry of a member. Returns true if the roster changed. */
bool roster_put(struct roster *roster, const struct member *member);
bool roster_has(const struct roster *roster, uint64_t node_id);
bool roster_remove(struct roster *roster, uint64_t node_id);
/* Removes members that are dead or leaving according to the table, and adds or updates the live
 * members of the failure domain. Only a writer of the roster calls it. Returns true if the roster
 * changed. */
bool roster_reconcile(struct roster *roster, const struct member_table *members);
bool roster_is_writer(const struct member_table *members, const struct member *self);

#endif
