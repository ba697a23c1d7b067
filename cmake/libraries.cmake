# Interface target for all external libraries of the product.
find_package(PkgConfig REQUIRED)
pkg_check_modules(product REQUIRED IMPORTED_TARGET libuv libzmq libssl libcrypto jansson zlib)
add_library(product_libraries INTERFACE)
target_link_libraries(product_libraries INTERFACE h2o PkgConfig::product msgpackc argtable2 m)
