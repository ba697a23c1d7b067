/*
 * Config reply: answers to the configuration pulls of peers. The latest answer is kept, since a
 * change makes many peers ask for the same.
 */
#ifndef FESCUEMILLD_NODE_CONFIG_REPLY_H
#define FESCUEMILLD_NODE_CONFIG_REPLY_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/wire/channel.h"

struct config_reply {
	/* Set by the owner. */
	struct channel *channel;
	struct config_store *config;
	const struct evacuation_table *evacuations; /* told to peers; NULL: they are not */
	struct budget *budget;			    /* charged for answers */
	/* The latest answer, and what it depends on. */
	struct message_config_pull request;
	uint64_t revision;
	uint64_t version;
	uint8_t *data; /* NULL: none */
	size_t size;
	uint32_t text_size; /* before it was compressed; 0: it is not compressed */
};

/* Answers a peer's pull. A store that is not ready does not answer. */
void config_reply_send(struct config_reply *reply, const struct channel_route *to,
		       const struct message *pull);
void config_reply_free(struct config_reply *reply);

#endif
