/*
 * Version view: counts members by failure domain. Dead members are not part of the fleet; they are
 * counted separately, as a member that is only unreachable may be marked dead.
 */
#include "fescuemill/admin/version_view.h"

#include "fescuemill/admin/view.h"
#include "fescuemill/base/clock.h"

#include <string.h>

/* Adds one to a count in the row of a failure domain, which is created if it is missing. */
static void count(json_t *domains, const char *domain, const char *key)
{
	json_t *row = json_object_get(domains, domain);

	if (!row) {
		row = json_pack("{s:s, s:i, s:i, s:i}", "failure_domain", domain, "in_force", 0,
				"not_known", 0, "dead", 0);
		json_object_set_new(domains, domain, row);
	}
	json_object_set_new(row, key,
			    json_integer(json_integer_value(json_object_get(row, key)) + 1));
}

/* Returns the version that a member reported last; for this node, the version in force. Returns
 * false if the member has reported none. */
static bool reported_version_of(const struct admin_node *node, const struct member *member,
				struct admin_version_report *report)
{
	if (strcmp(member->name, node->settings->name) == 0) {
		report->config_version = config_version(node->config);
		report->age_us = 0;
		return true;
	}
	return node->get_version_report && node->get_version_report(node->user, member, report);
}

/* Returns a member that is not known to have the version; `report` is its last report, or NULL. */
static json_t *view_lacking(const struct member *member, const struct admin_version_report *report)
{
	json_t *view = json_pack("{s:s, s:s, s:s, s:n, s:n}", "name", member->name,
				 "failure_domain", member->domain, "state",
				 member_state_name(member->state), "config_version", "heard_ms");

	if (!report)
		return view;
	json_object_set_new(view, "config_version",
			    json_integer((json_int_t)report->config_version));
	json_object_set_new(view, "heard_ms",
			    json_integer((json_int_t)(report->age_us / USEC_PER_MSEC)));
	return view;
}

/* Counts one member, and lists it if it is not known to have the version. */
static void add_member(const struct admin_node *node, const struct member *member, uint64_t version,
		       json_t *domains, json_t *lacking)
{
	struct admin_version_report report;
	bool has_report;

	if (member->state == MEMBER_DEAD) {
		count(domains, member->domain, "dead");
		return;
	}
	has_report = reported_version_of(node, member, &report);
	if (has_report && report.config_version >= version) {
		count(domains, member->domain, "in_force");
		return;
	}
	count(domains, member->domain, "not_known");
	json_array_append_new(lacking, view_lacking(member, has_report ? &report : NULL));
}

/* Returns the values of an object as an array. */
static json_t *values_of(json_t *object)
{
	json_t *list = json_array();
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		json_array_append(list, value);
	}
	return list;
}

/* Returns which members are known to have a version, or NULL if out of memory. */
json_t *version_view(const struct admin_node *node, uint64_t version)
{
	json_t *view = view_versions(node);
	json_t *domains = json_object();
	json_t *lacking = json_array();
	size_t members = 0;

	for (size_t i = 0; i < member_count(node->members); i++) {
		const struct member *member = member_at(node->members, i);

		add_member(node, member, version, domains, lacking);
		members += member->state != MEMBER_DEAD;
	}
	json_object_set_new(view, "members", json_integer((json_int_t)members));
	json_object_set_new(view, "domains", values_of(domains));
	json_object_set_new(view, "lacking", lacking);
	json_decref(domains);
	return view;
}
