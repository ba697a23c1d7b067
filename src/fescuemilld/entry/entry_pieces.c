/*
 * Sends an attempt to its gate. A body that does not fit into one message goes before it in pieces,
 * with nothing else between them, so that the order of attempts on the connection is that of their
 * sequence numbers.
 */
#include "fescuemilld/entry/entry_link.h"

/* The send queue of a link has room for all pieces of the largest body. */
#define PIECE_BYTES (2U << 20)

/* Sends the pieces of a body. */
static int send_pieces(struct gate_conn *conn, const struct message *call, struct error *err)
{
	const struct wire_bytes *body = &call->call.body;

	for (uint32_t at = 0; at < body->size; at += PIECE_BYTES) {
		struct message msg = {.type = MESSAGE_PIECE, .id = call->id};
		uint32_t left = body->size - at;

		msg.piece.body_size = body->size;
		msg.piece.offset = at;
		msg.piece.data.data = body->data + at;
		msg.piece.data.size = left < PIECE_BYTES ? left : PIECE_BYTES;
		if (entry_link_send(conn, &msg, err) != 0)
			return -1;
	}
	return 0;
}

/* Sends an attempt. If an error is returned, the gate does not run it: pieces alone are no call. */
int entry_link_send_call(struct gate_conn *conn, struct message *msg, struct error *err)
{
	if (msg->call.body.size <= CALL_BODY_BYTES_MAX)
		return entry_link_send(conn, msg, err);
	if (send_pieces(conn, msg, err) != 0)
		return -1;
	msg->type = MESSAGE_PIECED_CALL;
	msg->call.pieced_size = msg->call.body.size;
	msg->call.body.size = 0;
	return entry_link_send(conn, msg, err);
}
