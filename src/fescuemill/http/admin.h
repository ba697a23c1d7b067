/*
 * Administration API of a node over HTTP.
 */
#ifndef FESCUEMILL_HTTP_ADMIN_H
#define FESCUEMILL_HTTP_ADMIN_H

#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/store/platform.h"

#include <uv.h>

/* State of this node, for GET /v1/status. */
struct admin_status {
	const char *state; /* "starting", "ready", "draining", ... */
	uint64_t incarnation;
	uint64_t uptime_ms;
	uint32_t calls_in_flight;  /* calls from callers that have no answer yet */
	uint32_t attempts_waiting; /* attempts in the queue of the gate */
	uint32_t slots;		   /* attempts that the backend server can run at once */
	uint32_t slots_in_use;
	char service[SERVICE_NAME_BYTES]; /* service of the backend server; may be empty */
};

/* Configuration version that a member reported last. */
struct admin_version_report {
	uint64_t config_version;
	uint64_t age_us; /* time since the report */
};

/* Parts of the node that the administration API uses. All pointers must outlive the API. */
struct admin_node {
	const struct settings *settings;
	struct config_store *config;
	struct member_table *members;
	struct platform *platform;
	struct evacuation_table *evacuations; /* NULL: this deployment has none */
	void *user;
	void (*status)(void *user, struct admin_status *out);
	void (*drain)(void *user); /* starts a graceful stop */
	/* Returns the version that a member reported last; false if there is none. May be NULL. */
	bool (*get_version_report)(void *user, const struct member *member,
				   struct admin_version_report *out);
	/* Requests reports from the members that have not reported this version or a later one.
	 * May be NULL. */
	void (*query_version)(void *user, uint64_t version);
	/* Returns the JSON of /v1/report, malloc'ed, or NULL if there is none. May be NULL. */
	char *(*report)(void *user);
	/* Returns the age of the proof for the customers' keys; UINT32_MAX: none. May be NULL. */
	uint32_t (*key_proof_age_ms)(void *user);
};

struct admin;

int admin_open(struct admin **out, uv_loop_t *loop, const struct admin_node *node,
	       struct error *err);
uint16_t admin_port(const struct admin *admin);
/* Stops listening; each open connection closes after the answer in progress. */
void admin_close(struct admin *admin);
/* Returns the number of changes in progress; the platform client must outlive them. */
uint32_t admin_change_count(const struct admin *admin);
/* Frees a closed API; its connections and changes must have ended. */
void admin_free(struct admin *admin);

#endif
