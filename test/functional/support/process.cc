// Processes and HTTP requests of functional tests.
#include "functional/support/process.h"

#include "support/connect.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace support
{
namespace
{
using Clock = std::chrono::steady_clock;

constexpr int STARTUP_TIMEOUT_MS = 10000;
constexpr size_t LOG_TAIL_BYTES = 4000;

// Returns the milliseconds left until a deadline; 0 if it has passed.
int ms_left(Clock::time_point deadline)
{
	auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());

	return std::max<int>(0, (int)left.count());
}

// Waits until a file descriptor is ready for `events`. Returns false after the deadline.
bool wait_ready(int fd, short events, Clock::time_point deadline)
{
	struct pollfd poll_fd = {fd, events, 0};

	return poll(&poll_fd, 1, ms_left(deadline)) > 0;
}

std::string lower(std::string text)
{
	std::transform(text.begin(), text.end(), text.begin(), ::tolower);
	return text;
}

// Parses the head of an HTTP answer into its status and headers.
void parse_head(const std::string &head, HttpAnswer *answer)
{
	std::istringstream lines(head);
	std::string line;

	std::getline(lines, line);
	if (line.size() > 12)
		answer->status = std::atoi(line.c_str() + 9); // after "HTTP/1.1 "
	while (std::getline(lines, line)) {
		size_t colon = line.find(": ");

		if (colon == std::string::npos)
			continue;
		line.erase(line.find_last_not_of('\r') + 1);
		answer->headers[lower(line.substr(0, colon))] = line.substr(colon + 2);
	}
}

// Returns the content of a body in chunked transfer encoding.
std::string join_chunks(const std::string &text)
{
	std::string body;
	size_t at = 0;

	while (at < text.size()) {
		size_t bytes = std::strtoul(text.c_str() + at, nullptr, 16);

		at = text.find("\r\n", at);
		if (bytes == 0 || at == std::string::npos)
			break;
		body += text.substr(at + 2, bytes);
		at += 2 + bytes + 2;
	}
	return body;
}

// Reads until the peer closes the connection. Returns false on an error or after the deadline.
bool read_all(int fd, Clock::time_point deadline, std::string *text)
{
	char buf[65536];

	while (wait_ready(fd, POLLIN, deadline)) {
		ssize_t bytes = read(fd, buf, sizeof(buf));

		if (bytes <= 0)
			return bytes == 0;
		text->append(buf, (size_t)bytes);
	}
	return false;
}

// Writes a text completely. Returns false on an error or after the deadline.
bool write_all(int fd, Clock::time_point deadline, const std::string &text)
{
	size_t at = 0;

	while (at < text.size()) {
		ssize_t bytes;

		if (!wait_ready(fd, POLLOUT, deadline))
			return false;
		bytes = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
		if (bytes < 0)
			return false;
		at += (size_t)bytes;
	}
	return true;
}
} // namespace

std::string program(const std::string &name)
{
	const char *folder = std::getenv("FESCUEMILL_BIN");

	return std::string(folder ? folder : ".") + "/" + name;
}

