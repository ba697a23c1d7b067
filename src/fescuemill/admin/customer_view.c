/*
 * Customer view.
 */
#include "fescuemill/admin/customer_view.h"

#include <stdio.h>
#include <string.h>

#define REGIONS_TEXT_BYTES 512

/* Returns true if a region is that of an earlier member of the table. */
static bool is_listed(const struct member_table *members, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (strcmp(member_at(members, i)->region, member_at(members, index)->region) == 0)
			return true;
	}
	return false;
}

/* Returns the names of the allowed regions, separated by commas. The configuration in force has
 * only their ids, so that a region without members is shown as "?". */
static json_t *view_regions(const struct admin_node *node, const struct region_set *regions)
{
	char text[REGIONS_TEXT_BYTES] = "";
	size_t used = 0;
	uint32_t found = 0;

	if (!regions->is_limited)
		return json_string("any");
	for (size_t i = 0; i < member_count(node->members); i++) {
		const char *name = member_at(node->members, i)->region;

		if (!region_set_allows(regions, region_id_of(name)) || is_listed(node->members, i))
			continue;
		if (used + strlen(name) + 2 < sizeof(text))
			used += (size_t)snprintf(text + used, sizeof(text) - used, "%s%s",
						 used ? "," : "", name);
		found++;
	}
	if (found < regions->count && used + 3 < sizeof(text))
		snprintf(text + used, sizeof(text) - used, "%s?", used ? "," : "");
	return json_string(text);
}

/* Returns the number of keys of a customer. */
static uint32_t count_keys(const struct customer_table *table, uint32_t customer)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->key_count; i++)
		count += table->keys[i].customer == customer;
	return count;
}

static json_t *view_customer(const struct admin_node *node, const struct customer_table *table,
			     uint32_t index)
{
	const struct customer *customer = &table->list[index];

	return json_pack("{s:s, s:i, s:f, s:I, s:i, s:o}", "name", customer->name, "rank",
			 (int)customer->rank, "calls_per_s", customer->rate_milli / 1000.0, "burst",
			 (json_int_t)customer->burst, "keys", (int)count_keys(table, index),
			 "regions", view_regions(node, &customer->regions));
}

/* Lists the customers. proof_age_ms is null if there is no proof, or if none is needed. */
json_t *view_customers(const struct admin_node *node)
{
	const struct routing *routing = config_routing(node->config);
	json_t *list = json_array();
	json_t *view =
		json_pack("{s:s, s:n, s:i, s:I, s:o}", "node", node->settings->name, "proof_age_ms",
			  "revoke_ms", (int)node->settings->revoke_ms, "config_version",
			  (json_int_t)config_version(node->config), "customers", list);
	uint32_t age_ms = node->key_proof_age_ms ? node->key_proof_age_ms(node->user) : UINT32_MAX;

	if (age_ms < UINT32_MAX)
		json_object_set_new(view, "proof_age_ms", json_integer(age_ms));
	for (uint32_t i = 0; routing && i < routing->customers.count; i++)
		json_array_append_new(list, view_customer(node, &routing->customers, i));
	return view;
}
