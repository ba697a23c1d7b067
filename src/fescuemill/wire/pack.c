/*
 * Pack: helper functions that write msgpack values.
 */
#include "fescuemill/wire/pack.h"

#include <string.h>

/* Packs a NUL-terminated name as a msgpack string, without the NUL. */
void pack_name(msgpack_packer *pk, const char *name)
{
	msgpack_pack_str_with_body(pk, name, strlen(name));
}
