/*
 * Demand: a table of reports, one row for each ready gate of the service. A report is a level for
 * each class, a sequence number of its gate and its age. A higher sequence replaces a lower one,
 * however late it comes; the age travels with the report, so that it ends everywhere at the same
 * time. A row belongs to a process life that the member table has as ready: a gate that left, died
 * or started anew has none.
 */
#include "fescuemill/decide/demand.h"

#include <endian.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define HEAD_BYTES     10		     /* type, number of classes, layout */
#define ROW_HEAD_BYTES 7		     /* tag, sequence, age */
#define AGE_UNIT_US    100000ULL	     /* of an age in a message */
#define RISE_LEVELS    4		     /* a quarter more, which chance alone may bring */
#define STEP_PARTS     16		     /* a level is 17/16 of the one below it */
#define SEQUENCE_US    (3600 * USEC_PER_SEC) /* a sequence this old is no bound for later ones */

/* Gives the middle of a level, in thousandths of a call a second. */
uint64_t demand_milli_of(uint8_t level)
{
	static uint64_t table[DEMAND_LEVELS];

	if (!table[1]) {
		table[1] = DEMAND_LEAST_MILLI;
		for (uint32_t i = 2; i < DEMAND_LEVELS; i++)
			table[i] = table[i - 1] + table[i - 1] / STEP_PARTS;
	}
	return table[level];
}

/* Gives the level whose middle is nearest; one that is too high gives the highest level. */
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

/* Gives a hash of the service's name and of its classes' names in their order. Reports of gates
 * with the same layout mean the same classes, whatever their targets are. */
uint64_t demand_layout_of(const struct service_config *config)
{
	uint64_t hash = XXH3_64bits(config->service, strlen(config->service));

	for (uint32_t i = 0; i < config->class_count; i++) {
		const char *name = config->classes[i].name;

		hash = XXH3_64bits_withSeed(name, strlen(name), hash);
	}
	return hash;
}

/* Gives the short name of a process life. */
static uint32_t tag_of(const struct node_incarnation *identity)
{
	uint64_t parts[2] = {htole64(identity->node_id), htole64(identity->incarnation)};

	return (uint32_t)XXH3_64bits(parts, sizeof(parts));
}

/* Starts a table without classes and peers. */
void demand_init(struct demand_table *table, const struct node_incarnation *self, uint64_t now_us)
{
	memset(table, 0, sizeof(*table));
	table->own.tag = tag_of(self);
	table->counted_us = now_us;
}

/* Sets the classes that levels stand for. */
void demand_set_classes(struct demand_table *table, uint64_t layout, uint32_t class_count,
			uint64_t now_us)
{
	if (layout == table->layout && class_count == table->class_count)
		return;
	table->layout = layout;
	table->class_count = class_count;
	table->counted_us = now_us;
	table->own.is_known = false;
	memset(table->own_levels, 0, sizeof(table->own_levels));
	memset(table->offered, 0, sizeof(table->offered));
	memset(table->mean_milli, 0, sizeof(table->mean_milli));
	for (uint32_t i = 0; i < table->row_count; i++)
		table->rows[i].is_known = false;
}

/* Finds the row of a tag among some rows, or gives NULL. */
static struct demand_row *find_row(struct demand_row *rows, uint32_t count, uint32_t tag)
{
	for (uint32_t i = 0; i < count; i++) {
		if (rows[i].tag == tag)
			return &rows[i];
	}
	return NULL;
}

/* Sets the other ready gates. Those past DEMAND_PEERS_MAX count as not reported, and so does the
 * second of two with the same tag. */
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

/* Makes a report from the calls offered since the last one. */
void demand_count(struct demand_table *table, const uint64_t offered[CLASSES_PER_SERVICE_MAX],
		  uint64_t now_us)
{
	struct demand_row *own = &table->own;

	for (uint32_t i = 0; i < table->class_count; i++) {
		/* A class that was taken away and added again counts from 0. */
		bool is_anew = offered[i] < table->offered[i];
		uint64_t more = offered[i] - (is_anew ? 0 : table->offered[i]);

		table->offered[i] = offered[i];
		table->mean_milli[i] =
			share_smooth_milli(table->mean_milli[i], more, now_us - table->counted_us);
		own->levels[i] = demand_level_of(table->mean_milli[i]);
	}
	table->counted_us = now_us;
	own->sequence++;
	table->counts++;
	memcpy(table->own_levels[table->counts % DEMAND_COUNTS], own->levels, sizeof(own->levels));
	own->is_known = true;
	own->heard_us = now_us;
	own->age_us = 0;
}

