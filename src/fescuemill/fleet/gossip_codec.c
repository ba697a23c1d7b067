/*
 * Codec of gossip packets: [version, kind, seq, sender id, sender incarnation, config version,
 * table hash, body, [news...], fingerprints]. Brief news has 6 items, whole news 16. Fingerprints
 * are left out when there are none; a node that does not know them passes over them.
 */
#include "fescuemill/fleet/gossip_codec.h"

#include "fescuemill/wire/pack.h"
#include "fescuemill/wire/reader.h"

#include <endian.h>
#include <string.h>

#define ENVELOPE_ITEMS	9
#define BRIEF_ITEMS	6
#define WHOLE_ITEMS	16
#define ENVELOPE_BYTES	64 /* bound of all but wants, buckets, news and each fingerprint */
#define BRIEF_NEWS_MAX	31 /* bound of brief news in bytes */
#define WHOLE_NEWS_BASE 60 /* bound of whole news in bytes without its four names */

/* Packs the items of an address. */
static void pack_address(msgpack_packer *pk, const struct node_address *address)
{
	msgpack_pack_uint32(pk, address->ip);
	msgpack_pack_uint16(pk, address->node_port);
	msgpack_pack_uint16(pk, address->gossip_port);
}

/* Packs one piece of news. */
static void pack_news(msgpack_packer *pk, const struct gossip_news *news)
{
	const struct member *mb = &news->member;

	msgpack_pack_array(pk, news->whole ? WHOLE_ITEMS : BRIEF_ITEMS);
	msgpack_pack_uint64(pk, mb->identity.node_id);
	msgpack_pack_uint64(pk, mb->identity.incarnation);
	msgpack_pack_uint32(pk, mb->revision);
	msgpack_pack_uint8(pk, (uint8_t)mb->state);
	msgpack_pack_uint8(pk, (uint8_t)mb->backend);
	msgpack_pack_uint32(pk, mb->slots);
	if (!news->whole)
		return;
	pack_name(pk, mb->name);
	pack_name(pk, mb->region);
	pack_name(pk, mb->domain);
	pack_name(pk, mb->service);
	pack_address(pk, &mb->internal);
	pack_address(pk, &mb->external);
}

/* Packs a list of numbers as bytes, least significant first. */
static void pack_numbers(msgpack_packer *pk, const uint64_t *numbers, uint32_t count)
{
	uint64_t bytes[GOSSIP_NUMBERS_MAX];

	for (uint32_t i = 0; i < count; i++)
		bytes[i] = htole64(numbers[i]);
	msgpack_pack_bin_with_body(pk, bytes, count * sizeof(bytes[0]));
}

/* Packs the fingerprints as bytes, least significant first. */
static void pack_fingerprints(msgpack_packer *pk, const struct gossip_packet *packet)
{
	uint32_t bytes[GOSSIP_FINGERPRINTS_MAX];
	uint32_t count = packet->fingerprint_count;

	for (uint32_t i = 0; i < count; i++)
		bytes[i] = htole32(packet->fingerprints[i]);
	msgpack_pack_bin_with_body(pk, bytes, count * sizeof(bytes[0]));
}

/* Packs the part that belongs to the packet's kind. */
static void pack_body(msgpack_packer *pk, const struct gossip_packet *packet)
{
	switch (packet->kind) {
	case GOSSIP_PING_REQUEST:
		msgpack_pack_uint64(pk, packet->target);
		break;
	case GOSSIP_DIGEST:
		pack_numbers(pk, packet->buckets, GOSSIP_BUCKETS);
		break;
	case GOSSIP_WANT:
		pack_numbers(pk, packet->wants, packet->want_count);
		break;
	case GOSSIP_DEMAND:
		msgpack_pack_bin_with_body(pk, packet->demand.data, packet->demand.size);
		break;
	default:
		msgpack_pack_nil(pk);
		break;
	}
}

/* Encodes a packet into GOSSIP_PACKET_BYTES at data. */
int gossip_encode(const struct gossip_packet *packet, uint8_t *data, size_t *size,
		  struct error *err)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;
	int result = 0;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ENVELOPE_ITEMS + (packet->fingerprint_count > 0));
	msgpack_pack_uint8(&pk, GOSSIP_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)packet->kind);
	msgpack_pack_uint32(&pk, packet->seq);
	msgpack_pack_uint64(&pk, packet->sender.node_id);
	msgpack_pack_uint64(&pk, packet->sender.incarnation);
	msgpack_pack_uint64(&pk, packet->config_version);
	msgpack_pack_uint64(&pk, packet->table_hash);
	pack_body(&pk, packet);
	msgpack_pack_array(&pk, packet->news_count);
	for (uint32_t i = 0; i < packet->news_count; i++)
		pack_news(&pk, &packet->news[i]);
	if (packet->fingerprint_count)
		pack_fingerprints(&pk, packet);
	*size = buffer.size;
	if (!buffer.data)
		result = error_set(err, ERROR_MEMORY, "no memory for a packet");
	else if (buffer.size > GOSSIP_PACKET_BYTES)
		result = error_set(err, ERROR_TOO_LARGE, "packet of %zu bytes", buffer.size);
	else
		memcpy(data, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return result;
}

/* Reads the three items of an address. */
static void read_address(struct reader *rd, struct node_address *address)
{
	address->ip = (uint32_t)reader_uint(rd, UINT32_MAX);
	address->node_port = (uint16_t)reader_uint(rd, UINT16_MAX);
	address->gossip_port = (uint16_t)reader_uint(rd, UINT16_MAX);
}

