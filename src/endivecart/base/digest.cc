#include "endivecart/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <memory>

namespace endivecart {

namespace {

std::string Hex(const std::array<unsigned char, SHA256_DIGEST_LENGTH>& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data());
  return Hex(digest);
}

std::string Sha256HexOfFields(std::initializer_list<std::string_view> fields) {
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view field : fields) {
    const std::string size = std::to_string(field.size()) + ':';
    EVP_DigestUpdate(context.get(), size.data(), size.size());
    EVP_DigestUpdate(context.get(), field.data(), field.size());
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return Hex(digest);
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t StableHash(std::string_view data, std::uint64_t seed) {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : data) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace endivecart
