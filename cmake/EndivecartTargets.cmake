# Helpers that declare this project's targets with its common flags.

# endivecart_set_flags(TARGET): language flags; warnings are errors.
function(endivecart_set_flags target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror
                         -Wno-missing-field-initializers
                         # GCC 12 reports false overlaps in std::string.
                         -Wno-restrict)
  if(ENDIVECART_SANITIZE)
    # Sanitizers' instrumentation makes GCC report false ones.
    target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized)
  endif()
  target_include_directories(${target} PUBLIC "${PROJECT_SOURCE_DIR}/src")
endfunction()

# endivecart_library(SLICE SOURCES... DEPENDS...): the library of one slice.
function(endivecart_library slice)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(endivecart_${slice} STATIC ${ARG_SOURCES})
  endivecart_set_flags(endivecart_${slice})
  target_link_libraries(endivecart_${slice} PUBLIC ${ARG_DEPENDS})
endfunction()

# endivecart_program(NAME SOURCES... DEPENDS...): one executable.
function(endivecart_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  endivecart_set_flags(${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        "${CMAKE_BINARY_DIR}/bin")
endfunction()
