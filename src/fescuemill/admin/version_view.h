/*
 * Version view: the members known to have a version of the configuration in force, as JSON.
 */
#ifndef FESCUEMILL_ADMIN_VERSION_VIEW_H
#define FESCUEMILL_ADMIN_VERSION_VIEW_H

#include "fescuemill/http/admin.h"

#include <jansson.h>

/* Returns the object of view_versions() with three further members, or NULL if out of memory:
 * "members": number of members that are not dead;
 * "domains": [{"failure_domain","in_force","not_known","dead"}], numbers of members;
 * "lacking": each member, except the dead, that is not known to have the version, as {"name",
 * "failure_domain","state","config_version","heard_ms"}. The last two are the version that the
 * member reported last and the time since then; null if it has reported none. */
json_t *version_view(const struct admin_node *node, uint64_t version);

#endif
