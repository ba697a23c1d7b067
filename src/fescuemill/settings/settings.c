/*
 * Settings: one table defines the type, range, unit and default value of each key. Parsing, checks
 * and the table in docs/SETTINGS.md are derived from it.
 */
#include "fescuemill/settings/settings.h"

#include "fescuemill/settings/value.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum value_type {
	VALUE_TEXT,
	VALUE_ENDPOINT,
	VALUE_IP,
	VALUE_UINT32,
	VALUE_UINT64,
	VALUE_REAL,
	VALUE_BOOL,
	VALUE_LOG_LEVEL,
	VALUE_CHOICE_POLICY,
	VALUE_PLATFORM,
	VALUE_ADMIN_KEYS,
	VALUE_TEAM_RIGHTS,
};

struct key_rule {
	const char *name;
	enum value_type type;
	size_t offset;	 /* of the field in struct settings */
	size_t size;	 /* of the field, with the terminating NUL; texts only */
	uint64_t lowest; /* of a number, or bytes of a text, or entries of a list */
	uint64_t highest;
	const char *unit;	   /* "" if there is none; for a choice, the allowed values */
	const char *default_value; /* value of an absent key; NULL if the key is required */
	const char *help;
};

#define TEXT_RULE_FROM(low, field)                                                                 \
	VALUE_TEXT, offsetof(struct settings, field), sizeof(((struct settings *)0)->field), low,  \
		sizeof(((struct settings *)0)->field) - 1, "bytes"
#define TEXT_RULE(field) TEXT_RULE_FROM(1, field)
#define RULE(type, field, low, high, unit)                                                         \
	type, offsetof(struct settings, field), 0, low, high, unit

#define PORT_MAX	  65535
#define MINUTE_MS	  60000
#define GIBIBYTE	  (1024ULL * 1024 * 1024)
#define DISTANCE_US_MAX	  10000000
#define BYTES_PER_S_MAX	  1000000000
#define CALLS_PER_MIN_MAX 100000

