/*
 * Codec of the messages between nodes. A message is [version, type, epoch, entry id, entry
 * incarnation, sequence, [fields...]]. New fields are only ever appended: a decoder ignores
 * trailing fields that it does not know.
 */
#include "fescuemill/wire/codec.h"

#include "fescuemill/decide/retry.h"
#include "fescuemill/wire/pack.h"
#include "fescuemill/wire/reader.h"

#include <string.h>

#define ENVELOPE_ITEMS 7

/* Encoded bytes. has_failed: a part of them did not fit into memory. */
struct encoded {
	msgpack_sbuffer buffer;
	bool has_failed;
};

/* Appends packed bytes. After a failure nothing more is appended. Returns -1 if out of memory. */
static int append(void *user, const char *bytes, size_t size)
{
	struct encoded *out = user;

	out->has_failed = out->has_failed || msgpack_sbuffer_write(&out->buffer, bytes, size) != 0;
	return out->has_failed ? -1 : 0;
}

static void pack_bytes(msgpack_packer *pk, const struct wire_bytes *bytes)
{
	msgpack_pack_bin_with_body(pk, bytes->data, bytes->size);
}

/* Packs a list of headers as one flat array of names and values. */
static void pack_headers(msgpack_packer *pk, const struct wire_headers *headers)
{
	msgpack_pack_array(pk, 2 * (size_t)headers->count);
	for (uint32_t i = 0; i < headers->count; i++) {
		pack_bytes(pk, &headers->list[i].name);
		pack_bytes(pk, &headers->list[i].value);
	}
}

static void pack_load(msgpack_packer *pk, const struct gate_load *load)
{
	msgpack_pack_array(pk, load->has_cold_room ? 9 : 8);
	msgpack_pack_uint32(pk, load->in_use);
	msgpack_pack_uint32(pk, load->limit);
	msgpack_pack_uint32(pk, load->queued);
	msgpack_pack_uint32(pk, load->service_time_us);
	msgpack_pack_uint32(pk, load->wait_us);
	msgpack_pack_uint8(pk, load->state);
	msgpack_pack_uint32(pk, load->slowdown_percent);
	msgpack_pack_uint32(pk, load->rate_limit_milli);
	if (load->has_cold_room)
		msgpack_pack_uint16(pk, load->cold_room);
}

static void pack_notice(msgpack_packer *pk, const struct server_notice *notice)
{
	msgpack_pack_array(pk, 5);
	msgpack_pack_uint64(pk, notice->instance);
	msgpack_pack_uint64(pk, notice->started_ms);
	msgpack_pack_uint8(pk, notice->has_rate_limit);
	msgpack_pack_uint8(pk, notice->is_leaving);
	msgpack_pack_uint32(pk, notice->rate_limit_milli);
}

/* Packs the customer of a call and the regions in which it may be served. */
static void pack_placement(msgpack_packer *pk, const struct message_call *call)
{
	msgpack_pack_array(pk, 2 + (size_t)call->regions.count);
	msgpack_pack_uint64(pk, call->customer);
	msgpack_pack_uint8(pk, call->regions.is_limited);
	for (uint8_t i = 0; i < call->regions.count; i++)
		msgpack_pack_uint32(pk, call->regions.regions[i]);
}

static void pack_call(msgpack_packer *pk, const struct message_call *call)
{
	bool has_placement = call->customer || call->regions.is_limited;

	msgpack_pack_array(pk, has_placement ? 17 : 16);
	msgpack_pack_uint64(pk, call->gate_incarnation);
	pack_name(pk, call->service);
	pack_name(pk, call->class_name);
	msgpack_pack_uint64(pk, call->time_left_us);
	msgpack_pack_uint32(pk, call->depth);
	msgpack_pack_uint32(pk, call->retries_left);
	msgpack_pack_uint8(pk, call->idempotent);
	pack_bytes(pk, &call->key);
	pack_bytes(pk, &call->method);
	pack_bytes(pk, &call->path);
	pack_headers(pk, &call->headers);
	pack_bytes(pk, &call->body);
	msgpack_pack_uint8(pk, call->has_wait_limit);
	msgpack_pack_uint32(pk, call->wait_max_us);
	msgpack_pack_uint32(pk, call->repeat_permille);
	pack_notice(pk, &call->notice);
	if (has_placement)
		pack_placement(pk, call);
}

