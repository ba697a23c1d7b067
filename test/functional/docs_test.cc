// Runs every command of the documentation pages as written, on fleets whose first node takes the
// place of the node of the samples. A command begins with the name of one of the programs, and is
// either a line indented by four spaces or text in `backquotes`.
#include "functional/support/fleet.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <sys/wait.h>

namespace
{
namespace fs = std::filesystem;

const std::string root = FESCUEMILL_SOURCE_DIR;

// Returns the pages for operators. OPERATING.md is last, since one of its commands ends a node.
std::vector<std::string> pages()
{
	return {"README.md",	    "docs/LOAD.md",	"docs/SETTINGS.md",
		"docs/COUNTERS.md", "docs/PROTOCOL.md", "docs/GLOSSARY.md",
		"docs/CAPACITY.md", "docs/PROOFS.md",	"docs/OPERATING.md"};
}

// Reads a page and joins lines that end with a backslash with the next one.
std::string read_page(const std::string &name)
{
	std::ifstream file(root + "/" + name);
	std::string text((std::istreambuf_iterator<char>(file)), {});

	return std::regex_replace(text, std::regex("\\\\\n *"), "");
}

// Returns all matches of the first group of a pattern.
std::vector<std::string> find_all(const std::string &text, const std::string &pattern)
{
	std::regex regex(pattern, std::regex::ECMAScript | std::regex::multiline);
	std::vector<std::string> found;

	for (std::sregex_iterator at(text.begin(), text.end(), regex), end; at != end; ++at)
		found.push_back((*at)[1]);
	return found;
}

// Returns the commands of a page in their order.
std::vector<std::string> commands_of(const std::string &page)
{
	return find_all(
		read_page(page),
		"(?:^    |`)((?:fescuemilld|fescuectl|fescue-report|fescue-load) [^#`|\n]+)");
}

std::string replace(std::string text, const std::string &from, const std::string &to)
{
	for (size_t at; (at = text.find(from)) != std::string::npos;)
		text.replace(at, from.size(), to);
	return text;
}

class Docs : public testing::Test
{
      protected:
	void SetUp() override
	{
		support::FleetOptions options = support::FleetOptions::small(2);

		options.change_settings = [](const std::string &, json_t *settings) {
			json_object_set_new(settings, "evacuation_ms", json_integer(5000));
		};
		rangitoto = start(options);
		options.deployment = "amet";
		options.regions = {"harju"};
		options.failure_domains = {"harju-a", "harju-b"};
		options.services = {{"booking", 2}};
		amet = start(options);
	}

	static std::unique_ptr<support::Fleet> start(support::FleetOptions options)
	{
		options.operator_key = "key-of-the-operators";
		std::unique_ptr<support::Fleet> fleet = std::make_unique<support::Fleet>(options);
		fleet->start();
		fleet->write_operator_settings(fleet->folder() + "/ctl.json");
		return fleet;
	}

	// Replaces the ports of the samples by those of a fleet. A command that starts a node only
	// checks its settings, since the first node of the fleet already runs in its place.
	static std::string with_fleet_ports(const support::Fleet &fleet, std::string command)
	{
		const support::Process &node = *fleet.hosts[0].node;

		command = replace(command, "127.0.0.1:7100",
				  "127.0.0.1:" + std::to_string(node.port("caller_port")));
		command = replace(command, "127.0.0.1:7104",
				  "127.0.0.1:" + std::to_string(node.port("admin_port")));
		return replace(command, "fescuemilld --settings", "fescuemilld --check");
	}

	// Runs a command in the root of the source tree, as an operator would, and returns its exit
	// code.
	int run(const std::string &command, std::string *output)
	{
		bool is_amet = command.find("booking") != std::string::npos;
		const support::Fleet &fleet = is_amet ? *amet : *rangitoto;
		std::string bin = fs::path(support::program("fescuectl")).parent_path();
		std::string line = "cd '" + root + "' && export PATH=\"$(realpath '" + bin +
				   "'):$PATH\" FESCUECTL_SETTINGS=" + fleet.folder() +
				   "/ctl.json && (" + with_fleet_ports(fleet, command) + ") 2>&1";
		FILE *pipe = popen(line.c_str(), "r");
		char text[4096];
		size_t size;

		while ((size = fread(text, 1, sizeof(text), pipe)) > 0)
			output->append(text, size);
		return WEXITSTATUS(pclose(pipe));
	}

	std::unique_ptr<support::Fleet> rangitoto;
	std::unique_ptr<support::Fleet> amet;
};
} // namespace

TEST_F(Docs, EveryCommandRunsAsWritten)
{
	size_t count = 0;

	for (const std::string &page : pages()) {
		for (const std::string &command : commands_of(page)) {
			std::string output;

			EXPECT_EQ(0, run(command, &output)) << page << ": " << command << "\n"
							    << output;
			count++;
		}
	}
	EXPECT_LE(15U, count);
}

TEST(DocsNames, EveryProgramScriptAndFileNamedOnAPageExists)
{
	fs::path bin = fs::path(support::program("fescuectl")).parent_path();

	for (const std::string &page : pages()) {
		std::string text = read_page(page);

		for (const std::string &name : find_all(text, "build/release/([a-z_-]+)"))
			EXPECT_TRUE(fs::exists(bin / name)) << page << ": " << name;
		for (const std::string &name : find_all(text, "(scripts/[a-z-]+\\.sh)"))
			EXPECT_TRUE(fs::exists(root + "/" + name)) << page << ": " << name;
		for (const std::string &name : find_all(text, "`((?:etc|docs)/[a-z/.-]*)`"))
			EXPECT_TRUE(fs::exists(root + "/" + name)) << page << ": " << name;
	}
}
