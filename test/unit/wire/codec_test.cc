// Unit tests of the node message codec: round trips, and every kind of invalid input.
#include <cstring>
#include <gtest/gtest.h>
#include <msgpack.h>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/wire/codec.h"
}

namespace
{
wire_bytes bytes_of(const std::string &text)
{
	return {(const uint8_t *)text.data(), (uint32_t)text.size()};
}

std::vector<uint8_t> encode(const struct message &msg)
{
	uint8_t *data = nullptr;
	size_t size = 0;
	struct error err;

	EXPECT_EQ(0, codec_encode(&msg, &data, &size, &err));
	std::vector<uint8_t> out(data, data + size);
	free(data);
	return out;
}

struct message sample_call(const std::string &body)
{
	static const std::string name = "content-type", value = "text/plain", path = "/lots?x=1",
				 method = "POST", key = "purchase-1";
	struct message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = MESSAGE_CALL;
	msg.epoch = 3;
	msg.id = {{11, 22}, 33};
	msg.call.gate_incarnation = 44;
	strcpy(msg.call.service, "ledger");
	strcpy(msg.call.class_name, "purchase");
	msg.call.time_left_us = 1500;
	msg.call.depth = 20;
	msg.call.retries_left = 2;
	msg.call.has_wait_limit = true;
	msg.call.wait_max_us = 70000;
	msg.call.repeat_permille = 1000;
	msg.call.notice = {71, 72, true, true, 2700};
	msg.call.key = bytes_of(key);
	msg.call.method = bytes_of(method);
	msg.call.path = bytes_of(path);
	msg.call.headers.count = 1;
	msg.call.headers.list[0] = {bytes_of(name), bytes_of(value)};
	msg.call.body = bytes_of(body);
	return msg;
}

std::string text_of(const wire_bytes &bytes)
{
	return std::string((const char *)bytes.data, bytes.size);
}

enum error_kind decode_kind(const std::vector<uint8_t> &data)
{
	struct message msg;
	struct error err;

	error_clear(&err);
	return codec_decode(data.data(), data.size(), &msg, &err) ? err.kind : ERROR_NONE;
}
} // namespace

TEST(Codec, CallIsDecodedAsEncoded)
{
	std::string body("a\0b", 3);
	std::vector<uint8_t> data = encode(sample_call(body));
	struct message msg;
	struct error err;

	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &msg, &err)) << err.detail;
	EXPECT_EQ(MESSAGE_CALL, msg.type);
	EXPECT_EQ(3u, msg.epoch);
	EXPECT_EQ(33u, msg.id.sequence);
	EXPECT_STREQ("ledger", msg.call.service);
	EXPECT_EQ(20u, msg.call.depth);
	EXPECT_FALSE(msg.call.idempotent);
	EXPECT_EQ("purchase-1", text_of(msg.call.key));
	EXPECT_EQ("/lots?x=1", text_of(msg.call.path));
	ASSERT_EQ(1u, msg.call.headers.count);
	EXPECT_EQ("text/plain", text_of(msg.call.headers.list[0].value));
	EXPECT_EQ(body, text_of(msg.call.body));
	EXPECT_TRUE(msg.call.has_wait_limit);
	EXPECT_EQ(msg.call.wait_max_us, 70000U);
	EXPECT_EQ(msg.call.repeat_permille, 1000U);
	EXPECT_EQ(msg.call.notice.instance, 71U);
	EXPECT_EQ(msg.call.notice.started_ms, 72U);
	EXPECT_TRUE(msg.call.notice.has_rate_limit && msg.call.notice.is_leaving);
	EXPECT_EQ(msg.call.notice.rate_limit_milli, 2700U);
}

TEST(Codec, EveryTruncationIsRefused)
{
	std::vector<uint8_t> data = encode(sample_call("body"));

	for (size_t size = 0; size < data.size(); size++)
		EXPECT_EQ(ERROR_TRUNCATED,
			  decode_kind(std::vector<uint8_t>(data.begin(), data.begin() + size)))
			<< size;
}

TEST(Codec, UnknownVersionAndTypeAreRefused)
{
	std::vector<uint8_t> version = encode(sample_call("body"));
	version[1] = 9;
	EXPECT_EQ(ERROR_VERSION, decode_kind(version));
	std::vector<uint8_t> type = encode(sample_call("body"));
	type[2] = 99;
	EXPECT_EQ(ERROR_VERSION, decode_kind(type));
}

TEST(Codec, HugeArrayLengthIsRefused)
{
	EXPECT_EQ(ERROR_TOO_LARGE, decode_kind({0xdd, 0xff, 0xff, 0xff, 0xff, 0x01}));
	EXPECT_EQ(ERROR_TRUNCATED, decode_kind({0xdd, 0x00, 0x00, 0x01, 0x00, 0x01}));
}

TEST(Codec, ExtraBytesAfterTheMessageAreRefused)
{
	std::vector<uint8_t> data = encode(sample_call("body"));

	data.push_back(0);
	EXPECT_EQ(ERROR_SYNTAX, decode_kind(data));
}

TEST(Codec, WrongFieldTypeIsRefused)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 7);
	for (int i = 0; i < 6; i++)
		msgpack_pack_int(&pk, 1);
	msgpack_pack_nil(&pk);
	EXPECT_EQ(ERROR_TYPE,
		  decode_kind(std::vector<uint8_t>(buffer.data, buffer.data + buffer.size)));
	msgpack_sbuffer_destroy(&buffer);
}

