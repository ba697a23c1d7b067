/*
 * Gossip packet codec. A packet is the array [version, kind, seq, sender id, sender incarnation,
 * config version, table hash, body, [updates...], fingerprints, [evacuations...], configuration
 * proof]. A compact update has 6 items, a full one 16, an evacuation is [domain, version, ordered].
 * Items at the end that are empty are omitted, one that is followed by another is sent empty; a
 * node that does not know them ignores them.
 */
#include "fescuemill/fleet/gossip_codec.h"

#include "fescuemill/wire/pack.h"
#include "fescuemill/wire/reader.h"

#include <endian.h>
#include <string.h>

#define ENVELOPE_ITEMS		 9
#define PROOF_ITEM		 3 /* position of the proof after the envelope */
#define COMPACT_ITEMS		 6
#define FULL_ITEMS		 16
#define ENVELOPE_BYTES		 64 /* upper bound without the items of variable size */
#define EVACUATION_ITEMS	 3
#define EVACUATION_BASE_BYTES	 13 /* upper bound of an evacuation without its name */
#define EVACUATION_LIST_BYTES	 3  /* upper bound of the list without its items */
#define COMPACT_UPDATE_BYTES_MAX 31 /* upper bound of a compact update */
#define FULL_UPDATE_BASE_BYTES	 60 /* upper bound of a full update without its four names */

static void pack_address(msgpack_packer *pk, const struct node_address *address)
{
	msgpack_pack_uint32(pk, address->ip);
	msgpack_pack_uint16(pk, address->node_port);
	msgpack_pack_uint16(pk, address->gossip_port);
}

static void pack_update(msgpack_packer *pk, const struct gossip_update *update)
{
	const struct member *mb = &update->member;

	msgpack_pack_array(pk, update->is_full_record ? FULL_ITEMS : COMPACT_ITEMS);
	msgpack_pack_uint64(pk, mb->identity.node_id);
	msgpack_pack_uint64(pk, mb->identity.incarnation);
	msgpack_pack_uint32(pk, mb->revision);
	msgpack_pack_uint8(pk, (uint8_t)mb->state);
	msgpack_pack_uint8(pk, (uint8_t)mb->backend);
	msgpack_pack_uint32(pk, mb->slots);
	if (!update->is_full_record)
		return;
	pack_name(pk, mb->name);
	pack_name(pk, mb->region);
	pack_name(pk, mb->domain);
	pack_name(pk, mb->service);
	pack_address(pk, &mb->internal);
	pack_address(pk, &mb->external);
}

/* Packs a list of numbers as one byte string of little-endian 64-bit values. */
static void pack_numbers(msgpack_packer *pk, const uint64_t *numbers, uint32_t count)
{
	uint64_t bytes[GOSSIP_NUMBERS_MAX];

	for (uint32_t i = 0; i < count; i++)
		bytes[i] = htole64(numbers[i]);
	msgpack_pack_bin_with_body(pk, bytes, count * sizeof(bytes[0]));
}

/* Packs the fingerprints as one byte string of little-endian 32-bit values. */
static void pack_fingerprints(msgpack_packer *pk, const struct gossip_packet *packet)
{
	uint32_t bytes[GOSSIP_FINGERPRINTS_MAX];
	uint32_t count = packet->fingerprint_count;

	for (uint32_t i = 0; i < count; i++)
		bytes[i] = htole32(packet->fingerprints[i]);
	msgpack_pack_bin_with_body(pk, bytes, count * sizeof(bytes[0]));
}

static void pack_evacuations(msgpack_packer *pk, const struct gossip_packet *packet)
{
	msgpack_pack_array(pk, packet->evacuation_count);
	for (uint32_t i = 0; i < packet->evacuation_count; i++) {
		const struct evacuation *told = &packet->evacuations[i];

		msgpack_pack_array(pk, EVACUATION_ITEMS);
		pack_name(pk, told->domain);
		msgpack_pack_uint64(pk, told->version);
		msgpack_pack_uint8(pk, told->is_ordered);
	}
}

