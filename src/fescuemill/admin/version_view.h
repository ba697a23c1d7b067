/*
 * Version view: which members are known to have a version of the configuration in force.
 */
#ifndef FESCUEMILL_ADMIN_VERSION_VIEW_H
#define FESCUEMILL_ADMIN_VERSION_VIEW_H

#include "fescuemill/http/admin.h"

#include <jansson.h>

/* Gives what view_versions() gives, and "members" in the fleet, "domains":
 * [{"failure_domain","in_force","not_known","dead"}] and "lacking": each member that is not known
 * to have the version, the dead left out, as {"name","failure_domain","state","config_version",
 * "heard_ms"}; the last two are null for a member that was not heard. NULL without memory. */
json_t *version_view(const struct admin_node *node, uint64_t version);

#endif
