/*
 * Config pull: fetches configuration from peers. Each request has its own connection, so that a
 * connection on which the peer no longer answers cannot block later requests.
 */
#include "fescuemilld/node/config_pull.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"
#include "fescuemill/wire/compress.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_US	   USEC_PER_SEC		 /* after which an unanswered request ends */
#define PERIOD_US	   (500 * USEC_PER_MSEC) /* minimum time before a request to a random peer */
#define PULL_REQUEST_BYTES 400 /* bytes of the handshake, the request and their headers */

struct config_pull {
	struct config_pull_options options;
	struct random rng;
	struct channel_link *link; /* NULL while no request is in progress */
	uint64_t requested_us;
	bool crosses_link; /* the current request uses the link between regions */
};

/* Opens a pull without a request. Errors: ERROR_MEMORY. */
int config_pull_open(struct config_pull **out, const struct config_pull_options *options,
		     struct error *err)
{
	struct config_pull *pull = calloc(1, sizeof(*pull));

	if (!pull)
		return error_set(err, ERROR_MEMORY, "no memory for configuration pulls");
	pull->options = *options;
	random_seed(&pull->rng, options->seed);
	*out = pull;
	return 0;
}

/* Closes the connection of the current request, if there is one. */
static void end_request(struct config_pull *pull)
{
	if (pull->link)
		channel_link_close(pull->link);
	pull->link = NULL;
}

/* Ends the current request and frees the pull. */
void config_pull_close(struct config_pull *pull)
{
	end_request(pull);
	free(pull);
}

/* Applies the configuration of a peer, decompressed if it is compressed. Errors: those of
 * decompress_text() and config_apply_peer_batch(). */
static int apply_body(struct config_pull *pull, const struct message_config_body *body,
		      struct error *err)
{
	const char *json = (const char *)body->json.data;
	char *text;
	int result;

	if (body->text_size == 0)
		return config_apply_peer_batch(pull->options.config, body->ticket, json,
					       body->json.size, err);
	if (decompress_text(body->json.data, body->json.size, body->text_size, &text, err) != 0)
		return -1;
	result = config_apply_peer_batch(pull->options.config, body->ticket, text, body->text_size,
					 err);
	free(text);
	return result;
}

/* Applies the evacuations that a peer knows. If this answers a request of after the start or the
 * last pause of the process, this node knows them all. */
