# A library takes every source of its own folder.
function(bilberry_library name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC ${arg_LINK})
endfunction()

# A program takes every source of the current folder.
function(bilberry_program name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${arg_LINK})
  bilberry_test_flags(${name})
endfunction()

# Every program answers --help and --version, and refuses an unknown flag.
function(bilberry_test_flags name)
  add_test(NAME ${name}.help COMMAND ${name} --help)
  add_test(NAME ${name}.version COMMAND ${name} --version)
  set_tests_properties(${name}.version PROPERTIES
    PASS_REGULAR_EXPRESSION "^${name} ${PROJECT_VERSION}\n$")
  add_test(NAME ${name}.bad-flag COMMAND ${name} --no-such-flag)
  set_tests_properties(${name}.bad-flag PROPERTIES WILL_FAIL ON)
  set_tests_properties(${name}.help ${name}.version ${name}.bad-flag PROPERTIES
    LABELS contract)
endfunction()

# One ctest entry for each labelled test suite of a library's test program, so
# that `ctest -L promise-3` runs just what proves that promise. What carries no
# suite runs as one entry without a label.
function(bilberry_test_program name)
  cmake_parse_arguments(arg "" "" "LINK;LABELS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  add_executable(Test${name} ${sources} ${CMAKE_SOURCE_DIR}/Tests/test_main.cc)
  target_link_libraries(Test${name} PRIVATE ${name} ${arg_LINK})
  target_compile_definitions(Test${name} PRIVATE
    BILBERRY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  set(exclusions "")
  foreach(label ${arg_LABELS})
    add_test(NAME Test${name}.${label}
      COMMAND Test${name} --test-suite=${label} --no-skipped-summary)
    set_tests_properties(Test${name}.${label} PROPERTIES
      LABELS ${label} FAIL_REGULAR_EXPRESSION "test cases: +0 ")
    list(APPEND exclusions ${label})
  endforeach()
  list(JOIN exclusions "," exclusions)
  add_test(NAME Test${name} COMMAND Test${name} "--test-suite-exclude=${exclusions}")
endfunction()
