# Libraries of the distribution; scripts/dependencies installs their packages.

find_package(Threads REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net JSON Util)
find_package(Protobuf REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(LIBCRYPTO REQUIRED IMPORTED_TARGET libcrypto)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
