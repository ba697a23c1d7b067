#include "store.h"

#include "net.h"

#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define OBJECTS_MAX 64
#define NAME_BYTES  64
#define BODY_BYTES  (1 << 20)

struct object {
	char kind[NAME_BYTES];
	char name[NAME_BYTES];
	json_t *value; /* metadata, spec, status; of the last state if it was deleted */
	json_int_t revision;
	bool is_deleted;
};

struct call {
	char method[16];
	char kind[NAME_BYTES];
	char name[NAME_BYTES]; /* empty: all objects of the kind */
	char after[NAME_BYTES];
	bool is_watch;
	json_int_t watch;
	json_int_t revision; /* in the query; 0: none */
	uint64_t wait_ms;
	json_t *body;
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct object objects[OBJECTS_MAX];
static uint32_t object_count;
static json_int_t latest = 1;

static struct object *find(const char *kind, const char *name)
{
	for (uint32_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, kind) == 0 && strcmp(objects[i].name, name) == 0)
			return &objects[i];
	}
	return NULL;
}

/* Stores a new state of an object. */
static struct object *put(const char *kind, const char *name, json_t *spec)
{
	struct object *object = find(kind, name);
	json_int_t created = latest + 1;

	if (!object && object_count == OBJECTS_MAX) {
		fprintf(stderr, "the store is full\n");
		exit(2);
	}
	if (!object) {
		object = &objects[object_count++];
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
	} else if (!object->is_deleted) {
		created = json_integer_value(json_object_get(
			json_object_get(object->value, "metadata"), "create_revision"));
	}
	object->revision = ++latest;
	object->is_deleted = false;
	json_decref(object->value);
	object->value = json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata", "name",
				  name, "revision", object->revision, "create_revision", created,
				  "finalizers", "deleting", 0, "spec", spec, "status");
	pthread_cond_broadcast(&changed);
	return object;
}

static json_t *list(const struct call *call)
{
	json_t *items = json_array();

	for (uint32_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, call->kind) == 0 && !objects[i].is_deleted &&
		    strcmp(objects[i].name, call->after) > 0)
			json_array_append(items, objects[i].value);
	}
	return json_pack("{s:o, s:b, s:I}", "items", items, "has_more", 0, "at", latest);
}

static json_t *events_after(const struct call *call)
{
	json_t *events = json_array();

	for (uint32_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, call->kind) == 0 && objects[i].revision > call->watch)
			json_array_append_new(events,
					      json_pack("{s:O, s:b}", "object", objects[i].value,
							"deleted", (int)objects[i].is_deleted));
	}
	return events;
}

/* Waits for the first event of a watch, with the mutex held. */
static json_t *watch(const struct call *call)
{
	uint64_t end_ms = net_now_ms() + call->wait_ms;
	json_t *events = events_after(call);

	while (json_array_size(events) == 0 && net_now_ms() < end_ms) {
		uint64_t left_ms = end_ms - net_now_ms();
		struct timespec until;

		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_sec += (time_t)(left_ms / 1000);
		until.tv_nsec += (long)(left_ms % 1000) * 1000000;
		until.tv_sec += until.tv_nsec / 1000000000;
		until.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&changed, &mutex, &until);
		json_decref(events);
		events = events_after(call);
	}
	return json_pack("{s:o, s:I}", "events", events, "at", latest);
}

/* Returns the revision that a write is conditional on, or 0. */
static json_int_t condition_of(const struct call *call)
{
	const json_t *metadata = json_object_get(call->body, "metadata");
	json_int_t stated = json_integer_value(json_object_get(metadata, "revision"));

	return stated ? stated : call->revision;
}

static int write_object(struct call *call, json_t **answer)
{
	struct object *object = find(call->kind, call->name);
	json_t *spec = json_object_get(call->body, "spec");
	json_int_t condition = condition_of(call);

	if (!object || object->is_deleted)
		return 404;
	if (condition && condition != object->revision) {
		*answer = json_incref(object->value);
		return 409;
	}
	if (strcmp(call->method, "DELETE") == 0) {
		object->revision = ++latest;
		object->is_deleted = true;
		pthread_cond_broadcast(&changed);
	} else if (!json_equal(spec, json_object_get(object->value, "spec"))) {
		object = put(call->kind, call->name, spec);
	}
	*answer = json_incref(object->value);
	return 200;
}

