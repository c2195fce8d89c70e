# Build rules shared by all libraries and programs.

option(TANAGERPADDLE_SANITIZE "Sanitizers to build with: empty, 'address,undefined' or 'thread'" "")
set(TANAGERPADDLE_SANITIZE "" CACHE STRING "Sanitizers to build with")

add_library(tanagerpaddle_options INTERFACE)
target_compile_options(tanagerpaddle_options INTERFACE
  -Wall -Wextra -Wpedantic -Wconversion -Wshadow -Werror)
if(TANAGERPADDLE_SANITIZE)
  add_compile_options(-fsanitize=${TANAGERPADDLE_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${TANAGERPADDLE_SANITIZE})
endif()

# The decision libraries, which may include no socket, thread or I/O header.
set(TANAGERPADDLE_DECISION_LIBRARIES
  core json_input config protocol store ledger routing placement scheduling membership dispatch)

# tanagerpaddle_library(<name> DEPENDS <lib>... [EXTERNAL <target>...])
# Defines library tanagerpaddle_<name> from src/*.cpp, and its tests from tests/*_test.cpp, one
# program for each library, registered with CTest as <name>.<file>.
function(tanagerpaddle_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;EXTERNAL;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(tanagerpaddle_${name} STATIC ${sources})
  target_include_directories(tanagerpaddle_${name} PUBLIC include PRIVATE src)
  list(TRANSFORM ARG_DEPENDS PREPEND tanagerpaddle_)
  target_link_libraries(tanagerpaddle_${name}
    PUBLIC ${ARG_DEPENDS} ${ARG_EXTERNAL} Threads::Threads
    PRIVATE tanagerpaddle_options)

  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cpp)
  if(tests AND BUILD_TESTING)
    list(TRANSFORM ARG_TEST_DEPENDS PREPEND tanagerpaddle_)
    tanagerpaddle_test(${name} SOURCES ${tests} DEPENDS tanagerpaddle_${name} ${ARG_TEST_DEPENDS})
    target_include_directories(${name}_test PRIVATE src)
  endif()
endfunction()

# tanagerpaddle_test(<name> SOURCES <file>... DEPENDS <target>...)
# One doctest program for the sources, and one CTest entry for each source file.
function(tanagerpaddle_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/cmake/doctest_main.cpp)
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} tanagerpaddle_options)
  foreach(source IN LISTS ARG_SOURCES)
    get_filename_component(stem ${source} NAME_WE)
    add_test(NAME ${name}.${stem}
      COMMAND ${name}_test --source-file=*${stem}.cpp --no-version)
    set_tests_properties(${name}.${stem} PROPERTIES TIMEOUT 180)
  endforeach()
endfunction()
