/*
 * Version of the store: revision in the low bits, number of restores above it.
 */
#include "fescuemill/store/version.h"

#define REVISION_MASK ((UINT64_C(1) << STORE_REVISION_BITS) - 1)

uint64_t store_version(uint64_t restores, uint64_t revision)
{
	return (restores << STORE_REVISION_BITS) | (revision & REVISION_MASK);
}

uint64_t store_version_restores(uint64_t version)
{
	return version >> STORE_REVISION_BITS;
}

uint64_t store_version_revision(uint64_t version)
{
	return version & REVISION_MASK;
}

uint64_t store_restores_of_era(uint64_t era)
{
	if (era <= 1)
		return 0;
	return era - 1 < STORE_RESTORES_MAX ? era - 1 : STORE_RESTORES_MAX;
}
