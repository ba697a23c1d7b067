/*
 * Errors: callers pass a struct error down the call chain, and the function that fails fills it.
 * Every failure has a kind. The detail text is for humans only; no code parses it.
 */
#ifndef FESCUEMILL_BASE_ERROR_H
#define FESCUEMILL_BASE_ERROR_H

#define ERROR_DETAIL_BYTES 200

enum error_kind {
	ERROR_NONE = 0,
	ERROR_USAGE,	   /* invalid command line */
	ERROR_SYSTEM,	   /* a system call failed; see system_errno */
	ERROR_MEMORY,	   /* out of memory, or a configured memory limit was reached */
	ERROR_SYNTAX,	   /* the input cannot be parsed */
	ERROR_MISSING,	   /* a required key or field is absent */
	ERROR_UNKNOWN_KEY, /* an undefined key or name */
	ERROR_TYPE,	   /* a value of the wrong type */
	ERROR_RANGE,	   /* a value outside of its allowed range */
	ERROR_TRUNCATED,   /* the input ends too early */
	ERROR_TOO_LARGE,   /* the input exceeds its size limit */
	ERROR_VERSION,	   /* an unsupported protocol or object version */
	ERROR_CONFLICT,	   /* a conditional update failed because of another writer */
	ERROR_NOT_FOUND,   /* the named object does not exist */
	ERROR_DENIED,	   /* the caller is not authorized */
	ERROR_LIMIT,	   /* a rate or count limit was reached; retry later */
	ERROR_UNREACHABLE, /* the peer cannot be reached */
	ERROR_TIMEOUT,	   /* no response in time */
	ERROR_STATE,	   /* the operation is invalid in the current state */
	ERROR_BUDGET,	   /* not sent: control traffic's byte budget is used up; retry later */
	ERROR_KIND_COUNT,
};

struct error {
	enum error_kind kind;
	int system_errno;  /* errno of the failed system call, or 0 */
	const char *where; /* name of the function that failed; a static string */
	char detail[ERROR_DETAIL_BYTES];
};

/* Fills err, which may be NULL. Returns -1, so that the caller can return the result directly. */
int error_set_at(struct error *err, enum error_kind kind, int system_errno, const char *where,
		 const char *format, ...) __attribute__((format(printf, 5, 6)));

#define error_set(err, kind, ...) error_set_at((err), (kind), 0, __func__, __VA_ARGS__)
#define error_set_errno(err, number, ...)                                                          \
	error_set_at((err), ERROR_SYSTEM, (number), __func__, __VA_ARGS__)

void error_clear(struct error *err);
const char *error_kind_name(enum error_kind kind);
int error_exit_code(enum error_kind kind);
int error_http_status(enum error_kind kind);

#endif
