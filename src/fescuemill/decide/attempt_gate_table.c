/*
 * Table of the attempts at the gate. All memory is allocated in attempt_gate_create().
 */
#include "fescuemill/decide/attempt_gate_table.h"

#include "fescuemill/chart/chart.h"

#include <stdlib.h>
#include <string.h>

static uint64_t record_hash(const struct attempt_id *id)
{
	return slot_hash(id->entry.node_id ^ id->entry.incarnation, id->sequence);
}

/* Returns the record of an attempt, or NULL if it is not in the table. */
struct record *record_find(struct attempt_gate *gate, const struct attempt_id *id)
{
	uint32_t slot = slot_map_first(&gate->record_map, record_hash(id));

	for (; slot != SLOT_NONE; slot = slot_map_next(&gate->record_map, slot)) {
		if (attempt_id_equal(&gate->records[slot].id, id))
			return &gate->records[slot];
	}
	return NULL;
}

/* Returns the index of a record. */
uint32_t record_slot(const struct attempt_gate *gate, const struct record *rec)
{
	return (uint32_t)(rec - gate->records);
}

/* Returns the state of an entry node in whatever incarnation, or NULL. */
static struct entry_peer *peer_find(struct attempt_gate *gate, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&gate->peer_map, slot_hash(node_id, 0));

	for (; slot != SLOT_NONE; slot = slot_map_next(&gate->peer_map, slot)) {
		if (gate->peers[slot].identity.node_id == node_id)
			return &gate->peers[slot];
	}
	return NULL;
}

/* Makes room in a full table of entry nodes. Removes the entry that was silent longest of those
 * without attempts here, provided that it was silent for longer than any deadline. Returns false if
 * there is none. */
static bool peer_evict(struct attempt_gate *gate, uint64_t now_us)
{
	struct entry_peer *oldest = NULL;

	for (uint32_t i = 0; i < gate->settings.entries_max; i++) {
		struct entry_peer *peer = &gate->peers[i];

		if (peer->records == 0 && (!oldest || peer->seen_us < oldest->seen_us))
			oldest = peer;
	}
	if (!oldest || now_us < oldest->seen_us + CALL_DEADLINE_US_MAX)
		return false;
	slot_map_remove(&gate->peer_map, slot_hash(oldest->identity.node_id, 0),
			(uint32_t)(oldest - gate->peers));
	return true;
}

/* Returns the state of an entry node, adding it if it is not known. Returns NULL if there is no
 * room. */
struct entry_peer *entry_peer_get(struct attempt_gate *gate,
				  const struct node_incarnation *identity, uint64_t now_us)
{
	struct entry_peer *peer = peer_find(gate, identity->node_id);
	uint32_t slot;

	if (peer)
		return peer;
	if (gate->peer_map.count == gate->peer_map.capacity && !peer_evict(gate, now_us))
		return NULL;
	slot = slot_map_insert(&gate->peer_map, slot_hash(identity->node_id, 0));
	peer = &gate->peers[slot];
	memset(peer, 0, sizeof(*peer));
	peer->identity = *identity;
	return peer;
}

/* Sets the size of the data that the shell stores for a record. */
void record_set_bytes(struct attempt_gate *gate, struct record *rec, uint64_t bytes)
{
	gate->bytes += bytes - rec->bytes;
	rec->bytes = bytes;
}

/* Records that all sequence numbers up to this one, received over one kind of link, must not run
 * any more. */
void entry_peer_forget(struct entry_peer *peer, enum link_kind kind, uint64_t sequence)
{
	if (peer->forgotten[kind] < sequence)
		peer->forgotten[kind] = sequence;
}