/* Returns the number of items of a packet. */
static size_t count_items(const struct gossip_packet *packet)
{
	if (packet->proof.is_set)
		return ENVELOPE_ITEMS + PROOF_ITEM;
	if (packet->evacuation_count)
		return ENVELOPE_ITEMS + 2;
	return packet->fingerprint_count ? ENVELOPE_ITEMS + 1 : ENVELOPE_ITEMS;
}

static void pack_proof(msgpack_packer *pk, const struct key_proof_item *proof)
{
	msgpack_pack_array(pk, 2);
	msgpack_pack_uint64(pk, proof->version);
	msgpack_pack_uint32(pk, proof->age_ms);
}

/* Packs the body, which depends on the packet's kind. */
static void pack_body(msgpack_packer *pk, const struct gossip_packet *packet)
{
	switch (packet->kind) {
	case GOSSIP_PING_REQUEST:
		msgpack_pack_uint64(pk, packet->target);
		break;
	case GOSSIP_DIGEST:
		pack_numbers(pk, packet->buckets, GOSSIP_BUCKETS);
		break;
	case GOSSIP_RECORD_REQUEST:
		pack_numbers(pk, packet->requested, packet->requested_count);
		break;
	case GOSSIP_DEMAND:
		msgpack_pack_bin_with_body(pk, packet->demand.data, packet->demand.size);
		break;
	case GOSSIP_ALLOTMENT:
		msgpack_pack_bin_with_body(pk, packet->allotment.data, packet->allotment.size);
		break;
	case GOSSIP_CRASHES:
		msgpack_pack_bin_with_body(pk, packet->crashes.data, packet->crashes.size);
		break;
	default:
		msgpack_pack_nil(pk);
		break;
	}
}

/* Encodes a packet into `data`, which has room for GOSSIP_PACKET_BYTES. */
int gossip_encode(const struct gossip_packet *packet, uint8_t *data, size_t *size,
		  struct error *err)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;
	int result = 0;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, count_items(packet));
	msgpack_pack_uint8(&pk, GOSSIP_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)packet->kind);
	msgpack_pack_uint32(&pk, packet->seq);
	msgpack_pack_uint64(&pk, packet->sender.node_id);
	msgpack_pack_uint64(&pk, packet->sender.incarnation);
	msgpack_pack_uint64(&pk, packet->config_version);
	msgpack_pack_uint64(&pk, packet->table_hash);
	pack_body(&pk, packet);
	msgpack_pack_array(&pk, packet->update_count);
	for (uint32_t i = 0; i < packet->update_count; i++)
		pack_update(&pk, &packet->updates[i]);
	if (packet->fingerprint_count || packet->evacuation_count || packet->proof.is_set)
		pack_fingerprints(&pk, packet);
	if (packet->evacuation_count || packet->proof.is_set)
		pack_evacuations(&pk, packet);
	if (packet->proof.is_set)
		pack_proof(&pk, &packet->proof);
	*size = buffer.size;
	if (!buffer.data)
		result = error_set(err, ERROR_MEMORY, "no memory for a gossip packet");
	else if (buffer.size > GOSSIP_PACKET_BYTES)
		result = error_set(err, ERROR_TOO_LARGE, "gossip packet of %zu bytes is too large",
				   buffer.size);
	else
		memcpy(data, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return result;
}

static void read_address(struct reader *rd, struct node_address *address)
{
	address->ip = (uint32_t)reader_uint(rd, UINT32_MAX);
	address->node_port = (uint16_t)reader_uint(rd, UINT16_MAX);
	address->gossip_port = (uint16_t)reader_uint(rd, UINT16_MAX);
}

