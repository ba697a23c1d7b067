/*
 * Version: a number that orders the states of the store, also across its restores from a copy. The
 * store gives revisions out again after a restore, so a version holds the number of restores above
 * the revision. Until the first restore, version and revision are the same. No I/O.
 */
#ifndef FESCUEMILL_STORE_VERSION_H
#define FESCUEMILL_STORE_VERSION_H

#include <stdint.h>

#define STORE_REVISION_BITS 40
#define STORE_RESTORES_MAX  ((UINT64_C(1) << (63 - STORE_REVISION_BITS)) - 1)

/* Returns the version of a revision that the store gave out after a number of restores. */
uint64_t store_version(uint64_t restores, uint64_t revision);
/* Returns the number of restores of the store before it gave out a version. */
uint64_t store_version_restores(uint64_t version);
/* Returns the revision that the store itself gave out. */
uint64_t store_version_revision(uint64_t version);
/* Returns the number of restores of a store that states an era. A store that was never restored
 * states 1, or nothing. */
uint64_t store_restores_of_era(uint64_t era);

#endif