static int create_object(struct call *call, json_t **answer)
{
	const json_t *metadata = json_object_get(call->body, "metadata");
	const char *name = json_string_value(json_object_get(metadata, "name"));
	struct object *object = name ? find(call->kind, name) : NULL;

	if (!name)
		return 400;
	if (object && !object->is_deleted) {
		*answer = json_incref(object->value);
		return 409;
	}
	*answer = json_incref(put(call->kind, name, json_object_get(call->body, "spec"))->value);
	return 200;
}

static int answer_call(struct call *call, json_t **answer)
{
	struct object *object;

	if (strcmp(call->method, "POST") == 0)
		return create_object(call, answer);
	if (strcmp(call->method, "GET") != 0)
		return write_object(call, answer);
	if (call->name[0] == '\0') {
		*answer = call->is_watch ? watch(call) : list(call);
		return 200;
	}
	object = find(call->kind, call->name);
	if (!object || object->is_deleted)
		return 404;
	*answer = json_incref(object->value);
	return 200;
}

static void read_query(const char *query, struct call *call)
{
	const char *at;

	if ((at = strstr(query, "watch=")) != NULL) {
		call->is_watch = true;
		call->watch = strtoll(at + 6, NULL, 10);
	}
	if ((at = strstr(query, "wait_ms=")) != NULL)
		call->wait_ms = strtoull(at + 8, NULL, 10);
	if ((at = strstr(query, "revision=")) != NULL)
		call->revision = strtoll(at + 9, NULL, 10);
	if ((at = strstr(query, "after=")) != NULL)
		snprintf(call->after, sizeof(call->after), "%.*s", (int)strcspn(at + 6, "& "),
			 at + 6);
}

/* Reads the request line and the body. Returns false if it is no call of the store. */
static bool read_call(int fd, const struct net_head *head, struct call *call)
{
	uint64_t size = net_header_number(head, "content-length", 0);
	size_t have = head->used - head->size;
	char path[512];
	char *query;
	char *body;

	memset(call, 0, sizeof(*call));
	if (size > BODY_BYTES || sscanf(head->text, "%15s %511s", call->method, path) != 2)
		return false;
	query = strchr(path, '?');
	if (query) {
		*query = '\0';
		read_query(query + 1, call);
	}
	if (sscanf(path, "/objects/%63[^/]/%63[^/]", call->kind, call->name) < 1)
		return false;
	body = malloc(size + 1);
	memcpy(body, head->text + head->size, have);
	while (have < size) {
		ssize_t got = net_read_some(fd, body + have, size - have);

		if (got <= 0)
			break;
		have += (size_t)got;
	}
	call->body = have == size ? json_loadb(body, size, 0, NULL) : NULL;
	free(body);
	return true;
}

static void serve(int fd, void *user)
{
	struct net_head head;

	(void)user;
	while (net_read_head(fd, &head) == 0) {
		json_t *answer = NULL;
		struct call call;
		char *text;
		int status;

		if (!read_call(fd, &head, &call))
			return;
		pthread_mutex_lock(&mutex);
		status = answer_call(&call, &answer);
		text = answer ? json_dumps(answer, JSON_COMPACT) : strdup("{}");
		json_decref(answer);
		json_decref(call.body);
		pthread_mutex_unlock(&mutex);
		if (net_printf(fd,
			       "HTTP/1.1 %d Answer\r\ncontent-type: application/json\r\n"
			       "content-length: %zu\r\n\r\n",
			       status, strlen(text)) != 0 ||
		    net_write(fd, text, strlen(text)) != 0) {
			free(text);
			return;
		}
		free(text);
	}
}

int store_start(const char *ip, uint16_t port)
{
	int fd = net_listen(ip, port);

	if (fd < 0)
		return -1;
	net_serve(fd, serve, NULL);
	return 0;
}

int store_put_file(const char *kind, const char *name, const char *path)
{
	json_t *spec = json_load_file(path, 0, NULL);

	if (!spec)
		return -1;
	pthread_mutex_lock(&mutex);
	put(kind, name, spec);
	pthread_mutex_unlock(&mutex);
	json_decref(spec);
	return 0;
}
