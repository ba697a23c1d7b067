/*
 * Node reload: applies changes of the settings file while the node runs. Only the settings in
 * apply_settings() change; others, such as those that bind addresses or size tables, take effect at
 * the next start. A file that is not valid changes nothing.
 */
#include "fescuemilld/node/node_reload.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/settings/settings.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#define CHECK_PERIOD_US (1 * USEC_PER_SEC)

/* Returns a file's modification time in nanoseconds, or 0 if the time cannot be read. */
static uint64_t modified_at_ns(const char *path)
{
	struct stat info;

	if (stat(path, &info) != 0)
		return 0;
	return (uint64_t)info.st_mtim.tv_sec * 1000000000ULL + (uint64_t)info.st_mtim.tv_nsec;
}

/* Sets the settings file, which is checked for changes from now on. */
void node_reload_watch(struct node *node, const char *path)
{
	snprintf(node->settings_path, sizeof(node->settings_path), "%s", path);
	node->settings_modified_ns = modified_at_ns(path);
}

/* Applies the keys and rights of the administration API: a withdrawn key is refused from now on.
 * Returns true if they have changed. */
static bool apply_admin_settings(struct settings *now, const struct settings *next)
{
	bool has_changed =
		now->admin_key_count != next->admin_key_count ||
		now->team_rights_count != next->team_rights_count ||
		memcmp(now->admin_keys, next->admin_keys, sizeof(now->admin_keys)) != 0 ||
		memcmp(now->team_rights, next->team_rights, sizeof(now->team_rights)) != 0;

	now->admin_key_count = next->admin_key_count;
	now->team_rights_count = next->team_rights_count;
	memcpy(now->admin_keys, next->admin_keys, sizeof(now->admin_keys));
	memcpy(now->team_rights, next->team_rights, sizeof(now->team_rights));
	return has_changed;
}

/* Applies the settings that may change while the node runs. Returns true if one has changed. */
static bool apply_settings(struct settings *now, const struct settings *next)
{
	bool has_changed = now->log_level != next->log_level ||
			   now->retry_share_permille != next->retry_share_permille ||
			   now->retry_limit_ratio != next->retry_limit_ratio ||
			   now->retry_burst != next->retry_burst ||
			   now->stop_limit_ms != next->stop_limit_ms ||
			   now->stop_serve_ms != next->stop_serve_ms;

	now->log_level = next->log_level;
	now->retry_share_permille = next->retry_share_permille;
	now->retry_limit_ratio = next->retry_limit_ratio;
	now->retry_burst = next->retry_burst;
	now->stop_limit_ms = next->stop_limit_ms;
	now->stop_serve_ms = next->stop_serve_ms;
	log_set_level(next->log_level);
	return apply_admin_settings(now, next) || has_changed;
}

/* Reads the settings file again and applies it; logs a warning if it is not valid. */
void node_reload(struct node *node)
{
	static struct settings next;
	struct error err = {0};

	if (node->settings_path[0] == '\0')
		return;
	if (settings_load(node->settings_path, &next, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_MAIN,
			    "The changed settings are not valid; the earlier ones stay in effect.",
			    &err);
		return;
	}
	log_write(LOG_INFO, LOG_PART_MAIN, "The settings file was read again.", "changed=%d",
		  apply_settings(&node->settings, &next));
}

/* Reads the settings file again if its modification time has changed. */
void node_reload_check(struct node *node, uint64_t now_us)
{
	uint64_t modified_ns;

	if (node->settings_path[0] == '\0' || now_us < node->settings_checked_us + CHECK_PERIOD_US)
		return;
	node->settings_checked_us = now_us;
	modified_ns = modified_at_ns(node->settings_path);
	if (modified_ns == 0 || modified_ns == node->settings_modified_ns)
		return;
	node->settings_modified_ns = modified_ns;
	node_reload(node);
}
