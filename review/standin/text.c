/*
 * Text helpers of the review's stand-ins.
 */
#include "text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAMES_MAX 64

static struct {
	char *key;
	char *value;
} names[NAMES_MAX];
static size_t name_count;

/* Returns the whole file as a string, or NULL. */
char *text_read_file(const char *path)
{
	FILE *file = fopen(path, "rb");
	size_t size = 0;
	char *text = calloc(1, 1 << 20);

	if (file && text)
		size = fread(text, 1, (1 << 20) - 1, file);
	if (file)
		fclose(file);
	if (size > 0)
		return text;
	free(text);
	return NULL;
}

char *text_format(const char *format, ...)
{
	va_list args;
	char *text = NULL;

	va_start(args, format);
	if (vasprintf(&text, format, args) < 0)
		abort();
	va_end(args);
	return text;
}

/* Returns a copy of the text with every occurrence replaced. */
char *text_replace(const char *text, const char *what, const char *with)
{
	char *out = strdup("");
	const char *at;

	while ((at = strstr(text, what)) != NULL) {
		char *longer = text_format("%s%.*s%s", out, (int)(at - text), text, with);

		free(out);
		out = longer;
		text = at + strlen(what);
	}
	at = out;
	out = text_format("%s%s", at, text);
	free((char *)at);
	return out;
}

/* Fills in {{name}} for each pair. */
char *text_render(const char *template, const struct pair *pairs, size_t count)
{
	char *out = strdup(template);

	for (size_t i = 0; i < count; i++) {
		char *place = text_format("{{%s}}", pairs[i].name);
		char *next = text_replace(out, place, pairs[i].value);

		free(place);
		free(out);
		out = next;
	}
	return out;
}

/* Reads names.txt. Returns -1 if it cannot be read. */
int names_load(const char *path)
{
	char *text = text_read_file(path);
	char *line;
	char *rest = text;

	if (!text)
		return -1;
	while ((line = strsep(&rest, "\n")) != NULL && name_count < NAMES_MAX) {
		char *space = strchr(line, ' ');

		if (line[0] == '#' || !space)
			continue;
		*space = '\0';
		names[name_count].key = line;
		names[name_count++].value = space + 1;
	}
	return 0;
}

const char *name_of(const char *key)
{
	for (size_t i = 0; i < name_count; i++) {
		if (strcmp(names[i].key, key) == 0)
			return names[i].value;
	}
	fprintf(stderr, "names.txt has no %s\n", key);
	abort();
}

/* Renders a template of the platform: each "field" line names a placeholder and its value. */
char *names_apply_fields(const char *template, const struct pair *pairs, size_t count)
{
	char *out = strdup(template);

	for (size_t i = 0; i < name_count; i++) {
		char *value;
		char *place;
		char *next;

		if (strcmp(names[i].key, "field") != 0)
			continue;
		place = strndup(names[i].value, strcspn(names[i].value, " "));
		value = text_render(names[i].value + strlen(place) + 1, pairs, count);
		next = text_replace(out, place, value);
		free(place);
		free(value);
		free(out);
		out = next;
	}
	return out;
}