static const struct key_rule rules[] = {
	{"name", TEXT_RULE(name), NULL, "name of this node, unique in the fleet"},
	{"region", TEXT_RULE(region), NULL, "region of this host"},
	{"failure_domain", TEXT_RULE(failure_domain), NULL, "failure domain of this host"},
	{"caller_address", RULE(VALUE_ENDPOINT, caller_address, 0, PORT_MAX, "port"), NULL,
	 "where callers reach this node over HTTP"},
	{"node_address", RULE(VALUE_ENDPOINT, node_address, 0, PORT_MAX, "port"), NULL,
	 "where other nodes reach this node over ZeroMQ"},
	{"gossip_address", RULE(VALUE_ENDPOINT, gossip_address, 0, PORT_MAX, "port"), NULL,
	 "where gossip arrives over UDP"},
	{"backend_address", RULE(VALUE_ENDPOINT, backend_address, 0, PORT_MAX, "port"), NULL,
	 "where the backend server of this host announces itself"},
	{"admin_address", RULE(VALUE_ENDPOINT, admin_address, 0, PORT_MAX, "port"), NULL,
	 "where operators reach the administration API"},
	{"ready_address", RULE(VALUE_ENDPOINT, ready_address, 0, PORT_MAX, "port"), "0.0.0.0:0",
	 "where GET /ready reports whether this node accepts calls; port 0: disabled"},
	{"backend_server", RULE(VALUE_ENDPOINT, backend_server, 0, PORT_MAX, "port"), "0.0.0.0:0",
	 "address of this host's backend server; port 0: the server announces its own port"},
	{"backend_service", TEXT_RULE_FROM(0, backend_service), "",
	 "service of this host's backend server, used until the server announces itself"},
	{"backend_lease_ms", RULE(VALUE_UINT32, backend_lease_ms, 100, MINUTE_MS, "ms"), "3000",
	 "how long an announcement of the backend server is valid"},
	{"slots_used_percent", RULE(VALUE_UINT32, slots_used_percent, 0, 100, "percent"), "0",
	 "share of the announced slots to use at the same time until all of them were "
	 "measured to be no slower; 0: found by measurement"},
	{"external_address", RULE(VALUE_IP, external_ip, 0, 0, ""), "",
	 "address where nodes of other regions reach this node; requires both external ports"},
	{"external_node_port", RULE(VALUE_UINT32, external_node_port, 0, PORT_MAX, "port"), "0",
	 "port where nodes of other regions reach this node over ZeroMQ"},
	{"external_gossip_port", RULE(VALUE_UINT32, external_gossip_port, 0, PORT_MAX, "port"), "0",
	 "port where gossip from other regions arrives over UDP"},
	{"platform", RULE(VALUE_PLATFORM, platform, 1, PLATFORM_ENDPOINTS_MAX, "entries"), NULL,
	 "addresses of the platform's object API"},
	{"platform_region", TEXT_RULE_FROM(0, platform_region), "",
	 "region of the platform; if empty or another region, platform calls count as region link "
	 "traffic"},
	{"fleet_is_new", RULE(VALUE_BOOL, fleet_is_new, 0, 0, ""), "false",
	 "whether the whole fleet starts for the first time, so that no node is known yet"},
	{"log_level", RULE(VALUE_LOG_LEVEL, log_level, 0, 0, "error, warning, info, debug"), "info",
	 "least severe level that is logged"},
	{"choice_policy",
	 RULE(VALUE_CHOICE_POLICY, choice_policy, 0, 0,
	      "expected-completion, random, round-robin, least-in-flight, two-random"),
	 "expected-completion", "how an entry chooses a gate"},
	{"spillover", RULE(VALUE_BOOL, spillover, 0, 0, ""), "false",
	 "whether calls leave the failure domain by their objective and the room found elsewhere"},
	{"body_limit_bytes",
	 RULE(VALUE_UINT32, body_limit_bytes, 1024, CALL_BODY_BYTES_MAX, "bytes"), "8388608",
	 "largest body of a call or an answer"},
	{"memory_limit_bytes",
	 RULE(VALUE_UINT64, memory_limit_bytes, 32ULL * 1024 * 1024, 64 * GIBIBYTE, "bytes"),
	 "268435456",
	 "memory for bodies, including incomplete ones, and stored answers; calls beyond it are "
	 "refused"},
	{"connections_max", RULE(VALUE_UINT32, connections_max, 0, 1000000, "connections"), "0",
	 "open connections of HTTP clients over all addresses; further ones replace those that do "
	 "least; 0: as the limit of descriptors allows"},
	{"descriptors_max", RULE(VALUE_UINT32, descriptors_max, 0, 10000000, "descriptors"), "0",
	 "descriptors that this process may open; HTTP clients leave 400 or a third of "
	 "them free; 0: the system's limit"},
	{"stop_limit_ms", RULE(VALUE_UINT32, stop_limit_ms, 1000, 60ULL * MINUTE_MS, "ms"), "30000",
	 "longest duration of a graceful stop"},
	{"stop_serve_ms", RULE(VALUE_UINT32, stop_serve_ms, 0, MINUTE_MS, "ms"), "0",
	 "how long a stopping node still accepts new calls, while callers learn that it stops"},
	{"heartbeat_ms", RULE(VALUE_UINT32, heartbeat_ms, 50, MINUTE_MS, "ms"), "500",
	 "time between heartbeats on a node connection that is in use"},
	{"silence_ms", RULE(VALUE_UINT32, silence_ms, 100, MINUTE_MS, "ms"), "1500",
	 "silence after which a node connection is replaced; at least twice heartbeat_ms"},
	{"key_retention_ms", RULE(VALUE_UINT32, key_retention_ms, 1000, 60ULL * MINUTE_MS, "ms"),
	 "600000", "how long an idempotency key is remembered"},
	{"key_spread_ms", RULE(VALUE_UINT32, key_spread_ms, 100, MINUTE_MS, "ms"), "10000",
	 "upper bound of the clock skew, and of how long nodes may disagree on which nodes are "
	 "alive"},
	{"retry_share_permille", RULE(VALUE_UINT32, retry_share_permille, 0, 1000, "permille"),
	 "100", "retries allowed per thousand first attempts of a service"},
	{"retry_limit_ratio", RULE(VALUE_REAL, retry_limit_ratio, 0, 1, "of the calls"), "0.2",
	 "arrivals at backend servers beyond the first of each call, calls made by repeated runs "
	 "included, as a share of a service's calls; at most half of it for own retries"},
	{"retry_burst", RULE(VALUE_UINT32, retry_burst, 1, 100000, "retries"), "640",
	 "unused retries of a service that all nodes together may accumulate"},
	{"load_age_ms", RULE(VALUE_UINT32, load_age_ms, 1, MINUTE_MS, "ms"), "50",
	 "age at which a gate's load report has lost most of its weight; should be a few service "
	 "times"},
	{"region_body_us_per_kib",
	 RULE(VALUE_UINT32, region_body_us_per_kib, 0, DISTANCE_US_MAX, "us"), "0",
	 "time that a gate in another failure domain must save per KiB of the request body"},
	{"far_body_us_per_kib", RULE(VALUE_UINT32, far_body_us_per_kib, 0, DISTANCE_US_MAX, "us"),
	 "0", "time that a gate in another region must save per KiB of the request body"},
	{"join_wait_ms", RULE(VALUE_UINT32, join_wait_ms, 0, MINUTE_MS, "ms"), "60000",
	 "how long a node that has its configuration waits for its peers before it accepts calls"},
	{"own_domain_distance_us",
	 RULE(VALUE_UINT32, own_domain_distance_us, 0, DISTANCE_US_MAX, "us"), "200",
	 "initial estimate of the one-way distance within the failure domain"},
	{"own_region_distance_us",
	 RULE(VALUE_UINT32, own_region_distance_us, 0, DISTANCE_US_MAX, "us"), "1500",
	 "initial estimate of the one-way distance to other failure domains of the region"},
	{"other_region_distance_us",
	 RULE(VALUE_UINT32, other_region_distance_us, 0, DISTANCE_US_MAX, "us"), "8000",
	 "initial estimate of the one-way distance to other regions"},
	{"node_bytes_per_s", RULE(VALUE_UINT32, node_bytes_per_s, 100, BYTES_PER_S_MAX, "bytes/s"),
	 "7000", "budget of this node for measurement and control traffic, headers included"},
	{"region_link_bytes_per_s",
	 RULE(VALUE_UINT32, region_link_bytes_per_s, 100, BYTES_PER_S_MAX, "bytes/s"), "37500",
	 "budget of a link to another region for measurement traffic, shared by the region's "
	 "nodes"},
	{"platform_calls_per_minute",
	 RULE(VALUE_UINT32, platform_calls_per_minute, 6, CALLS_PER_MIN_MAX, "calls/min"), "600",
	 "budget of a failure domain for platform calls, watches included"},
	{"platform_watchers", RULE(VALUE_UINT32, platform_watchers, 1, FLEET_MEMBERS_MAX, "nodes"),
	 "2",
	 "nodes of a failure domain that watch the platform; the others get changes from them"},
	{"platform_timeout_ms", RULE(VALUE_UINT32, platform_timeout_ms, 50, MINUTE_MS, "ms"),
	 "2000", "timeout of a platform call; for a watch it is added to platform_watch_ms"},
	{"evacuation_ms", RULE(VALUE_UINT32, evacuation_ms, 0, MINUTE_MS, "ms"), "0",
	 "time within which an order to evacuate a failure domain must be in force everywhere; 0: "
	 "the "
	 "platform is not asked for such orders"},
	{"platform_watch_ms", RULE(VALUE_UINT32, platform_watch_ms, 100, 5ULL * MINUTE_MS, "ms"),
	 "1500",
	 "how long the platform may delay its answer to a watch; a connection that has gone silent "
	 "is noticed platform_timeout_ms after it, and changes until then come late"},
	{"platform_backoff_ms", RULE(VALUE_UINT32, platform_backoff_ms, 100, MINUTE_MS, "ms"),
	 "10000", "longest wait between two retries while platform calls fail"},
	{"revoke_ms", RULE(VALUE_UINT32, revoke_ms, 0, MINUTE_MS, "ms"), "0",
	 "a customer's key that was removed works no longer than this after the store acknowledged "
	 "the removal: without proof that the configuration is that recent, calls with a key are "
	 "refused; 0: no proof is needed"},
	{"admin_keys", RULE(VALUE_ADMIN_KEYS, admin_keys, 0, ADMIN_KEYS_MAX, "entries"), "[]",
	 "keys of the administration API: {\"team\",\"key\"}, key of 16 to 64 bytes"},
	{"team_rights", RULE(VALUE_TEAM_RIGHTS, team_rights, 0, ADMIN_KEYS_MAX, "entries"), "[]",
	 "services that a team may create: {\"team\",\"services\"}, \"*\" for any"},
};

