#include "codec/message_authentication.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/params.h>

#include <algorithm>

namespace gorsevalve {
namespace {

/// Prevents OpenSSL from loading a configuration file and registering all ciphers and digests,
/// which slows down process start and is only needed to look up algorithms by name in
/// configurations.
void initialize_openssl() {
  constexpr std::uint64_t kMinimalInitialization =
      OPENSSL_INIT_NO_LOAD_CONFIG | OPENSSL_INIT_NO_LOAD_CRYPTO_STRINGS |
      OPENSSL_INIT_NO_ADD_ALL_CIPHERS | OPENSSL_INIT_NO_ADD_ALL_DIGESTS;
  // On failure, OpenSSL runs its default initialization on first use.
  OPENSSL_init_crypto(kMinimalInitialization, nullptr);
}

}  // namespace

MessageAuthenticator::MessageAuthenticator(const std::string& key) {
  initialize_openssl();
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  context_.reset(EVP_MAC_CTX_new(algorithm));
  EVP_MAC_free(algorithm);
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  EVP_MAC_init(context_.get(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
               parameters.data());
}

MessageMac MessageAuthenticator::compute(ByteView message) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
  std::size_t size = 0;
  EVP_MAC_init(context_.get(), nullptr, 0, nullptr);
  EVP_MAC_update(context_.get(), message.data(), message.size());
  EVP_MAC_final(context_.get(), digest.data(), &size, digest.size());
  MessageMac mac{};
  std::copy_n(digest.begin(), mac.size(), mac.begin());
  return mac;
}

bool MessageAuthenticator::verify(ByteView message, ByteView expected) {
  const MessageMac computed = compute(message);
  return expected.size() == computed.size() &&
         CRYPTO_memcmp(computed.data(), expected.data(), computed.size()) == 0;
}

}  // namespace gorsevalve
