/*
 * The nodes of a small deployment: each is a process of its own, started with the command and the
 * template of settings in deploy/, on a loopback address of its own.
 */
#ifndef REVIEW_STANDIN_FLEET_H
#define REVIEW_STANDIN_FLEET_H

#include "server.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define FLEET_NODES_MAX	  32
#define FLEET_CALLER_PORT 8304

struct fleet_node {
	char ip[32];
	char settings[256]; /* path */
	pid_t pid;	    /* 0: not running */
	struct server server;
};

struct fleet {
	const char *folder; /* a temporary folder for settings and logs */
	char net[24];	    /* the first three numbers of the addresses */
	char store[32];	    /* address of the store */
	json_t *deployment; /* fields of the settings that no node has for itself */
	uint32_t count;
	struct fleet_node nodes[FLEET_NODES_MAX];
};

/* Chooses addresses and starts the store with the configuration of a file. Returns -1 if the
 * addresses are in use. */
int fleet_open(struct fleet *fleet, const char *folder, const char *configuration);
/* Adds a node beside a server of a service; the caller may change the server before fleet_start().
 */
struct fleet_node *fleet_add(struct fleet *fleet, const char *service);
/* Starts the servers and the nodes, and waits until all are ready. Returns -1 if one is not. */
int fleet_start(struct fleet *fleet);
/* Starts the process of a node that has ended. Returns 0, or an error. */
int fleet_start_process(struct fleet_node *node);
/* Asks the node's ready address. */
bool fleet_is_ready(const struct fleet_node *node);
/* Returns the highest resident memory of a node's process so far; 0 if it has ended. */
uint64_t fleet_peak_bytes(const struct fleet_node *node);
/* Returns true if the process has ended, and forgets it. */
bool fleet_has_ended(struct fleet_node *node);
void fleet_signal(const struct fleet_node *node, int number);
/* Kills the processes that still run. */
void fleet_close(struct fleet *fleet);

#endif
