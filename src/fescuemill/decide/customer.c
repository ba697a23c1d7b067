/*
 * Lookup of customers by their keys.
 */
#include "fescuemill/decide/customer.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Returns the id of a customer. */
uint64_t customer_id_of(const char *name)
{
	uint64_t id = XXH3_64bits(name, strlen(name));

	return id ? id : 1;
}

static int compare_keys(const void *left, const void *right)
{
	const struct customer_key *a = left;
	const struct customer_key *b = right;

	return (a->hash > b->hash) - (a->hash < b->hash);
}

void customer_table_finish(struct customer_table *table)
{
	for (uint32_t i = 0; i < table->count; i++)
		table->list[i].id = customer_id_of(table->list[i].name);
	for (uint32_t i = 0; i < table->key_count; i++)
		table->keys[i].hash = XXH3_64bits(table->keys[i].text, strlen(table->keys[i].text));
	if (table->key_count > 1)
		qsort(table->keys, table->key_count, sizeof(*table->keys), compare_keys);
}

void customer_table_free(struct customer_table *table)
{
	free(table->list);
	free(table->keys);
	memset(table, 0, sizeof(*table));
}

/* Returns the index of the first key whose hash is not below the given one. */
static uint32_t first_of_hash(const struct customer_table *table, uint64_t hash)
{
	uint32_t low = 0;
	uint32_t high = table->key_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (table->keys[middle].hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Compares two keys in a time that does not depend on where they differ. */
static bool keys_equal(const char *a, const void *b, size_t size)
{
	const uint8_t *left = (const uint8_t *)a;
	const uint8_t *right = b;
	uint8_t difference = 0;

	if (strlen(a) != size)
		return false;
	for (size_t i = 0; i < size; i++)
		difference |= left[i] ^ right[i];
	return difference == 0;
}

const struct customer *customer_find_by_key(const struct customer_table *table, const void *key,
					    size_t size)
{
	uint64_t hash = XXH3_64bits(key, size);

	for (uint32_t i = first_of_hash(table, hash);
	     i < table->key_count && table->keys[i].hash == hash; i++) {
		if (keys_equal(table->keys[i].text, key, size))
			return &table->list[table->keys[i].customer];
	}
	return NULL;
}

const struct customer *customer_find_by_id(const struct customer_table *table, uint64_t id)
{
	for (uint32_t i = 0; i < table->count; i++) {
		if (table->list[i].id == id)
			return &table->list[i];
	}
	return NULL;
}
