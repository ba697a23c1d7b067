// Functional tests of fescuectl against an administration API over the platform stand-in.
#include "functional/support/admin_node.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>

using support::AdminNode;
using support::Json;
using support::Process;

namespace
{
struct CommandResult {
	int exit_code;
	std::string output; // both standard output and standard error
};

class Ctl : public testing::Test
{
      protected:
	void SetUp() override
	{
		platform = Process::start_server({support::program("standin-platform")}, "");
		node = std::make_unique<AdminNode>(platform->port());
		ASSERT_TRUE(node->wait([&] { return config_is_ready(node->config); }, 5000));
	}

	std::string address(const AdminNode &of) const
	{
		return "127.0.0.1:" + std::to_string(of.port);
	}

	CommandResult run_ctl(const std::string &arguments, const std::string &environment = "")
	{
		std::string command = environment + " " + support::program("fescuectl") + " " +
				      arguments + " 2>&1";
		FILE *pipe = popen(command.c_str(), "r");
		char text[4096];
		std::string output;
		size_t size;

		while ((size = fread(text, 1, sizeof(text), pipe)) > 0)
			output.append(text, size);
		return {WEXITSTATUS(pclose(pipe)), output};
	}

	// Runs fescuectl against the first node with the key of the ledger team.
	CommandResult run_ctl_as_ledger_team(const std::string &arguments)
	{
		return run_ctl("-n " + address(*node) + " -k key-of-the-ledger-team " + arguments);
	}

	const std::string target_options =
		" --rank 0 --latency-ms 50 --percentile 99 --calls-per-s 200";
	std::unique_ptr<Process> platform;
	std::unique_ptr<AdminNode> node;
};
} // namespace

TEST_F(Ctl, ClassCommandsPutGetListAndDelete)
{
	CommandResult put =
		run_ctl_as_ledger_team("--by ana class put ledger purchase" + target_options);

	ASSERT_EQ(0, put.exit_code) << put.output;
	EXPECT_EQ(0, run_ctl_as_ledger_team("class put ledger balance" + target_options).exit_code);
	CommandResult get = run_ctl_as_ledger_team("--json class get ledger purchase");
	Json class_object(json_loads(get.output.c_str(), 0, nullptr));

	EXPECT_EQ(200, json_integer_value(json_object_get(class_object.get(), "calls_per_s")));
	CommandResult list = run_ctl_as_ledger_team("class list ledger");

	EXPECT_NE(std::string::npos, list.output.find("purchase"));
	EXPECT_NE(std::string::npos, list.output.find("balance"));
	EXPECT_EQ(0, run_ctl_as_ledger_team("class delete ledger purchase").exit_code);
	EXPECT_EQ(14, run_ctl_as_ledger_team("class get ledger purchase").exit_code);
}

TEST_F(Ctl, ConflictReportsWhoAndWhenWithItsOwnExitCode)
{
	run_ctl_as_ledger_team("--by ana class put ledger purchase" + target_options);
	CommandResult refused =
		run_ctl_as_ledger_team("--if-version 1 class put ledger purchase" + target_options);

	EXPECT_EQ(13, refused.exit_code);
	EXPECT_NE(std::string::npos, refused.output.find("changed by ana at ")) << refused.output;
}

TEST_F(Ctl, InvalidTargetIsReportedWithItsPath)
{
	CommandResult invalid = run_ctl_as_ledger_team(
		"class put ledger purchase --rank 16 --latency-ms 50 --percentile 99 "
		"--calls-per-s 1");

	EXPECT_EQ(9, invalid.exit_code);
	EXPECT_NE(std::string::npos, invalid.output.find("$.rank: found 16, allowed"))
		<< invalid.output;
	EXPECT_EQ(2, run_ctl_as_ledger_team("class put ledger purchase --rank 1").exit_code);
}

