/*
 * Lookup of customers by their keys.
 */
#include "fescuemill/decide/customer.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define FINGERPRINT_MASK 0xffffffU /* six hexadecimal digits: too few to try keys against */

/* Returns the id of a customer. */
uint64_t customer_id_of(const char *name)
{
	uint64_t id = XXH3_64bits(name, strlen(name));

	return id ? id : 1;
}

/* Returns the part of a key's hash that may be shown. */
uint32_t customer_key_fingerprint(const void *key, size_t size)
{
	return (uint32_t)(XXH3_64bits(key, size) & FINGERPRINT_MASK);
}

/* Orders keys by hash, and those of one hash by customer, so that every node finds the same one. */
static int compare_keys(const void *left, const void *right)
{
	const struct customer_key *a = left;
	const struct customer_key *b = right;

	if (a->hash != b->hash)
		return a->hash > b->hash ? 1 : -1;
	return (a->customer > b->customer) - (a->customer < b->customer);
}

static int compare_ids(const void *left, const void *right, void *list)
{
	const struct customer *customers = list;
	uint64_t a = customers[*(const uint32_t *)left].id;
	uint64_t b = customers[*(const uint32_t *)right].id;

	return (a > b) - (a < b);
}

/* Sets the ids and sorts the indexes for both lookups. Errors: ERROR_MEMORY. */
int customer_table_finish(struct customer_table *table, struct error *err)
{
	if (table->count == 0)
		return 0;
	table->by_id = malloc(table->count * sizeof(*table->by_id));
	if (!table->by_id)
		return error_set(err, ERROR_MEMORY, "no memory for customers");
	for (uint32_t i = 0; i < table->count; i++) {
		table->list[i].id = customer_id_of(table->list[i].name);
		table->by_id[i] = i;
	}
	qsort_r(table->by_id, table->count, sizeof(*table->by_id), compare_ids, table->list);
	for (uint32_t i = 0; i < table->key_count; i++)
		table->keys[i].hash = XXH3_64bits(table->keys[i].text, strlen(table->keys[i].text));
	if (table->key_count > 1)
		qsort(table->keys, table->key_count, sizeof(*table->keys), compare_keys);
	return 0;
}

void customer_table_free(struct customer_table *table)
{
	free(table->list);
	free(table->by_id);
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

/* Finds the customer of a key by the key's hash; the whole key is compared. */
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

/* Finds a customer by its id. */
const struct customer *customer_find_by_id(const struct customer_table *table, uint64_t id)
{
	uint32_t low = 0;
	uint32_t high = table->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (table->list[table->by_id[middle]].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == table->count || table->list[table->by_id[low]].id != id)
		return NULL;
	return &table->list[table->by_id[low]];
}