/* Gives the age of a report. */
static uint64_t age_us(const struct demand_row *row, uint64_t now_us)
{
	return row->age_us + (now_us > row->heard_us ? now_us - row->heard_us : 0);
}

/* Tells whether a row has a report that counts. */
static bool counts(const struct demand_row *row, uint64_t now_us)
{
	return row->is_known && age_us(row, now_us) <= DEMAND_ROW_US;
}

/* Tells whether a row reports calls of any class. */
static bool has_demand(const struct demand_table *table, const struct demand_row *row)
{
	for (uint32_t i = 0; i < table->class_count; i++) {
		if (row->levels[i])
			return true;
	}
	return false;
}

/* Tells whether no gate is known to have any demand. */
bool demand_is_idle(const struct demand_table *table, uint64_t now_us)
{
	if (counts(&table->own, now_us) && has_demand(table, &table->own))
		return false;
	for (uint32_t i = 0; i < table->row_count; i++) {
		if (counts(&table->rows[i], now_us) && has_demand(table, &table->rows[i]))
			return false;
	}
	return true;
}

/* Counts the gates whose demand counts, this one included. */
uint32_t demand_reported(const struct demand_table *table, uint64_t now_us)
{
	uint32_t count = 1;

	for (uint32_t i = 0; i < table->row_count; i++)
		count += counts(&table->rows[i], now_us);
	return count;
}

/* Gives the age, in whole periods, that three of four reports have at most. */
static uint64_t usual_age_us(const struct demand_table *table, uint64_t now_us)
{
	uint32_t by_age[DEMAND_COUNTS] = {0}; /* in whole periods */
	uint32_t reported = 0;
	uint32_t seen = 0;
	uint32_t age = 0;

	for (uint32_t i = 0; i < table->row_count; i++) {
		if (!counts(&table->rows[i], now_us))
			continue;
		by_age[age_us(&table->rows[i], now_us) / DEMAND_PERIOD_US]++;
		reported++;
	}
	while (age < DEMAND_COUNTS - 1 && (seen += by_age[age]) * 4 < reported * 3)
		age++;
	return age * DEMAND_PERIOD_US;
}

/* Gives the own level of a class without a rise, beyond what chance brings, that is newer than a
 * time before now. */
static uint8_t own_level_before(const struct demand_table *table, uint32_t class_index,
				uint64_t before_us, uint64_t now_us)
{
	const struct demand_row *own = &table->own;
	uint64_t counted_before_us = now_us - own->heard_us;
	uint32_t counts_back = 0;
	uint8_t level;

	if (before_us > counted_before_us)
		counts_back = (uint32_t)((before_us - counted_before_us + DEMAND_PERIOD_US - 1) /
					 DEMAND_PERIOD_US);
	if (counts_back >= DEMAND_COUNTS)
		return 0;
	level = table->own_levels[(table->counts - counts_back) % DEMAND_COUNTS][class_index];
	if (own->levels[class_index] <= level + RISE_LEVELS)
		return own->levels[class_index];
	return level + RISE_LEVELS;
}

/* Sums the demand of a class. The own one is rounded as the peers see it, so that the parts of
 * gates that know the same add up. */
void demand_sum(const struct demand_table *table, uint32_t class_index, uint64_t now_us,
		struct share_demand *sum)
{
	uint8_t own = own_level_before(table, class_index, usual_age_us(table, now_us), now_us);

	sum->own_milli = demand_milli_of(own);
	sum->rise_milli = demand_milli_of(table->own.levels[class_index]) - sum->own_milli;
	sum->total_milli = sum->own_milli;
	sum->gates = table->peers + 1;
	sum->known_milli[0] = sum->own_milli;
	sum->reported = 1;
	for (uint32_t i = 0; i < table->row_count; i++) {
		const struct demand_row *row = &table->rows[i];

		if (!counts(row, now_us))
			continue;
		sum->known_milli[sum->reported] = demand_milli_of(row->levels[class_index]);
		sum->total_milli += sum->known_milli[sum->reported];
		sum->reported++;
	}
}

