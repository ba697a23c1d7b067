/*
 * Table of the demand (rate of offered calls) at each gate of a service, from which a gate computes
 * its share of a class's fleet-wide rate. Each gate has one row. Gates exchange their rows and
 * forward the rows of other gates.
 */
#ifndef FESCUEMILL_DECIDE_DEMAND_H
#define FESCUEMILL_DECIDE_DEMAND_H

#include "fescuemill/base/clock.h"
#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/share.h"

#include <stddef.h>

#define DEMAND_PERIOD_US	 USEC_PER_SEC	     /* interval between two reports of a gate */
#define DEMAND_REPORT_MAX_AGE_US (25 * USEC_PER_SEC) /* an older report is ignored */

/* Number of own reports that are stored. */
#define DEMAND_HISTORY_LENGTH (DEMAND_REPORT_MAX_AGE_US / DEMAND_PERIOD_US + 2)

#define DEMAND_PEERS_MAX       (SHARE_GATES_MAX - 1) /* maximum number of rows of other gates */
#define DEMAND_BYTES_MAX       1100		     /* maximum size of a message */
#define DEMAND_LEVELS	       256 /* levels of the logarithmic scale for demands */
#define DEMAND_LEVEL_MIN_MILLI 100 /* level 1, in thousandths of a call a second */

/* Latest report of one gate. */
struct demand_row {
	uint32_t tag;	    /* hash of the gate's node id and incarnation */
	uint16_t sequence;  /* sequence number of the report; wraps */
	bool has_report;    /* false until a report for the row is received */
	bool sender_has_it; /* the last message read contained this report */
	uint64_t received_us;
	uint64_t age_us;			 /* age of the report when it was received */
	uint8_t levels[CLASSES_PER_SERVICE_MAX]; /* demand of each class, see demand_milli_of() */
};

struct demand_table {
	uint64_t layout; /* hash of the service and its classes, see demand_layout_of() */
	uint32_t class_count;
	uint32_t peers; /* number of other ready gates, those without a row included */
	uint32_t row_count;
	uint64_t counted_us;			      /* time of the last own report */
	uint64_t offered[CLASSES_PER_SERVICE_MAX];    /* total calls at the last own report */
	uint64_t mean_milli[CLASSES_PER_SERVICE_MAX]; /* moving average of the own demand */
	uint32_t own_report_count;		      /* number of own reports so far */
	struct demand_row own;
	/* Levels of the last own reports; a ring indexed by own_report_count. */
	uint8_t own_levels[DEMAND_HISTORY_LENGTH][CLASSES_PER_SERVICE_MAX];
	struct demand_row rows[DEMAND_PEERS_MAX];
};

enum demand_message {
	DEMAND_REQUEST = 1, /* asks for the reports that its sender does not have */
	DEMAND_REPLY,
};

uint8_t demand_level_of(uint64_t milli);
uint64_t demand_milli_of(uint8_t level);
uint64_t demand_layout_of(const struct service_config *config);

void demand_init(struct demand_table *table, const struct node_incarnation *self, uint64_t now_us);
void demand_set_classes(struct demand_table *table, uint64_t layout, uint32_t class_count,
			uint64_t now_us);
void demand_set_peers(struct demand_table *table, const struct node_incarnation *peers,
		      uint32_t count);
void demand_record_own(struct demand_table *table, const uint64_t offered[CLASSES_PER_SERVICE_MAX],
		       uint64_t now_us);
bool demand_is_idle(const struct demand_table *table, uint64_t now_us);
uint32_t demand_reported(const struct demand_table *table, uint64_t now_us);
void demand_sum(const struct demand_table *table, uint32_t class_index, uint64_t now_us,
		struct share_demand *sum);

size_t demand_write(const struct demand_table *table, enum demand_message type, uint32_t start,
		    uint64_t now_us, uint8_t *data);
int demand_read(struct demand_table *table, const uint8_t *data, size_t size, uint64_t now_us,
		enum demand_message *type, struct error *err);

#endif
