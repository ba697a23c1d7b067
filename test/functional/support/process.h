// Processes of a functional test: started with their start-up line read, signalled and awaited by
// id, and ended with the test whatever happens. Also a tiny blocking HTTP client.
#pragma once

#include <jansson.h>
#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace support
{
// A JSON value that is released with its owner.
struct JsonDeleter {
	void operator()(json_t *value) const
	{
		json_decref(value);
	}
};
using Json = std::unique_ptr<json_t, JsonDeleter>;

// Gives a program's path in the build tree.
std::string program(const std::string &name);

class Process
{
      public:
	// Starts a server program and reads its start-up line. Throws std::runtime_error with the
	// end of its log if the line does not come within 10 s. log receives its standard error.
	static std::unique_ptr<Process> start_server(const std::vector<std::string> &command,
						     const std::string &log);
	// Starts a program that shares this one's output.
	static std::unique_ptr<Process> start(const std::vector<std::string> &command);
	~Process(); // kills it if it still runs

	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	pid_t id() const
	{
		return id_;
	}
	bool is_running();
	// Gives a port of the start-up line, such as "port" or "caller_port".
	uint16_t port(const std::string &name = "port") const;
	void signal(int number);
	// Waits at most timeout_ms. Gives the exit code, 128 + N after signal N, or -1 if it still
	// runs.
	int wait(int timeout_ms);
	// Kills it and waits for its end.
	void kill();
	// Gives the last lines of its log.
	std::string log_tail() const;

      private:
	Process() = default;
	void spawn(const std::vector<std::string> &command, int out_fd);
	void read_startup_line(int fd);

	pid_t id_ = -1;
	int exit_code_ = -1;
	std::string log_;
	Json startup_;
};

struct HttpAnswer {
	int status = 0; // 0: no whole answer came
	bool is_connected = false;
	std::map<std::string, std::string> headers; // names in lower case
	std::string body;
};

// Sends one request to 127.0.0.1 over a connection of its own and waits at most timeout_ms.
HttpAnswer http(uint16_t port, const std::string &method, const std::string &path,
		const std::string &body = "", const std::vector<std::string> &headers = {},
		int timeout_ms = 5000);

// Sends one request to a stand-in and gives its JSON answer. Throws unless the status is 200.
Json http_json(uint16_t port, const std::string &method, const std::string &path,
	       const std::string &body = "", const std::vector<std::string> &headers = {});
} // namespace support
