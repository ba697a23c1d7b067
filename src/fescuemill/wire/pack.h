/*
 * Pack: helper functions of the codecs that write msgpack values.
 */
#ifndef FESCUEMILL_WIRE_PACK_H
#define FESCUEMILL_WIRE_PACK_H

#include <msgpack.h>

/* Packs a NUL-terminated name as a msgpack string, without the NUL. */
void pack_name(msgpack_packer *pk, const char *name);

#endif
