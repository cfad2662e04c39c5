/// Files with keys or tokens: readable by their owner only, one secret a line.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gorsevalve {

/// Shortest key or token, in characters.
constexpr std::size_t kMinSecretSize = 16;

struct SecretLine {
  /// From 1.
  std::uint32_t number = 0;
  std::string text;
};

/// The lines that are not empty. The error names the file: it cannot be read, others than its owner
/// may read it, or it holds nothing.
tl::expected<std::vector<SecretLine>, std::string> read_secret_file(const std::string& path);

}  // namespace gorsevalve
