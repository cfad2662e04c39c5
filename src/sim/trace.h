/// Trace of a simulated run: a running hash of all messages and notes, and optionally their text.
/// Two runs with equal hashes are taken as identical.
#pragma once

#include <xxhash.h>

#include <cstdio>
#include <string>
#include <string_view>

#include "model/bytes.h"
#include "model/endpoint.h"
#include "model/time.h"

namespace gorsevalve {

class Trace {
 public:
  explicit Trace(bool prints) : prints_(prints) {}

  /// A message from one process to another.
  void add(std::string_view kind, Instant now, const Endpoint& from, const Endpoint& to,
           ByteView content) {
    add(kind, now, from, to, XXH3_64bits(content.data(), content.size()));
  }
  void add(std::string_view kind, Instant now, const Endpoint& from, const Endpoint& to,
           std::uint64_t digest) {
    mix(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    mix(packed(from));
    mix(packed(to));
    mix(digest);
    if (prints_) {
      print(now, std::string(kind) + " " + to_string(from) + " -> " + to_string(to) + " " +
                     std::to_string(digest));
    }
  }
  /// Records an action of the scenario or a violation.
  void note(Instant now, const std::string& text) {
    mix(XXH3_64bits(text.data(), text.size()));
    if (prints_) {
      print(now, text);
    }
  }

  [[nodiscard]] std::uint64_t hash() const { return hash_; }

 private:
  void mix(std::uint64_t value) { hash_ = XXH3_64bits_withSeed(&value, sizeof(value), hash_); }
  static void print(Instant now, const std::string& text) {
    const std::chrono::duration<double> seconds = now.time_since_epoch();
    std::printf("%.6f %s\n", seconds.count(), text.c_str());
  }

  bool prints_;
  std::uint64_t hash_ = 0;
};

}  // namespace gorsevalve