static void pack_proof(msgpack_packer *pk, const struct key_proof_item *proof)
{
	msgpack_pack_array(pk, 2);
	msgpack_pack_uint64(pk, proof->version);
	msgpack_pack_uint32(pk, proof->age_ms);
}

static void pack_answer(msgpack_packer *pk, const struct message_answer *answer)
{
	msgpack_pack_array(pk, answer->proof.is_set ? 11 : 10);
	msgpack_pack_uint8(pk, (uint8_t)answer->outcome);
	msgpack_pack_uint8(pk, (uint8_t)answer->reason);
	msgpack_pack_uint64(pk, answer->gate_incarnation);
	pack_load(pk, &answer->load);
	msgpack_pack_uint32(pk, answer->status);
	msgpack_pack_uint32(pk, answer->server_us);
	msgpack_pack_uint32(pk, answer->gate_queue_us);
	pack_headers(pk, &answer->headers);
	pack_bytes(pk, &answer->body);
	pack_notice(pk, &answer->notice);
	if (answer->proof.is_set)
		pack_proof(pk, &answer->proof);
}

/* Packs the fields of the message's type. */
static void pack_fields(msgpack_packer *pk, const struct message *msg)
{
	switch (msg->type) {
	case MESSAGE_CALL:
		pack_call(pk, &msg->call);
		break;
	case MESSAGE_ANSWER:
		pack_answer(pk, &msg->answer);
		break;
	case MESSAGE_HELD:
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, msg->held.gate_incarnation);
		msgpack_pack_uint32(pk, msg->held.body_size);
		break;
	case MESSAGE_ASK:
		msgpack_pack_array(pk, 1);
		msgpack_pack_uint64(pk, msg->ask.gate_incarnation);
		break;
	case MESSAGE_PONG:
		msgpack_pack_array(pk, msg->pong.proof.is_set ? 4 : 3);
		msgpack_pack_uint64(pk, msg->pong.gate_incarnation);
		pack_load(pk, &msg->pong.load);
		pack_notice(pk, &msg->pong.notice);
		if (msg->pong.proof.is_set)
			pack_proof(pk, &msg->pong.proof);
		break;
	case MESSAGE_CONFIG_PULL:
		msgpack_pack_array(pk, 5);
		msgpack_pack_uint64(pk, msg->config_pull.after);
		msgpack_pack_uint64(pk, msg->config_pull.content);
		msgpack_pack_uint64(pk, msg->config_pull.ticket);
		msgpack_pack_uint8(pk, msg->config_pull.takes_changes);
		msgpack_pack_uint8(pk, msg->config_pull.takes_compressed);
		break;
	case MESSAGE_CONFIG_BODY:
		msgpack_pack_array(pk, msg->config_body.evacuations.size ? 4 : 3);
		msgpack_pack_uint64(pk, msg->config_body.ticket);
		pack_bytes(pk, &msg->config_body.json);
		msgpack_pack_uint32(pk, msg->config_body.text_size);
		if (msg->config_body.evacuations.size)
			pack_bytes(pk, &msg->config_body.evacuations);
		break;
	default:
		msgpack_pack_array(pk, 0);
		break;
	}
}

/* Refuses oversized messages, which the decoder would refuse too, so that the error appears at the
 * sender. */
static int check_sizes(const struct message *msg, struct error *err)
{
	if (msg->type == MESSAGE_CALL && (msg->call.body.size > CALL_BODY_BYTES_MAX ||
					  msg->call.headers.count > WIRE_HEADERS_MAX))
		return error_set(err, ERROR_TOO_LARGE,
				 "call is too large: body of %u bytes or too many headers",
				 msg->call.body.size);
	if (msg->type == MESSAGE_ANSWER && (msg->answer.body.size > CALL_BODY_BYTES_MAX ||
					    msg->answer.headers.count > WIRE_HEADERS_MAX))
		return error_set(err, ERROR_TOO_LARGE,
				 "answer is too large: body of %u bytes or too many headers",
				 msg->answer.body.size);
	return 0;
}

