if(TREFOILBEND_TESTS)
  add_library(trefoilbend_test_main OBJECT "${PROJECT_SOURCE_DIR}/cmake/test_main.cc")
  target_compile_definitions(trefoilbend_test_main PUBLIC BOOST_TEST_DYN_LINK)
  target_include_directories(trefoilbend_test_main PUBLIC "${PROJECT_SOURCE_DIR}/tests")
  target_link_libraries(trefoilbend_test_main PUBLIC Boost::unit_test_framework)
endif()

# trefoilbend_package(NAME [DEPENDS packages...] [LIBRARIES libraries...])
# Builds packages/NAME from its src folder and its test folder's program.
function(trefoilbend_package name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "DEPENDS;LIBRARIES")
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc"
       "${CMAKE_CURRENT_SOURCE_DIR}/src/*.c++")
  list(TRANSFORM arg_DEPENDS PREPEND trefoilbend_)
  if(sources)
    add_library(trefoilbend_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(trefoilbend_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(trefoilbend_${name} ${scope} "${CMAKE_CURRENT_SOURCE_DIR}/include")
  if(sources)
    target_include_directories(trefoilbend_${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
  endif()
  target_link_libraries(trefoilbend_${name} ${scope} ${arg_DEPENDS} ${arg_LIBRARIES}
                        trefoilbend_options)
  trefoilbend_test(${name} trefoilbend_${name})
endfunction()

# trefoilbend_test(NAME libraries...) builds the test folder beside the caller.
function(trefoilbend_test name)
  file(GLOB tests CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/test/*.cc")
  if(NOT TREFOILBEND_TESTS OR NOT tests)
    return()
  endif()
  add_executable(${name}_test ${tests})
  target_link_libraries(${name}_test PRIVATE ${ARGN} trefoilbend_test_main
                        ${RAPIDCHECK_LIBRARY} trefoilbend_options)
  add_test(NAME ${name} COMMAND ${name}_test --log_level=test_suite)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT
                       "RC_PARAMS=seed=1;TSAN_OPTIONS=halt_on_error=1")
endfunction()
