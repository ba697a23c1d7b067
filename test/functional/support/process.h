// Processes of a functional test. They are signalled and waited for by process id, and killed
// at the latest when the test program ends. Also a small blocking HTTP client.
#pragma once

#include <jansson.h>
#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace support
{
// Releases the reference that a Json pointer holds.
struct JsonDeleter {
	void operator()(json_t *value) const
	{
		json_decref(value);
	}
};
using Json = std::unique_ptr<json_t, JsonDeleter>;

// Returns the path of a program in the folder that the environment variable FESCUEMILL_BIN names,
// which is the build folder; in the current folder if the variable is not set.
std::string program(const std::string &name);

class Process
{
      public:
	// Starts a server program and reads its start-up line, a JSON object with its ports. Throws
	// std::runtime_error with the end of its log if no such line arrives within 10 s. Standard
	// error is appended to the file `log`.
	static std::unique_ptr<Process> start_server(const std::vector<std::string> &command,
						     const std::string &log);
	// Starts a program with the standard output and error of this program.
	static std::unique_ptr<Process> start(const std::vector<std::string> &command);
	~Process(); // kills the process if it still runs

	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	pid_t id() const
	{
		return id_;
	}
	bool is_running();
	// Returns a port from the start-up line, such as "port" or "caller_port". Throws
	// std::runtime_error if the line has none of that name.
	uint16_t port(const std::string &name = "port") const;
	void signal(int number);
	// Waits at most timeout_ms for the exit of the process. Returns its exit code, 128 + N if
	// signal N ended it, or -1 if it still runs.
	int wait(int timeout_ms);
	// Kills the process and waits for its exit.
	void kill();
	// Returns the end of the log, at most 4000 bytes.
	std::string log_tail() const;

      private:
	Process() = default;
	void spawn(const std::vector<std::string> &command, int out_fd);
	void read_startup_line(int fd);

	pid_t id_ = -1;
	int exit_code_ = -1; // as wait() returns it
	std::string log_;    // file that receives standard error; empty: none
	Json startup_;	     // start-up line
};

struct HttpAnswer {
	int status = 0;				    // 0: no complete answer was received
	bool is_connected = false;		    // false: the server could not be connected to
	std::map<std::string, std::string> headers; // names in lower case
	std::string body;
};

// Sends a request to 127.0.0.1 over a new connection and waits for the answer, at most timeout_ms.
HttpAnswer http(uint16_t port, const std::string &method, const std::string &path,
		const std::string &body = "", const std::vector<std::string> &headers = {},
		int timeout_ms = 5000);

// Sends a request to a stand-in and returns its JSON answer. Throws std::runtime_error unless the
// status is 200 and the body is JSON.
Json http_json(uint16_t port, const std::string &method, const std::string &path,
	       const std::string &body = "", const std::vector<std::string> &headers = {});
} // namespace support