/* Checks that a message was encoded whole, and that the decoder takes its size. */
static int check_encoded(const struct encoded *out, struct error *err)
{
	if (out->has_failed)
		return error_set(err, ERROR_MEMORY, "no memory for a message");
	if (out->buffer.size > WIRE_MESSAGE_BYTES)
		return error_set(err, ERROR_TOO_LARGE, "message of %zu bytes, allowed %u",
				 out->buffer.size, WIRE_MESSAGE_BYTES);
	return 0;
}

/* Encodes a message into a malloc'ed buffer that the caller frees. Errors: ERROR_MEMORY,
 * ERROR_TOO_LARGE. */
int codec_encode(const struct message *msg, uint8_t **data, size_t *size, struct error *err)
{
	struct encoded out = {.has_failed = false};
	msgpack_packer pk;

	if (check_sizes(msg, err))
		return -1;
	msgpack_sbuffer_init(&out.buffer);
	msgpack_packer_init(&pk, &out, append);
	msgpack_pack_array(&pk, ENVELOPE_ITEMS);
	msgpack_pack_uint8(&pk, WIRE_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)msg->type);
	msgpack_pack_uint32(&pk, msg->epoch);
	msgpack_pack_uint64(&pk, msg->id.entry.node_id);
	msgpack_pack_uint64(&pk, msg->id.entry.incarnation);
	msgpack_pack_uint64(&pk, msg->id.sequence);
	pack_fields(&pk, msg);
	if (check_encoded(&out, err)) {
		msgpack_sbuffer_destroy(&out.buffer);
		return -1;
	}
	*size = out.buffer.size;
	*data = (uint8_t *)msgpack_sbuffer_release(&out.buffer);
	return 0;
}

/* Reads a flat array of header names and values. */
static void read_headers(struct reader *rd, struct wire_headers *headers)
{
	struct reader inner = reader_array(rd);

	if (inner.items->size % 2 || inner.items->size / 2 > WIRE_HEADERS_MAX) {
		reader_fail(rd, ERROR_RANGE, "odd number of header items or too many headers");
		return;
	}
	headers->count = inner.items->size / 2;
	for (uint32_t i = 0; i < headers->count; i++) {
		headers->list[i].name = reader_bytes(&inner, CALL_BODY_BYTES_MAX);
		headers->list[i].value = reader_bytes(&inner, CALL_BODY_BYTES_MAX);
	}
	rd->failed = rd->failed || inner.failed;
}

/* Reads the load of a gate. A sender of an earlier version omits the last fields. */
static void read_load(struct reader *rd, struct gate_load *load)
{
	struct reader inner = reader_array(rd);

	load->in_use = (uint32_t)reader_uint(&inner, UINT32_MAX);
	load->limit = (uint32_t)reader_uint(&inner, UINT32_MAX);
	load->queued = (uint32_t)reader_uint(&inner, UINT32_MAX);
	load->service_time_us = (uint32_t)reader_uint(&inner, UINT32_MAX);
	load->wait_us = (uint32_t)reader_uint(&inner, UINT32_MAX);
	load->state = (uint8_t)reader_uint(&inner, UINT8_MAX);
	if (reader_has_more(&inner))
		load->slowdown_percent = (uint32_t)reader_uint(&inner, UINT32_MAX);
	if (reader_has_more(&inner))
		load->rate_limit_milli = (uint32_t)reader_uint(&inner, UINT32_MAX);
	if (reader_has_more(&inner)) {
		load->has_cold_room = true;
		load->cold_room = (uint16_t)reader_uint(&inner, UINT16_MAX);
	}
	rd->failed = rd->failed || inner.failed;
}

/* Reads the notice of a backend server, if the sender is not of an earlier version that has none.
 */
