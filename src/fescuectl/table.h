/*
 * Table: prints JSON objects as a text table.
 */
#ifndef FESCUECTL_TABLE_H
#define FESCUECTL_TABLE_H

#include <jansson.h>

/* Prints one row for each object, and one column for each key. keys ends with NULL. */
void table_print(const char *const *keys, const json_t *rows);

#endif