static void apply_evacuations(struct config_pull *pull, const struct message_config_body *body,
			      bool is_current)
{
	struct evacuation_table *table = pull->options.evacuations;
	uint64_t now_us = clock_monotonic_us();
	struct error err = {0};

	if (!table || body->evacuations.size == 0)
		return;
	if (evacuation_apply_text(table, (const char *)body->evacuations.data,
				  body->evacuations.size, now_us, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "Evacuations from a peer were rejected.",
			    &err);
	else if (is_current)
		evacuation_set_current(table, now_us);
}

/* Applies the configuration in a peer's answer and ends the request. */
static void on_message(void *user, const struct message *msg)
{
	struct config_pull *pull = user;
	const struct message_config_body *body = &msg->config_body;
	bool is_current = body->ticket == config_ticket(pull->options.config);
	struct error err = {0};

	if (msg->type != MESSAGE_CONFIG_BODY)
		return;
	apply_evacuations(pull, body, is_current);
	counter_add(COUNTER_CONFIG_RECEIVED, body->json.size);
	log_write(LOG_INFO, LOG_PART_CONFIG, "A peer sent configuration.",
		  "bytes=%u after_us=%" PRIu64 " known_version=%" PRIu64, body->json.size,
		  clock_monotonic_us() - pull->requested_us, config_version(pull->options.config));
	budget_charge(pull->options.budget, body->json.size + BUDGET_SEGMENT_HEADER_BYTES,
		      pull->crosses_link, clock_monotonic_us());
	if (apply_body(pull, body, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "Configuration from a peer was rejected.",
			    &err);
	end_request(pull);
}

/* Sends the request over the new connection. */
static void send_request(struct config_pull *pull)
{
	const struct config_store *config = pull->options.config;
	struct message msg = {.type = MESSAGE_CONFIG_PULL};
	struct error err;

	msg.config_pull.after = config_version(config);
	msg.config_pull.content = config_content_hash(config);
	msg.config_pull.ticket = config_ticket(config);
	msg.config_pull.takes_changes = config_takes_changes(config);
	msg.config_pull.takes_compressed = true;
	counter_add(COUNTER_CONFIG_PULLS, 1);
	if (channel_link_send(pull->link, &msg, &err) != 0)
		end_request(pull);
}

/* Starts a request to a member if the budget allows it. */
static void start_request(struct config_pull *pull, const struct member *member, uint64_t now_us)
{
	bool is_same_region = strcmp(member->region, pull->options.region) == 0;
	const struct node_address *address = member_node_address(member, pull->options.region);
	struct error err;

	pull->requested_us = now_us;
	pull->crosses_link = !is_same_region;
	if (!budget_take(pull->options.budget, PULL_REQUEST_BYTES, !is_same_region, now_us))
		return;
	if (channel_link_open(pull->options.channel, address->ip, address->node_port, on_message,
			      pull, &pull->link, &err) != 0) {
		pull->link = NULL;
		log_failure(LOG_WARNING, LOG_PART_CONFIG,
			    "A connection to a peer could not be opened to fetch configuration.",
			    &err);
		return;
	}
	send_request(pull);
}

/* Returns true if a member can answer requests: it is alive or leaving, and not this node. */
static bool can_answer(const struct config_pull *pull, const struct member *member)
{
	return member->identity.node_id != pull->options.self_id &&
	       (member->state == MEMBER_ALIVE || member->state == MEMBER_LEAVING);
}

/* Picks a random member, one of this node's region if possible. Returns NULL if there is none. */
static const struct member *pick_peer(struct config_pull *pull)
{
	const struct member_table *members = pull->options.members;
	size_t count = member_count(members);
	size_t start = count ? random_below(&pull->rng, (uint32_t)count) : 0;
	const struct member *other_region_peer = NULL;

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(members, (start + i) % count);

		if (!can_answer(pull, member))
			continue;
		if (strcmp(member->region, pull->options.region) == 0)
			return member;
		other_region_peer = member;
	}
	return other_region_peer;
}

/* Sends a request to a peer that has a newer version, unless a request is in progress. */
void config_pull_from_peer(struct config_pull *pull, uint64_t node_id, uint64_t now_us)
{
	const struct member *member = member_find(pull->options.members, node_id);

	if (!pull->link && member && can_answer(pull, member))
		start_request(pull, member, now_us);
}

/* Counts and logs a request that ends without an answer. */
static void record_unanswered(const struct config_pull *pull, uint64_t now_us)
{
	counter_add(COUNTER_CONFIG_PULLS_UNANSWERED, 1);
	log_write(LOG_INFO, LOG_PART_CONFIG, "A peer sent no configuration in time.",
		  "after_us=%" PRIu64 " known_version=%" PRIu64, now_us - pull->requested_us,
		  config_version(pull->options.config));
}

/* Ends a request that got no answer in time. Then sends the next one to a random peer while the
 * configuration is outdated or not ready, or the evacuations in force are not known. */
void config_pull_tick(struct config_pull *pull, uint64_t now_us)
{
	const struct config_store *config = pull->options.config;
	const struct evacuation_table *evacuations = pull->options.evacuations;
	const struct member *member;

	if (pull->link && now_us < pull->requested_us + TIMEOUT_US)
		return;
	if (pull->link)
		record_unanswered(pull, now_us);
	end_request(pull);
	if (config_is_ready(config) && !config_is_behind(config) &&
	    (!evacuations || evacuations->is_current))
		return;
	if (now_us < pull->requested_us + PERIOD_US)
		return;
	member = pick_peer(pull);
	if (member)
		start_request(pull, member, now_us);
}
