# Each *_test.cc under test/ is built as a program of its own and registered as one test.
find_package(GTest REQUIRED)
include_directories(test)

file(GLOB_RECURSE unit_tests CONFIGURE_DEPENDS test/unit/*_test.cc)
file(GLOB_RECURSE property_tests CONFIGURE_DEPENDS test/property/*_test.cc)
file(GLOB_RECURSE functional_tests CONFIGURE_DEPENDS test/functional/*_test.cc)
file(GLOB functional_support CONFIGURE_DEPENDS test/functional/support/*.cc)

# Stand-ins are programs: one for each folder under test/standin/ with a main.c. common/ is a library
# that all of them link.
file(GLOB standin_common CONFIGURE_DEPENDS test/standin/common/*.c)
add_library(standin_common STATIC ${standin_common})
target_link_libraries(standin_common PUBLIC fescue_load_parts)
file(GLOB standins RELATIVE ${CMAKE_SOURCE_DIR}/test/standin CONFIGURE_DEPENDS
	test/standin/*/main.c)
foreach(main ${standins})
	get_filename_component(name ${main} DIRECTORY)
	file(GLOB sources CONFIGURE_DEPENDS test/standin/${name}/*.c)
	add_executable(standin-${name} ${sources})
	target_link_libraries(standin-${name} PRIVATE standin_common)
endforeach()

# Adds the program and test KIND-MODULE from a source file MODULE_test.cc, with a fixed random seed.
# Modules of the platform adapter get the prefix platform_.
function(add_test_program kind source timeout_s)
	get_filename_component(module ${source} NAME_WE)
	get_filename_component(folder ${source} DIRECTORY)
	get_filename_component(folder ${folder} NAME)
	string(REGEX REPLACE "_test$" "" module ${module})
	if(folder STREQUAL platform)
		set(module platform_${module})
	endif()
	set(name ${kind}-${module})
	add_executable(${name} ${source})
	target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/platform)
	target_link_libraries(${name} PRIVATE platform_adapter fescuemilld_parts fescue_load_parts
		fescue_report_parts fescuemill
		GTest::gtest_main rapidcheck)
	add_test(NAME ${name} COMMAND ${name})
	set_tests_properties(${name} PROPERTIES TIMEOUT ${timeout_s}
		ENVIRONMENT "RC_PARAMS=seed=7 max_success=200;FESCUEMILL_BIN=${CMAKE_BINARY_DIR}")
endfunction()

foreach(source ${unit_tests})
	add_test_program(unit ${source} 60)
endforeach()
foreach(source ${property_tests})
	add_test_program(property ${source} 240)
endforeach()
# This property simulates large fleets: under the sanitizers, fewer random cases fit into the time
# limit.
set_tests_properties(property-gossip_domain PROPERTIES ENVIRONMENT "RC_PARAMS=seed=7 max_success=50")
# This one simulates 3,144 nodes: 80 s on a quiet machine, 170 s beside other builds, more with the
# sanitizers.
set_tests_properties(property-allotment_fleet PROPERTIES TIMEOUT 900)
add_library(functional_support STATIC ${functional_support})
target_link_libraries(functional_support PUBLIC fescue_load_parts fescuemill GTest::gtest)
foreach(source ${functional_tests})
	add_test_program(functional ${source} 240)
	get_filename_component(module ${source} NAME_WE)
	string(REGEX REPLACE "_test$" "" module ${module})
	target_link_libraries(functional-${module} PRIVATE functional_support)
	set_tests_properties(functional-${module} PROPERTIES LABELS functional PROCESSORS 3)
endforeach()

# The address sanitizer keeps up to 256 MB of freed memory by default, and this test bounds the memory
# of a node.
set_property(TEST functional-endless APPEND PROPERTY
	ENVIRONMENT "ASAN_OPTIONS=quarantine_size_mb=4")

# These tests bound the memory and the descriptors of a node, which other tests beside them would use
# up. They keep the address sanitizer from holding freed memory, as functional-endless does.
foreach(module clients_bodies clients_heads clients_largest clients_nodes clients_slow)
	set_tests_properties(functional-${module} PROPERTIES RUN_SERIAL ON)
	set_property(TEST functional-${module} APPEND PROPERTY
		ENVIRONMENT "ASAN_OPTIONS=quarantine_size_mb=4")
endforeach()

# Runs a whole fleet for scripts/demo.sh.
add_executable(demo-fleet test/functional/demo/main.cc)
target_link_libraries(demo-fleet PRIVATE functional_support)

# Measurements are programs, not tests: one for each test/measure/*.cc, run by scripts/measure.sh.
file(GLOB measurements CONFIGURE_DEPENDS test/measure/*.cc)
foreach(source ${measurements})
	get_filename_component(module ${source} NAME_WE)
	string(REPLACE "_" "-" module ${module})
	add_executable(measure-${module} ${source})
	target_link_libraries(measure-${module} PRIVATE functional_support fescuemill)
endforeach()
add_executable(overhead test/functional/demo/overhead.cc)
target_link_libraries(overhead PRIVATE functional_support)

# The soak test: short runs with fixed seeds are part of the tests; scripts/soak.sh runs more seeds.
add_executable(fescue-soak test/soak/soak.cc)
target_link_libraries(fescue-soak PRIVATE functional_support fescuemill)
add_test(NAME soak-short COMMAND fescue-soak 7 10 8)
# Seeds that failed or exposed a fault, each with its cause:
# 210: a configuration change through a paused node blocked the schedule: its 2.7 s pause lasted 20 s.
# 215: a paused backend server could not answer the request that ends its slowdown, and the run ended.
# 242: a call whose first backend server did not answer was sent to a second one with 0.3 ms left.
# 411: a read that could not connect at its last try was recorded as not run, though an earlier try had run.
add_test(NAME soak-seed-210 COMMAND fescue-soak 210 8 8)
add_test(NAME soak-seed-215 COMMAND fescue-soak 215 8 8)
add_test(NAME soak-seed-242 COMMAND fescue-soak 242 8 8)
add_test(NAME soak-seed-411 COMMAND fescue-soak 411 6 8)
set_tests_properties(soak-short soak-seed-210 soak-seed-215 soak-seed-242 soak-seed-411 PROPERTIES TIMEOUT 120 LABELS functional PROCESSORS 3
	ENVIRONMENT "FESCUEMILL_BIN=${CMAKE_BINARY_DIR}")
