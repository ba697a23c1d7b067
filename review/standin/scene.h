/*
 * A small deployment for a case: store, nodes, backend servers and callers, with a record of what
 * was sent, answered and run.
 */
#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define SCENE_HOSTS_MAX 12
#define SCENE_RUNS_MAX	8192

/* What a backend server saw of a request. */
struct run {
	char id[64];
	const struct host *host;
	uint64_t at_ms;	   /* when it arrived */
	uint64_t begun_ms; /* 0: it did not run */
	uint64_t ended_ms; /* 0: it did not run to its end */
};

/* A host: a node with its backend server. */
struct host {
	char name[32];
	char place[32]; /* its failure domain */
	char service[32];
	char instance[32];
	char ip[32];
	uint32_t slots;
	/* the node */
	pid_t pid;
	uint64_t term_ms; /* when SIGTERM was sent; 0: never */
	uint32_t misses;  /* questions in a row without 200 */
	/* the backend server */
	pthread_mutex_t lock;
	uint32_t running;
	uint32_t waiting;
	bool is_draining;
	bool has_left;	       /* it has ended */
	uint64_t drain_ack_ms; /* when its draining was acknowledged; 0: not yet */
	uint64_t born_ms;
	uint32_t late_ms;      /* how late its status reports arrive */
	bool is_silent;	       /* it sends no status reports any more */
	uint64_t last_late_ms; /* when its last late report arrived; 0: none */
	uint32_t sequence;
	int listener;
};

/* A request of a caller and its answer. */
struct request {
	char id[32];
	const struct host *entry;
	char method[8];
	char path[64];
	char host_name[32];
	uint32_t left_ms;
	uint64_t sent_ms;
	uint64_t ended_ms;
	int status;	      /* 0: the connection ended without a complete answer */
	bool was_read_to_end; /* the connection could be made and the request was sent */
};

struct scene {
	char directory[256];
	char store[32];
	char program[256];
	uint32_t net[2];
	struct host hosts[SCENE_HOSTS_MAX];
	uint32_t host_count;
	uint64_t start_ms;
	FILE *record;
	pthread_mutex_t lock;
	struct run runs[SCENE_RUNS_MAX];
	uint32_t run_count;
	uint32_t request_count;
	bool is_over;
};

extern struct scene scene;

/* Prepares the scene and its store, with a manifest. Ends the program with 2 on a failure. */
void scene_open(const char *manifest_path);
struct host *scene_add_host(const char *name, const char *place, const char *service,
			    uint32_t slots);
/* Starts all backend servers and nodes and waits until every node is ready. */
void scene_start(void);
/* Ends everything that was started. */
void scene_close(void);

/* Milliseconds since the start of the scene. */
uint64_t scene_now(void);
void scene_sleep_until(uint64_t at_ms);
void scene_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
bool scene_has_trouble(void);

/* Tells the node that the backend server is draining, until it acknowledges; then serves for
 * serve_ms, deregisters and ends the backend server. Runs in a thread of its own. */
void host_drain(struct host *host, uint64_t serve_ms);
/* Deregisters the backend server of a host without having said that it is draining. */
void host_leave(struct host *host);
/* Ends the backend server of a host. */
void host_end(struct host *host);
void host_signal(struct host *host, int number);
/* Returns true if callers of the host send it new work, as the platform decides. */
bool host_is_in(const struct host *host);

/* Sends a request in a thread of its own; `request` must live until scene_wait_requests(). */
void request_send(struct request *request);
void scene_wait_requests(void);

/* Returns the run of a request that began last, or NULL. */
const struct run *scene_find_run(const char *id);

#endif
