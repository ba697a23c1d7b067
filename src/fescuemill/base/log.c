/*
 * Logger: formats a line in a stack buffer and writes it with a single call of write, so that lines
 * of one process are never mixed.
 */
#include "fescuemill/base/log.h"

#include "fescuemill/base/counter.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define NAME_BYTES 48

static enum log_level current_level = LOG_INFO;
static int log_fd = STDERR_FILENO;
static char process_name[NAME_BYTES] = "-";

static const char *const level_names[LOG_LEVEL_COUNT] = {"error", "warning", "info", "debug"};

static const char *const part_prefixes[LOG_PART_COUNT] = {
	[LOG_PART_MAIN] = "main:",	  [LOG_PART_ENTRY] = "entry:",
	[LOG_PART_GATE] = "gate:",	  [LOG_PART_HTTP] = "http:",
	[LOG_PART_CHANNEL] = "channel:",  [LOG_PART_GOSSIP] = "gossip:",
	[LOG_PART_CONFIG] = "config:",	  [LOG_PART_PLATFORM] = "platform:",
	[LOG_PART_ADMIN] = "admin:",	  [LOG_PART_LOAD] = "load:",
	[LOG_PART_STANDIN] = "stand-in:",
};

/* Sets the least severe level that is logged. */
void log_set_level(enum log_level level)
{
	current_level = level;
}

/* Looks up a level by its name. Returns -1 if there is no such level. */
int log_level_from_name(const char *name, enum log_level *level)
{
	for (int i = 0; i < LOG_LEVEL_COUNT; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return 0;
		}
	}
	return -1;
}

/* Logs to standard output, in non-blocking mode so that a slow reader cannot block the loop. */
void log_to_stdout(void)
{
	log_fd = STDOUT_FILENO;
	fcntl(log_fd, F_SETFL, fcntl(log_fd, F_GETFL) | O_NONBLOCK);
}

/* Sets the name of this process, which is part of every line. */
void log_set_name(const char *name)
{
	snprintf(process_name, sizeof(process_name), "%s", name);
}

/* Formats the time, level, process name and prefix of a line. Returns the length in bytes. */
static size_t format_head(char *line, enum log_level level, enum log_part part)
{
	struct timespec now;
	struct tm utc;
	size_t used;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	used = strftime(line, LINE_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
	used += (size_t)snprintf(line + used, LINE_BYTES - used, ".%06ldZ %s %s %s ",
				 now.tv_nsec / 1000, level_names[level], process_name,
				 part_prefixes[part]);
	return used;
}

/* Truncates a line to its buffer, adds a newline and writes it with a single call of write. */
static void write_line(char *line, size_t used)
{
	ssize_t written;

	if (used > LINE_BYTES - 1)
		used = LINE_BYTES - 1;
	line[used++] = '\n';
	written = write(log_fd, line, used);
	if (written < 0)
		counter_add(COUNTER_LOG_LINES_DROPPED, 1);
}

/* Logs an event if its level is enabled. */
void log_write(enum log_level level, enum log_part part, const char *sentence, const char *fields,
	       ...)
{
	char line[LINE_BYTES + 1];
	size_t used;
	va_list args;

	if (level > current_level)
		return;
	used = format_head(line, level, part);
	used += (size_t)snprintf(line + used, LINE_BYTES - used, "%s", sentence);
	if (fields && used < LINE_BYTES - 1) {
		line[used++] = ' ';
		va_start(args, fields);
		used += (size_t)vsnprintf(line + used, LINE_BYTES - used, fields, args);
		va_end(args);
	}
	write_line(line, used);
}

/* Logs a failure with the fields of its error struct. */
void log_failure(enum log_level level, enum log_part part, const char *sentence,
		 const struct error *err)
{
	log_write(level, part, sentence, "kind=%s where=%s errno=%d detail=\"%s\"",
		  error_kind_name(err->kind), err->where ? err->where : "-", err->system_errno,
		  err->detail);
}
