// Compression of texts between nodes: round trips, and damaged data.
#include <cstdlib>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "fescuemill/wire/compress.h"
}

TEST(Compress, TextIsRestored)
{
	for (size_t size : {0UL, 1UL, 100000UL}) {
		std::string text(size, 'r');
		uint8_t *data;
		size_t data_size;
		char *restored;
		struct error err;

		ASSERT_EQ(compress_text(text.data(), text.size(), &data, &data_size, &err), 0);
		ASSERT_EQ(decompress_text(data, data_size, size, &restored, &err), 0);
		EXPECT_EQ(std::string(restored, size), text);
		EXPECT_LT(data_size, size / 10 + 20);
		free(restored);
		free(data);
	}
}

// A size that does not match must neither overflow the buffer nor leave a part of it unset.
TEST(Compress, DamagedDataAndWrongSizesAreRefused)
{
	std::string text(5000, 'r');
	uint8_t *data;
	size_t size;
	char *restored;
	struct error err;

	ASSERT_EQ(compress_text(text.data(), text.size(), &data, &size, &err), 0);
	for (size_t stated : {0UL, 1UL, 4999UL, 5001UL}) {
		EXPECT_EQ(decompress_text(data, size, stated, &restored, &err), -1) << stated;
		EXPECT_EQ(err.kind, ERROR_SYNTAX);
	}
	EXPECT_EQ(decompress_text(data, size - 1, text.size(), &restored, &err), -1);
	data[size / 2] ^= 0x55;
	EXPECT_EQ(decompress_text(data, size, text.size(), &restored, &err), -1);
	EXPECT_EQ(decompress_text(data, 0, text.size(), &restored, &err), -1);
	free(data);
}
