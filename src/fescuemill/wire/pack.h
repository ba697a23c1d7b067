/*
 * Pack: what the codecs write beside msgpack's own types.
 */
#ifndef FESCUEMILL_WIRE_PACK_H
#define FESCUEMILL_WIRE_PACK_H

#include <msgpack.h>

/* Packs a name that ends with NUL. */
void pack_name(msgpack_packer *pk, const char *name);

#endif
