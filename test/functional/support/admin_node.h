// What a node is made of, as far as configuration and administration go, in a loop of the test's
// own process.
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
		fill(platform_port, name);
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

	uint64_t version_of(const char *service)
	{
		uint64_t version = 0;

		loop.run([&] {
			const service_config *found = config_find(config, service);

			version = found ? found->version : 0;
		});
		return version;
	}

	bool wait(const std::function<bool()> &until, int timeout_ms)
	{
		for (int i = 0; i < timeout_ms / 10; i++) {
			bool reached = false;

			loop.run([&] { reached = until(); });
			if (reached)
				return true;
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		}
		return false;
	}

	bool drained = false;
	uint16_t port = 0;
	config_store *config = nullptr;
	member_table *members = nullptr;
	struct list_watch *list_watch = nullptr;

      private:
	void fill(uint16_t platform_port, const std::string &name)
	{
		memset(s.get(), 0, sizeof(*s));
		strcpy(s->name, name.c_str());
		strcpy(s->region, "north-island");
		strcpy(s->failure_domain, "north-a");
		s->admin_address.ip = 0x7f000001;
		s->platform_count = 1;
		s->platform[0] = {0x7f000001, platform_port};
		s->platform_timeout_ms = 300;
		s->platform_watch_ms = 1000;
		s->admin_key_count = 3;
		s->admin_keys[0] = {"ledger-team", "key-of-the-ledger-team"};
		s->admin_keys[1] = {"assay-team", "key-of-the-assay-team-"};
		s->admin_keys[2] = {"operators", "key-of-the-operators-.."};
		s->team_rights_count = 3;
		s->team_rights[0] = {"ledger-team", 1, {"ledger"}};
		s->team_rights[1] = {"assay-team", 1, {"assay"}};
		s->team_rights[2] = {"operators", 1, {"*"}};
	}

	void open()
	{
		session_limits limits = {50000, 400000, 100000, s->platform_watch_ms};
		admin_node node = {};
		error err;

		ASSERT_EQ(0, config_open(&config, 1, &err));
		ASSERT_EQ(0, member_table_open(&members, &err));
		budget_init(&budget, bytes_per_s, bytes_per_s, 1);
		ASSERT_EQ(0, platform_client_open(&platform, &loop.loop, s.get(),
						  &native_store_dialect, &budget, &err));
		ASSERT_EQ(0, list_watch_open(&list_watch, &loop.loop, platform, CONFIG_KIND,
					     &limits, 1, on_batch, this, &err));
		list_watch_set_enabled(list_watch, true);
		ASSERT_EQ(0, registration_open(&registration, &loop.loop, platform, members,
					       &limits, 2, &err));
		set_self();
		node.settings = s.get();
		node.config = config;
		node.members = members;
		node.platform = platform;
		node.user = this;
		node.status = [](void *, admin_status *out) { out->state = "ready"; };
		node.drain = [](void *user) { static_cast<AdminNode *>(user)->drained = true; };
		ASSERT_EQ(0, admin_open(&admin, &loop.loop, &node, &err)) << err.detail;
		port = admin_port(admin);
	}

	void set_self()
	{
		member self = {};

		strcpy(self.name, s->name);
		strcpy(self.region, s->region);
		strcpy(self.domain, s->failure_domain);
		self.identity = {member_id_of(s->name), 1};
		self.internal = {0x7f000001, 1, 2};
		member_upsert(members, &self);
		registration_set_self(registration, &self);
	}

	static void on_batch(void *user, uint64_t from, const char *json, size_t size)
	{
		EXPECT_EQ(0, config_apply_batch(static_cast<AdminNode *>(user)->config, from, json,
						size, nullptr));
	}

	std::unique_ptr<settings> s = std::make_unique<settings>();
	LoopThread &loop = LoopThread::shared();
	// So much that nothing waits for it.
	static constexpr uint64_t bytes_per_s = 1000000000;
	struct budget budget;
	struct platform *platform = nullptr;
	struct registration *registration = nullptr;
	struct admin *admin = nullptr;
};
} // namespace support
