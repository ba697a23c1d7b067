/*
 * Administration API of a node over HTTP.
 */
#ifndef FESCUEMILL_HTTP_ADMIN_H
#define FESCUEMILL_HTTP_ADMIN_H

#include "fescuemill/fleet/config.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/store/platform.h"

#include <uv.h>

/* What the node's shell tells of itself. */
struct admin_status {
	const char *state; /* "starting", "ready", "draining", ... */
	uint64_t incarnation;
	uint64_t uptime_ms;
	uint32_t calls_in_flight;
	uint32_t attempts_waiting;
	uint32_t slots;
	uint32_t slots_in_use;
	char service[SERVICE_NAME_BYTES];
};

/* What a member last said of the version that it has. */
struct admin_word {
	uint64_t config_version;
	uint64_t age_us;
};

/* What the administration API needs of the node. All pointers outlive the API. */
struct admin_node {
	const struct settings *settings;
	struct config_store *config;
	struct member_table *members;
	struct platform *platform;
	void *user;
	void (*status)(void *user, struct admin_status *out);
	void (*drain)(void *user); /* starts a graceful stop */
	/* Gives a member's last word; false without one. May be NULL. */
	bool (*word)(void *user, const struct member *member, struct admin_word *out);
	/* Asks members that are not known to have the version. May be NULL. */
	void (*ask)(void *user, uint64_t version);
	/* Further JSON for /v1/report, malloc'ed, or NULL; may be NULL itself. */
	char *(*report)(void *user);
};

struct admin;

int admin_open(struct admin **out, uv_loop_t *loop, const struct admin_node *node,
	       struct error *err);
uint16_t admin_port(const struct admin *admin);
/* Stops listening; open connections close after their present answer. */
void admin_close(struct admin *admin);
/* Counts the changes that still run; the platform client must outlive them. */
uint32_t admin_changes(const struct admin *admin);
/* Frees a closed API; its connections must have ended and its changes with it. */
void admin_free(struct admin *admin);

#endif
