// An event loop in a thread of the test program. C modules run on it as in a node, while the test
// connects to them over real sockets.
#pragma once

#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <uv.h>
#include <vector>

namespace support
{
class LoopThread
{
      public:
	// Returns the one loop of all tests of a program. It is never freed: h2o keeps free lists
	// per thread, and the memory in them would be lost at the end of the thread.
	static LoopThread &shared()
	{
		static LoopThread *one = new LoopThread;

		return *one;
	}

	// Runs a job in the loop's thread and waits until it has returned.
	void run(std::function<void()> job)
	{
		std::promise<void> done;

		{
			std::lock_guard<std::mutex> lock(mutex);

			jobs.push_back([&] {
				job();
				done.set_value();
			});
		}
		uv_async_send(&async);
		done.get_future().wait();
	}

	uv_loop_t loop;

      private:
	LoopThread()
	{
		uv_loop_init(&loop);
		async.data = this;
		uv_async_init(&loop, &async, [](uv_async_t *handle) {
			static_cast<LoopThread *>(handle->data)->run_jobs();
		});
		thread = std::thread([this] { uv_run(&loop, UV_RUN_DEFAULT); });
	}

	void run_jobs()
	{
		std::vector<std::function<void()>> ready;

		{
			std::lock_guard<std::mutex> lock(mutex);

			ready.swap(jobs);
		}
		for (auto &job : ready)
			job();
	}

	uv_async_t async;
	std::mutex mutex; // guards jobs
	std::vector<std::function<void()>> jobs;
	std::thread thread;
};
} // namespace support
