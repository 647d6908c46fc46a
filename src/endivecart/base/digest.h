#ifndef ENDIVECART_BASE_DIGEST_H_
#define ENDIVECART_BASE_DIGEST_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace endivecart {

// SHA-256 of `data`, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// SHA-256 over several fields; each is framed by its length, so that no two
// different lists of fields give the same input.
std::string Sha256HexOfFields(std::initializer_list<std::string_view> fields);

// Compares without leaking the place of the first difference through time.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// A fast 64-bit hash that is the same on every host (FNV-1a, then mixed). Not
// for secrets.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

}  // namespace endivecart

#endif  // ENDIVECART_BASE_DIGEST_H_
