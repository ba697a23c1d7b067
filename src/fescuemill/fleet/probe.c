/*
 * Probes and relayed pings, in two small arrays; sequence number 0 marks a free slot.
 */
#include "fescuemill/fleet/probe.h"

#include <string.h>

/* Returns the next sequence number, which is never 0. */
static uint32_t next_seq(struct probe_list *list)
{
	if (++list->last_seq == 0)
		list->last_seq = 1;
	return list->last_seq;
}

/* Starts a probe of a target. Returns its sequence number, or 0 if all slots are in use or the
 * target is being probed already. */
uint32_t probe_start(struct probe_list *list, uint64_t target, uint64_t now_us)
{
	struct probe *slot = NULL;

	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		struct probe *probe = &list->probes[i];

		if (probe->seq && probe->target == target)
			return 0;
		if (!probe->seq && !slot)
			slot = probe;
	}
	if (!slot)
		return 0;
	slot->seq = next_seq(list);
	slot->target = target;
	slot->sent_us = now_us;
	slot->asked_us = 0;
	slot->indirect_sent = false;
	return slot->seq;
}

/* Returns the probe with a sequence number, or NULL. */
struct probe *probe_find(struct probe_list *list, uint32_t seq)
{
	for (uint32_t i = 0; seq && i < PROBES_MAX; i++) {
		if (list->probes[i].seq == seq)
			return &list->probes[i];
	}
	return NULL;
}

/* Returns true if a probe of a target waits for its ack. */
bool probe_is_pending(const struct probe_list *list, uint64_t target)
{
	for (uint32_t i = 0; i < PROBES_MAX; i++) {
		if (list->probes[i].seq && list->probes[i].target == target)
			return true;
	}
	return false;
}

/* Records a ping on behalf of another node and returns its sequence number. Replaces the oldest
 * relay if all slots are in use. */
uint32_t probe_start_relay(struct probe_list *list, uint32_t origin_seq, uint32_t origin_ip,
			   uint16_t origin_port, uint64_t now_us)
{
	struct relay *slot = &list->relays[0];

	for (uint32_t i = 0; i < RELAYS_MAX; i++) {
		if (list->relays[i].sent_us < slot->sent_us)
			slot = &list->relays[i];
	}
	slot->seq = next_seq(list);
	slot->origin_seq = origin_seq;
	slot->origin_ip = origin_ip;
	slot->origin_port = origin_port;
	slot->sent_us = now_us;
	return slot->seq;
}

/* Ends the probe or relay with a sequence number. Returns true and fills `relay` if the ack must be
 * forwarded. */
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

/* Returns the step that is due for one probe, and a copy of that probe in `due`. For each probe
 * PROBE_SEND_INDIRECT is returned once; PROBE_FAILED ends it. */
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
		if (!probe->indirect_sent &&
		    now_us >= probe->sent_us + GOSSIP_DIRECT_PROBE_TIMEOUT_US) {
			probe->indirect_sent = true;
			return PROBE_SEND_INDIRECT;
		}
	}
	return PROBE_NONE;
}

/* Drops all probes and relays, for instance after a pause in which acks could not be read. */
void probe_clear(struct probe_list *list)
{
	memset(list->probes, 0, sizeof(list->probes));
	memset(list->relays, 0, sizeof(list->relays));
}
