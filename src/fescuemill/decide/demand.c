/*
 * Table of demand reports, with one row for each other ready gate of the service.
 *
 * A report consists of a level for each class, a sequence number and its age. A report with a
 * higher sequence number replaces one with a lower number, in whatever order they arrive. The age
 * is sent along with the report, so that it expires at the same time on all gates. A row belongs to
 * one incarnation of a gate that is ready according to the member table: a gate that left or died
 * has no row, and one that restarted has a new row.
 */
#include "fescuemill/decide/demand.h"

#include <endian.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HEADER_BYTES	      10	/* type (1), number of classes (1), layout (8) */
#define ROW_HEADER_BYTES      7		/* tag (4), sequence (2), age (1) */
#define AGE_UNIT_US	      100000ULL /* unit of the ages in a message */
#define RISE_TOLERANCE_LEVELS 4		/* about 25%, as much as random variation may add */
#define LEVEL_STEP_DIVISOR    16	/* each level is 17/16 of the one below it */

/* A report older than this is replaced by one with any sequence number, since the numbers may have
 * wrapped. */
#define SEQUENCE_MAX_AGE_US (3600 * USEC_PER_SEC)

/* Returns the demand that a level stands for, in thousandths of a call a second. */
uint64_t demand_milli_of(uint8_t level)
{
	static uint64_t table[DEMAND_LEVELS];

	if (!table[1]) {
		table[1] = DEMAND_LEVEL_MIN_MILLI;
		for (uint32_t i = 2; i < DEMAND_LEVELS; i++)
			table[i] = table[i - 1] + table[i - 1] / LEVEL_STEP_DIVISOR;
	}
	return table[level];
}

/* Returns the level nearest to a demand, or the highest level for a demand beyond that. */
uint8_t demand_level_of(uint64_t milli)
{
	uint32_t low = 0;
	uint32_t high = DEMAND_LEVELS - 1;

	while (low < high) {
		uint32_t middle = (low + high) / 2;
		uint64_t edge = (demand_milli_of((uint8_t)middle) +
				 demand_milli_of((uint8_t)(middle + 1))) /
				2;

		if (milli < edge)
			high = middle;
		else
			low = middle + 1;
	}
	return (uint8_t)low;
}

/* Returns a hash of the service's name and of its classes' names in their order. The levels in
 * reports with the same layout are for the same classes, whatever targets these have. */
uint64_t demand_layout_of(const struct service_config *config)
{
	uint64_t hash = XXH3_64bits(config->service, strlen(config->service));

	for (uint32_t i = 0; i < config->class_count; i++) {
		const char *name = config->classes[i].name;

		hash = XXH3_64bits_withSeed(name, strlen(name), hash);
	}
	return hash;
}

/* Returns a 32-bit hash of a gate's node id and incarnation. */
static uint32_t tag_of(const struct node_incarnation *gate)
{
	uint64_t parts[2] = {htole64(gate->node_id), htole64(gate->incarnation)};

	return (uint32_t)XXH3_64bits(parts, sizeof(parts));
}

/* Initializes a table without classes and peers. */
void demand_init(struct demand_table *table, const struct node_incarnation *self, uint64_t now_us)
{
	memset(table, 0, sizeof(*table));
	table->own.tag = tag_of(self);
	table->counted_us = now_us;
}

/* Sets the classes that are reported. If they or their order have changed, all reports are dropped,
 * including this gate's own. */
void demand_set_classes(struct demand_table *table, uint64_t layout, uint32_t class_count,
			uint64_t now_us)
{
	if (layout == table->layout && class_count == table->class_count)
		return;
	table->layout = layout;
	table->class_count = class_count;
	table->counted_us = now_us;
	table->own.has_report = false;
	memset(table->own_levels, 0, sizeof(table->own_levels));
	memset(table->offered, 0, sizeof(table->offered));
	memset(table->mean_milli, 0, sizeof(table->mean_milli));
	for (uint32_t i = 0; i < table->row_count; i++)
		table->rows[i].has_report = false;
}

static struct demand_row *find_row(struct demand_row *rows, uint32_t count, uint32_t tag)
{
	for (uint32_t i = 0; i < count; i++) {
		if (rows[i].tag == tag)
			return &rows[i];
	}
	return NULL;
}

