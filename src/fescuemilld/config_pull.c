/*
 * Config pull: fetches configuration from peers over a connection of its own for each question, so
 * that a connection gone silent cannot stand in the way.
 */
#include "fescuemilld/config_pull.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_US    USEC_PER_SEC
#define PERIOD_US     (500 * USEC_PER_MSEC)
#define QUESTION_COST 400 /* bytes of the handshake, the question and their headers */

struct config_pull {
	struct config_pull_options options;
	struct random rng;
	struct channel_link *link; /* NULL while no question is open */
	uint64_t asked_us;
	bool crosses_link;
};

/* Opens a pull that asks nobody yet. Errors: ERROR_MEMORY. */
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

/* Ends the open question. */
static void end_question(struct config_pull *pull)
{
	if (pull->link)
		channel_link_close(pull->link);
	pull->link = NULL;
}

/* Frees a pull. */
void config_pull_close(struct config_pull *pull)
{
	end_question(pull);
	free(pull);
}

/* Takes a peer's answer. */
static void on_message(void *user, const struct message *msg)
{
	struct config_pull *pull = user;
	const struct message_config_body *body = &msg->config_body;
	struct error err = {0};

	if (msg->type != MESSAGE_CONFIG_BODY)
		return;
	budget_charge(pull->options.budget, body->json.size + BUDGET_SEGMENT_HEADER_BYTES,
		      pull->crosses_link, clock_monotonic_us());
	if (config_apply_peer_batch(pull->options.config, body->ticket,
				    (const char *)body->json.data, body->json.size, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "A peer's answer was refused.", &err);
	end_question(pull);
}

/* Sends the question over the new link. */
static void ask(struct config_pull *pull)
{
	const struct config_store *config = pull->options.config;
	struct message msg = {.type = MESSAGE_CONFIG_PULL};
	struct error err;

	msg.config_pull.after = config_version(config);
	msg.config_pull.content = config_content(config);
	msg.config_pull.ticket = config_ticket(config);
	if (channel_link_send(pull->link, &msg, &err) != 0)
		end_question(pull);
}

/* Opens a question to a member when the budget allows it. */
static void ask_member(struct config_pull *pull, const struct member *member, uint64_t now_us)
{
	bool is_near = strcmp(member->region, pull->options.region) == 0;
	const struct node_address *address = member_node_address(member, pull->options.region);
	struct error err;

	pull->asked_us = now_us;
	pull->crosses_link = !is_near;
	if (!budget_take(pull->options.budget, QUESTION_COST, !is_near, now_us))
		return;
	if (channel_link_open(pull->options.channel, address->ip, address->node_port, on_message,
			      pull, &pull->link, &err) != 0) {
		pull->link = NULL;
		log_failure(LOG_WARNING, LOG_PART_CONFIG, "A peer cannot be asked.", &err);
		return;
	}
	ask(pull);
}

/* Tells whether a member can answer questions. */
static bool can_answer(const struct config_pull *pull, const struct member *member)
{
	return member->identity.node_id != pull->options.self_id &&
	       (member->state == MEMBER_ALIVE || member->state == MEMBER_LEAVING);
}

/* Picks a random member, one of the own region if there is any. */
static const struct member *pick(struct config_pull *pull)
{
	const struct member_table *members = pull->options.members;
	size_t count = member_count(members);
	size_t start = count ? random_below(&pull->rng, (uint32_t)count) : 0;
	const struct member *far = NULL;

	for (size_t i = 0; i < count; i++) {
		const struct member *member = member_at(members, (start + i) % count);

		if (!can_answer(pull, member))
			continue;
		if (strcmp(member->region, pull->options.region) == 0)
			return member;
		far = member;
	}
	return far;
}

/* Asks a peer that is known to have something newer, unless a question is open. */
void config_pull_from(struct config_pull *pull, uint64_t node_id, uint64_t now_us)
{
	const struct member *member = member_find(pull->options.members, node_id);

	if (!pull->link && member && can_answer(pull, member))
		ask_member(pull, member, now_us);
}

/* Asks a random peer while this node is behind or not ready. */
void config_pull_tick(struct config_pull *pull, uint64_t now_us)
{
	const struct config_store *config = pull->options.config;
	const struct member *member;

	if (pull->link && now_us < pull->asked_us + TIMEOUT_US)
		return;
	end_question(pull);
	if (config_is_ready(config) && !config_is_behind(config))
		return;
	if (now_us < pull->asked_us + PERIOD_US)
		return;
	member = pick(pull);
	if (member)
		ask_member(pull, member, now_us);
}
