/*
 * Shell of demand: once a second it counts the calls offered to this gate and sets the rates of the
 * classes. While any gate of the service has demand, it also requests the reports that it lacks
 * from one random gate.
 */
#include "fescuemilld/gate/demand_shell.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/demand.h"

#include <stdlib.h>
#include <string.h>

/* Average periods between requests to another region, over all gates of a service in one region. */
#define OTHER_REGION_REQUEST_PERIODS 10

struct demand_shell {
	struct demand_shell_options options;
	struct random rng;
	struct demand_table table;
	struct service_config config; /* of this node's service */
	bool is_enabled;	      /* false: no class has a rate to share */
	uint64_t counted_us;	      /* when the offered calls were last counted */
};

/* Creates a shell that is disabled until demand_shell_refresh() finds a rate to share. Errors:
 * ERROR_MEMORY. */
int demand_shell_open(struct demand_shell **out, const struct demand_shell_options *options,
		      uint64_t now_us, struct error *err)
{
	struct demand_shell *shell = calloc(1, sizeof(*shell));

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the demand shell");
	shell->options = *options;
	random_seed(&shell->rng, options->seed);
	demand_init(&shell->table, &gossip_self(options->gossip)->identity, now_us);
	/* Gates that started together must not send their requests together. */
	shell->counted_us = now_us - random_below(&shell->rng, (uint32_t)DEMAND_PERIOD_US);
	*out = shell;
	return 0;
}

void demand_shell_close(struct demand_shell *shell)
{
	free(shell);
}

/* Returns true if a member is another gate that accepts attempts. */
static bool is_peer(const struct demand_shell *shell, const struct member *member)
{
	return member_is_serving(member) &&
	       member->identity.node_id != gossip_self(shell->options.gossip)->identity.node_id;
}

/* Returns the next peer of this service after `last`; NULL starts and ends the iteration. */
static const struct member *next_peer(const struct demand_shell *shell, const struct member *last)
{
	const char *service = gossip_self(shell->options.gossip)->service;

	do {
		last = member_next_of_service(shell->options.members, service, last);
	} while (last && !is_peer(shell, last));
	return last;
}

/* Sets the peers of the demand table: the other gates that accept attempts. */
static void set_peers(struct demand_shell *shell)
{
	struct node_incarnation identities[DEMAND_PEERS_MAX];
	const struct member *peer = NULL;
	uint32_t count = 0;

	while ((peer = next_peer(shell, peer)) != NULL) {
		if (count < DEMAND_PEERS_MAX)
			identities[count] = peer->identity;
		count++;
	}
	demand_set_peers(&shell->table, identities, count);
}

/* Sets the rate of each class at this gate to its share of the fleet-wide rate. */
static void set_rates(struct demand_shell *shell, uint64_t now_us)
{
	struct gate *gate = shell->options.admission;
	uint64_t rates[CLASSES_PER_SERVICE_MAX] = {0};
	uint64_t sum_milli = 0;

	for (uint32_t i = 0; i < shell->config.class_count; i++) {
		const struct class_target *target = &shell->config.classes[i];
		int index = gate_find_class(gate, target->name);
		struct share_demand sum;

		if (index < 0)
			continue;
		demand_sum(&shell->table, i, now_us, &sum);
		rates[index] = share_by_demand_milli(target->calls_per_s, &sum);
		sum_milli += rates[index];
	}
	gate_set_rates(gate, rates, now_us);
	counter_set(COUNTER_GATE_RATE, sum_milli);
	counter_set(COUNTER_DEMAND_REPORTED, demand_reported(&shell->table, now_us));
}

/* Returns true if no class has a fleet-wide rate that the gates could share. */
static bool has_no_rates(const struct service_config *config)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (config->classes[i].calls_per_s != CLASS_CALLS_PER_S_UNSET)
			return false;
	}
	return true;
}

/* Applies the current members and configuration. Disables the shell if there is no backend server
 * or no rate to share. */
void demand_shell_refresh(struct demand_shell *shell, uint64_t now_us)
{
	const struct member *self = gossip_self(shell->options.gossip);
	const struct service_config *config = NULL;

	if (self->backend != BACKEND_NONE)
		config = config_find(shell->options.config, self->service);
	shell->is_enabled = config != NULL && !has_no_rates(config);
	if (!shell->is_enabled)
		return;
	shell->config = *config;
	demand_set_classes(&shell->table, demand_layout_of(config), config->class_count, now_us);
	set_peers(shell);
	set_rates(shell, now_us);
}