#define RULE_COUNT	    (sizeof(rules) / sizeof(rules[0]))
#define ADMIN_KEY_BYTES_MIN 16

static const char *const policy_names[CHOICE_POLICY_COUNT] = {
	"expected-completion", "random", "round-robin", "least-in-flight", "two-random"};

static const char *const type_names[] = {
	[VALUE_TEXT] = "text",	   [VALUE_ENDPOINT] = "address", [VALUE_IP] = "address",
	[VALUE_UINT32] = "number", [VALUE_UINT64] = "number",	 [VALUE_REAL] = "number",
	[VALUE_BOOL] = "flag",	   [VALUE_LOG_LEVEL] = "choice", [VALUE_CHOICE_POLICY] = "choice",
	[VALUE_PLATFORM] = "list", [VALUE_ADMIN_KEYS] = "list",	 [VALUE_TEAM_RIGHTS] = "list",
};

/* Returns the name of a choice policy, as written in the settings. */
const char *choice_policy_name(enum choice_policy policy)
{
	return (unsigned int)policy < CHOICE_POLICY_COUNT ? policy_names[policy] : "invalid";
}

/* Returns the number of keys of the settings. */
size_t settings_key_count(void)
{
	return RULE_COUNT;
}

/* Returns the description of a key. index must be below settings_key_count(). */
struct settings_key_info settings_key_at(size_t index)
{
	const struct key_rule *rule = &rules[index];

