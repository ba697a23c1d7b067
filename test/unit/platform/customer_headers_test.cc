// Customers at the entry, with requests that a real listener read: which are refused, and which
// headers a backend server gets.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "adapter.h"
#include "fescuemilld/entry/entry_customer.h"
#include "names.h"
}

namespace
{

const char ROUTES[] = R"({"number":1,"services":[{"name":"s"}],"routes":[
	{"name":"closed","host":"x","prefix":"/","idempotent":true,"timeout_ms":900,"latency_ms":500,
	 "rank":5,"attempts":2,"services":[{"service":"s","weight":1}]},
	{"name":"open","host":"x","prefix":"/open/","idempotent":true,"timeout_ms":900,
	 "latency_ms":500,"rank":5,"attempts":2,"services":[{"service":"s","weight":1}],
	 "customer_exempt":true}])";
const char CUSTOMERS[] = R"(,"customers":[{"name":"shop","keys":["k-shop"],"rank":1},
	{"name":"bank","keys":["k-bank"],"rank":2}])";

std::string text_of(wire_bytes bytes)
{
	return {(const char *)bytes.data, bytes.size};
}

// What became of a request.
struct Outcome {
	bool is_handled = false;
	call_reason reason = REASON_NONE;
	std::string customer;
	std::string class_name;
	std::vector<std::string> headers;

	// Returns the values of a header, whatever the case of its name, separated by "|".
	std::string find(const std::string &name) const
	{
		std::string out;

		for (const std::string &header : headers) {
			if (strncasecmp(header.c_str(), (name + ":").c_str(), name.size() + 1) == 0)
				out += (out.empty() ? "" : "|") + header.substr(name.size() + 2);
		}
		return out;
	}
};

class CustomerHeaders : public ::testing::Test
{
      protected:
	uv_loop_t loop{};
	struct caller *caller = nullptr;
	config_store *config = nullptr;
	std::unique_ptr<entry, decltype(&free)> state{(entry *)calloc(1, sizeof(entry)), free};
	Outcome last;

	void SetUp() override
	{
		caller_options options{};

		signal(SIGPIPE, SIG_IGN);
		uv_loop_init(&loop);
		config_open(&config, 1, nullptr);
		state->options.config = config;
		state->options.customer_header = platform_http_dialect("own")->customer_header;
		options.ip = INADDR_LOOPBACK;
		options.body_bytes_max = 1000;
		options.memory_bytes_max = 10000;
		options.dialect = platform_http_dialect("own");
		options.user = this;
		options.on_call = [](void *user, struct caller_call *call,
				     const struct call_request *req) {
			((CustomerHeaders *)user)->handle(call, req);
		};
		options.on_disconnect = [](void *, struct caller_call *) {};
		ASSERT_EQ(0, caller_open(&caller, &loop, &options, nullptr));
	}
	void TearDown() override
	{
		caller_close(caller);
		for (int i = 0; i < 2000 && caller_connection_count(caller) > 0; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(500);
		}
		uv_run(&loop, UV_RUN_NOWAIT);
		caller_free(caller);
		config_close(config);
	}

	void configure(const std::string &customers)
	{
		std::string batch = R"({"version":5,"items":[{"name":"main","version":5,"value":)" +
				    (ROUTES + customers) + "}}]}";

		ASSERT_EQ(0, config_apply_batch(config, 0, batch.data(), batch.size(), nullptr));
		ASSERT_TRUE(config_routing(config));
	}

	// Does what the entry does with a request, up to the choice of a gate.
	void handle(struct caller_call *call, const struct call_request *req)
	{
		struct routing *routing = config_routing(config);
		const struct route *route =
			routing_find_route(routing, (const char *)req->host.data, req->host.size,
					   (const char *)req->path.data, req->path.size);
		struct call_class found = {};
		struct caller_answer answer = {};

		last.is_handled = true;
		strcpy(found.service, "s");
		memcpy(found.name, route->parts[0].class_name, sizeof(found.name));
		last.reason = entry_customer_find(state.get(), req, route, &found);
		if (last.reason == REASON_NONE) {
			entry_customer_set_class(state.get(), route, &found);
			last.reason = entry_customer_prepare(state.get(), call, &found, &req);
		}
		last.customer = found.customer_name ? found.customer_name : "";
		last.class_name = found.name;
		for (uint32_t i = 0; i < req->headers.count; i++)
			last.headers.push_back(text_of(req->headers.list[i].name) + ": " +
					       text_of(req->headers.list[i].value));
		answer.outcome = OUTCOME_NOT_RUN;
		answer.reason = last.reason == REASON_NONE ? REASON_NO_BACKEND : last.reason;
		caller_answer(call, &answer);
	}

	// Sends a request with these header lines, each ended by \r\n. Returns the answer's head.
	std::string send(const std::string &path, const std::string &lines)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in address{};
		std::string text = "GET " + path + " HTTP/1.1\r\nhost: x\r\n" + lines + "\r\n";
		std::string answer;
		char buf[4096];

