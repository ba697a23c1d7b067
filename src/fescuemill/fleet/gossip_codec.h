/*
 * Gossip packet codec: msgpack in one UDP packet of at most GOSSIP_PACKET_BYTES.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_CODEC_H
#define FESCUEMILL_FLEET_GOSSIP_CODEC_H

#include "fescuemill/base/error.h"
#include "fescuemill/fleet/gossip_defs.h"

#include <stddef.h>

/* Errors: ERROR_TOO_LARGE if the packet does not fit, ERROR_MEMORY. */
int gossip_encode(const struct gossip_packet *packet, uint8_t *data, size_t *size,
		  struct error *err);
/* Errors: ERROR_SYNTAX, ERROR_TRUNCATED, ERROR_VERSION, ERROR_TYPE, ERROR_RANGE, ERROR_TOO_LARGE.
 */
int gossip_decode(const uint8_t *data, size_t size, struct gossip_packet *packet,
		  struct error *err);
/* Returns an upper bound of the encoded size of one update, in bytes. */
size_t gossip_update_bytes(const struct gossip_update *update);
/* Returns the bytes left for updates in a packet without requested ids or buckets. */
size_t gossip_update_room(const struct gossip_packet *packet);

#endif
