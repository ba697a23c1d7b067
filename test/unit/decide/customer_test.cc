// Customers: lookup by key and by id, over keys of one hash bucket, duplicates and large tables.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/decide/customer.h"
}

namespace
{

using Customers = std::vector<std::pair<std::string, std::vector<std::string>>>;

// Owns the texts and the arrays of a table.
struct Table {
	std::vector<std::string> names;
	std::vector<std::string> texts;
	customer_table table{};

	// Each customer has a name and its keys.
	explicit Table(
		const std::vector<std::pair<std::string, std::vector<std::string>>> &customers)
	{
		size_t keys = 0;

		for (const auto &[name, list] : customers) {
			names.push_back(name);
			for (const std::string &key : list)
				texts.push_back(key);
		}
		table.list = (customer *)calloc(customers.size() + 1, sizeof(customer));
		table.keys = (customer_key *)calloc(texts.size() + 1, sizeof(customer_key));
		for (size_t i = 0; i < customers.size(); i++) {
			table.list[table.count++].name = names[i].c_str();
			for (size_t k = 0; k < customers[i].second.size(); k++)
				table.keys[table.key_count++] = {0, texts[keys++].c_str(),
								 (uint32_t)i};
		}
		EXPECT_EQ(0, customer_table_finish(&table, nullptr));
	}
	~Table()
	{
		customer_table_free(&table);
	}
	Table(const Table &) = delete;
	Table &operator=(const Table &) = delete;

	std::string find(const std::string &key) const
	{
		const customer *found = customer_find_by_key(&table, key.data(), key.size());

		return found ? found->name : "";
	}
};

TEST(Customer, EachKeyFindsItsCustomer)
{
	Table table(
		Customers{{"shop", {"k-shop-1", "k-shop-2"}}, {"bank", {"k-bank"}}, {"idle", {}}});

	EXPECT_EQ("shop", table.find("k-shop-1"));
	EXPECT_EQ("shop", table.find("k-shop-2"));
	EXPECT_EQ("bank", table.find("k-bank"));
}

// Guards against a lookup that compares only a part of the key.
TEST(Customer, PrefixesExtensionsAndOtherCasesOfAKeyFindNobody)
{
	Table table(Customers{{"shop", {"key-0123456789"}}});

	EXPECT_EQ("", table.find(""));
	EXPECT_EQ("", table.find("key-012345678"));
	EXPECT_EQ("", table.find("key-01234567890"));
	EXPECT_EQ("", table.find("KEY-0123456789"));
	EXPECT_EQ("", table.find(std::string("key-0123456789\0", 15)));
	EXPECT_EQ("", table.find(std::string(100000, 'k')));
}

TEST(Customer, AnEmptyTableFindsNobody)
{
	customer_table table = {};

	ASSERT_EQ(0, customer_table_finish(&table, nullptr));
	EXPECT_EQ(nullptr, customer_find_by_key(&table, "a", 1));
	EXPECT_EQ(nullptr, customer_find_by_id(&table, 1));
	customer_table_free(&table);
}

// Guards against nodes that take one key for different customers' after a sort that isn't stable.
TEST(Customer, AKeyOfTwoCustomersBelongsToTheFirst)
{
	Customers customers;

	for (int i = 0; i < 100; i++)
		customers.push_back({"c" + std::to_string(i), {"shared", "k" + std::to_string(i)}});
	EXPECT_EQ("c0", Table(customers).find("shared"));
	EXPECT_EQ("c57", Table(customers).find("k57"));
}

// The largest deployment: 10,000 customers, looked up once a call.
TEST(Customer, TenThousandCustomersAreFoundByKeyAndById)
{
	Customers customers;

	for (int i = 0; i < 10000; i++)
		customers.push_back(
			{"customer-" + std::to_string(i), {"key-" + std::to_string(i)}});
	Table table(customers);

	for (int i = 0; i < 10000; i++) {
		const std::string name = "customer-" + std::to_string(i);
		const customer *found =
			customer_find_by_id(&table.table, customer_id_of(name.c_str()));

		ASSERT_TRUE(found);
		ASSERT_EQ(name, found->name);
		ASSERT_EQ(name, table.find("key-" + std::to_string(i)));
	}
	EXPECT_EQ(nullptr, customer_find_by_id(&table.table, customer_id_of("customer-x")));
}

// Guards against a log line from which a key could be recovered.
TEST(Customer, AFingerprintHasFewDigits)
{
	EXPECT_LE(customer_key_fingerprint("key-1", 5), 0xffffffu);
	EXPECT_NE(customer_key_fingerprint("key-1", 5), customer_key_fingerprint("key-2", 5));
}

} // namespace
