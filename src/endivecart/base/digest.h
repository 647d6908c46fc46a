#ifndef ENDIVECART_BASE_DIGEST_H_
#define ENDIVECART_BASE_DIGEST_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace endivecart {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns the SHA-256 over several fields. Each field is prefixed with its
// length, so that different lists never give the same hash input.
std::string Sha256HexOfFields(std::initializer_list<std::string_view> fields);

// Compares `a` and `b` in time that does not depend on where they differ.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns a fast 64-bit hash (FNV-1a with a final mix) that is the same on
// every host. Not cryptographically secure.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

}  // namespace endivecart

#endif  // ENDIVECART_BASE_DIGEST_H_