/* Adds a record for an attempt. Returns NULL if the table is full. */
struct record *record_add(struct attempt_gate *gate, struct entry_peer *peer,
			  const struct attempt_id *id, uint32_t epoch)
{
	uint32_t slot = slot_map_insert(&gate->record_map, record_hash(id));
	struct record *rec;

	if (slot == SLOT_NONE)
		return NULL;
	rec = &gate->records[slot];
	memset(rec, 0, sizeof(*rec));
	rec->id = *id;
	rec->epoch = epoch;
	rec->state = GATE_ATTEMPT_NEW;
	rec->call_kind = (uint8_t)link_kind_of(epoch);
	rec->outcome = OUTCOME_UNKNOWN;
	peer->records++;
	return rec;
}

/* Removes a record and stores its sequence number as forgotten. */
void record_remove(struct attempt_gate *gate, struct record *rec)
{
	struct entry_peer *peer = peer_find(gate, rec->id.entry.node_id);
	uint32_t slot = record_slot(gate, rec);

	record_set_bytes(gate, rec, 0);
	due_heap_remove(&gate->due, slot);
	if (peer && peer->identity.incarnation == rec->id.entry.incarnation)
		entry_peer_forget(peer, (enum link_kind)rec->call_kind, rec->id.sequence);
	if (peer)
		peer->records--;
	slot_map_remove(&gate->record_map, record_hash(&rec->id), slot);
}

/* Sets the time at which a record is due. */
void record_set_due(struct attempt_gate *gate, const struct record *rec, uint64_t due_us)
{
	due_heap_set(&gate->due, record_slot(gate, rec), due_us);
}

/* Resets the state of an entry node that has a later incarnation, as its epochs and sequence
 * numbers start again. */
void entry_peer_reset(struct entry_peer *peer, uint64_t incarnation)
{
	peer->identity.incarnation = incarnation;
	memset(peer->epochs, 0, sizeof(peer->epochs));
	memset(peer->forgotten, 0, sizeof(peer->forgotten));
}

/* Returns true if an attempt that is not in the table may have been received before. */
bool entry_peer_may_have_received(const struct entry_peer *peer, uint64_t sequence)
{
	for (uint32_t kind = 0; kind < LINK_KIND_COUNT; kind++) {
		if (sequence <= peer->forgotten[kind])
			return true;
	}
	return false;
}

/* Creates an empty table. Errors: ERROR_MEMORY, ERROR_RANGE if live_max is above records_max or
 * entries_max is 0, and those of charts_load(). */
int attempt_gate_create(struct attempt_gate **out, const struct attempt_gate_settings *settings,
			struct error *err)
{
	struct attempt_gate *gate;

	if (charts_load(err))
		return -1;
	if (settings->live_max > settings->records_max || settings->entries_max == 0)
		return error_set(err, ERROR_RANGE, "live_max %u, records_max %u, entries_max %u",
				 settings->live_max, settings->records_max, settings->entries_max);
	gate = calloc(1, sizeof(*gate));
	if (!gate)
		return error_set(err, ERROR_MEMORY, "cannot allocate the attempt table");
	gate->settings = *settings;
	gate->records = calloc(settings->records_max + 1, sizeof(*gate->records));
	gate->peers = calloc(settings->entries_max, sizeof(*gate->peers));
	if (!gate->records || !gate->peers ||
	    slot_map_init(&gate->record_map, settings->records_max, err) ||
	    slot_map_init(&gate->peer_map, settings->entries_max, err) ||
	    due_heap_init(&gate->due, settings->records_max, err)) {
		attempt_gate_destroy(gate);
		return error_set(err, ERROR_MEMORY,
				 "cannot allocate an attempt table of %u records",
				 settings->records_max);
	}
	*out = gate;
	return 0;
}

/* Frees the table. The shell frees the data behind user pointers. */
void attempt_gate_destroy(struct attempt_gate *gate)
{
	if (!gate)
		return;
	slot_map_release(&gate->record_map);
	slot_map_release(&gate->peer_map);
	due_heap_release(&gate->due);
	free(gate->records);
	free(gate->peers);
	free(gate);
}