/* Reads one update; an update with more items than a compact one is a full one. */
static void read_update(struct reader *outer, struct gossip_update *update)
{
	struct reader rd = reader_array(outer);
	struct member *mb = &update->member;

	mb->identity.node_id = reader_uint(&rd, UINT64_MAX);
	mb->identity.incarnation = reader_uint(&rd, UINT64_MAX);
	mb->revision = (uint32_t)reader_uint(&rd, UINT32_MAX);
	mb->state = (enum member_state)reader_uint(&rd, MEMBER_STATE_COUNT - 1);
	mb->backend = (enum backend_state)reader_uint(&rd, BACKEND_STATE_COUNT - 1);
	mb->slots = (uint32_t)reader_uint(&rd, UINT16_MAX);
	update->is_full_record = reader_has_more(&rd);
	if (update->is_full_record) {
		reader_name(&rd, mb->name, sizeof(mb->name));
		reader_name(&rd, mb->region, sizeof(mb->region));
		reader_name(&rd, mb->domain, sizeof(mb->domain));
		reader_name(&rd, mb->service, sizeof(mb->service));
		read_address(&rd, &mb->internal);
		read_address(&rd, &mb->external);
	}
	outer->failed = outer->failed || rd.failed;
}

static void read_update_list(struct reader *rd, struct gossip_packet *packet)
{
	struct reader list = reader_array(rd);

	while (reader_has_more(&list)) {
		if (packet->update_count == GOSSIP_UPDATES_MAX) {
			reader_fail(&list, ERROR_TOO_LARGE, "gossip packet has too many updates");
			break;
		}
		read_update(&list, &packet->updates[packet->update_count++]);
	}
	rd->failed = rd->failed || list.failed;
}

/* Reads a list of at most GOSSIP_NUMBERS_MAX numbers; returns their count. */
static uint32_t read_numbers(struct reader *rd, uint64_t *numbers)
{
	struct wire_bytes bytes = reader_bytes(rd, GOSSIP_NUMBERS_MAX * sizeof(numbers[0]));
	uint32_t count = bytes.size / sizeof(numbers[0]);

	for (uint32_t i = 0; i < count; i++) {
		memcpy(&numbers[i], bytes.data + i * sizeof(numbers[0]), sizeof(numbers[0]));
		numbers[i] = le64toh(numbers[i]);
	}
	return count;
}

/* Reads the body, which depends on the packet's kind. */
static void read_body(struct reader *rd, struct gossip_packet *packet)
{
	switch (packet->kind) {
	case GOSSIP_PING_REQUEST:
		packet->target = reader_uint(rd, UINT64_MAX);
		return;
	case GOSSIP_DIGEST:
		if (read_numbers(rd, packet->buckets) != GOSSIP_BUCKETS)
			reader_fail(rd, ERROR_RANGE, "digest has the wrong number of buckets");
		return;
	case GOSSIP_RECORD_REQUEST:
		packet->requested_count = read_numbers(rd, packet->requested);
		return;
	case GOSSIP_DEMAND:
		packet->demand = reader_bytes(rd, GOSSIP_DEMAND_BYTES);
		return;
	case GOSSIP_ALLOTMENT:
		packet->allotment = reader_bytes(rd, GOSSIP_ALLOTMENT_BYTES);
		return;
	case GOSSIP_CRASHES:
		packet->crashes = reader_bytes(rd, GOSSIP_CRASH_BYTES);
		return;
	default:
		rd->next++;
		return;
	}
}

/* Reads the fingerprints, which are optional. */
static void read_fingerprints(struct reader *rd, struct gossip_packet *packet)
{
	struct wire_bytes bytes;

	if (!reader_has_more(rd))
		return;
	bytes = reader_bytes(rd, sizeof(packet->fingerprints));
	packet->fingerprint_count = bytes.size / sizeof(packet->fingerprints[0]);
	for (uint32_t i = 0; i < packet->fingerprint_count; i++) {
		uint32_t *fingerprint = &packet->fingerprints[i];

		memcpy(fingerprint, bytes.data + i * sizeof(*fingerprint), sizeof(*fingerprint));
		*fingerprint = le32toh(*fingerprint);
	}
}

