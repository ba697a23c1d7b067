/*
 * Stand-in for the platform's store. Every call is answered at once, except a watch that waits.
 */
#include "store.h"

#include "http.h"
#include "text.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROOT "/objects/"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static json_t *objects; /* "kind/name" -> object */
static json_t *events;	/* every change, in order: {"kind", "revision", "event"} */
static json_int_t revision = 100;

static json_t *object_of(const char *kind, const char *name)
{
	char *key = text_format("%s/%s", kind, name);
	json_t *object = json_object_get(objects, key);

	free(key);
	return object;
}

static json_int_t revision_of(const json_t *object)
{
	return json_integer_value(json_object_get(json_object_get(object, "metadata"), "revision"));
}

/* Stores an object, or removes it if `spec` is NULL. The lock is held. */
static json_t *change(const char *kind, const char *name, json_t *spec)
{
	char *key = text_format("%s/%s", kind, name);
	json_t *old = json_object_get(objects, key);
	json_t *created = json_object_get(json_object_get(old, "metadata"), "create_revision");
	json_t *object;

	revision++;
	object = json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O?, s:n}", "metadata", "name", name,
			   "revision", revision, "create_revision",
			   old ? json_integer_value(created) : revision, "finalizers", "deleting",
			   0, "spec", spec, "status");
	if (spec)
		json_object_set(objects, key, object);
	else
		json_object_del(objects, key);
	json_array_append_new(events, json_pack("{s:s, s:I, s:{s:b, s:O}}", "kind", kind,
						"revision", revision, "event", "deleted",
						spec == NULL, "object", object));
	pthread_cond_broadcast(&changed);
	free(key);
	return object;
}

void store_put(const char *kind, const char *name, const char *spec)
{
	json_t *value = json_loads(spec, 0, NULL);

	pthread_mutex_lock(&lock);
	json_decref(change(kind, name, value));
	json_decref(value);
	pthread_mutex_unlock(&lock);
}

static json_t *list(const char *kind)
{
	json_t *items = json_array();
	char *prefix = text_format("%s/", kind);
	const char *key;
	json_t *object;

	json_object_foreach(objects, key, object)
	{
		if (strncmp(key, prefix, strlen(prefix)) == 0)
			json_array_append(items, object);
	}
	free(prefix);
	return json_pack("{s:o, s:b, s:I}", "items", items, "has_more", 0, "at", revision);
}

/* Collects the events of a kind after a revision; waits for one if there is none. */
static json_t *watch(const char *kind, json_int_t after, long wait_ms)
{
	json_t *found = json_array();
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	for (;;) {
		json_t *entry;
		size_t index;

		json_array_foreach(events, index, entry)
		{
			if (json_integer_value(json_object_get(entry, "revision")) > after &&
			    strcmp(json_string_value(json_object_get(entry, "kind")), kind) == 0)
				json_array_append(found, json_object_get(entry, "event"));
		}
		if (json_array_size(found) > 0 || wait_ms <= 0 ||
		    pthread_cond_timedwait(&changed, &lock, &until) != 0)
			break;
	}
	return json_pack("{s:o, s:I}", "events", found, "at", revision);
}

/* Returns the number of a parameter in the query of a path, or -1. */
static long long parameter(const char *path, const char *name)
{
	char *key = text_format("%s=", name);
	const char *query = strchr(path, '?');
	const char *at = query ? strstr(query, key) : NULL;
	long long number = at ? atoll(at + strlen(key)) : -1;

	free(key);
	return number;
}

static json_t *write_object(const struct http_message *msg, const char *kind, const char *name,
			    bool is_create, int *status)
{
	json_t *body = json_loadb(msg->body, msg->body_size, 0, NULL);
	json_t *metadata = json_object_get(body, "metadata");
	const char *own = json_string_value(json_object_get(metadata, "name"));
	json_t *stated = json_object_get(metadata, "revision");
	json_t *spec = json_object_get(body, "spec");
	json_t *old = object_of(kind, is_create ? own : name);
	json_t *result = NULL;

	*status = 200;
	if ((is_create && old) ||
	    (!is_create && old && stated && json_integer_value(stated) != revision_of(old))) {
		*status = 409;
		result = json_incref(old);
	} else if (!is_create && !old) {
		*status = 404;
	} else if (old && json_equal(spec, json_object_get(old, "spec"))) {
		result = json_incref(old);
	} else {
		result = change(kind, is_create ? own : name, spec);
	}
	json_decref(body);
	return result;
}

/* Carries out a call under the lock. Returns the body of the answer, or NULL. */
static json_t *handle(const struct http_message *msg, int *status)
{
	char method[16];
	char path[512];
	char kind[128];
	char *name;
	json_t *object;

	http_word(msg, 0, method, sizeof(method));
	http_word(msg, 1, path, sizeof(path));
	*status = 404;
	if (strncmp(path, ROOT, strlen(ROOT)) != 0)
		return NULL;
	snprintf(kind, sizeof(kind), "%.*s", (int)strcspn(path + strlen(ROOT), "?"),
		 path + strlen(ROOT));
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	*status = 200;
	if (strcmp(method, "GET") == 0 && !name)
		return parameter(path, "watch") >= 0
			       ? watch(kind, parameter(path, "watch"), parameter(path, "wait_ms"))
			       : list(kind);
	if (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0)
		return write_object(msg, kind, name, strcmp(method, "POST") == 0, status);
	object = name ? object_of(kind, name) : NULL;
	if (!object)
		*status = 404;
	else if (strcmp(method, "GET") == 0)
		return json_incref(object);
	else if (strcmp(method, "DELETE") == 0)
		return change(kind, name, NULL);
	return NULL;
}

static void *serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct http_message msg;

	while (http_read(fd, &msg, 60000) == 1) {
		int status;
		json_t *result;
		char *body;
		char *text;

		pthread_mutex_lock(&lock);
		result = handle(&msg, &status);
		body = result ? json_dumps(result, JSON_COMPACT) : strdup("{}");
		json_decref(result);
		pthread_mutex_unlock(&lock);
		text = text_format("HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
				   "content-length: %zu\r\n\r\n%s",
				   status, strlen(body), body);
		http_write(fd, text, strlen(text));
		free(text);
		free(body);
		http_free(&msg);
	}
	close(fd);
	return NULL;
}

static void *accept_calls(void *arg)
{
	int listener = (int)(intptr_t)arg;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		pthread_t thread;

		if (pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd) == 0)
			pthread_detach(thread);
		else
			close(fd);
	}
	return NULL;
}

int store_start(const char *address)
{
	int fd = http_listen(address);
	pthread_t thread;

	if (fd < 0)
		return -1;
	objects = json_object();
	events = json_array();
	pthread_create(&thread, NULL, accept_calls, (void *)(intptr_t)fd);
	return 0;
}