	return (struct settings_key_info){.name = rule->name,
					  .type = type_names[rule->type],
					  .unit = rule->unit,
					  .default_value = rule->default_value,
					  .lowest = rule->lowest,
					  .highest = rule->highest,
					  .help = rule->help};
}

/* Parses "ip:port" with an IPv4 address. Errors: ERROR_RANGE. */
int endpoint_parse(const char *text, struct endpoint *out, struct error *err)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	struct in_addr address;
	char *end;
	unsigned long port;

	if (!colon || colon == text || (size_t)(colon - text) >= sizeof(ip))
		goto bad;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (inet_pton(AF_INET, ip, &address) != 1)
		goto bad;
	if (colon[1] < '0' || colon[1] > '9')
		goto bad;
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > PORT_MAX)
		goto bad;
	out->ip = ntohl(address.s_addr);
	out->port = (uint16_t)port;
	return 0;
bad:
	return error_set(err, ERROR_RANGE, "found \"%.40s\", allowed \"IPv4:port\"", text);
}

/* Reads an IPv4 address without a port. An empty string is read as 0. */
static int read_ip(const struct value *value, uint32_t *out, struct error *err)
{
	char text[INET_ADDRSTRLEN];
	struct in_addr address;

	if (value_read_text(value, text, sizeof(text), 0, err))
		return -1;
	*out = 0;
	if (!text[0])
		return 0;
	if (inet_pton(AF_INET, text, &address) != 1)
		return value_error(value, ERROR_RANGE, err, "an IPv4 address");
	*out = ntohl(address.s_addr);
	return 0;
}

static int read_endpoint(const struct value *value, struct endpoint *out, struct error *err)
{
	char text[64];

	if (value_read_text(value, text, sizeof(text), 1, err))
		return -1;
	if (endpoint_parse(text, out, NULL))
		return value_error(value, ERROR_RANGE, err, "\"IPv4:port\"");
	return 0;
}

/* Reads one of count names, and stores its index. */
static int read_choice(const struct value *value, const char *const *names, uint32_t count,
		       const char *allowed, uint32_t *out, struct error *err)
{
	const char *text = json_string_value(value->json);

	if (!text)
		return value_error(value, ERROR_TYPE, err, allowed);
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(text, names[i]) == 0) {
			*out = i;
			return 0;
		}
	}
	return value_error(value, ERROR_RANGE, err, allowed);
}

static int read_log_level(const struct value *value, enum log_level *out, struct error *err)
{
	const char *text = json_string_value(value->json);

	if (!text)
		return value_error(value, ERROR_TYPE, err, "error, warning, info, debug");
	if (log_level_from_name(text, out))
		return value_error(value, ERROR_RANGE, err, "error, warning, info, debug");
	return 0;
}

static int read_platform(const struct value *value, struct settings *out, struct error *err)
{
	if (value_check_list_size(value, 1, PLATFORM_ENDPOINTS_MAX, &out->platform_count, err))
		return -1;
	for (uint32_t i = 0; i < out->platform_count; i++) {
		struct value entry = value_get_item(value, i);

		if (read_endpoint(&entry, &out->platform[i], err))
			return -1;
		if (!out->platform[i].port)
			return value_error(&entry, ERROR_RANGE, err, "a port of 1 to 65535");
	}
	return 0;
}

