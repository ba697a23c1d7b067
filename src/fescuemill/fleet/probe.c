/*
 * Probes: two small arrays; a sequence of 0 marks a free place.
 */
#include "fescuemill/fleet/probe.h"

#include <string.h>

/* Gives the next sequence, which is never 0. */
static uint32_t next_seq(struct probe_list *list)
{
	if (++list->last_seq == 0)
		list->last_seq = 1;
	return list->last_seq;
}

/* Starts a probe of a target. */
uint32_t probe_start(struct probe_list *list, uint64_t target, uint64_t now_us)
{
	struct probe *place = NULL;

	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		struct probe *probe = &list->probes[i];

		if (probe->seq && probe->target == target)
			return 0;
		if (!probe->seq && !place)
			place = probe;
	}
	if (!place)
		return 0;
	place->seq = next_seq(list);
	place->target = target;
	place->sent_us = now_us;
	place->asked_others = false;
	return place->seq;
}

/* Tells whether a probe of a target waits for its ack. */
bool probe_is_under_way(const struct probe_list *list, uint64_t target)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		if (list->probes[i].seq && list->probes[i].target == target)
			return true;
	}
	return false;
}

/* Notes a ping on behalf of another node; the oldest gives way when there is no place. */
uint32_t probe_start_relay(struct probe_list *list, uint32_t origin_seq, uint32_t origin_ip,
			   uint16_t origin_port, uint64_t now_us)
{
	struct relay *place = &list->relays[0];

	for (uint32_t i = 0; i < RELAYS_MAX; i++) {
		if (list->relays[i].sent_us < place->sent_us)
			place = &list->relays[i];
	}
	place->seq = next_seq(list);
	place->origin_seq = origin_seq;
	place->origin_ip = origin_ip;
	place->origin_port = origin_port;
	place->sent_us = now_us;
	return place->seq;
}

/* Ends what waits for a sequence. Returns true and fills relay when an ack must be passed on. */
bool probe_end(struct probe_list *list, uint32_t seq, struct relay *relay)
{
	if (seq == 0)
		return false;
	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		if (list->probes[i].seq == seq)
			list->probes[i].seq = 0;
	}
	for (uint32_t i = 0; i < RELAYS_MAX; i++) {
		if (list->relays[i].seq != seq)
			continue;
		*relay = list->relays[i];
		memset(&list->relays[i], 0, sizeof(list->relays[i]));
		return true;
	}
	return false;
}

/* Gives one probe for which something is due: others are asked once, then it fails and ends. */
enum probe_step probe_next_due(struct probe_list *list, uint64_t now_us, struct probe *due)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		struct probe *probe = &list->probes[i];

		if (!probe->seq)
			continue;
		*due = *probe;
		if (now_us >= probe->sent_us + GOSSIP_PROBE_TIMEOUT_US) {
			probe->seq = 0;
			return PROBE_FAILED;
		}
		if (!probe->asked_others && now_us >= probe->sent_us + GOSSIP_DIRECT_TIMEOUT_US) {
			probe->asked_others = true;
			return PROBE_ASK_OTHERS;
		}
	}
	return PROBE_NONE;
}

/* Forgets all, for instance after a pause in which acks could not be read. */
void probe_forget_all(struct probe_list *list)
{
	memset(list->probes, 0, sizeof(list->probes));
	memset(list->relays, 0, sizeof(list->relays));
}