// Starts the child process. The kernel kills it when the thread that started it ends, and so also
// when this process is killed.
void Process::spawn(const std::vector<std::string> &command, int out_fd)
{
	std::vector<char *> argv;
	int log_fd = -1;

	for (const std::string &word : command)
		argv.push_back(const_cast<char *>(word.c_str()));
	argv.push_back(nullptr);
	if (!log_.empty())
		log_fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	id_ = fork();
	if (id_ < 0)
		throw std::runtime_error("cannot fork");
	if (id_ > 0) {
		if (log_fd >= 0)
			close(log_fd);
		return;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setpgid(0, 0); // Ctrl-C reaches the parent only, which stops its children in order
	if (out_fd >= 0)
		dup2(out_fd, STDOUT_FILENO);
	if (log_fd >= 0)
		dup2(log_fd, STDERR_FILENO);
	execv(argv[0], argv.data());
	_exit(127);
}

void Process::read_startup_line(int fd)
{
	Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(STARTUP_TIMEOUT_MS);
	std::string line;
	char byte;

	while (line.find('\n') == std::string::npos && wait_ready(fd, POLLIN, deadline) &&
	       read(fd, &byte, 1) == 1)
		line += byte;
	startup_.reset(json_loads(line.c_str(), 0, nullptr));
}

std::unique_ptr<Process> Process::start_server(const std::vector<std::string> &command,
					       const std::string &log)
{
	std::unique_ptr<Process> process(new Process());
	int fds[2];

	process->log_ = log;
	if (pipe2(fds, O_CLOEXEC) != 0)
		throw std::runtime_error("cannot create a pipe");
	process->spawn(command, fds[1]);
	close(fds[1]);
	process->read_startup_line(fds[0]);
	close(fds[0]);
	if (!process->startup_)
		throw std::runtime_error(command[0] + " wrote no valid start-up line\n" +
					 process->log_tail());
	return process;
}

std::unique_ptr<Process> Process::start(const std::vector<std::string> &command)
{
	std::unique_ptr<Process> process(new Process());

	process->spawn(command, -1);
	return process;
}

Process::~Process()
{
	kill();
}

bool Process::is_running()
{
	return wait(0) == -1;
}

uint16_t Process::port(const std::string &name) const
{
	json_t *value = json_object_get(startup_.get(), name.c_str());

	if (!json_is_integer(value))
		throw std::runtime_error("the start-up line has no port " + name);
	return (uint16_t)json_integer_value(value);
}

void Process::signal(int number)
{
	if (is_running())
		::kill(id_, number);
}

int Process::wait(int timeout_ms)
{
	Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
	int status;

	while (exit_code_ < 0) {
		if (waitpid(id_, &status, WNOHANG) == id_)
			exit_code_ =
				WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
		else if (ms_left(deadline) == 0)
			return -1;
		else
			std::this_thread::sleep_for(std::chrono::milliseconds(2));
	}
	return exit_code_;
}

void Process::kill()
{
	if (id_ <= 0 || exit_code_ >= 0)
		return;
	::kill(id_, SIGKILL);
	wait(STARTUP_TIMEOUT_MS);
}

std::string Process::log_tail() const
{
	std::ifstream file(log_);
	std::stringstream text;

	text << file.rdbuf();
	std::string all = text.str();
	return all.size() > LOG_TAIL_BYTES ? all.substr(all.size() - LOG_TAIL_BYTES) : all;
}

HttpAnswer http(uint16_t port, const std::string &method, const std::string &path,
		const std::string &body, const std::vector<std::string> &headers, int timeout_ms)
{
	Clock::time_point deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
	int fd = connect_to(port);
	std::string request = method + " " + path + " HTTP/1.1\r\nhost: test\r\n" +
			      "connection: close\r\n" +
			      "content-length: " + std::to_string(body.size()) + "\r\n";
	HttpAnswer answer;
	std::string text;

	for (const std::string &header : headers)
		request += header + "\r\n";
	request += "\r\n" + body;
	answer.is_connected = fd >= 0;
	if (answer.is_connected && write_all(fd, deadline, request) &&
	    read_all(fd, deadline, &text)) {
		size_t end = text.find("\r\n\r\n");

		if (end != std::string::npos) {
			parse_head(text.substr(0, end), &answer);
			answer.body = text.substr(end + 4);
		}
	}
	if (fd >= 0)
		close(fd);
	if (answer.headers["transfer-encoding"] == "chunked")
		answer.body = join_chunks(answer.body);
	return answer;
}

Json http_json(uint16_t port, const std::string &method, const std::string &path,
	       const std::string &body, const std::vector<std::string> &headers)
{
	HttpAnswer answer = http(port, method, path, body, headers);
	json_t *value = json_loads(answer.body.c_str(), JSON_DECODE_ANY, nullptr);

	if (answer.status != 200 || !value)
		throw std::runtime_error(method + " " + path + ": status " +
					 std::to_string(answer.status) + " " + answer.body);
	return Json(value);
}
} // namespace support
