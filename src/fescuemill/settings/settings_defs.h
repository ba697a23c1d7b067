/*
 * Settings of one node, as read from its JSON file. settings.c describes each key.
 */
#ifndef FESCUEMILL_SETTINGS_SETTINGS_DEFS_H
#define FESCUEMILL_SETTINGS_SETTINGS_DEFS_H

#include "fescuemill/base/log.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/choice_defs.h"
#include "fescuemill/fleet/member_defs.h"

#define PLATFORM_ENDPOINTS_MAX 4
#define ADMIN_KEYS_MAX	       64
#define TEAM_NAME_BYTES	       32 /* with the terminating NUL */
#define ADMIN_KEY_BYTES	       65 /* with the terminating NUL */
#define TEAM_SERVICES_MAX      32

/* An IPv4 address and port to listen on or to connect to. Port 0 listens on any free port. */
struct endpoint {
	uint32_t ip; /* host byte order */
	uint16_t port;
};

/* A key of the administration API, and the team that it belongs to. */
struct admin_key {
	char team[TEAM_NAME_BYTES];
	char key[ADMIN_KEY_BYTES];
};

/* Names of the services that a team may create; "*" allows any service. */
struct team_rights {
	char team[TEAM_NAME_BYTES];
	uint32_t service_count;
	char services[TEAM_SERVICES_MAX][SERVICE_NAME_BYTES];
};

struct settings {
	char name[NODE_NAME_BYTES];
	char region[REGION_NAME_BYTES];
	char failure_domain[DOMAIN_NAME_BYTES];
	struct endpoint caller_address;
	struct endpoint node_address;
	struct endpoint gossip_address;
	struct endpoint backend_address;
	struct endpoint admin_address;
	struct endpoint ready_address;		  /* port 0: disabled */
	struct endpoint backend_server;		  /* port 0: as announced; ip 0: loopback address */
	char backend_service[SERVICE_NAME_BYTES]; /* empty: known only when announced */
	uint32_t backend_lease_ms;
	uint32_t slots_used_percent; /* 0: the slots to use are found by measurement */
	uint32_t external_ip;	     /* 0: nodes of other regions use the internal address */
	uint32_t external_node_port;
	uint32_t external_gossip_port;
	uint32_t platform_count;
	struct endpoint platform[PLATFORM_ENDPOINTS_MAX];
	char platform_region[REGION_NAME_BYTES]; /* empty: calls count as region link traffic */
	enum log_level log_level;
	enum choice_policy choice_policy;
	bool spillover;
	uint32_t body_limit_bytes;
	uint64_t memory_limit_bytes;
	uint32_t connections_max; /* 0: as the limit of descriptors allows */
	uint32_t descriptors_max; /* 0: as the system's limit for the process */
	uint32_t stop_limit_ms;
	uint32_t stop_serve_ms;
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
	uint32_t key_retention_ms;
	uint32_t key_spread_ms;
	bool fleet_is_new;
	uint32_t retry_share_permille;
	double retry_limit_ratio;
	uint32_t retry_burst;
	uint32_t load_age_ms;
	uint32_t region_body_us_per_kib;
	uint32_t far_body_us_per_kib;
	uint32_t join_wait_ms;
	uint32_t own_domain_distance_us;
	uint32_t own_region_distance_us;
	uint32_t other_region_distance_us;
	uint32_t node_bytes_per_s;
	uint32_t region_link_bytes_per_s;
	uint32_t platform_calls_per_minute;
	uint32_t platform_watchers;
	uint32_t platform_timeout_ms;
	uint32_t platform_watch_ms;
	uint32_t platform_backoff_ms;
	uint32_t evacuation_ms; /* 0: the platform is not asked for evacuations */
	uint32_t revoke_ms;
	uint32_t admin_key_count;
	struct admin_key admin_keys[ADMIN_KEYS_MAX];
	uint32_t team_rights_count;
	struct team_rights team_rights[ADMIN_KEYS_MAX];
};

#endif
