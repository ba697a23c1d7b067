/*
 * Table: text tables for people.
 */
#ifndef FESCUECTL_TABLE_H
#define FESCUECTL_TABLE_H

#include <jansson.h>

/* Prints a list of objects with the given keys as columns; keys end with NULL. */
void table_print(const char *const *keys, const json_t *rows);

#endif
