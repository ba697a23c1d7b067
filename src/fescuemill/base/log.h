/*
 * Logger: one line per event on standard error: time, level, process name, prefix of the part of
 * the program that logs, a short sentence, then key=value fields.
 */
#ifndef FESCUEMILL_BASE_LOG_H
#define FESCUEMILL_BASE_LOG_H

#include "fescuemill/base/error.h"

enum log_level {
	LOG_ERROR,
	LOG_WARNING,
	LOG_INFO,
	LOG_DEBUG,
	LOG_LEVEL_COUNT,
};

enum log_part {
	LOG_PART_MAIN,
	LOG_PART_ENTRY,
	LOG_PART_GATE,
	LOG_PART_HTTP,
	LOG_PART_CHANNEL,
	LOG_PART_GOSSIP,
	LOG_PART_CONFIG,
	LOG_PART_PLATFORM,
	LOG_PART_ADMIN,
	LOG_PART_LOAD,
	LOG_PART_STANDIN,
	LOG_PART_COUNT,
};

void log_set_level(enum log_level level);
int log_level_from_name(const char *name, enum log_level *level);
void log_set_name(const char *name);

/* Logs to standard output from now on. A line whose write would block is dropped and counted. */
void log_to_stdout(void);

/* Logs a sentence. If fields is not NULL, it is the printf format of the key=value fields. */
void log_write(enum log_level level, enum log_part part, const char *sentence, const char *fields,
	       ...) __attribute__((format(printf, 4, 5)));

/* Logs a sentence, followed by the kind, function, errno and detail of an error. */
void log_failure(enum log_level level, enum log_part part, const char *sentence,
		 const struct error *err);

#endif
