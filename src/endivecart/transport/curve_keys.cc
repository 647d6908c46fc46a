#include "endivecart/transport/curve_keys.h"

#include <zmq.h>

#include <array>

namespace endivecart::transport {

namespace {

constexpr std::size_t kZ85KeyBytes = 41;  // with the terminating zero byte

}  // namespace

CurveKeyPair GenerateCurveKeyPair() {
  std::array<char, kZ85KeyBytes> public_key{};
  std::array<char, kZ85KeyBytes> secret_key{};
  zmq_curve_keypair(public_key.data(), secret_key.data());
  return {public_key.data(), secret_key.data()};
}

std::string DerivePublicKey(const std::string& secret_key) {
  std::array<char, kZ85KeyBytes> public_key{};
  if (secret_key.size() != kZ85KeyBytes - 1 ||
      zmq_curve_public(public_key.data(), secret_key.c_str()) != 0) {
    return {};
  }
  return public_key.data();
}

}  // namespace endivecart::transport
