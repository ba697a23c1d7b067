/*
 * Messages between nodes. A decoded message points into the buffer that it was decoded from.
 */
#ifndef FESCUEMILL_WIRE_MESSAGE_DEFS_H
#define FESCUEMILL_WIRE_MESSAGE_DEFS_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/key_proof_defs.h"
#include "fescuemill/decide/load_defs.h"
#include "fescuemill/decide/notice_defs.h"
#include "fescuemill/decide/region_set.h"

#define WIRE_VERSION		1
#define WIRE_HEADERS_MAX	32
#define WIRE_MESSAGE_BYTES	(CALL_BODY_BYTES_MAX + (64U << 10))
#define WIRE_HEADER_VALUE_BYTES 64	    /* value of a header that a node adds, with the NUL */
#define WIRE_SMALL_BODY_BYTES	(64U << 10) /* larger bodies are sent over the bulk link */

enum message_type {
	MESSAGE_CALL = 1, /* entry to gate: run this attempt */
	MESSAGE_ANSWER,	  /* gate to entry: the outcome of an attempt */
	MESSAGE_HELD,	  /* gate to entry: the answer is large; fetch it by ASK on the bulk link */
	MESSAGE_ACK,	  /* entry to gate: the gate may drop its record of the attempt */
	MESSAGE_ASK,	  /* entry to gate: request the state or answer of an attempt */
	MESSAGE_PENDING,  /* gate to entry: the attempt is waiting or running */
	MESSAGE_CANCEL,	  /* entry to gate: cancel the attempt */
	MESSAGE_PING,	  /* in either direction: the receiver answers with PONG */
	MESSAGE_PONG,	  /* answer to PING, with the gate's load */
	MESSAGE_CONFIG_PULL, /* request the configurations newer than a version */
	MESSAGE_CONFIG_BODY, /* answer to CONFIG_PULL: configurations as JSON text */
	MESSAGE_TYPE_END,
};

struct wire_bytes {
	const uint8_t *data;
	uint32_t size;
};

struct wire_header {
	struct wire_bytes name;
	struct wire_bytes value;
};

struct wire_headers {
	uint32_t count;
	struct wire_header list[WIRE_HEADERS_MAX];
};

struct message_call {
	uint64_t gate_incarnation; /* 0: unknown to the entry */
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	uint64_t time_left_us; /* until the deadline of the call */
	uint32_t depth;	       /* depth of the call in the call tree */
	uint32_t retries_left; /* retry budget passed on to the backend server */
	bool idempotent;
	bool has_wait_limit;	  /* refuse it if it is expected to wait longer than wait_max_us */
	uint32_t wait_max_us;	  /* from this wait on another gate is better; 0: do not queue it */
	uint32_t repeat_permille; /* chance that it repeats work that reached a backend server */
	struct server_notice notice; /* what the entry last heard through this gate */
	uint64_t customer;	     /* id of the customer; 0: none */
	struct region_set regions;   /* in which the call may be served */
	struct wire_bytes key;	     /* idempotency key; size 0: none */
	struct wire_bytes method;
	struct wire_bytes path;
	struct wire_headers headers;
	struct wire_bytes body;
};

struct message_answer {
	enum call_outcome outcome;
	enum call_reason reason;
	uint64_t gate_incarnation;
	struct gate_load load;
	uint32_t status;	/* HTTP status of the backend server; 0: it did not answer */
	uint32_t server_us;	/* time at the backend server */
	uint32_t gate_queue_us; /* time in the gate's queue */
	struct server_notice notice;
	struct wire_headers headers;
	struct wire_bytes body;
	struct key_proof_item proof;
};

struct message_held {
	uint64_t gate_incarnation;
	uint32_t body_size;
};

struct message_ask {
	uint64_t gate_incarnation;
};

struct message_pong {
	uint64_t gate_incarnation;
	struct gate_load load;
	struct server_notice notice;
	struct key_proof_item proof;
};

struct message_config_pull {
	uint64_t after;	    /* the requester has all changes up to this version; 0: none */
	uint64_t content;   /* config_content_hash() of the requester */
	uint64_t ticket;    /* config_ticket() of the requester, returned with the answer */
	bool takes_changes; /* config_takes_changes() of the requester */
	bool takes_compressed;
};

struct message_config_body {
	uint64_t ticket;	/* from the CONFIG_PULL that this answers */
	struct wire_bytes json; /* batch written by config_write_batch() */
	uint32_t text_size;	/* of the batch, if json is compressed; 0: it is not */
	/* All evacuations that the sender knows, as JSON; size 0: it does not know them. */
	struct wire_bytes evacuations;
};

struct message {
	enum message_type type;
	uint32_t epoch;	      /* connection epoch of the sender's link */
	struct attempt_id id; /* zero if the message is not about an attempt */
	union {
		struct message_call call;
		struct message_answer answer;
		struct message_held held;
		struct message_ask ask;
		struct message_pong pong;
		struct message_config_pull config_pull;
		struct message_config_body config_body;
	};
};

#endif
