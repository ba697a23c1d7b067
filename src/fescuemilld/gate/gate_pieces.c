/*
 * Pieces: gathers the bodies of attempts that come in pieces.
 */
#include "fescuemilld/gate/gate_pieces.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"

#include <stdlib.h>
#include <string.h>

#define KEEP_US (10 * USEC_PER_SEC) /* an entry sends all pieces and the call at once */

/* Initializes the table. */
void gate_pieces_init(struct gate_pieces *pieces, uint64_t bytes_max)
{
	memset(pieces, 0, sizeof(*pieces));
	pieces->bytes_max = bytes_max;
}

/* Frees a body, and its memory unless an attempt has taken that over. */
void gathered_body_free(struct gathered_body *body)
{
	free(body->data);
	free(body);
}

/* Removes a body from the table. */
static struct gathered_body *unlink_body(struct gate_pieces *pieces, struct gathered_body **at)
{
	struct gathered_body *body = *at;

	*at = body->next;
	pieces->bytes -= body->size;
	return body;
}

/* Returns the place of a body, or of the end of the list. */
static struct gathered_body **find(struct gate_pieces *pieces, const struct attempt_id *id)
{
	struct gathered_body **at = &pieces->bodies;

	while (*at && !attempt_id_equal(&(*at)->id, id))
		at = &(*at)->next;
	return at;
}

/* Drops what an entry began to send before: it sends one body after the other. */
static void drop_of_entry(struct gate_pieces *pieces, const struct node_incarnation *entry)
{
	struct gathered_body **at = &pieces->bodies;

	while (*at) {
		if ((*at)->id.entry.node_id == entry->node_id)
			gathered_body_free(unlink_body(pieces, at));
		else
			at = &(*at)->next;
	}
}

/* Creates a body at its first piece. Returns NULL if there is no room: one that is alone always has
 * room, as a legal request that is sent alone is served. */
static struct gathered_body *add_body(struct gate_pieces *pieces, const struct message *msg)
{
	struct gathered_body *body;

	drop_of_entry(pieces, &msg->id.entry);
	if (msg->piece.offset != 0 || msg->piece.body_size == 0)
		return NULL;
	if (pieces->bytes > 0 && pieces->bytes + msg->piece.body_size > pieces->bytes_max) {
		log_write(LOG_INFO, LOG_PART_GATE, "A body in pieces was not taken.",
			  "sequence=%llu bytes=%u held=%llu", (unsigned long long)msg->id.sequence,
			  msg->piece.body_size, (unsigned long long)pieces->bytes);
		return NULL;
	}
	body = calloc(1, sizeof(*body));
	if (!body)
		return NULL;
	body->data = malloc(msg->piece.body_size);
	if (!body->data) {
		free(body);
		return NULL;
	}
	body->id = msg->id;
	body->size = msg->piece.body_size;
	body->next = pieces->bodies;
	pieces->bodies = body;
	pieces->bytes += body->size;
	return body;
}

/* Adds a piece. */
void gate_pieces_add(struct gate_pieces *pieces, const struct message *msg, uint64_t now_us)
{
	const struct message_piece *piece = &msg->piece;
	struct gathered_body *body = *find(pieces, &msg->id);

	if (!body)
		body = add_body(pieces, msg);
	if (!body || piece->offset != body->filled || piece->body_size != body->size ||
	    piece->data.size > body->size - body->filled)
		return;
	memcpy(body->data + body->filled, piece->data.data, piece->data.size);
	body->filled += piece->data.size;
	body->latest_us = now_us;
}

/* Takes the whole body of an attempt. */
struct gathered_body *gate_pieces_take(struct gate_pieces *pieces, const struct attempt_id *id,
				       uint32_t size)
{
	struct gathered_body **at = find(pieces, id);
	struct gathered_body *body;

	if (!*at)
		return NULL;
	body = unlink_body(pieces, at);
	if (body->size == size && body->filled == size)
		return body;
	gathered_body_free(body);
	return NULL;
}

/* Drops bodies whose call has not come in time. */
void gate_pieces_sweep(struct gate_pieces *pieces, uint64_t now_us)
{
	struct gathered_body **at = &pieces->bodies;

	while (*at) {
		if (now_us > (*at)->latest_us + KEEP_US)
			gathered_body_free(unlink_body(pieces, at));
		else
			at = &(*at)->next;
	}
}