/* Sets the other ready gates. Their rows are kept, and the rows of all other gates are removed. A
 * gate beyond the first DEMAND_PEERS_MAX has no row and counts as not reported; so does a gate with
 * the same tag as one before it or as this gate. */
void demand_set_peers(struct demand_table *table, const struct node_incarnation *peers,
		      uint32_t count)
{
	struct demand_row old[DEMAND_PEERS_MAX];
	uint32_t old_count = table->row_count;

	memcpy(old, table->rows, old_count * sizeof(old[0]));
	table->peers = count;
	table->row_count = 0;
	for (uint32_t i = 0; i < count && i < DEMAND_PEERS_MAX; i++) {
		struct demand_row *row = &table->rows[table->row_count];
		uint32_t tag = tag_of(&peers[i]);
		const struct demand_row *known = find_row(old, old_count, tag);

		if (tag == table->own.tag || find_row(table->rows, table->row_count, tag))
			continue;
		memset(row, 0, sizeof(*row));
		if (known)
			*row = *known;
		row->tag = tag;
		table->row_count++;
	}
}

/* Adds a new report of this gate's demand. offered is the total number of calls offered to each
 * class since the class was added. */
void demand_record_own(struct demand_table *table, const uint64_t offered[CLASSES_PER_SERVICE_MAX],
		       uint64_t now_us)
{
	struct demand_row *own = &table->own;

	for (uint32_t i = 0; i < table->class_count; i++) {
		/* The total of a class that was removed and added again starts from 0. */
		bool is_reset = offered[i] < table->offered[i];
		uint64_t more = offered[i] - (is_reset ? 0 : table->offered[i]);

		table->offered[i] = offered[i];
		table->mean_milli[i] =
			share_smooth_milli(table->mean_milli[i], more, now_us - table->counted_us);
		own->levels[i] = demand_level_of(table->mean_milli[i]);
	}
	table->counted_us = now_us;
	own->sequence++;
	table->own_report_count++;
	memcpy(table->own_levels[table->own_report_count % DEMAND_HISTORY_LENGTH], own->levels,
	       sizeof(own->levels));
	own->has_report = true;
	own->received_us = now_us;
	own->age_us = 0;
}

/* Returns the age of a report now. */
static uint64_t age_us(const struct demand_row *row, uint64_t now_us)
{
	return row->age_us + (now_us > row->received_us ? now_us - row->received_us : 0);
}

/* Returns true if a row has a report that has not expired. */
static bool is_current(const struct demand_row *row, uint64_t now_us)
{
	return row->has_report && age_us(row, now_us) <= DEMAND_REPORT_MAX_AGE_US;
}

/* Returns true if a row reports a demand for any class. */
static bool has_demand(const struct demand_table *table, const struct demand_row *row)
{
	for (uint32_t i = 0; i < table->class_count; i++) {
		if (row->levels[i])
			return true;
	}
	return false;
}

/* Returns true if no current report, own or received, has a demand for any class. */
bool demand_is_idle(const struct demand_table *table, uint64_t now_us)
{
	if (is_current(&table->own, now_us) && has_demand(table, &table->own))
		return false;
	for (uint32_t i = 0; i < table->row_count; i++) {
		if (is_current(&table->rows[i], now_us) && has_demand(table, &table->rows[i]))
			return false;
	}
	return true;
}

/* Returns the number of gates with a current report, this one included. */
uint32_t demand_reported(const struct demand_table *table, uint64_t now_us)
{
	uint32_t count = 1;

	for (uint32_t i = 0; i < table->row_count; i++)
		count += is_current(&table->rows[i], now_us);
	return count;
}

/* Returns the 75th percentile of the ages of the peers' current reports, rounded down to whole
 * periods. */
static uint64_t report_age_p75_us(const struct demand_table *table, uint64_t now_us)
{
	uint32_t by_age[DEMAND_HISTORY_LENGTH] = {0}; /* reports by age in whole periods */
	uint32_t reported = 0;
	uint32_t seen = 0;
	uint32_t age = 0;

	for (uint32_t i = 0; i < table->row_count; i++) {
		if (!is_current(&table->rows[i], now_us))
			continue;
		by_age[age_us(&table->rows[i], now_us) / DEMAND_PERIOD_US]++;
		reported++;
	}
	while (age < DEMAND_HISTORY_LENGTH - 1 && (seen += by_age[age]) * 4 < reported * 3)
		age++;
	return age * DEMAND_PERIOD_US;
}

