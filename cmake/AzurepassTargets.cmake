# Targets of azurepass: one library a package, tests and benchmarks beside it.

add_library(azurepass_flags INTERFACE)
# g++ 12 reports members of an inactive alternative of a moved std::variant as
# maybe uninitialized; -Wuninitialized stays on.
target_compile_options(azurepass_flags INTERFACE
  -Wall -Wextra -Wno-maybe-uninitialized
  $<$<BOOL:${AZUREPASS_WERROR}>:-Werror>)
target_include_directories(azurepass_flags INTERFACE ${CMAKE_SOURCE_DIR})
target_link_options(azurepass_flags INTERFACE -fuse-ld=lld)

# azurepass_library(NAME SOURCES a.cc b.cc DEPENDS azurepass_core ...)
function(azurepass_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC azurepass_flags ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE azurepass_flags ${ARG_DEPENDS})
  endif()
endfunction()

# azurepass_binary(NAME SOURCES main.cc DEPENDS ...)
function(azurepass_binary name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE azurepass_flags ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# azurepass_test(NAME SOURCES a_test.cc DEPENDS ... [TIMEOUT seconds])
function(azurepass_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE azurepass_flags azurepass_test_main ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# azurepass_benchmark(NAME SOURCES a_bench.cc DEPENDS ...)
function(azurepass_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE azurepass_flags benchmark::benchmark_main ${ARG_DEPENDS})
endfunction()
