/*
 * Auth: keys, rights and rate limits of the administration API. A given key is compared in full
 * with every known key, even after a match, so that the time taken reveals nothing about the keys.
 */
#include "fescuemill/admin/auth.h"

#include "fescuemill/base/clock.h"

#include <string.h>

/* Initializes the rate limits with full buckets. */
void auth_init(struct auth *auth, const struct settings *settings, uint64_t now_us)
{
	auth->settings = settings;
	for (int i = 0; i < ADMIN_KEYS_MAX; i++)
		auth->teams[i] = (struct auth_bucket){AUTH_REQUESTS_BURST, now_us};
	auth->bad_keys = (struct auth_bucket){AUTH_BAD_KEYS_BURST, now_us};
}

static bool bucket_take(struct auth_bucket *bucket, double rate, double burst, uint64_t now_us)
{
	if (now_us > bucket->at_us)
		bucket->tokens += (double)(now_us - bucket->at_us) * rate / USEC_PER_SEC;
	bucket->at_us = now_us;
	if (bucket->tokens > burst)
		bucket->tokens = burst;
	if (bucket->tokens < 1.0)
		return false;
	bucket->tokens -= 1.0;
	return true;
}

/* Compares two buffers in a time that depends only on their size. */
static bool equal_in_constant_time(const uint8_t *a, const uint8_t *b, size_t size)
{
	volatile uint8_t difference = 0;

	for (size_t i = 0; i < size; i++)
		difference = (uint8_t)(difference | (a[i] ^ b[i]));
	return difference == 0;
}

/* Returns the index of a key in the settings, or -1 if it is unknown. */
static int find_key(const struct settings *settings, const char *key, size_t size)
{
	uint8_t given[ADMIN_KEY_BYTES] = {0};
	int found = -1;

	if (size && size < sizeof(given))
		memcpy(given, key, size);
	for (uint32_t i = 0; i < settings->admin_key_count; i++) {
		uint8_t known[ADMIN_KEY_BYTES] = {0};

		memcpy(known, settings->admin_keys[i].key,
		       strnlen(settings->admin_keys[i].key, sizeof(known)));
		if (equal_in_constant_time(given, known, sizeof(given)))
			found = (int)i;
	}
	return found;
}

/* Checks a key and the request rate, and stores the team that owns the key.
 * Errors: ERROR_DENIED for a wrong key, ERROR_LIMIT for too many requests. */
int auth_check(struct auth *auth, const char *key, size_t size, uint64_t now_us, const char **team,
	       struct error *err)
{
	int index = find_key(auth->settings, key, size);

	if (index < 0) {
		if (!bucket_take(&auth->bad_keys, AUTH_BAD_KEYS_PER_S, AUTH_BAD_KEYS_BURST, now_us))
			return error_set(err, ERROR_LIMIT, "too many requests with a wrong key");
		return error_set(err, ERROR_DENIED, "x-fescue-key: missing or wrong");
	}
	*team = auth->settings->admin_keys[index].team;
	if (!bucket_take(&auth->teams[index], AUTH_REQUESTS_PER_S, AUTH_REQUESTS_BURST, now_us))
		return error_set(err, ERROR_LIMIT, "team %s is over %.0f requests/s", *team,
				 AUTH_REQUESTS_PER_S);
	return 0;
}

/* Returns true if the rights of a team list the service. */
static bool has_right(const struct settings *settings, const char *team, const char *service)
{
	for (uint32_t i = 0; i < settings->team_rights_count; i++) {
		const struct team_rights *rights = &settings->team_rights[i];

		if (strcmp(rights->team, team) != 0)
			continue;
		for (uint32_t j = 0; j < rights->service_count; j++) {
			if (strcmp(rights->services[j], service) == 0)
				return true;
		}
	}
	return false;
}

/* Returns true if a team may create a service: its rights list the service or "*". */
bool auth_may_create(const struct auth *auth, const char *team, const char *service)
{
	return has_right(auth->settings, team, service) || has_right(auth->settings, team, "*");
}

/* Returns true if a team may operate a node: its rights list "*" or the service of the node. */
bool auth_may_operate(const struct auth *auth, const char *team, const char *service)
{
	return has_right(auth->settings, team, "*") ||
	       (service[0] && has_right(auth->settings, team, service));
}
