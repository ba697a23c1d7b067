/*
 * Demand shell: once a second the calls offered to the own gate are counted and the rates set anew.
 * While any gate of the service has demand, one random peer is asked for what it knows.
 */
#include "fescuemilld/demand_shell.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/demand.h"

#include <stdlib.h>
#include <string.h>

/* Of the gates of a service in one region, one every so many counts asks a gate of another. */
#define FAR_COUNTS 10

struct demand_shell {
	struct demand_shell_options options;
	struct random rng;
	struct demand_table table;
	struct service_config config; /* of the own service */
	bool is_on;		      /* false: there is nothing to share */
	uint64_t counted_us;
};

/* Makes a shell that shares nothing yet. */
int demand_shell_open(struct demand_shell **out, const struct demand_shell_options *options,
		      uint64_t now_us, struct error *err)
{
	struct demand_shell *shell = calloc(1, sizeof(*shell));

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for demands");
	shell->options = *options;
	random_seed(&shell->rng, options->seed);
	demand_init(&shell->table, &gossip_self(options->gossip)->identity, now_us);
	/* Gates that were started at once do not ask at once. */
	shell->counted_us = now_us - random_below(&shell->rng, (uint32_t)DEMAND_PERIOD_US);
	*out = shell;
	return 0;
}

/* Frees a shell. */
void demand_shell_close(struct demand_shell *shell)
{
	free(shell);
}

/* Tells whether a member is another gate that takes calls. */
static bool is_peer(const struct demand_shell *shell, const struct member *member)
{
	return member_is_serving(member) &&
	       member->identity.node_id != gossip_self(shell->options.gossip)->identity.node_id;
}

/* Gives the next peer of the own service after another; NULL starts and ends the walk. */
static const struct member *next_peer(const struct demand_shell *shell, const struct member *last)
{
	const char *service = gossip_self(shell->options.gossip)->service;

	do {
		last = member_next_of_service(shell->options.members, service, last);
	} while (last && !is_peer(shell, last));
	return last;
}

/* Tells the table which other gates take calls. */
static void set_peers(struct demand_shell *shell)
{
	struct node_incarnation lives[DEMAND_PEERS_MAX];
	const struct member *peer = NULL;
	uint32_t count = 0;

	while ((peer = next_peer(shell, peer)) != NULL) {
		if (count < DEMAND_PEERS_MAX)
			lives[count] = peer->identity;
		count++;
	}
	demand_set_peers(&shell->table, lives, count);
}

/* Gives each class of the gate its part. */
static void set_rates(struct demand_shell *shell, uint64_t now_us)
{
	struct gate *gate = shell->options.admission;
	uint64_t rates[CLASSES_PER_SERVICE_MAX] = {0};
	uint64_t all_milli = 0;

	for (uint32_t i = 0; i < shell->config.class_count; i++) {
		const struct class_target *target = &shell->config.classes[i];
		int index = gate_find_class(gate, target->name);
		struct share_demand sum;

		if (index < 0)
			continue;
		demand_sum(&shell->table, i, now_us, &sum);
		rates[index] = share_by_demand_milli(target->calls_per_s, &sum);
		all_milli += rates[index];
	}
	gate_set_rates(gate, rates, now_us);
	counter_set(COUNTER_GATE_RATE, all_milli);
	counter_set(COUNTER_DEMAND_REPORTED, demand_reported(&shell->table, now_us));
}

/* Tells whether there is no stated amount that the gates could share. */
static bool amounts_are_unstated(const struct service_config *config)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (config->classes[i].calls_per_s != CLASS_CALLS_UNSTATED)
			return false;
	}
	return true;
}

/* Takes the members and the configuration as they are now. */
void demand_shell_refresh(struct demand_shell *shell, uint64_t now_us)
{
	const struct member *self = gossip_self(shell->options.gossip);
	const struct service_config *config = NULL;

	if (self->backend != BACKEND_NONE)
		config = config_find(shell->options.config, self->service);
	shell->is_on = config != NULL && !amounts_are_unstated(config);
	if (!shell->is_on)
		return;
	shell->config = *config;
	demand_set_classes(&shell->table, demand_layout_of(config), config->class_count, now_us);
	set_peers(shell);
	set_rates(shell, now_us);
}

/* Counts the calls offered to the gate since the last time. */
static void count(struct demand_shell *shell, uint64_t now_us)
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

/* Sends what is known to a member. */
static void send_to(struct demand_shell *shell, uint64_t node_id, enum demand_message type,
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

/* Tells whether a peer is in the own region. */
static bool is_near(const struct demand_shell *shell, const struct member *peer)
{
	return strcmp(peer->region, gossip_self(shell->options.gossip)->region) == 0;
}

/* Tells whether a peer of another region can be reached. */
static bool is_far(const struct demand_shell *shell, const struct member *peer)
{
	return !is_near(shell, peer) &&
	       gossip_region_is_reachable(shell->options.gossip, peer->region);
}

/* Picks a random peer among those that fit, or NULL. */
static const struct member *pick(struct demand_shell *shell,
				 bool (*fits)(const struct demand_shell *, const struct member *))
{
	const struct member *picked = NULL;
	const struct member *peer = NULL;
	uint32_t seen = 0;

	while ((peer = next_peer(shell, peer)) != NULL) {
		if (fits(shell, peer) && random_below(&shell->rng, ++seen) == 0)
			picked = peer;
	}
	return picked;
}

/* Counts the gates of the own region, this one included. */
static uint32_t count_near(const struct demand_shell *shell)
{
	const struct member *peer = NULL;
	uint32_t near = 1;

	while ((peer = next_peer(shell, peer)) != NULL)
		near += is_near(shell, peer);
	return near;
}

/* Asks one peer for the reports that this gate lacks; one of another region the less often, the
 * more gates of this one can. */
static void ask(struct demand_shell *shell, uint64_t now_us)
{
	bool asks_far = random_below(&shell->rng, FAR_COUNTS * count_near(shell)) == 0;
	const struct member *peer = asks_far ? pick(shell, is_far) : NULL;

	if (!peer)
		peer = pick(shell, is_near);
	if (peer)
		send_to(shell, peer->identity.node_id, DEMAND_REQUEST, now_us);
}

/* Counts, sets the rates and asks a peer once a period. */
void demand_shell_tick(struct demand_shell *shell, uint64_t now_us)
{
	if (now_us < shell->counted_us + DEMAND_PERIOD_US)
		return;
	shell->counted_us = now_us;
	if (!shell->is_on)
		return;
	count(shell, now_us);
	set_rates(shell, now_us);
	if (!demand_is_idle(&shell->table, now_us))
		ask(shell, now_us);
}

/* Takes a message; a question is answered with what the asker lacks. */
void demand_shell_receive(struct demand_shell *shell, uint64_t node_id, const uint8_t *data,
			  size_t size, uint64_t now_us)
{
	enum demand_message type;
	struct error err;

	if (!shell->is_on)
		return;
	if (demand_read(&shell->table, data, size, now_us, &type, &err) != 0) {
		counter_add(COUNTER_DEMAND_REFUSED, 1);
		log_failure(LOG_DEBUG, LOG_PART_GATE, "Demands were refused.", &err);
		return;
	}
	counter_add(COUNTER_DEMAND_RECEIVED, 1);
	if (type == DEMAND_REQUEST)
		send_to(shell, node_id, DEMAND_REPLY, now_us);
}
