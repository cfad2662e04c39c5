/// Message authentication codes (MAC): HMAC-SHA-256 (RFC 2104) truncated to 128 bits, with OpenSSL.
#pragma once

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "model/bytes.h"

namespace gorsevalve {

using MessageMac = std::array<std::uint8_t, 16>;

/// Authenticates messages with one key. Keeps an initialized context, which avoids looking up the
/// algorithm for each message.
class MessageAuthenticator {
 public:
  explicit MessageAuthenticator(const std::string& key);

  [[nodiscard]] MessageMac compute(ByteView message);
  /// Compares in constant time.
  [[nodiscard]] bool verify(ByteView message, ByteView expected);

 private:
  struct ContextDeleter {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
  };

  std::unique_ptr<EVP_MAC_CTX, ContextDeleter> context_;
};

}  // namespace gorsevalve
