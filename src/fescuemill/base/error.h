/*
 * Errors: one struct that callers pass down and the failing function fills.
 * Every failure has a kind; the detail is for people and is never parsed.
 */
#ifndef FESCUEMILL_BASE_ERROR_H
#define FESCUEMILL_BASE_ERROR_H

#define ERROR_DETAIL_BYTES 200

enum error_kind {
	ERROR_NONE = 0,
	ERROR_USAGE,	   /* a command line that cannot be understood */
	ERROR_SYSTEM,	   /* a system call failed; see system_errno */
	ERROR_MEMORY,	   /* no memory, or a stated memory bound was reached */
	ERROR_SYNTAX,	   /* input that does not parse */
	ERROR_MISSING,	   /* a required key or field is absent */
	ERROR_UNKNOWN_KEY, /* a key or name that is not defined */
	ERROR_TYPE,	   /* a value of the wrong type */
	ERROR_RANGE,	   /* a value outside its allowed range */
	ERROR_TRUNCATED,   /* input that ends too early */
	ERROR_TOO_LARGE,   /* input over its size cap */
	ERROR_VERSION,	   /* a protocol or object version that is not understood */
	ERROR_CONFLICT,	   /* a conditional update lost against another writer */
	ERROR_NOT_FOUND,   /* the named object does not exist */
	ERROR_DENIED,	   /* the caller has no right to do this */
	ERROR_LIMIT,	   /* a rate or count limit was reached; try later */
	ERROR_UNREACHABLE, /* the peer cannot be reached */
	ERROR_TIMEOUT,	   /* no answer in time */
	ERROR_STATE,	   /* not possible in the present state */
	ERROR_BUDGET,	   /* not sent: the byte budget of measuring is spent; try later */
	ERROR_KIND_COUNT,
};

struct error {
	enum error_kind kind;
	int system_errno;
	const char *where; /* the function that failed; a static string */
	char detail[ERROR_DETAIL_BYTES];
};

/* Fills err (which may be NULL) and returns -1, so that a caller can return the result. */
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
