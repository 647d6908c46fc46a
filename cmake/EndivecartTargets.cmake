# Functions that declare targets with the project's common flags.

# endivecart_set_flags(TARGET)
# Sets the compile flags and include directories. Warnings are errors.
function(endivecart_set_flags target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror
                         -Wno-missing-field-initializers
                         # GCC 12 gives false -Wrestrict warnings for std::string.
                         -Wno-restrict)
  if(ENDIVECART_SANITIZE)
    # GCC gives false -Wmaybe-uninitialized warnings in instrumented code.
    target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized)
  endif()
  target_include_directories(${target} PUBLIC "${PROJECT_SOURCE_DIR}/src")
endfunction()

# endivecart_library(COMPONENT SOURCES... DEPENDS...)
# Adds the static library endivecart_COMPONENT.
function(endivecart_library component)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(endivecart_${component} STATIC ${ARG_SOURCES})
  endivecart_set_flags(endivecart_${component})
  target_link_libraries(endivecart_${component} PUBLIC ${ARG_DEPENDS})
endfunction()

# endivecart_program(NAME SOURCES... DEPENDS...)
# Adds an executable in the build folder's bin.
function(endivecart_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  endivecart_set_flags(${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        "${CMAKE_BINARY_DIR}/bin")
endfunction()
