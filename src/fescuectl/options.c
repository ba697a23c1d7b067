/*
 * Options: reads the settings file and the environment of fescuectl.
 */
#include "fescuectl/options.h"

#include "fescuemill/settings/settings.h"
#include "fescuemill/settings/value.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int add_node(struct options *options, const char *text, struct error *err)
{
	if (options->node_count == NODES_MAX)
		return error_set(err, ERROR_RANGE, "more than %d nodes", NODES_MAX);
	return endpoint_parse(text, &options->nodes[options->node_count++], err);
}

/* Reads a list of nodes, which replaces the current one. Errors: ERROR_RANGE, ERROR_MEMORY. */
int options_read_nodes(struct options *options, const char *text, struct error *err)
{
	char *copy = strdup(text);
	char *rest = NULL;
	int status = 0;

	if (!copy)
		return error_set(err, ERROR_MEMORY, "no memory for the nodes");
	options->node_count = 0;
	for (char *word = strtok_r(copy, ",", &rest); word && !status;
	     word = strtok_r(NULL, ",", &rest))
		status = add_node(options, word, err);
	free(copy);
	return status;
}

static int read_node_list(struct options *options, const struct value *value, struct error *err)
{
	uint32_t count;

	if (value_check_list_size(value, 1, NODES_MAX, &count, err))
		return -1;
	options->node_count = 0;
	for (uint32_t i = 0; i < count; i++) {
		struct value item = value_get_item(value, i);
		char text[64];

		if (value_read_text(&item, text, sizeof(text), 1, err) ||
		    add_node(options, text, err))
			return -1;
	}
	return 0;
}

static int read_setting(struct options *options, const struct value *root, const char *name,
			struct error *err)
{
	struct value value;
	uint64_t number = 0;

	if (!json_object_get(root->json, name))
		return 0;
	if (value_get_member(root, name, &value, err))
		return -1;
	if (strcmp(name, "nodes") == 0)
		return read_node_list(options, &value, err);
	if (strcmp(name, "key") == 0)
		return value_read_secret(&value, options->key, sizeof(options->key), 1, err);
	if (strcmp(name, "by") == 0)
		return value_read_text(&value, options->by, sizeof(options->by), 1, err);
	if (value_read_number(&value, 1, TIMEOUT_MS_MAX, "ms", &number, err))
		return -1;
	options->timeout_ms = (uint32_t)number;
	return 0;
}

/*
 * Reads a settings file; every key is optional. Errors: ERROR_SYSTEM, ERROR_SYNTAX,
 * ERROR_UNKNOWN_KEY, ERROR_TYPE, ERROR_RANGE.
 */
int options_read_file(struct options *options, const char *path, struct error *err)
{
	static const char *const names[] = {"nodes", "key", "by", "timeout_ms", NULL};
	struct value root = {.source = path, .path = "$"};
	json_error_t json_error;
	char *text;
	size_t size;
	int status;

	if (value_read_file(path, &text, &size, err))
		return -1;
	root.json = json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
	free(text);
	if (!root.json)
		return error_set(err, ERROR_SYNTAX, "%s:%d: %s", path, json_error.line,
				 json_error.text);
	status = value_check_keys(&root, names, err);
	for (int i = 0; names[i] && !status; i++)
		status = read_setting(options, &root, names[i], err);
	json_decref(root.json);
	return status;
}

static int read_variable(const char *name, char *out, size_t size, struct error *err)
{
	const char *text = getenv(name);

	if (!text)
		return 0;
	if (strlen(text) >= size)
		return error_set(err, ERROR_RANGE, "%s: found %zu bytes, allowed 1 to %zu", name,
				 strlen(text), size - 1);
	strncpy(out, text, size);
	return 0;
}

/* Reads the FESCUECTL_ environment variables. Errors: ERROR_RANGE. */
int options_read_environment(struct options *options, struct error *err)
{
	const char *nodes = getenv("FESCUECTL_NODES");
	const char *timeout = getenv("FESCUECTL_TIMEOUT_MS");
	unsigned long number;
	char *end;

	if (nodes && options_read_nodes(options, nodes, err))
		return -1;
	if (read_variable("FESCUECTL_KEY", options->key, sizeof(options->key), err) ||
	    read_variable("FESCUECTL_BY", options->by, sizeof(options->by), err))
		return -1;
	if (!timeout)
		return 0;
	number = strtoul(timeout, &end, 10);
	if (*end || !number || number > TIMEOUT_MS_MAX)
		return error_set(err, ERROR_RANGE,
				 "FESCUECTL_TIMEOUT_MS: found \"%.40s\", allowed 1 to %d ms",
				 timeout, TIMEOUT_MS_MAX);
	options->timeout_ms = (uint32_t)number;
	return 0;
}