/* Reads the evacuations, which are optional. */
static void read_evacuations(struct reader *rd, struct gossip_packet *packet)
{
	struct reader list;

	if (!reader_has_more(rd))
		return;
	list = reader_array(rd);
	while (reader_has_more(&list) && packet->evacuation_count < EVACUATIONS_TOLD) {
		struct evacuation *told = &packet->evacuations[packet->evacuation_count++];
		struct reader item = reader_array(&list);

		memset(told, 0, sizeof(*told));
		reader_name(&item, told->domain, sizeof(told->domain));
		told->version = reader_uint(&item, INT64_MAX);
		told->is_ordered = reader_uint(&item, 1) != 0;
		list.failed = list.failed || item.failed;
	}
	rd->failed = rd->failed || list.failed;
}

/* Reads the configuration proof, which is optional. */
static void read_proof(struct reader *rd, struct gossip_packet *packet)
{
	struct reader inner;

	if (!reader_has_more(rd))
		return;
	inner = reader_array(rd);
	packet->proof.version = reader_uint(&inner, UINT64_MAX);
	packet->proof.age_ms = (uint32_t)reader_uint(&inner, UINT32_MAX);
	packet->proof.is_set = !inner.failed;
	rd->failed = rd->failed || inner.failed;
}

/* Reads the envelope, the body and the updates. */
static int read_packet(const msgpack_object *root, struct gossip_packet *packet, struct error *err)
{
	struct reader rd;

	if (reader_start(&rd, root, err))
		return -1;
	if (reader_uint(&rd, UINT8_MAX) != GOSSIP_VERSION && !rd.failed)
		return error_set(err, ERROR_VERSION, "gossip packet has an unknown version");
	packet->kind = (enum gossip_kind)reader_uint(&rd, UINT8_MAX);
	if (!rd.failed && (packet->kind < GOSSIP_PING || packet->kind >= GOSSIP_KIND_END))
		return error_set(err, ERROR_VERSION, "gossip packet has the unknown kind %d",
				 packet->kind);
	packet->seq = (uint32_t)reader_uint(&rd, UINT32_MAX);
	packet->sender.node_id = reader_uint(&rd, UINT64_MAX);
	packet->sender.incarnation = reader_uint(&rd, UINT64_MAX);
	packet->config_version = reader_uint(&rd, UINT64_MAX);
	packet->table_hash = reader_uint(&rd, UINT64_MAX);
	read_body(&rd, packet);
	read_update_list(&rd, packet);
	read_fingerprints(&rd, packet);
	read_evacuations(&rd, packet);
	read_proof(&rd, packet);
	return rd.failed ? -1 : 0;
}

/* Decodes a packet. The decoded packet's `demand`, `allotment` and `crashes` point into `data`. */
int gossip_decode(const uint8_t *data, size_t size, struct gossip_packet *packet, struct error *err)
{
	msgpack_unpacked unpacked;
	int result;

	memset(packet, 0, offsetof(struct gossip_packet, updates));
	if (size > GOSSIP_PACKET_BYTES)
		return error_set(err, ERROR_TOO_LARGE, "gossip packet of %zu bytes is too large",
				 size);
	if (reader_unpack(data, size, &unpacked, err))
		return -1;
	result = read_packet(&unpacked.data, packet, err);
	msgpack_unpacked_destroy(&unpacked);
	return result;
}

/* Returns an upper bound of the encoded size of an update, in bytes. */
size_t gossip_update_bytes(const struct gossip_update *update)
{
	const struct member *mb = &update->member;

	if (!update->is_full_record)
		return COMPACT_UPDATE_BYTES_MAX;
	return FULL_UPDATE_BASE_BYTES + strlen(mb->name) + strlen(mb->region) + strlen(mb->domain) +
	       strlen(mb->service) + 8;
}

/* Returns the bytes left for updates in a packet without requested ids or buckets. */
size_t gossip_update_room(const struct gossip_packet *packet)
{
	size_t room = GOSSIP_PACKET_BYTES - ENVELOPE_BYTES;

	if (packet->evacuation_count)
		room -= EVACUATION_LIST_BYTES;
	for (uint32_t i = 0; i < packet->evacuation_count; i++)
		room -= EVACUATION_BASE_BYTES + strlen(packet->evacuations[i].domain);
	return room;
}
