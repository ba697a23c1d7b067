/*
 * Config reply: answers to the configuration pulls of peers.
 */
#include "fescuemilld/node/config_reply.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/wire/compress.h"

#include <stdlib.h>
#include <string.h>

/* Smaller texts are sent as they are: compressing them saves no packet. */
#define COMPRESSED_BYTES_MIN 1400

/* Returns true if the latest answer also answers a pull now. */
static bool is_current(const struct config_reply *reply, const struct message_config_pull *pull)
{
	return reply->data && reply->revision == config_revision(reply->config) &&
	       reply->version == config_version(reply->config) &&
	       reply->request.after == pull->after && reply->request.content == pull->content &&
	       reply->request.takes_changes == pull->takes_changes &&
	       reply->request.takes_compressed == pull->takes_compressed;
}

/* Compresses the answer in place, if the peer accepts that and it is worthwhile. */
static int compress(struct config_reply *reply, struct error *err)
{
	uint8_t *data;
	size_t size;

	if (!reply->request.takes_compressed || reply->size < COMPRESSED_BYTES_MIN)
		return 0;
	if (compress_text((const char *)reply->data, reply->size, &data, &size, err) != 0)
		return -1;
	free(reply->data);
	reply->text_size = (uint32_t)reply->size;
	reply->data = data;
	reply->size = size;
	return 0;
}

/* Writes the answer to a pull. Errors: those of config_write_batch() and compress_text(). */
static int write_answer(struct config_reply *reply, const struct message_config_pull *pull,
			struct error *err)
{
	struct config_request request = {pull->after, pull->content, pull->takes_changes};
	char *json;

	config_reply_free(reply);
	if (config_write_batch(reply->config, &request, &json, &reply->size, err) != 0)
		return -1;
	reply->data = (uint8_t *)json;
	reply->text_size = 0;
	reply->request = *pull;
	reply->revision = config_revision(reply->config);
	reply->version = config_version(reply->config);
	return compress(reply, err);
}

/* Answers a peer's pull. */
void config_reply_send(struct config_reply *reply, const struct channel_route *to,
		       const struct message *pull)
{
	struct message msg = {.type = MESSAGE_CONFIG_BODY, .epoch = pull->epoch};
	char *evacuations = NULL;
	struct error err = {0};

	if (!config_is_ready(reply->config))
		return;
	if (!is_current(reply, &pull->config_pull) &&
	    write_answer(reply, &pull->config_pull, &err) != 0) {
		log_failure(LOG_WARNING, LOG_PART_CONFIG,
			    "Configuration for a peer could not be written.", &err);
		return;
	}
	budget_charge(reply->budget, (uint32_t)reply->size + BUDGET_SEGMENT_HEADER_BYTES, false,
		      clock_monotonic_us());
	msg.config_body.ticket = pull->config_pull.ticket;
	msg.config_body.json.data = reply->data;
	msg.config_body.json.size = (uint32_t)reply->size;
	msg.config_body.text_size = reply->text_size;
	if (reply->evacuations && reply->evacuations->is_current)
		evacuations = evacuation_write_text(reply->evacuations);
	if (evacuations) {
		msg.config_body.evacuations.data = (const uint8_t *)evacuations;
		msg.config_body.evacuations.size = (uint32_t)strlen(evacuations);
	}
	counter_add(COUNTER_CONFIG_SENT, reply->size);
	if (channel_reply(reply->channel, to, &msg, &err) != 0)
		log_failure(LOG_DEBUG, LOG_PART_CONFIG,
			    "Configuration could not be sent to a peer.", &err);
	free(evacuations);
}

/* Frees the latest answer. */
void config_reply_free(struct config_reply *reply)
{
	free(reply->data);
	reply->data = NULL;
}
