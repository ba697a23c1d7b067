/*
 * Table: prints text tables. Each column is as wide as its widest cell.
 */
#include "fescuectl/table.h"

#include <stdio.h>
#include <string.h>

#define COLUMNS_MAX 12
#define CELL_BYTES  80

/* Formats a JSON value for people. Other values than scalars are shown as "-". */
static void format_cell(const json_t *value, char *cell)
{
	if (json_is_string(value))
		snprintf(cell, CELL_BYTES, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(cell, CELL_BYTES, "%lld", (long long)json_integer_value(value));
	else if (json_is_real(value))
		snprintf(cell, CELL_BYTES, "%g", json_real_value(value));
	else if (json_is_boolean(value))
		snprintf(cell, CELL_BYTES, "%s", json_is_true(value) ? "yes" : "no");
	else
		snprintf(cell, CELL_BYTES, "-");
}

static size_t column_width(const char *key, const json_t *rows)
{
	size_t width = strlen(key);
	char cell[CELL_BYTES];
	size_t index;
	json_t *row;

	json_array_foreach(rows, index, row)
	{
		format_cell(json_object_get(row, key), cell);
		if (strlen(cell) > width)
			width = strlen(cell);
	}
	return width;
}

/* Prints a table with a header row. */
void table_print(const char *const *keys, const json_t *rows)
{
	size_t widths[COLUMNS_MAX];
	char cell[CELL_BYTES];
	size_t index;
	json_t *row;
	int count = 0;

	for (; count < COLUMNS_MAX && keys[count]; count++) {
		widths[count] = column_width(keys[count], rows);
		printf("%-*s%s", (int)widths[count], keys[count], keys[count + 1] ? "  " : "\n");
	}
	json_array_foreach(rows, index, row)
	{
		for (int i = 0; i < count; i++) {
			format_cell(json_object_get(row, keys[i]), cell);
			printf("%-*s%s", (int)widths[i], cell, i + 1 < count ? "  " : "\n");
		}
	}
}
