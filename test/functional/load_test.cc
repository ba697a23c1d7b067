// Functional tests of fescue-load against a backend server that it calls directly.
#include "functional/support/process.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>

using support::Json;
using support::Process;
using support::program;

namespace
{
struct Load {
	int exit_code;
	Json report;
};

// Runs fescue-load for half a second against one backend server.
Load run_load(Process &backend, const std::vector<std::string> &options)
{
	std::string file = std::filesystem::temp_directory_path() /
			   ("fescue-load-" + std::to_string(getpid()) + ".json");
	std::vector<std::string> command = {program("fescue-load"),
					    "--direct",
					    "--backend",
					    "ledger=127.0.0.1:" + std::to_string(backend.port()),
					    "--service",
					    "ledger",
					    "--class",
					    "purchase",
					    "--duration-ms",
					    "500",
					    "--grace-ms",
					    "300",
					    "--json",
					    file};
	Load load;

	command.insert(command.end(), options.begin(), options.end());
	load.exit_code = Process::start(command)->wait(60000);
	load.report.reset(json_load_file(file.c_str(), 0, nullptr));
	std::filesystem::remove(file);
	return load;
}

int64_t total(const Load &load, const char *key)
{
	return json_integer_value(
		json_object_get(json_object_get(load.report.get(), "total"), key));
}

std::unique_ptr<Process> start_backend(const std::string &service_ms)
{
	return Process::start_server({program("standin-backend"), "--service-ms", service_ms}, "");
}
} // namespace

TEST(Load, AllCallsAreAnsweredInOpenAndClosedLoop)
{
	auto backend = start_backend("2");

	for (const char *loop_option : {"--rate", "--connections"}) {
		Load load = run_load(*backend, {loop_option, "40", "--method", "POST",
						"--body-bytes", "5000", "--answer-bytes", "70000"});

		EXPECT_EQ(0, load.exit_code) << loop_option;
		EXPECT_GT(total(load, "sent"), 0) << loop_option;
		EXPECT_EQ(total(load, "sent"), total(load, "answered")) << loop_option;
	}
}

TEST(Load, UnansweredCallsAreLostAndFailTheRun)
{
	auto backend = start_backend("60000");

	// Calls pass their deadline during the run, but the backend server ignores deadlines.
	support::http_json(backend->port(), "POST", "/control", "{\"ignore_deadlines\":true}");
	Load load = run_load(*backend, {"--rate", "40", "--deadline-ms", "50"});
	EXPECT_EQ(1, load.exit_code);
	EXPECT_EQ(total(load, "sent"), total(load, "lost"));
}

TEST(Load, ShedCallsAreReportedAsNotRunWithoutViolation)
{
	auto backend = start_backend("2");

	support::http_json(backend->port(), "POST", "/control", "{\"shed\":true}");
	Load load = run_load(*backend, {"--rate", "40"});
	EXPECT_EQ(0, load.exit_code);
	EXPECT_EQ(total(load, "sent"), total(load, "not_run"));
}

TEST(Load, UnknownOptionExitsWithTwo)
{
	auto load = Process::start({program("fescue-load"), "--speed", "3"});

	EXPECT_EQ(2, load->wait(5000));
}
