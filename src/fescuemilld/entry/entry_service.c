/*
 * State that the entry keeps for each service in use: choice of a gate, retry budget, key owners.
 */
#include "fescuemilld/entry/entry_service.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/entry/entry_link.h"
#include "fescuemilld/entry/entry_placement.h"

#include <stdlib.h>
#include <string.h>

/* Members are refreshed this often even if the member table has no new revision, since the
 * reachability of a region changes without one. */
#define REFRESH_PERIOD_US (500 * USEC_PER_MSEC)

#define PRECONNECT_GATES_MAX 64 /* gates of a service to which connections are kept open */
#define PRECONNECT_PERIOD_US (1 * USEC_PER_SEC)

/* Derives the settings of every choice from the node's settings, which give distances as one-way
 * times: a round trip is twice as long. */
void entry_service_settings(const struct settings *settings, uint64_t own_id,
			    struct choice_settings *out)
{
	choice_default_settings(out);
	out->policy = settings->choice_policy;
	out->own_id = own_id;
	out->has_spillover = settings->spillover;
	out->load_decay_us = settings->load_age_ms * USEC_PER_MSEC;
	out->distance_cost_us_per_kib[DISTANCE_SAME_REGION] = settings->region_body_us_per_kib;
	out->distance_cost_us_per_kib[DISTANCE_OTHER_REGION] = settings->far_body_us_per_kib;
	out->round_trip_us[DISTANCE_SAME_DOMAIN] = 2 * settings->own_domain_distance_us;
	out->round_trip_us[DISTANCE_SAME_REGION] = 2 * settings->own_region_distance_us;
	out->round_trip_us[DISTANCE_OTHER_REGION] = 2 * settings->other_region_distance_us;
}

/* Creates the table that finds the gates that own a service's keys. */
static int create_keys(const struct entry *entry, struct entry_service *service, struct error *err)
{
	struct key_settings settings;

	key_default_settings(&settings);
	settings.own_id = entry->options.identity.node_id;
	settings.start_ms = clock_wall_us() / USEC_PER_MSEC;
	settings.retention_ms = entry->options.settings->key_retention_ms;
	settings.spread_ms = entry->options.settings->key_spread_ms;
	settings.records_max = 1;
	return key_create(&service->keys, &settings, err);
}

static uint32_t retry_limit_permille(const struct settings *settings)
{
	return (uint32_t)(settings->retry_limit_ratio * RETRY_REPEAT_PERMILLE);
}

/* Returns the state of a service, which is created on its first call. Errors: ERROR_MEMORY,
 * ERROR_RANGE. */
struct entry_service *entry_service_get(struct entry *entry, const char *name, struct error *err)
{
	struct entry_service *service = entry->services;

	while (service && strcmp(service->name, name) != 0)
		service = service->next;
	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service) {
		error_set(err, ERROR_MEMORY, "no memory for a service");
		return NULL;
	}
	if (choice_create(&service->choice, &entry->choice_settings, err) != 0 ||
	    create_keys(entry, service, err) != 0) {
		choice_destroy(service->choice);
		free(service);
		return NULL;
	}
	memcpy(service->name, name, strlen(name) + 1);
	retry_bucket_init(&service->bucket, entry->options.settings->retry_share_permille,
			  retry_limit_permille(entry->options.settings));
	service->members_revision = UINT64_MAX;
	service->next = entry->services;
	entry->services = service;
	return service;
}

/* Updates the members and the retry budget of a service when the member table has changed, and
 * every REFRESH_PERIOD_US. */
void entry_service_refresh(struct entry *entry, struct entry_service *service)
{
	const struct member_table *table = entry->options.members;
	uint64_t revision = entry_placement_revision(&entry->options);
	uint64_t now_us = clock_monotonic_us();
	size_t capacity = member_count_service(table, service->name);
	const struct member *member = NULL;
	struct choice_member *list;
	struct error err;
	uint32_t count = 0;

	if (service->members_revision == revision &&
	    now_us < service->refreshed_us + REFRESH_PERIOD_US)
		return;
	service->refreshed_us = now_us;
	retry_bucket_set_shares(&service->bucket, entry->options.settings->retry_share_permille,
				retry_limit_permille(entry->options.settings));
	retry_bucket_set_capacity(&service->bucket,
				  retry_node_capacity_milli(entry->options.settings->retry_burst,
							    (uint32_t)member_count(table)));
	key_members_apply(entry->options.key_members, service->name, service->keys,
			  clock_wall_us() / USEC_PER_MSEC);
	list = calloc(capacity + 1, sizeof(*list));
	if (!list)
		return;
	while (count < capacity &&
	       (member = member_next_of_service(table, service->name, member)) != NULL)
		entry_placement_fill_member(&entry->options, member, &list[count++]);
	if (choice_set_members(service->choice, list, count, &err) == 0)
		service->members_revision = revision;
	else
		log_failure(LOG_WARNING, LOG_PART_ENTRY,
			    "The members of a service could not be updated.", &err);
	free(list);
}

/* Opens connections to the gates of a service that has keyed calls at this entry, and reopens those
 * that have long been idle. A keyed call must go to the gate that owns its key and cannot choose
 * one that is already connected; between regions a new connection costs four round trips. */
void entry_service_preconnect(struct entry *entry, struct entry_service *service)
{
	const struct member_table *table = entry->options.members;
	uint64_t now_us = clock_monotonic_us();
	const struct member *member = NULL;
	uint32_t count = 0;

	if (service->preconnected_us && now_us < service->preconnected_us + PRECONNECT_PERIOD_US)
		return;
	service->preconnected_us = now_us;
	while (count++ < PRECONNECT_GATES_MAX &&
	       (member = member_next_of_service(table, service->name, member)) != NULL) {
		struct gate_link *link;

		if (!member_is_serving(member))
			continue;
		link = entry_link_get(entry, &member->identity, NULL);
		if (link)
			entry_link_prepare(&link->conns[LINK_CALLS], NULL);
	}
}

/* Frees the state of every service. */
void entry_services_free(struct entry *entry)
{
	while (entry->services) {
		struct entry_service *service = entry->services;

		entry->services = service->next;
		choice_destroy(service->choice);
		key_destroy(service->keys);
		free(service);
	}
}
