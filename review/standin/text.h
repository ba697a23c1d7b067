/*
 * Text helpers of the review's stand-ins: growing strings, names from a file, templates.
 */
#ifndef REVIEW_TEXT_H
#define REVIEW_TEXT_H

#include <stddef.h>

/* A name in a template and the text that takes its place. */
struct pair {
	const char *name;
	const char *value;
};

char *text_read_file(const char *path);
char *text_format(const char *format, ...) __attribute__((format(printf, 1, 2)));
char *text_replace(const char *text, const char *what, const char *with);
char *text_render(const char *template, const struct pair *pairs, size_t count);

/* The names of the wire (names.txt). */
int names_load(const char *path);
const char *name_of(const char *key);
char *names_apply_fields(const char *template, const struct pair *pairs, size_t count);

#endif