/* Returns the own level of a class without any rise in the last min_age_us. A rise of up to
 * RISE_TOLERANCE_LEVELS is kept, since it may be random variation. */
static uint8_t own_level_without_rise(const struct demand_table *table, uint32_t class_index,
				      uint64_t min_age_us, uint64_t now_us)
{
	const struct demand_row *own = &table->own;
	uint64_t own_age_us = now_us - own->received_us;
	uint32_t reports_back = 0;
	uint8_t level;

	if (min_age_us > own_age_us)
		reports_back = (uint32_t)((min_age_us - own_age_us + DEMAND_PERIOD_US - 1) /
					  DEMAND_PERIOD_US);
	if (reports_back >= DEMAND_HISTORY_LENGTH)
		return 0;
	level = table->own_levels[(table->own_report_count - reports_back) % DEMAND_HISTORY_LENGTH]
				 [class_index];
	if (own->levels[class_index] <= level + RISE_TOLERANCE_LEVELS)
		return own->levels[class_index];
	return level + RISE_TOLERANCE_LEVELS;
}

/* Sums the current demands of a class. The own demand is rounded to its level, as the peers see it,
 * so that the shares of gates with the same reports add up. A recent rise of the own demand is left
 * out of the sum and put into own_rise_milli, until most of the peers' reports are newer than the
 * rise. Otherwise, when demand rises at all gates at once, each gate would take the shares of its
 * peers before it gets their higher reports. */
void demand_sum(const struct demand_table *table, uint32_t class_index, uint64_t now_us,
		struct share_demand *sum)
{
	uint8_t own = own_level_without_rise(table, class_index, report_age_p75_us(table, now_us),
					     now_us);

	sum->own_milli = demand_milli_of(own);
	sum->own_rise_milli = demand_milli_of(table->own.levels[class_index]) - sum->own_milli;
	sum->total_milli = sum->own_milli;
	sum->gates = table->peers + 1;
	sum->known_milli[0] = sum->own_milli;
	sum->reported = 1;
	for (uint32_t i = 0; i < table->row_count; i++) {
		const struct demand_row *row = &table->rows[i];

		if (!is_current(row, now_us))
			continue;
		sum->known_milli[sum->reported] = demand_milli_of(row->levels[class_index]);
		sum->total_milli += sum->known_milli[sum->reported];
		sum->reported++;
	}
}

/* Writes one row of a message and returns its size in bytes. */
static size_t write_row(const struct demand_table *table, const struct demand_row *row,
			uint64_t now_us, uint8_t *data)
{
	uint32_t tag = htole32(row->tag);
	uint16_t sequence = htole16(row->sequence);

	memcpy(data, &tag, sizeof(tag));
	memcpy(data + 4, &sequence, sizeof(sequence));
	/* Rounded up, so that forwarding a report never makes it younger. */
	data[6] = (uint8_t)((age_us(row, now_us) + AGE_UNIT_US - 1) / AGE_UNIT_US);
	memcpy(data + ROW_HEADER_BYTES, row->levels, table->class_count);
	return ROW_HEADER_BYTES + table->class_count;
}

/* Returns true if a row goes into a message. A reply omits the reports that were in the request. */
static bool is_wanted(const struct demand_row *row, enum demand_message type, uint64_t now_us)
{
	return is_current(row, now_us) && !(type == DEMAND_REPLY && row->sender_has_it);
}

/*
 * Writes a message of at most DEMAND_BYTES_MAX bytes and returns its size, which is 0 for a reply
 * without any row. The own row comes first, then the other rows from index start on (modulo the
 * number of rows) as far as they fit. With a random start all rows are sent equally often, even if
 * they do not fit into one message.
 */