/* Writes one row; gives the bytes that it took. */
static size_t write_row(const struct demand_table *table, const struct demand_row *row,
			uint64_t now_us, uint8_t *data)
{
	uint32_t tag = htole32(row->tag);
	uint16_t sequence = htole16(row->sequence);

	memcpy(data, &tag, sizeof(tag));
	memcpy(data + 4, &sequence, sizeof(sequence));
	/* Rounded up, so that passing a report on never makes it younger. */
	data[6] = (uint8_t)((age_us(row, now_us) + AGE_UNIT_US - 1) / AGE_UNIT_US);
	memcpy(data + ROW_HEAD_BYTES, row->levels, table->class_count);
	return ROW_HEAD_BYTES + table->class_count;
}

/* Tells whether a row goes into a message: an answer leaves out what the asker has. */
static bool is_wanted(const struct demand_row *row, enum demand_message type, uint64_t now_us)
{
	return counts(row, now_us) && !(type == DEMAND_ANSWER && row->asker_has_it);
}

/*
 * Writes a message: the own row first, then the others in turn from the row `start` on, any number,
 * as far as they fit. Where not all fit, a random start makes all go out equally often.
 */
size_t demand_write(const struct demand_table *table, enum demand_message type, uint32_t start,
		    uint64_t now_us, uint8_t *data)
{
	size_t row_bytes = ROW_HEAD_BYTES + table->class_count;
	uint64_t layout = htole64(table->layout);
	size_t size = HEAD_BYTES;

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
	return type == DEMAND_ANSWER && size == HEAD_BYTES ? 0 : size;
}

/* Tells whether a report of this sequence is newer than the row. A row that was not heard of for
 * long may have wrapped since. */
static bool is_newer(const struct demand_row *row, uint16_t sequence, uint64_t now_us)
{
	if (!row->is_known || age_us(row, now_us) > SEQUENCE_US)
		return true;
	return (int16_t)(uint16_t)(sequence - row->sequence) > 0;
}

/* Takes one row of a message. */
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
		table->own.asker_has_it = sequence == table->own.sequence;
		return;
	}
	row = find_row(table->rows, table->row_count, tag);
	if (!row || row_age_us > DEMAND_ROW_US)
		return;
	if (!is_newer(row, sequence, now_us)) {
		row->asker_has_it = sequence == row->sequence;
		return;
	}
	row->asker_has_it = true;
	row->sequence = sequence;
	row->is_known = true;
	row->heard_us = now_us;
	row->age_us = row_age_us;
	memcpy(row->levels, data + ROW_HEAD_BYTES, table->class_count);
}

/* Checks the head and the size of a message. */
static int check_head(const struct demand_table *table, const uint8_t *data, size_t size,
		      struct error *err)
{
	uint64_t layout;

	if (size < HEAD_BYTES)
		return error_set(err, ERROR_TRUNCATED, "demand message of %zu bytes", size);
	if (data[0] != DEMAND_QUESTION && data[0] != DEMAND_ANSWER)
		return error_set(err, ERROR_TYPE, "demand message of unknown type %u", data[0]);
	if (size > DEMAND_BYTES_MAX || data[1] > CLASSES_PER_SERVICE_MAX ||
	    (size - HEAD_BYTES) % (ROW_HEAD_BYTES + data[1]))
		return error_set(err, ERROR_RANGE, "demand message of %zu bytes", size);
	memcpy(&layout, data + 2, sizeof(layout));
	if (le64toh(layout) != table->layout || data[1] != table->class_count)
		return error_set(err, ERROR_VERSION, "demand of other classes");
	return 0;
}

/* Takes the reports of a message that are newer than the known ones. */
int demand_read(struct demand_table *table, const uint8_t *data, size_t size, uint64_t now_us,
		enum demand_message *type, struct error *err)
{
	if (check_head(table, data, size, err))
		return -1;
	*type = (enum demand_message)data[0];
	table->own.asker_has_it = false;
	for (uint32_t i = 0; i < table->row_count; i++)
		table->rows[i].asker_has_it = false;
	for (size_t at = HEAD_BYTES; at < size; at += ROW_HEAD_BYTES + table->class_count)
		read_row(table, data + at, now_us);
	return 0;
}
