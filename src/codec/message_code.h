/// Authentication codes of messages: HMAC-SHA-256 (RFC 2104), cut to 128 bits, by OpenSSL.
#pragma once

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "model/bytes.h"

namespace gorsevalve {

using MessageCode = std::array<std::uint8_t, 16>;

/// One key, prepared once: looking the algorithm up for each message costs more than the message.
class MessageCoder {
 public:
  explicit MessageCoder(const std::string& key);

  [[nodiscard]] MessageCode code(ByteView message);
  /// Compares in constant time.
  [[nodiscard]] bool matches(ByteView message, ByteView code);

 private:
  struct Free {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
  };

  std::unique_ptr<EVP_MAC_CTX, Free> context_;
};

}  // namespace gorsevalve
