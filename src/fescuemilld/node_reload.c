/*
 * Node reload: settings that were changed while the node runs. Those that bind addresses or size
 * tables hold until the next start; a file that is not valid changes nothing.
 */
#include "fescuemilld/node_reload.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/settings/settings.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#define CHECK_PERIOD_US (1 * USEC_PER_SEC)

/* Gives when a file was last changed, in nanoseconds; 0 when it cannot be told. */
static uint64_t changed_at(const char *path)
{
	struct stat about;

	if (stat(path, &about) != 0)
		return 0;
	return (uint64_t)about.st_mtim.tv_sec * 1000000000ULL + (uint64_t)about.st_mtim.tv_nsec;
}

/* Remembers the settings file. */
void node_reload_watch(struct node *node, const char *path)
{
	snprintf(node->settings_path, sizeof(node->settings_path), "%s", path);
	node->settings_changed_ns = changed_at(path);
}

/* Takes over the settings that may change while the node runs. Returns whether one did. */
static bool apply(struct settings *now, const struct settings *next)
{
	bool has_changed = now->log_level != next->log_level ||
			   now->retry_share_permille != next->retry_share_permille ||
			   now->stop_limit_ms != next->stop_limit_ms ||
			   now->stop_serve_ms != next->stop_serve_ms;

	now->log_level = next->log_level;
	now->retry_share_permille = next->retry_share_permille;
	now->stop_limit_ms = next->stop_limit_ms;
	now->stop_serve_ms = next->stop_serve_ms;
	log_set_level(next->log_level);
	return has_changed;
}

/* Reads the file again. */
void node_reload(struct node *node)
{
	static struct settings next;
	struct error err = {0};

	if (node->settings_path[0] == '\0')
		return;
	if (settings_load(node->settings_path, &next, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_MAIN,
			    "The changed settings are not valid; the earlier ones hold.", &err);
		return;
	}
	log_write(LOG_INFO, LOG_PART_MAIN, "The settings were read again.", "changed=%d",
		  apply(&node->settings, &next));
}

/* Reads the file again if it has changed. */
void node_reload_check(struct node *node, uint64_t now_us)
{
	uint64_t changed_ns;

	if (node->settings_path[0] == '\0' || now_us < node->settings_checked_us + CHECK_PERIOD_US)
		return;
	node->settings_checked_us = now_us;
	changed_ns = changed_at(node->settings_path);
	if (changed_ns == 0 || changed_ns == node->settings_changed_ns)
		return;
	node->settings_changed_ns = changed_ns;
	node_reload(node);
}
