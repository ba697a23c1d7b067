#include "record.h"

#include "net.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static FILE *file;
static uint64_t started_ms;

int record_open(const char *path)
{
	file = fopen(path, "w");
	started_ms = net_now_ms();
	return file ? 0 : -1;
}

void record_line(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	pthread_mutex_lock(&mutex);
	fprintf(file, "%7" PRIu64 " ", net_now_ms() - started_ms);
	vfprintf(file, format, arguments);
	fputc('\n', file);
	fflush(file);
	pthread_mutex_unlock(&mutex);
	va_end(arguments);
}