static void read_notice(struct reader *rd, struct server_notice *notice)
{
	struct reader inner;

	if (!reader_has_more(rd))
		return;
	inner = reader_array(rd);
	notice->instance = reader_uint(&inner, UINT64_MAX);
	notice->started_ms = reader_uint(&inner, UINT64_MAX);
	notice->has_rate_limit = reader_uint(&inner, 1) != 0;
	notice->is_leaving = reader_uint(&inner, 1) != 0;
	notice->rate_limit_milli = (uint32_t)reader_uint(&inner, UINT32_MAX);
	rd->failed = rd->failed || inner.failed;
}

/* Reads how current the sender's configuration is. A sender that does not know omits it. */
static void read_proof(struct reader *rd, struct key_proof_item *proof)
{
	struct reader inner;

	if (!reader_has_more(rd))
		return;
	inner = reader_array(rd);
	proof->version = reader_uint(&inner, UINT64_MAX);
	proof->age_ms = (uint32_t)reader_uint(&inner, UINT32_MAX);
	proof->is_set = !inner.failed;
	rd->failed = rd->failed || inner.failed;
}

/* Reads the customer of a call and the regions in which it may be served. A sender of an earlier
 * version omits them, and so does one whose call has neither. */
static void read_placement(struct reader *rd, struct message_call *call)
{
	struct reader inner;

	if (!reader_has_more(rd))
		return;
	inner = reader_array(rd);
	call->customer = reader_uint(&inner, UINT64_MAX);
	call->regions.is_limited = reader_uint(&inner, 1) != 0;
	while (!inner.failed && reader_has_more(&inner)) {
		if (!region_set_add(&call->regions, (uint32_t)reader_uint(&inner, UINT32_MAX))) {
			reader_fail(rd, ERROR_RANGE, "call has too many regions");
			return;
		}
	}
	rd->failed = rd->failed || inner.failed;
}

/* Reads the fields of a call. A sender of an earlier version omits the last ones. */
static void read_call(struct reader *rd, struct message_call *call)
{
	call->gate_incarnation = reader_uint(rd, UINT64_MAX);
	reader_name(rd, call->service, sizeof(call->service));
	reader_name(rd, call->class_name, sizeof(call->class_name));
	call->time_left_us = reader_uint(rd, CALL_DEADLINE_US_MAX);
	call->depth = (uint32_t)reader_uint(rd, CALL_DEPTH_MAX);
	call->retries_left = (uint32_t)reader_uint(rd, UINT32_MAX);
	call->idempotent = reader_uint(rd, 1) != 0;
	call->key = reader_bytes(rd, KEY_BYTES - 1);
	call->method = reader_bytes(rd, UINT16_MAX);
	call->path = reader_bytes(rd, UINT16_MAX);
	read_headers(rd, &call->headers);
	call->body = reader_bytes(rd, CALL_BODY_BYTES_MAX);
	if (reader_has_more(rd))
		call->has_wait_limit = reader_uint(rd, 1) != 0;
	if (reader_has_more(rd))
		call->wait_max_us = (uint32_t)reader_uint(rd, UINT32_MAX);
	if (reader_has_more(rd))
		call->repeat_permille = (uint32_t)reader_uint(rd, RETRY_REPEAT_PERMILLE);
	read_notice(rd, &call->notice);
	read_placement(rd, call);
}

static void read_answer(struct reader *rd, struct message_answer *answer)
{
	answer->outcome = (enum call_outcome)reader_uint(rd, OUTCOME_COUNT - 1);
	answer->reason = (enum call_reason)reader_uint(rd, REASON_COUNT - 1);
	answer->gate_incarnation = reader_uint(rd, UINT64_MAX);
	read_load(rd, &answer->load);
	answer->status = (uint32_t)reader_uint(rd, 999);
	answer->server_us = (uint32_t)reader_uint(rd, UINT32_MAX);
	answer->gate_queue_us = (uint32_t)reader_uint(rd, UINT32_MAX);
	read_headers(rd, &answer->headers);
	answer->body = reader_bytes(rd, CALL_BODY_BYTES_MAX);
	read_notice(rd, &answer->notice);
	read_proof(rd, &answer->proof);
}

