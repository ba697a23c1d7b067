// Credentials: which Authorization headers hold a customer's key.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "fescuemill/http/credential.h"
}

namespace
{

wire_bytes bytes_of(const std::string &text)
{
	return {(const uint8_t *)text.data(), (uint32_t)text.size()};
}

// Returns the key of a request with these headers.
std::string key_of(const std::vector<std::pair<std::string, std::string>> &headers)
{
	std::vector<wire_header> list;
	call_head head = {};
	wire_bytes key;

	for (const auto &[name, value] : headers)
		list.push_back({bytes_of(name), bytes_of(value)});
	head.headers = list.data();
	head.header_count = (uint32_t)list.size();
	key = credential_read(&head);
	return std::string((const char *)key.data, key.size);
}

TEST(Credential, IsTheTokenOfTheBearerScheme)
{
	EXPECT_EQ("k-1", key_of({{"x", "1"}, {"authorization", "Bearer k-1"}}));
	EXPECT_EQ("k-1", key_of({{"AuthorizatioN", "bEARER k-1"}}));
	EXPECT_EQ("k-1", key_of({{"authorization", "Bearer \t k-1 \t"}}));
	EXPECT_EQ(std::string(9000, 'k'),
		  key_of({{"authorization", "Bearer " + std::string(9000, 'k')}}));
}

TEST(Credential, IsEmptyWithoutOneOrWithAnotherScheme)
{
	EXPECT_EQ("", key_of({}));
	EXPECT_EQ("", key_of({{"authorization", ""}}));
	EXPECT_EQ("", key_of({{"authorization", "Bearer"}}));
	EXPECT_EQ("", key_of({{"authorization", "Bearer "}}));
	EXPECT_EQ("", key_of({{"authorization", "Bearerk-1"}}));
	EXPECT_EQ("", key_of({{"authorization", "Basic k-1"}}));
	EXPECT_EQ("", key_of({{"authorization", "k-1"}}));
	EXPECT_EQ("", key_of({{"proxy-authorization", "Bearer k-1"}}));
}

// Guards against a request that is judged by one header while another one is meant.
TEST(Credential, IsEmptyWithTwoAuthorizationHeaders)
{
	EXPECT_EQ("", key_of({{"authorization", "Bearer k-1"}, {"Authorization", "Bearer k-1"}}));
	EXPECT_EQ("", key_of({{"authorization", "Bearer k-1"}, {"authorization", ""}}));
}

} // namespace
