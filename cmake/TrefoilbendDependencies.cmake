find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system)
find_package(PkgConfig REQUIRED)
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp-rpc)
find_package(prometheus-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
if(TREFOILBEND_TESTS)
  find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()
find_library(XXHASH_LIBRARY xxhash REQUIRED)

add_library(trefoilbend_options INTERFACE)
target_compile_options(trefoilbend_options INTERFACE -Wall -Wextra -Wpedantic -Werror
                       -Wno-missing-field-initializers
                       # False alarms of GCC 12 for moved std::variant.
                       -Wno-maybe-uninitialized)
target_compile_definitions(trefoilbend_options INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(trefoilbend_options INTERFACE Threads::Threads)
