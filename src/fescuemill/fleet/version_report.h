/*
 * Version reports: the version of the configuration that each member last reported in its own
 * packets. A member never goes back to an older version within one incarnation, so an old report
 * that it has a version stays true. An old report that it lacks a version only means that no newer
 * report has arrived.
 */
#ifndef FESCUEMILL_FLEET_VERSION_REPORT_H
#define FESCUEMILL_FLEET_VERSION_REPORT_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/fleet/member_defs.h"

#define VERSION_REPORT_SLOTS_MIN 64U
#define VERSION_REPORT_SLOTS_MAX (2U * FLEET_MEMBERS_MAX) /* powers of two */

struct version_report {
	struct node_incarnation identity; /* node_id 0: empty slot */
	uint64_t config_version;
	uint64_t reported_us; /* when the last report arrived */
};

struct version_report_table {
	uint32_t count; /* slots in use */
	uint32_t slot_count;
	struct version_report *slots;
};

/* Records the version that a member reported. The table starts zeroed and grows. With more than
 * FLEET_MEMBERS_MAX nodes, or without memory, all reports are dropped; later packets fill the table
 * again. */
void version_report_record(struct version_report_table *table,
			   const struct node_incarnation *identity, uint64_t config_version,
			   uint64_t now_us);
/* Returns the last report of this incarnation of a member, or NULL. */
const struct version_report *version_report_find(const struct version_report_table *table,
						 const struct node_incarnation *identity);
void version_report_table_close(struct version_report_table *table);

#endif
