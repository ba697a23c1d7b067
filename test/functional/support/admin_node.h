// The parts of a node that handle configuration and administration (platform client,
// list-and-watch, registration and administration API), run on an event loop in the test's own
// process.
#pragma once

#include "functional/support/loop_thread.h"
#include "functional/support/process.h"

#include <chrono>
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <thread>

extern "C" {
#include "fescuemill/fleet/registration.h"
#include "fescuemill/http/admin.h"
#include "fescuemill/store/client.h"
#include "fescuemill/store/list_watch.h"
}

namespace support
{
class AdminNode
{
      public:
	explicit AdminNode(uint16_t platform_port, const std::string &name = "n1")
	{
		init_settings(platform_port, name);
		loop.run([this] { open(); });
	}

	~AdminNode()
	{
		loop.run([this] {
			list_watch_close(list_watch);
			registration_close(registration);
			admin_close(admin);
			platform_close(platform);
		});
		// Lets the API's connections and changes end, which admin_free() requires.
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
		loop.run([this] {
			admin_free(admin);
			config_close(config);
			member_table_close(members);
		});
	}

	HttpAnswer call(const std::string &method, const std::string &path, const std::string &body,
			std::vector<std::string> headers, int timeout_ms = 15000)
	{
		return http(port, method, path, body, headers, timeout_ms);
	}

	// Returns the version of a service's configuration in force; 0 if the service is unknown.
	uint64_t version_of(const char *service)
	{
		uint64_t version = 0;

		loop.run([&] {
			const service_config *found = config_find(config, service);

			version = found ? found->version : 0;
		});
		return version;
	}

	// Waits until a condition holds, which is evaluated in the loop's thread. Returns false
	// after timeout_ms.
	bool wait(const std::function<bool()> &condition, int timeout_ms)
	{
		for (int i = 0; i < timeout_ms / 10; i++) {
			bool reached = false;

			loop.run([&] { reached = condition(); });
			if (reached)
				return true;
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		}
		return false;
	}

	bool drain_requested = false; // the administration API requested a drain
	uint16_t port = 0;	      // of the administration API
	config_store *config = nullptr;
	member_table *members = nullptr;
	struct list_watch *list_watch = nullptr;

      private:
	void init_settings(uint16_t platform_port, const std::string &name)
	{
		memset(node_settings.get(), 0, sizeof(*node_settings));
		strcpy(node_settings->name, name.c_str());
		strcpy(node_settings->region, "north-island");
		strcpy(node_settings->failure_domain, "north-a");
		node_settings->admin_address.ip = 0x7f000001;
		node_settings->platform_count = 1;
		node_settings->platform[0] = {0x7f000001, platform_port};
		node_settings->platform_timeout_ms = 300;
		node_settings->platform_watch_ms = 1000;
		node_settings->admin_key_count = 3;
		node_settings->admin_keys[0] = {"ledger-team", "key-of-the-ledger-team"};
		node_settings->admin_keys[1] = {"assay-team", "key-of-the-assay-team-"};
		node_settings->admin_keys[2] = {"operators", "key-of-the-operators-.."};
		node_settings->team_rights_count = 3;
		node_settings->team_rights[0] = {"ledger-team", 1, {"ledger"}};
		node_settings->team_rights[1] = {"assay-team", 1, {"assay"}};
		node_settings->team_rights[2] = {"operators", 1, {"*"}};
	}

	void open()
	{
		// Back-off of 50 to 400 ms, and so many calls a minute that no call waits for the
		// budget.
		session_limits limits = {50000, 400000, 100000, node_settings->platform_watch_ms};
		admin_node node = {};
		error err;

		ASSERT_EQ(0, config_open(&config, 1, &err));
		ASSERT_EQ(0, member_table_open(&members, &err));
		budget_init(&budget, bytes_per_s, bytes_per_s, 1);
		ASSERT_EQ(0, platform_client_open(&platform, &loop.loop, node_settings.get(),
						  &native_store_dialect, &budget, &err));
		ASSERT_EQ(0, list_watch_open(&list_watch, &loop.loop, platform, CONFIG_KIND,
					     &limits, 1, on_batch, this, &err));
		list_watch_set_enabled(list_watch, true);
		ASSERT_EQ(0, registration_open(&registration, &loop.loop, platform, members,
					       &limits, 2, &err));
		set_self();
		node.settings = node_settings.get();
		node.config = config;
		node.members = members;
		node.platform = platform;
		node.user = this;
		node.status = [](void *, admin_status *out) { out->state = "ready"; };
		node.drain = [](void *user) {
			static_cast<AdminNode *>(user)->drain_requested = true;
		};
		ASSERT_EQ(0, admin_open(&admin, &loop.loop, &node, &err)) << err.detail;
		port = admin_port(admin);
	}

	void set_self()
	{
		member self = {};

		strcpy(self.name, node_settings->name);
		strcpy(self.region, node_settings->region);
		strcpy(self.domain, node_settings->failure_domain);
		self.identity = {member_id_of(node_settings->name), 1};
		self.internal = {0x7f000001, 1, 2};
		member_upsert(members, &self);
		registration_set_self(registration, &self);
	}

	static void on_batch(void *user, uint64_t from, json_t *root)
	{
		EXPECT_EQ(0, config_apply_answer(static_cast<AdminNode *>(user)->config, from, root,
						 nullptr));
	}

	std::unique_ptr<settings> node_settings = std::make_unique<settings>();
	LoopThread &loop = LoopThread::shared();
	// High enough that no request to the platform waits for the budget.
	static constexpr uint64_t bytes_per_s = 1000000000;
	struct budget budget;
	struct platform *platform = nullptr;
	struct registration *registration = nullptr;
	struct admin *admin = nullptr;
};
} // namespace support
