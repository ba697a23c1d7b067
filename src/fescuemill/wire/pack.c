/*
 * Pack: names go as strings without their NUL.
 */
#include "fescuemill/wire/pack.h"

#include <string.h>

/* Packs a name that ends with NUL. */
void pack_name(msgpack_packer *pk, const char *name)
{
	msgpack_pack_str_with_body(pk, name, strlen(name));
}