static int read_admin_key(const struct value *entry, struct admin_key *out, struct error *err)
{
	static const char *const names[] = {"team", "key", NULL};
	struct value team;
	struct value key;

	if (value_check_keys(entry, names, err) || value_get_member(entry, "team", &team, err) ||
	    value_get_member(entry, "key", &key, err))
		return -1;
	if (value_read_text(&team, out->team, sizeof(out->team), 1, err))
		return -1;
	return value_read_secret(&key, out->key, sizeof(out->key), ADMIN_KEY_BYTES_MIN, err);
}

static int read_admin_keys(const struct value *value, struct settings *out, struct error *err)
{
	struct value keys = *value;

	keys.is_secret = true;
	if (value_check_list_size(&keys, 0, ADMIN_KEYS_MAX, &out->admin_key_count, err))
		return -1;
	for (uint32_t i = 0; i < out->admin_key_count; i++) {
		struct value entry = value_get_item(&keys, i);

		if (read_admin_key(&entry, &out->admin_keys[i], err))
			return -1;
	}
	return 0;
}

static int read_team_rights_entry(const struct value *entry, struct team_rights *out,
				  struct error *err)
{
	static const char *const names[] = {"team", "services", NULL};
	struct value team;
	struct value services;

	if (value_check_keys(entry, names, err) || value_get_member(entry, "team", &team, err) ||
	    value_get_member(entry, "services", &services, err))
		return -1;
	if (value_read_text(&team, out->team, sizeof(out->team), 1, err) ||
	    value_check_list_size(&services, 1, TEAM_SERVICES_MAX, &out->service_count, err))
		return -1;
	for (uint32_t i = 0; i < out->service_count; i++) {
		struct value name = value_get_item(&services, i);

		if (value_read_text(&name, out->services[i], sizeof(out->services[i]), 1, err))
			return -1;
	}
	return 0;
}

static int read_team_rights(const struct value *value, struct settings *out, struct error *err)
{
	if (value_check_list_size(value, 0, ADMIN_KEYS_MAX, &out->team_rights_count, err))
		return -1;
	for (uint32_t i = 0; i < out->team_rights_count; i++) {
		struct value entry = value_get_item(value, i);

		if (read_team_rights_entry(&entry, &out->team_rights[i], err))
			return -1;
	}
	return 0;
}

/* Reads and checks a value according to its rule, and stores it in its field. */
static int read_value(const struct key_rule *rule, const struct value *value, struct settings *out,
		      struct error *err)
{
	void *field = (char *)out + rule->offset;
	uint64_t number = 0;
	uint32_t choice = 0;

	switch (rule->type) {
	case VALUE_TEXT:
		return value_read_text(value, field, rule->size, rule->lowest, err);
	case VALUE_ENDPOINT:
		return read_endpoint(value, field, err);
	case VALUE_IP:
		return read_ip(value, field, err);
	case VALUE_UINT32:
	case VALUE_UINT64:
		if (value_read_number(value, rule->lowest, rule->highest, rule->unit, &number, err))
			return -1;
		if (rule->type == VALUE_UINT64)
			*(uint64_t *)field = number;
		else
			*(uint32_t *)field = (uint32_t)number;
		return 0;
	case VALUE_BOOL:
		if (!json_is_boolean(value->json))
			return value_error(value, ERROR_TYPE, err, "true or false");
		*(bool *)field = json_is_true(value->json);
		return 0;
	case VALUE_REAL:
		return value_read_real(value, (double)rule->lowest, (double)rule->highest,
				       rule->unit, field, err);
	case VALUE_LOG_LEVEL:
		return read_log_level(value, field, err);
	case VALUE_CHOICE_POLICY:
		if (read_choice(value, policy_names, CHOICE_POLICY_COUNT, rule->unit, &choice, err))
			return -1;
		*(enum choice_policy *)field = (enum choice_policy)choice;
		return 0;
	case VALUE_PLATFORM:
		return read_platform(value, out, err);
	case VALUE_ADMIN_KEYS:
		return read_admin_keys(value, out, err);
	case VALUE_TEAM_RIGHTS:
		return read_team_rights(value, out, err);
	}
	return error_set(err, ERROR_STATE, "no reader for the type of %s", rule->name);
}

