#ifndef ENDIVECART_TRANSPORT_CURVE_KEYS_H_
#define ENDIVECART_TRANSPORT_CURVE_KEYS_H_

#include <string>

namespace endivecart::transport {

// A CURVE key pair, 40 characters of Z85 each.
struct CurveKeyPair {
  std::string public_key;
  std::string secret_key;

  bool operator==(const CurveKeyPair&) const = default;
};

CurveKeyPair GenerateCurveKeyPair();

// Returns the public key of a secret key, or an empty string if the secret key
// is malformed.
std::string DerivePublicKey(const std::string& secret_key);

}  // namespace endivecart::transport

#endif  // ENDIVECART_TRANSPORT_CURVE_KEYS_H_