/* Records the calls offered to this gate since the last count as its new report. */
static void record_own_demand(struct demand_shell *shell, uint64_t now_us)
{
	const struct gate *gate = shell->options.admission;
	uint64_t offered[CLASSES_PER_SERVICE_MAX] = {0};

	for (uint32_t i = 0; i < shell->config.class_count; i++) {
		int index = gate_find_class(gate, shell->config.classes[i].name);

		if (index >= 0)
			offered[i] = gate->classes[index].offered;
	}
	demand_record_own(&shell->table, offered, now_us);
}

/* Sends a request, or a reply with the reports that the member lacks, if the budget allows it. */
static void send_message(struct demand_shell *shell, uint64_t node_id, enum demand_message type,
			 uint64_t now_us)
{
	uint8_t data[DEMAND_BYTES_MAX];
	uint32_t start = random_below(&shell->rng, DEMAND_PEERS_MAX);
	size_t size = demand_write(&shell->table, type, start, now_us, data);

	if (!size)
		return;
	if (gossip_send_demand(shell->options.gossip, node_id, data, size, now_us))
		counter_add(COUNTER_DEMAND_SENT, 1);
	else
		counter_add(COUNTER_DEMAND_SKIPPED, 1);
}

/* Returns true if a peer is in this node's region. */
static bool is_in_region(const struct demand_shell *shell, const struct member *peer)
{
	return strcmp(peer->region, gossip_self(shell->options.gossip)->region) == 0;
}

/* Returns true if a peer is in another region, and that region can be reached. */
static bool is_in_other_region(const struct demand_shell *shell, const struct member *peer)
{
	return !is_in_region(shell, peer) &&
	       gossip_region_is_reachable(shell->options.gossip, peer->region);
}

/* Picks a random peer among those that match; NULL if none does. */
static const struct member *pick_peer(struct demand_shell *shell,
				      bool (*matches)(const struct demand_shell *,
						      const struct member *))
{
	const struct member *picked = NULL;
	const struct member *peer = NULL;
	uint32_t match_count = 0;

	while ((peer = next_peer(shell, peer)) != NULL) {
		if (matches(shell, peer) && random_below(&shell->rng, ++match_count) == 0)
			picked = peer;
	}
	return picked;
}

/* Returns the number of gates in this node's region, this one included. */
static uint32_t count_in_region(const struct demand_shell *shell)
{
	const struct member *peer = NULL;
	uint32_t count = 1;

	while ((peer = next_peer(shell, peer)) != NULL)
		count += is_in_region(shell, peer);
	return count;
}

/* Requests the reports that this gate lacks from one peer. The more gates this region has, the less
 * often each of them chooses a peer in another region. */
static void request_reports(struct demand_shell *shell, uint64_t now_us)
{
	bool crosses_regions = random_below(&shell->rng, OTHER_REGION_REQUEST_PERIODS *
								 count_in_region(shell)) == 0;
	const struct member *peer = crosses_regions ? pick_peer(shell, is_in_other_region) : NULL;

	if (!peer)
		peer = pick_peer(shell, is_in_region);
	if (peer)
		send_message(shell, peer->identity.node_id, DEMAND_REQUEST, now_us);
}

/* Once a period, records this gate's demand and sets the rates. While any gate of the service has
 * demand, it also requests reports from a peer. */
void demand_shell_tick(struct demand_shell *shell, uint64_t now_us)
{
	if (now_us < shell->counted_us + DEMAND_PERIOD_US)
		return;
	shell->counted_us = now_us;
	if (!shell->is_enabled)
		return;
	record_own_demand(shell, now_us);
	set_rates(shell, now_us);
	if (!demand_is_idle(&shell->table, now_us))
		request_reports(shell, now_us);
}

/* Handles a demand message; replies to a request with the reports that the sender lacks. */
void demand_shell_receive(struct demand_shell *shell, uint64_t node_id, const uint8_t *data,
			  size_t size, uint64_t now_us)
{
	enum demand_message type;
	struct error err;

	if (!shell->is_enabled)
		return;
	if (demand_read(&shell->table, data, size, now_us, &type, &err) != 0) {
		counter_add(COUNTER_DEMAND_REFUSED, 1);
		log_failure(LOG_DEBUG, LOG_PART_GATE, "A demand message was rejected.", &err);
		return;
	}
	counter_add(COUNTER_DEMAND_RECEIVED, 1);
	if (type == DEMAND_REQUEST)
		send_message(shell, node_id, DEMAND_REPLY, now_us);
}