TEST(Codec, FieldsOfALaterVersionAreIgnored)
{
	struct message msg;
	struct error err;
	std::vector<uint8_t> data = encode([] {
		struct message m;
		memset(&m, 0, sizeof(m));
		m.type = MESSAGE_ASK;
		m.ask.gate_incarnation = 5;
		return m;
	}());

	// The last two bytes are the header of an array of one field and the field itself.
	data[data.size() - 2] = 0x92;
	data.push_back(0x07);
	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &msg, &err)) << err.detail;
	EXPECT_EQ(5u, msg.ask.gate_incarnation);
}

TEST(Codec, ConfigurationPullAndBodyAreDecodedAsEncoded)
{
	struct message pull;
	struct message body;
	struct message msg;
	struct error err;

	memset(&pull, 0, sizeof(pull));
	pull.type = MESSAGE_CONFIG_PULL;
	pull.config_pull = {7, 8, 9, true, true};
	std::vector<uint8_t> data = encode(pull);

	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &msg, &err)) << err.detail;
	EXPECT_EQ(9u, msg.config_pull.ticket);
	EXPECT_TRUE(msg.config_pull.takes_changes);
	EXPECT_TRUE(msg.config_pull.takes_compressed);
	// A node of an earlier version sends three fields. It gets whole objects as plain text.
	data[data.size() - 6] = 0x93;
	data.resize(data.size() - 2);
	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &msg, &err)) << err.detail;
	EXPECT_FALSE(msg.config_pull.takes_changes);
	EXPECT_FALSE(msg.config_pull.takes_compressed);
	memset(&body, 0, sizeof(body));
	body.type = MESSAGE_CONFIG_BODY;
	body.config_body.text_size = 300;
	data = encode(body);
	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &msg, &err)) << err.detail;
	EXPECT_EQ(300u, msg.config_body.text_size);
}

TEST(Codec, OversizedBodyIsRefusedByTheEncoder)
{
	std::string body(CALL_BODY_BYTES_MAX + 1, 'x');
	struct message msg = sample_call(body);
	uint8_t *data = nullptr;
	size_t size = 0;
	struct error err;

	EXPECT_EQ(-1, codec_encode(&msg, &data, &size, &err));
	EXPECT_EQ(ERROR_TOO_LARGE, err.kind);
}

// The decoder refuses a message over its limit; the sender must hear of it, not the receiver.
TEST(Codec, HeadersThatTheDecoderWouldRefuseAreRefusedByTheEncoder)
{
	std::string body(CALL_BODY_BYTES_MAX, 'x'), name("x"), value(8192, 'v');
	struct message msg = sample_call(body);
	uint8_t *data = nullptr;
	size_t size = 0;
	struct error err;

	msg.call.headers.count = WIRE_HEADERS_MAX;
	for (wire_header &header : msg.call.headers.list)
		header = {bytes_of(name), bytes_of(value)};
	EXPECT_EQ(-1, codec_encode(&msg, &data, &size, &err));
	EXPECT_EQ(ERROR_TOO_LARGE, err.kind);
	free(data);
}

namespace
{
struct message sample_answer(bool has_proof)
{
	static const std::string body = "lots";
	struct message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = MESSAGE_ANSWER;
	msg.epoch = 3;
	msg.id = {{11, 22}, 33};
	msg.answer.status = 200;
	msg.answer.notice = {71, 72, true, false, 2700};
	msg.answer.body = bytes_of(body);
	msg.answer.proof = {has_proof, 1234, 1ULL << 40};
	return msg;
}

// Returns the number of fields in a message.
uint32_t field_count(const std::vector<uint8_t> &data)
{
	msgpack_unpacked unpacked;
	uint32_t count;

	msgpack_unpacked_init(&unpacked);
	msgpack_unpack_next(&unpacked, (const char *)data.data(), data.size(), nullptr);
	count = unpacked.data.via.array.ptr[6].via.array.size;
	msgpack_unpacked_destroy(&unpacked);
	return count;
}
} // namespace

TEST(Codec, ProofsOfAnswersAndPongsAreDecodedAsEncoded)
{
	std::vector<uint8_t> answer = encode(sample_answer(true));
	struct message pong = {};
	struct message out;

	ASSERT_EQ(0, codec_decode(answer.data(), answer.size(), &out, nullptr));
	EXPECT_TRUE(out.answer.proof.is_set);
	EXPECT_EQ(1234u, out.answer.proof.age_ms);
	EXPECT_EQ(1ULL << 40, out.answer.proof.version);
	EXPECT_EQ("lots", text_of(out.answer.body));
	EXPECT_EQ(2700u, out.answer.notice.rate_limit_milli);
	pong.type = MESSAGE_PONG;
	pong.pong.proof = {true, 7, 8};
	std::vector<uint8_t> data = encode(pong);
	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &out, nullptr));
	EXPECT_TRUE(out.pong.proof.is_set);
	EXPECT_EQ(7u, out.pong.proof.age_ms);
	EXPECT_EQ(8u, out.pong.proof.version);
}

// Deployments without proofs send the bytes that they sent before there were any.
TEST(Codec, WithoutAProofAnswersAndPongsHaveNoFieldForIt)
{
	struct message pong = {};
	struct message out;

	pong.type = MESSAGE_PONG;
	EXPECT_EQ(10u, field_count(encode(sample_answer(false))));
	EXPECT_EQ(11u, field_count(encode(sample_answer(true))));
	EXPECT_EQ(3u, field_count(encode(pong)));
	std::vector<uint8_t> data = encode(pong);
	ASSERT_EQ(0, codec_decode(data.data(), data.size(), &out, nullptr));
	EXPECT_FALSE(out.pong.proof.is_set);
}
