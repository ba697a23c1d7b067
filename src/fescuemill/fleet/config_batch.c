/*
 * Config batch: parsing of a batch. The structure of all items is checked before any of them is
 * applied.
 */
#include "fescuemill/fleet/config_batch.h"

#include <string.h>

/* Reads one item of a batch. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int batch_item(const struct batch *batch, uint32_t index, struct delivery *out, struct error *err)
{
	struct value item = value_get_item(&batch->items, index);
	struct value name;
	struct value version;
	char text[SERVICE_NAME_BYTES];

	if (value_get_member(&item, "name", &name, err) ||
	    value_get_member(&item, "version", &version, err))
		return -1;
	if (value_read_text(&name, text, sizeof(text), 1, err) ||
	    value_read_number(&version, 1, INT64_MAX, "", &out->version, err))
		return -1;
	out->name = json_string_value(name.json);
	out->json = json_object_get(item.json, "value");
	out->changes = json_object_get(item.json, "changes");
	if (!out->json && !out->changes && !json_is_true(json_object_get(item.json, "deleted")))
		return value_error(&item, ERROR_MISSING, err,
				   "\"value\", \"changes\" or \"deleted\":true");
	return 0;
}

static int check_items(const struct batch *batch, struct error *err)
{
	for (uint32_t i = 0; i < batch->count; i++) {
		struct delivery unused;

		if (batch_item(batch, i, &unused, err))
			return -1;
	}
	return 0;
}

/* Returns true if a batch has a value or changes, rather than a deletion, for a service. */
bool batch_has_value(const struct batch *batch, const char *name)
{
	size_t index;
	json_t *item;

	json_array_foreach(batch->items.json, index, item)
	{
		const char *text = json_string_value(json_object_get(item, "name"));

		if (text && strcmp(text, name) == 0 &&
		    (json_object_get(item, "value") || json_object_get(item, "changes")))
			return true;
	}
	return false;
}

static int read_version(const struct value *root, const char *name, uint64_t *out,
			struct error *err)
{
	struct value member;

	if (value_get_member(root, name, &member, err))
		return -1;
	return value_read_number(&member, 0, INT64_MAX, "", out, err);
}

/* Parses a batch and checks the structure of all its items. */
int batch_read(struct batch *batch, bool peer, uint64_t from, const char *json, size_t size,
	       struct error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json, size, JSON_REJECT_DUPLICATES, &fault);
	int result;

	if (!root)
		/* The parser's text would quote what it found, which may be a customer's key. */
		return error_set(err, ERROR_SYNTAX, "batch: line %d, column %d: not JSON",
				 fault.line, fault.column);
	result = batch_read_root(batch, peer, from, root, err);
	json_decref(root);
	return result;
}

/* Reads the fields of a parsed batch and checks the structure of all its items. */
int batch_read_root(struct batch *batch, bool peer, uint64_t from, json_t *json, struct error *err)
{
	struct value root = {.source = "batch", .path = "$", .json = json};

	*batch = (struct batch){.from = from, .is_watch = from > 0};
	batch->root = json_incref(json);
	if (read_version(&root, "version", &batch->version, err))
		goto fail;
	if (peer && (read_version(&root, "from", &batch->from, err) ||
		     read_version(&root, "known", &batch->pruned_version, err)))
		goto fail;
	batch->has_same_content = peer && json_object_get(batch->root, "same");
	if (batch->has_same_content && read_version(&root, "same", &batch->same_content, err))
		goto fail;
	if (!peer)
		batch->pruned_version = batch->from ? 0 : batch->version;
	if (value_get_member(&root, "items", &batch->items, err))
		goto fail;
	if (!json_is_array(batch->items.json)) {
		value_error(&batch->items, ERROR_TYPE, err, "a list");
		goto fail;
	}
	batch->count = (uint32_t)json_array_size(batch->items.json);
	if (check_items(batch, err))
		goto fail;
	return 0;
fail:
	json_decref(batch->root);
	return -1;
}

/* Frees the memory of a batch, but not the struct itself. */
void batch_free(struct batch *batch)
{
	json_decref(batch->root);
	batch->root = NULL;
}
