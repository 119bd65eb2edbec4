#include "consensus/digest.hpp"

#include <openssl/evp.h>

#include <stdexcept>

namespace lilacmux {

Digest sha256(std::string_view bytes) {
  Digest out;
  unsigned length = 0;
  const int succeeded = EVP_Digest(bytes.data(), bytes.size(), out.data(), &length, EVP_sha256(), nullptr);
  if (succeeded != 1 || length != out.size()) throw std::runtime_error("SHA-256 is not available");
  return out;
}

}  // namespace lilacmux
