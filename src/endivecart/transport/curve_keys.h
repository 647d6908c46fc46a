#ifndef ENDIVECART_TRANSPORT_CURVE_KEYS_H_
#define ENDIVECART_TRANSPORT_CURVE_KEYS_H_

#include <string>

namespace endivecart::transport {

// A CURVE key pair in Z85, 40 characters each.
struct CurveKeyPair {
  std::string public_key;
  std::string secret_key;

  bool operator==(const CurveKeyPair&) const = default;
};

CurveKeyPair GenerateCurveKeyPair();

// The public key that belongs to a secret key; empty if it is malformed.
std::string PublicKeyOf(const std::string& secret_key);

}  // namespace endivecart::transport

#endif  // ENDIVECART_TRANSPORT_CURVE_KEYS_H_
