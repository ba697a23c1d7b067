/*
 * Ask: questions to the administration APIs of nodes, waited for.
 */
#ifndef FESCUECTL_ASK_H
#define FESCUECTL_ASK_H

#include "fescuectl/options.h"
#include "fescuemill/http/fetch.h"

#include <jansson.h>

/* The answer of one node. */
struct answer {
	struct endpoint node;
	struct error err; /* why there is none, or the node's own typed error */
	int status;
	json_t *json;
};

struct asker {
	const struct options *options;
	uv_loop_t loop;
	struct fetcher *fetcher;
};

struct question {
	const char *method;
	const char *path;
	const char *headers; /* further lines that end in "\r\n", or NULL */
	const char *body;
};

int asker_open(struct asker *asker, const struct options *options, struct error *err);
void asker_close(struct asker *asker);
/* Asks the nodes in turn until one answers. Repeating a change at another node is safe, since its
 * change id stays the same. Errors: those of the nodes, ERROR_UNREACHABLE, ERROR_TIMEOUT,
 * ERROR_USAGE without nodes. */
int ask_any(struct asker *asker, const struct question *question, json_t **json, struct error *err);
/* Asks all nodes at once; answers has room for options->node_count. */
void ask_all(struct asker *asker, const struct question *question, struct answer *answers);
void answers_free(struct answer *answers, uint32_t count);

#endif
