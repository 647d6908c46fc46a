# Build options.
#
#   ENDIVECART_BUILD_TESTS  build the test programs (default ON)
#   ENDIVECART_SANITIZE     sanitizers for -fsanitize=, empty for none
#   ENDIVECART_CCACHE       compile with ccache if it is installed (default ON)

option(ENDIVECART_BUILD_TESTS "Build the test programs" ON)
option(ENDIVECART_CCACHE "Compile with ccache if it is installed" ON)
set(ENDIVECART_SANITIZE "" CACHE STRING "Sanitizers for -fsanitize=")

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -DNDEBUG")
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()

if(ENDIVECART_CCACHE)
  find_program(ENDIVECART_CCACHE_PROGRAM ccache)
  if(ENDIVECART_CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${ENDIVECART_CCACHE_PROGRAM}")
  endif()
endif()

if(ENDIVECART_SANITIZE)
  add_compile_options(-fsanitize=${ENDIVECART_SANITIZE}
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${ENDIVECART_SANITIZE})
endif()
