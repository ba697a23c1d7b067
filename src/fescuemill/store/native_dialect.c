/*
 * Native store dialect: the HTTP format of fescuemill's own stand-in platform.
 */
#include "fescuemill/store/dialect.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define HTTP_OK		 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND	 404
#define HTTP_CONFLICT	 409
#define HTTP_GONE	 410
#define HTTP_TOO_LARGE	 413
#define HTTP_TOO_MANY	 429

/* Reads the version from the body of an answer. The answer to a get has it in a header instead. */
static int read_version(const struct fetch_result *answer, uint64_t *version)
{
	json_t *root = json_loadb(answer->body, answer->body_size, 0, NULL);
	json_t *number = json_object_get(root, "version");
	int status = json_is_integer(number) ? 0 : -1;

	*version = (uint64_t)json_integer_value(number);
	json_decref(root);
	return status;
}

/* Returns the kind of error for an HTTP status that reports a failure. */
enum error_kind store_error_from_status(int status)
{
	switch (status) {
	case HTTP_NOT_FOUND:
		return ERROR_NOT_FOUND;
	case HTTP_CONFLICT:
		return ERROR_CONFLICT;
	case HTTP_TOO_LARGE:
		return ERROR_TOO_LARGE;
	case HTTP_TOO_MANY:
		return ERROR_LIMIT;
	case HTTP_GONE:
		return ERROR_VERSION;
	case HTTP_BAD_REQUEST:
		return ERROR_USAGE;
	default:
		return ERROR_UNREACHABLE; /* a server error may hide a change that took effect */
	}
}

/* Translates a complete answer into the result of the call. */
static void read_answer(enum platform_call_type type, const struct fetch_result *answer,
			struct store_read_context *read, struct platform_result *result)
{
	bool version_in_body = type != PLATFORM_GET || answer->status == HTTP_CONFLICT;

	(void)read;
	result->body = answer->body;
	result->body_size = answer->body_size;
	if (answer->status != HTTP_OK)
		error_set(&result->err, store_error_from_status(answer->status),
			  "platform %s: status %d", platform_call_name(type), answer->status);
	if (!version_in_body)
		result->version = strtoull(answer->headers[STORE_HEADER_VERSION], NULL, 10);
	else if (read_version(answer, &result->version) && answer->status == HTTP_OK)
		error_set(&result->err, ERROR_UNREACHABLE, "platform %s: answer without a version",
			  platform_call_name(type));
}

static const char *method_for(enum platform_call_type type)
{
	if (type == PLATFORM_CREATE || type == PLATFORM_UPDATE)
		return "PUT";
	return type == PLATFORM_DELETE ? "DELETE" : "GET";
}

/* Writes the method, path and headers of a call. */
static int write_request(const struct platform_request *request, struct store_http_request *out,
			 struct error *err)
{
	char *path = out->path;
	char *headers = out->headers;
	uint64_t version = request->type == PLATFORM_CREATE ? 0 : request->version;

	(void)err;
	out->method = method_for(request->type);
	headers[0] = '\0';
	if (request->type == PLATFORM_WATCH) {
		snprintf(path, sizeof(out->path), "/v1/watch/%s?after=%" PRIu64 "&wait_ms=%u",
			 request->kind, request->version, request->wait_ms);
		return 0;
	}
	if (request->type == PLATFORM_LIST)
		snprintf(path, sizeof(out->path), "/v1/objects/%s", request->kind);
	else
		snprintf(path, sizeof(out->path), "/v1/objects/%s/%s", request->kind,
			 request->name);
	if (request->type == PLATFORM_GET || request->type == PLATFORM_LIST)
		return 0;
	snprintf(headers, sizeof(out->headers),
		 "if-version: %" PRIu64 "\r\ncontent-type: application/json\r\n", version);
	return 0;
}

const struct store_dialect native_store_dialect = {
	.version_header = "x-object-version",
	.era_header = "x-store-era",
	.write = write_request,
	.read = read_answer,
};

/* Frees the items of the pages read so far. */
void store_pages_free(struct store_pages *pages)
{
	json_decref(pages->items);
	pages->items = NULL;
}