size_t demand_write(const struct demand_table *table, enum demand_message type, uint32_t start,
		    uint64_t now_us, uint8_t *data)
{
	size_t row_bytes = ROW_HEADER_BYTES + table->class_count;
	uint64_t layout = htole64(table->layout);
	size_t size = HEADER_BYTES;

	data[0] = (uint8_t)type;
	data[1] = (uint8_t)table->class_count;
	memcpy(data + 2, &layout, sizeof(layout));
	if (is_wanted(&table->own, type, now_us))
		size += write_row(table, &table->own, now_us, data + size);
	for (uint32_t i = 0; i < table->row_count; i++) {
		const struct demand_row *row = &table->rows[(start + i) % table->row_count];

		if (size + row_bytes > DEMAND_BYTES_MAX)
			break;
		if (is_wanted(row, type, now_us))
			size += write_row(table, row, now_us, data + size);
	}
	return type == DEMAND_REPLY && size == HEADER_BYTES ? 0 : size;
}

/* Returns true if a report with this sequence number is newer than the row's. If the row's report
 * is old, the number may have wrapped since, and any report counts as newer. */
static bool is_newer(const struct demand_row *row, uint16_t sequence, uint64_t now_us)
{
	if (!row->has_report || age_us(row, now_us) > SEQUENCE_MAX_AGE_US)
		return true;
	return (int16_t)(uint16_t)(sequence - row->sequence) > 0;
}

/* Reads one row of a message into the table if its report is newer, and notes whether the sender
 * has the same report as the table. */
static void read_row(struct demand_table *table, const uint8_t *data, uint64_t now_us)
{
	uint64_t row_age_us = data[6] * AGE_UNIT_US;
	struct demand_row *row;
	uint16_t sequence;
	uint32_t tag;

	memcpy(&tag, data, sizeof(tag));
	memcpy(&sequence, data + 4, sizeof(sequence));
	tag = le32toh(tag);
	sequence = le16toh(sequence);
	if (tag == table->own.tag) {
		table->own.sender_has_it = sequence == table->own.sequence;
		return;
	}
	row = find_row(table->rows, table->row_count, tag);
	if (!row || row_age_us > DEMAND_REPORT_MAX_AGE_US)
		return;
	if (!is_newer(row, sequence, now_us)) {
		row->sender_has_it = sequence == row->sequence;
		return;
	}
	row->sender_has_it = true;
	row->sequence = sequence;
	row->has_report = true;
	row->received_us = now_us;
	row->age_us = row_age_us;
	memcpy(row->levels, data + ROW_HEADER_BYTES, table->class_count);
}

static int check_header(const struct demand_table *table, const uint8_t *data, size_t size,
			struct error *err)
{
	uint64_t layout;

	if (size < HEADER_BYTES)
		return error_set(err, ERROR_TRUNCATED, "demand message of %zu bytes is truncated",
				 size);
	if (data[0] != DEMAND_REQUEST && data[0] != DEMAND_REPLY)
		return error_set(err, ERROR_TYPE, "demand message has the unknown type %u",
				 data[0]);
	if (size > DEMAND_BYTES_MAX || data[1] > CLASSES_PER_SERVICE_MAX ||
	    (size - HEADER_BYTES) % (ROW_HEADER_BYTES + data[1]))
		return error_set(err, ERROR_RANGE,
				 "demand message of %zu bytes has an invalid size or class count",
				 size);
	memcpy(&layout, data + 2, sizeof(layout));
	if (le64toh(layout) != table->layout || data[1] != table->class_count)
		return error_set(err, ERROR_VERSION, "demand message is for different classes");
	return 0;
}

/* Reads a message and stores the reports that are newer than those in the table. Errors:
 * ERROR_TRUNCATED, ERROR_TYPE, ERROR_RANGE, ERROR_VERSION (the sender has different classes). */
int demand_read(struct demand_table *table, const uint8_t *data, size_t size, uint64_t now_us,
		enum demand_message *type, struct error *err)
{
	if (check_header(table, data, size, err))
		return -1;
	*type = (enum demand_message)data[0];
	table->own.sender_has_it = false;
	for (uint32_t i = 0; i < table->row_count; i++)
		table->rows[i].sender_has_it = false;
	for (size_t at = HEADER_BYTES; at < size; at += ROW_HEADER_BYTES + table->class_count)
		read_row(table, data + at, now_us);
	return 0;
}