/* Reads the default value of an absent key as if the file contained it. */
static int read_default(const struct key_rule *rule, const char *source, struct settings *out,
			struct error *err)
{
	struct value value = {.source = source};
	bool number = rule->type == VALUE_UINT32 || rule->type == VALUE_UINT64;
	bool list = rule->type == VALUE_ADMIN_KEYS || rule->type == VALUE_TEAM_RIGHTS;
	int status;

	snprintf(value.path, sizeof(value.path), "$.%s", rule->name);
	if (!rule->default_value)
		return error_set(err, ERROR_MISSING, "%s: %s: missing, but required: %s",
				 value_source_suffix(source), value.path, rule->help);
	if (number)
		value.json = json_integer((json_int_t)strtoull(rule->default_value, NULL, 10));
	else if (rule->type == VALUE_BOOL)
		value.json = json_boolean(strcmp(rule->default_value, "true") == 0);
	else if (rule->type == VALUE_REAL)
		value.json = json_real(strtod(rule->default_value, NULL));
	else if (list)
		value.json = json_array();
	else
		value.json = json_string(rule->default_value);
	status = read_value(rule, &value, out, err);
	json_decref(value.json);
	return status;
}

/* Checks the dependencies between keys. */
static int check_dependencies(const struct settings *out, const char *source, struct error *err)
{
	const char *file = value_source_suffix(source);

	if (out->silence_ms < 2 * out->heartbeat_ms)
		return error_set(err, ERROR_RANGE,
				 "%s: $.silence_ms: found %" PRIu32
				 ", allowed at least twice heartbeat_ms (%" PRIu32 ")",
				 file, out->silence_ms, 2 * out->heartbeat_ms);
	if (out->external_ip && (!out->external_node_port || !out->external_gossip_port))
		return error_set(err, ERROR_MISSING,
				 "%s: $.external_node_port, $.external_gossip_port: required with "
				 "external_address",
				 file);
	return 0;
}

static bool is_known_key(const char *name)
{
	for (size_t i = 0; i < RULE_COUNT; i++) {
		if (strcmp(name, rules[i].name) == 0)
			return true;
	}
	return false;
}

static int check_keys(json_t *root, const char *source, struct error *err)
{
	const char *name;
	json_t *unused;

	json_object_foreach(root, name, unused)
	{
		if (!is_known_key(name))
			return error_set(err, ERROR_UNKNOWN_KEY, "%s: $.%.60s: unknown key",
					 value_source_suffix(source), name);
	}
	return 0;
}

static int read_root(json_t *root, const char *source, struct settings *out, struct error *err)
{
	if (!json_is_object(root))
		return error_set(err, ERROR_TYPE, "%s: $: must be an object",
				 value_source_suffix(source));
	if (check_keys(root, source, err))
		return -1;
	for (size_t i = 0; i < RULE_COUNT; i++) {
		struct value value = {.json = json_object_get(root, rules[i].name),
				      .source = source};
		int status;

		snprintf(value.path, sizeof(value.path), "$.%s", rules[i].name);
		if (value.json)
			status = read_value(&rules[i], &value, out, err);
		else
			status = read_default(&rules[i], source, out, err);
		if (status)
			return -1;
	}
	return check_dependencies(out, source, err);
}

/*
 * Parses and checks settings; source is the name of the text in error details. Errors: ERROR_SYNTAX
 * with the line; ERROR_UNKNOWN_KEY, ERROR_MISSING, ERROR_TYPE, ERROR_RANGE with the JSON path, the
 * found value and what is allowed.
 */
int settings_parse(const char *text, size_t size, const char *source, struct settings *out,
		   struct error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
	int status;

	memset(out, 0, sizeof(*out));
	if (!root)
		return error_set(err, ERROR_SYNTAX, "%s:%d:%d: %s", value_source_suffix(source),
				 fault.line, fault.column, fault.text);
	status = read_root(root, source, out, err);
	json_decref(root);
	return status;
}

/*
 * Reads settings from a file. Errors: ERROR_SYSTEM, ERROR_MEMORY, ERROR_TOO_LARGE and those of
 * settings_parse().
 */
int settings_load(const char *path, struct settings *out, struct error *err)
{
	char *text;
	size_t size;
	int status;

	if (value_read_file(path, &text, &size, err))
		return -1;
	status = settings_parse(text, size, path, out, err);
	free(text);
	return status;
}
