/*
 * Node client: blocking requests to the administration APIs of nodes.
 */
#ifndef FESCUECTL_NODE_CLIENT_H
#define FESCUECTL_NODE_CLIENT_H

#include "fescuectl/options.h"
#include "fescuemill/http/fetch.h"

#include <jansson.h>

/* A node's response, or the error in its place. */
struct node_response {
	struct endpoint node;
	struct error err; /* why there is no response, or the error that the node returned */
	int status;	  /* of HTTP; 0: the node was not reached */
	json_t *json;
};

struct node_client {
	const struct options *options;
	uv_loop_t loop;
	struct fetcher *fetcher;
};

struct node_request {
	const char *method;
	const char *path;
	const char *headers; /* additional header lines, each ending in "\r\n", or NULL */
	const char *body;
};

int node_client_open(struct node_client *client, const struct options *options, struct error *err);
void node_client_close(struct node_client *client);
/*
 * Sends a request to one node after the other until one answers. Sending a change again to another
 * node is safe, since its change id stays the same. Errors: those of the nodes, ERROR_UNREACHABLE,
 * ERROR_TIMEOUT, and ERROR_USAGE without nodes.
 */
int node_client_request_any(struct node_client *client, const struct node_request *request,
			    json_t **json, struct error *err);
/* Sends a request to all nodes at once. responses has room for options->node_count entries. */
void node_client_request_all(struct node_client *client, const struct node_request *request,
			     struct node_response *responses);
void node_responses_free(struct node_response *responses, uint32_t count);

#endif