TEST_F(Ctl, UnreachableNodeIsReportedAndTheOthersAnswer)
{
	CommandResult status = run_ctl("-n " + address(*node) +
				       " -n 127.0.0.1:1 -k key-of-the-ledger-team status");

	EXPECT_EQ(17, status.exit_code);
	EXPECT_NE(std::string::npos, status.output.find("127.0.0.1:1: "));
	EXPECT_NE(std::string::npos, status.output.find("north-a"));
	EXPECT_EQ(0, run_ctl("-n 127.0.0.1:1 -n " + address(*node) +
			     " -k key-of-the-ledger-team members")
			     .exit_code);
}

TEST_F(Ctl, WatchWaitsUntilAChangeIsInForceOnAllNodes)
{
	AdminNode other(platform->port(), "n2");
	CommandResult put = run_ctl("-n " + address(*node) + "," + address(other) +
				    " -k key-of-the-ledger-team --watch class put ledger purchase" +
				    target_options);

	EXPECT_EQ(0, put.exit_code) << put.output;
	EXPECT_NE(std::string::npos, put.output.find("in_force")) << put.output;
	EXPECT_NE(0U, other.version_of("ledger"));
}

TEST_F(Ctl, WatchReportsMembersWhoseVersionIsUnknown)
{
	member silent_member = {};

	strcpy(silent_member.name, "unheard");
	strcpy(silent_member.domain, "south-b");
	silent_member.identity = {member_id_of("unheard"), 1};
	member_upsert(node->members, &silent_member);
	CommandResult put = run_ctl_as_ledger_team(
		"--watch --watch-ms 500 class put ledger purchase" + target_options);

	EXPECT_EQ(18, put.exit_code) << put.output;
	EXPECT_NE(std::string::npos, put.output.find("known to be in force at 1 of 2 members"))
		<< put.output;
	EXPECT_NE(std::string::npos, put.output.find("one is unheard")) << put.output;
	silent_member.state = MEMBER_DEAD;
	member_upsert(node->members, &silent_member);
	CommandResult dead = run_ctl_as_ledger_team("watch ledger 1");

	EXPECT_EQ(0, dead.exit_code) << dead.output;
	EXPECT_NE(std::string::npos, dead.output.find("at 1 of 1 members")) << dead.output;
	EXPECT_EQ(17, run_ctl_as_ledger_team("-n 127.0.0.1:1 watch ledger 1").exit_code);
}

TEST_F(Ctl, EnvironmentOverridesOptionsAndOptionsOverrideTheFile)
{
	std::string file = testing::TempDir() + "ctl-settings.json";

	std::ofstream(file) << R"({"nodes":["127.0.0.1:1"],"key":"key-of-the-ledger-team"})";
	EXPECT_EQ(17, run_ctl("-s " + file + " members").exit_code);
	EXPECT_EQ(0, run_ctl("-s " + file + " -n " + address(*node) + " members").exit_code);
	EXPECT_EQ(17, run_ctl("-s " + file + " -n " + address(*node) + " members",
			      "FESCUECTL_NODES=127.0.0.1:1")
			      .exit_code);
	EXPECT_EQ(15, run_ctl("-s " + file + " -n " + address(*node) + " members",
			      "FESCUECTL_KEY=some-other-key-here")
			      .exit_code);
	std::ofstream(file) << R"({"colour":1})";
	EXPECT_EQ(7, run_ctl("-s " + file + " members").exit_code);
}

TEST_F(Ctl, ServicePutCountersAndDrainSucceed)
{
	std::string sample = FESCUEMILL_SOURCE_DIR "/etc/rangitoto/services/ledger.json";

	EXPECT_EQ(0, run_ctl_as_ledger_team("service put " + sample).exit_code);
	EXPECT_NE(std::string::npos, run_ctl_as_ledger_team("class list").output.find("statement"));
	EXPECT_NE(std::string::npos,
		  run_ctl_as_ledger_team("counters").output.find("admin_requests"));
	EXPECT_EQ(15, run_ctl_as_ledger_team("drain").exit_code);
	EXPECT_EQ(0,
		  run_ctl("-n " + address(*node) + " -k key-of-the-operators-.. drain").exit_code);
	EXPECT_TRUE(node->drain_requested);
	EXPECT_EQ(2, run_ctl_as_ledger_team("class").exit_code);
	EXPECT_EQ(2, run_ctl_as_ledger_team("--colour").exit_code);
}
