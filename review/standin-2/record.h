/*
 * The record of a case: what was sent, answered and run, one line each, with milliseconds since the
 * start.
 */
#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

int record_open(const char *path);
void record_line(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
