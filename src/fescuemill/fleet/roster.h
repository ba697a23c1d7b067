/*
 * Roster: the members of one failure domain as a platform object. For bootstrap and rejoin only.
 */
#ifndef FESCUEMILL_FLEET_ROSTER_H
#define FESCUEMILL_FLEET_ROSTER_H

#include "fescuemill/base/error.h"
#include "fescuemill/fleet/member.h"

#define ROSTER_KIND	   "roster"
#define ROSTER_MEMBERS_MAX 1024
#define ROSTER_WRITERS	   2 /* nodes of a failure domain that write its roster */

struct roster {
	char domain[DOMAIN_NAME_BYTES];
	uint32_t count;
	struct member *members; /* malloc'ed */
};

int roster_parse(const char *json, size_t size, struct roster *out, struct error *err);
int roster_write(const struct roster *roster, char **json, size_t *size, struct error *err);
void roster_free(struct roster *roster);
/* Puts self into the roster; returns whether that changed it. */
bool roster_put(struct roster *roster, const struct member *self);
bool roster_has(const struct roster *roster, uint64_t node_id);
bool roster_remove(struct roster *roster, uint64_t node_id);
/* For a writer: drops the members that the table knows to be dead and adds or updates the live
 * ones of the domain; returns whether that changed it. */
bool roster_prune(struct roster *roster, const struct member_table *members);
bool roster_is_writer(const struct member_table *members, const struct member *self);

#endif
