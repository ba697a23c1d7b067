/*
 * Pieces: gathers the bodies of attempts that come in pieces, each in one block of its exact size.
 * What is gathered is no attempt: it runs only when its call follows.
 */
#ifndef FESCUEMILLD_GATE_GATE_PIECES_H
#define FESCUEMILLD_GATE_GATE_PIECES_H

#include "fescuemill/base/error.h"
#include "fescuemill/wire/message_defs.h"

/* Memory of one body. */
struct gathered_body {
	struct gathered_body *next;
	struct attempt_id id;
	uint64_t latest_us; /* when the latest piece came */
	uint32_t size;	    /* of the whole body */
	uint32_t filled;    /* pieces come in order: the bytes before this are there */
	uint8_t *data;	    /* NULL once an attempt has taken it */
};

struct gate_pieces {
	struct gathered_body *bodies;
	uint64_t bytes; /* of all of them */
	uint64_t bytes_max;
};

void gate_pieces_init(struct gate_pieces *pieces, uint64_t bytes_max);
/* Adds a piece. One that does not continue its body, or that there is no room for, is dropped. */
void gate_pieces_add(struct gate_pieces *pieces, const struct message *msg, uint64_t now_us);
/* Takes the whole body of an attempt. Returns NULL if it is not there. */
struct gathered_body *gate_pieces_take(struct gate_pieces *pieces, const struct attempt_id *id,
				       uint32_t size);
/* Drops bodies whose call has not come in time. */
void gate_pieces_sweep(struct gate_pieces *pieces, uint64_t now_us);
/* Frees a body that was taken, and its memory unless an attempt has taken that over. */
void gathered_body_free(struct gathered_body *body);

#endif