/* Reads the fields of a pull. A sender of an earlier version omits the last ones. */
static void read_config_pull(struct reader *rd, struct message_config_pull *pull)
{
	pull->after = reader_uint(rd, UINT64_MAX);
	pull->content = reader_uint(rd, UINT64_MAX);
	pull->ticket = reader_uint(rd, UINT64_MAX);
	if (reader_has_more(rd))
		pull->takes_changes = reader_uint(rd, 1) != 0;
	if (reader_has_more(rd))
		pull->takes_compressed = reader_uint(rd, 1) != 0;
}

/* Reads the fields of the message's type. */
static void read_fields(struct reader *rd, struct message *msg)
{
	switch (msg->type) {
	case MESSAGE_CALL:
		read_call(rd, &msg->call);
		break;
	case MESSAGE_ANSWER:
		read_answer(rd, &msg->answer);
		break;
	case MESSAGE_HELD:
		msg->held.gate_incarnation = reader_uint(rd, UINT64_MAX);
		msg->held.body_size = (uint32_t)reader_uint(rd, CALL_BODY_BYTES_MAX);
		break;
	case MESSAGE_ASK:
		msg->ask.gate_incarnation = reader_uint(rd, UINT64_MAX);
		break;
	case MESSAGE_PONG:
		msg->pong.gate_incarnation = reader_uint(rd, UINT64_MAX);
		read_load(rd, &msg->pong.load);
		read_notice(rd, &msg->pong.notice);
		read_proof(rd, &msg->pong.proof);
		break;
	case MESSAGE_CONFIG_PULL:
		read_config_pull(rd, &msg->config_pull);
		break;
	case MESSAGE_CONFIG_BODY:
		msg->config_body.ticket = reader_uint(rd, UINT64_MAX);
		msg->config_body.json = reader_bytes(rd, CALL_BODY_BYTES_MAX);
		if (reader_has_more(rd))
			msg->config_body.text_size = (uint32_t)reader_uint(rd, CALL_BODY_BYTES_MAX);
		if (reader_has_more(rd))
			msg->config_body.evacuations = reader_bytes(rd, CALL_BODY_BYTES_MAX);
		break;
	default:
		break;
	}
}

/* Reads the version, type, epoch and attempt id of a message, then its fields. */
static int read_envelope(const msgpack_object *root, struct message *msg, struct error *err)
{
	struct reader rd;
	struct reader fields;

	if (reader_start(&rd, root, err))
		return -1;
	if (reader_uint(&rd, UINT8_MAX) != WIRE_VERSION && !rd.failed)
		return error_set(err, ERROR_VERSION, "message has an unknown protocol version");
	msg->type = (enum message_type)reader_uint(&rd, UINT8_MAX);
	if (!rd.failed && (msg->type < MESSAGE_CALL || msg->type >= MESSAGE_TYPE_END))
		return error_set(err, ERROR_VERSION, "message has the unknown type %d", msg->type);
	msg->epoch = (uint32_t)reader_uint(&rd, UINT32_MAX);
	msg->id.entry.node_id = reader_uint(&rd, UINT64_MAX);
	msg->id.entry.incarnation = reader_uint(&rd, UINT64_MAX);
	msg->id.sequence = reader_uint(&rd, UINT64_MAX);
	fields = reader_array(&rd);
	read_fields(&fields, msg);
	return rd.failed || fields.failed ? -1 : 0;
}

/* Decodes a message, which points into data. Errors: ERROR_SYNTAX, ERROR_TRUNCATED, ERROR_VERSION,
 * ERROR_TYPE, ERROR_RANGE, ERROR_TOO_LARGE. */
int codec_decode(const uint8_t *data, size_t size, struct message *msg, struct error *err)
{
	msgpack_unpacked unpacked;
	int result;

	memset(msg, 0, sizeof(*msg));
	if (size > WIRE_MESSAGE_BYTES)
		return error_set(err, ERROR_TOO_LARGE, "message is too large: %zu bytes", size);
	if (reader_unpack(data, size, &unpacked, err))
		return -1;
	result = read_envelope(&unpacked.data, msg, err);
	msgpack_unpacked_destroy(&unpacked);
	return result;
}