		address.sin_family = AF_INET;
		address.sin_port = htons(caller_port(caller));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, connect(fd, (sockaddr *)&address, sizeof(address)));
		EXPECT_EQ((ssize_t)text.size(), write(fd, text.data(), text.size()));
		last = {};
		for (int i = 0; i < 2000 && answer.find("\r\n\r\n") == std::string::npos; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			ssize_t size = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (size > 0)
				answer.append(buf, (size_t)size);
			else
				usleep(500);
		}
		close(fd);
		return answer;
	}
};

TEST_F(CustomerHeaders, ACallWithAKeyIsForwardedWithTheCustomersNameAndWithoutTheKey)
{
	configure(CUSTOMERS);
	send("/a", "Authorization: Bearer k-bank\r\nx-own: 1\r\n");
	EXPECT_EQ(REASON_NONE, last.reason);
	EXPECT_EQ("bank", last.customer);
	EXPECT_EQ("rank1-500ms", last.class_name);
	EXPECT_EQ("bank", last.find(HEADER_TENANT));
	EXPECT_EQ("", last.find("authorization"));
	EXPECT_EQ("1", last.find("x-own"));
}

// Guards against a caller that states the name of another customer.
TEST_F(CustomerHeaders, NamesThatACallerStatesAreNotForwarded)
{
	configure(CUSTOMERS);
	send("/a", "X-Fescuemill-Tenant: bank\r\nAuthorization: Bearer k-shop\r\n"
		   "x-fescuemill-tenant: bank\r\nX-FESCUEMILL-TENANT: bank\r\n"
		   "x-Fescuemill-tenanT: shop, bank\r\n");
	EXPECT_EQ("shop", last.find(HEADER_TENANT));
	send("/open/a", "X-Fescuemill-Tenant: bank\r\nX-FESCUEMILL-TENANT:bank\r\n");
	EXPECT_EQ(REASON_NONE, last.reason);
	EXPECT_EQ("", last.find(HEADER_TENANT));
}

TEST_F(CustomerHeaders, ACallWithoutAUsableKeyIsRefusedWith401)
{
	configure(CUSTOMERS);
	for (const std::string &lines : {
		     std::string(),
		     std::string("authorization: Bearer k-none\r\n"),
		     std::string("authorization: Bearer \r\n"),
		     std::string("authorization: Basic k-shop\r\n"),
		     std::string(
			     "authorization: Bearer k-shop\r\nAuthorization: Bearer k-shop\r\n"),
		     "authorization: Bearer " + std::string(9000, 'k') + "\r\n",
		     std::string("x-fescuemill-tenant: shop\r\n"),
	     }) {
		std::string answer = send("/a", lines);

		EXPECT_EQ(REASON_UNKNOWN_KEY, last.reason) << lines;
		EXPECT_EQ(0u, answer.find("HTTP/1.1 401 ")) << answer;
		EXPECT_NE(std::string::npos, answer.find("www-authenticate: Bearer")) << answer;
		EXPECT_EQ(std::string::npos, answer.find("k-")) << answer;
	}
}

// A key on an exempt route is not judged, and does not reach a backend server either.
TEST_F(CustomerHeaders, AnExemptRouteNeedsNoKeyAndForwardsNone)
{
	configure(CUSTOMERS);
	for (const char *lines :
	     {"", "authorization: Bearer k-none\r\n",
	      "authorization: Bearer k-shop\r\nauthorization: Bearer k-shop\r\n",
	      "authorization: Basic k-shop\r\n"}) {
		send("/open/a", lines);
		EXPECT_EQ(REASON_NONE, last.reason) << lines;
		EXPECT_EQ("rank0-500ms", last.class_name);
		EXPECT_EQ("", last.customer);
		EXPECT_EQ("", last.find("authorization")) << lines;
	}
}

// Guards against a change of deployments without customers.
TEST_F(CustomerHeaders, WithoutCustomersHeadersAreForwardedAsTheyCame)
{
	configure("");
	send("/a", "Authorization: Bearer k-shop\r\nX-Fescuemill-Tenant: bank\r\n"
		   "X-FESCUEMILL-TENANT: shop\r\n");
	EXPECT_EQ(REASON_NONE, last.reason);
	EXPECT_EQ("rank5-500ms", last.class_name);
	EXPECT_EQ("Bearer k-shop", last.find("authorization"));
	EXPECT_EQ("bank|shop", last.find(HEADER_TENANT));
}

// The list of headers has room for 32, two of which the node sets.
TEST_F(CustomerHeaders, AFullListOfHeadersHasRoomForTheCustomer)
{
	std::string lines;

	configure(CUSTOMERS);
	for (int i = 0; i < WIRE_HEADERS_MAX - 3; i++)
		lines += "x-" + std::to_string(i) + ": 1\r\n";
	send("/a", lines + "authorization: Bearer k-shop\r\n");
	EXPECT_EQ(REASON_NONE, last.reason);
	EXPECT_EQ("shop", last.find(HEADER_TENANT));
	send("/a", lines + "x-last: 1\r\nconnection: authorization\r\n"
			   "authorization: Bearer k-shop\r\n");
	EXPECT_EQ(REASON_BAD_REQUEST, last.reason);
}

} // namespace
