/*
 * Options of fescuectl, from a file, the command line and the environment. The command line
 * overrides the file, and the environment overrides both.
 */
#ifndef FESCUECTL_OPTIONS_H
#define FESCUECTL_OPTIONS_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>

#define NODES_MAX	   256
#define WORDS_MAX	   6
#define BY_BYTES	   48
#define TIMEOUT_DEFAULT_MS 5000
#define WATCH_DEFAULT_MS   30000
#define TIMEOUT_MS_MAX	   600000

/* Target of a class from the command line. */
struct target_options {
	int rank; /* 0 is the most urgent */
	double latency_ms;
	double percentile; /* percent of calls that must meet latency_ms */
	int calls_per_s;   /* over the whole fleet */
	bool is_complete;  /* all four values were given */
};

struct options {
	uint32_t node_count;
	struct endpoint nodes[NODES_MAX];
	char key[ADMIN_KEY_BYTES];
	char by[BY_BYTES];   /* who makes a change */
	uint32_t timeout_ms; /* for the answer of a node */
	uint32_t watch_ms;   /* longest time to watch a change */
	bool json;
	bool has_if_version;
	uint64_t if_version; /* version that a change is based on */
	bool watch_change;   /* watch an accepted change until it is in force */
	bool cancel;	     /* withdraw an evacuation */
	struct target_options target;
	int word_count;		      /* length of words */
	const char *words[WORDS_MAX]; /* the command and its arguments */
};

/* Reads "ip:port,ip:port". Errors: ERROR_RANGE, ERROR_MEMORY. */
int options_read_nodes(struct options *options, const char *text, struct error *err);
/*
 * Reads a file {"nodes":["ip:port"],"key":"...","by":"...","timeout_ms":N}; every key is optional.
 * Errors: ERROR_SYSTEM, ERROR_SYNTAX, ERROR_UNKNOWN_KEY, ERROR_TYPE, ERROR_RANGE.
 */
int options_read_file(struct options *options, const char *path, struct error *err);
/*
 * Reads FESCUECTL_NODES, FESCUECTL_KEY, FESCUECTL_BY and FESCUECTL_TIMEOUT_MS. Errors: ERROR_RANGE.
 */
int options_read_environment(struct options *options, struct error *err);

#endif