/* Reads one piece of news. */
static void read_news(struct reader *outer, struct gossip_news *news)
{
	struct reader rd = reader_array(outer);
	struct member *mb = &news->member;

	mb->identity.node_id = reader_uint(&rd, UINT64_MAX);
	mb->identity.incarnation = reader_uint(&rd, UINT64_MAX);
	mb->revision = (uint32_t)reader_uint(&rd, UINT32_MAX);
	mb->state = (enum member_state)reader_uint(&rd, MEMBER_STATE_COUNT - 1);
	mb->backend = (enum backend_state)reader_uint(&rd, BACKEND_STATE_COUNT - 1);
	mb->slots = (uint32_t)reader_uint(&rd, UINT16_MAX);
	news->whole = reader_has_more(&rd);
	if (news->whole) {
		reader_name(&rd, mb->name, sizeof(mb->name));
		reader_name(&rd, mb->region, sizeof(mb->region));
		reader_name(&rd, mb->domain, sizeof(mb->domain));
		reader_name(&rd, mb->service, sizeof(mb->service));
		read_address(&rd, &mb->internal);
		read_address(&rd, &mb->external);
	}
	outer->failed = outer->failed || rd.failed;
}

/* Reads the list of news. */
static void read_news_list(struct reader *rd, struct gossip_packet *packet)
{
	struct reader list = reader_array(rd);

	while (reader_has_more(&list)) {
		if (packet->news_count == GOSSIP_NEWS_MAX) {
			reader_fail(&list, ERROR_TOO_LARGE, "too much news");
			break;
		}
		read_news(&list, &packet->news[packet->news_count++]);
	}
	rd->failed = rd->failed || list.failed;
}

/* Reads a list of at most GOSSIP_NUMBERS_MAX numbers; returns how many there were. */
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

/* Reads the part that belongs to the packet's kind. */
static void read_body(struct reader *rd, struct gossip_packet *packet)
{
	switch (packet->kind) {
	case GOSSIP_PING_REQUEST:
		packet->target = reader_uint(rd, UINT64_MAX);
		return;
	case GOSSIP_DIGEST:
		if (read_numbers(rd, packet->buckets) != GOSSIP_BUCKETS)
			reader_fail(rd, ERROR_RANGE, "bad number of buckets");
		return;
	case GOSSIP_WANT:
		packet->want_count = read_numbers(rd, packet->wants);
		return;
	case GOSSIP_DEMAND:
		packet->demand = reader_bytes(rd, GOSSIP_DEMAND_BYTES);
		return;
	default:
		rd->next++;
		return;
	}
}

/* Reads the fingerprints, which a packet may lack. */
static void read_fingerprints(struct reader *rd, struct gossip_packet *packet)
{
	struct wire_bytes bytes;

	if (!reader_has_more(rd))
		return;
	bytes = reader_bytes(rd, sizeof(packet->fingerprints));
	packet->fingerprint_count = bytes.size / sizeof(packet->fingerprints[0]);
	for (uint32_t i = 0; i < packet->fingerprint_count; i++) {
		uint32_t *print = &packet->fingerprints[i];

		memcpy(print, bytes.data + i * sizeof(*print), sizeof(*print));
		*print = le32toh(*print);
	}
}

/* Reads the envelope, the body and the news. */
static int read_packet(const msgpack_object *root, struct gossip_packet *packet, struct error *err)
{
	struct reader rd;

	if (reader_start(&rd, root, err))
		return -1;
	if (reader_uint(&rd, UINT8_MAX) != GOSSIP_VERSION && !rd.failed)
		return error_set(err, ERROR_VERSION, "packet of an unknown version");
	packet->kind = (enum gossip_kind)reader_uint(&rd, UINT8_MAX);
	if (!rd.failed && (packet->kind < GOSSIP_PING || packet->kind >= GOSSIP_KIND_END))
		return error_set(err, ERROR_VERSION, "packet of unknown kind %d", packet->kind);
	packet->seq = (uint32_t)reader_uint(&rd, UINT32_MAX);
	packet->sender.node_id = reader_uint(&rd, UINT64_MAX);
	packet->sender.incarnation = reader_uint(&rd, UINT64_MAX);
	packet->config_version = reader_uint(&rd, UINT64_MAX);
	packet->table_hash = reader_uint(&rd, UINT64_MAX);
	read_body(&rd, packet);
	read_news_list(&rd, packet);
	read_fingerprints(&rd, packet);
	return rd.failed ? -1 : 0;
}

/* Decodes a packet. Its demand borrows from data. */
int gossip_decode(const uint8_t *data, size_t size, struct gossip_packet *packet, struct error *err)
{
	msgpack_unpacked unpacked;
	int result;

	memset(packet, 0, offsetof(struct gossip_packet, news));
	if (size > GOSSIP_PACKET_BYTES)
		return error_set(err, ERROR_TOO_LARGE, "packet of %zu bytes", size);
	if (reader_unpack(data, size, &unpacked, err))
		return -1;
	result = read_packet(&unpacked.data, packet, err);
	msgpack_unpacked_destroy(&unpacked);
	return result;
}

/* Bounds the bytes that a piece of news takes. */
size_t gossip_news_bytes(const struct gossip_news *news)
{
	const struct member *mb = &news->member;

	if (!news->whole)
		return BRIEF_NEWS_MAX;
	return WHOLE_NEWS_BASE + strlen(mb->name) + strlen(mb->region) + strlen(mb->domain) +
	       strlen(mb->service) + 8;
}

/* Gives the room for news in a packet without wants or buckets. */
size_t gossip_news_room(void)
{
	return GOSSIP_PACKET_BYTES - ENVELOPE_BYTES;
}
