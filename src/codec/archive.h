/// Compact, portable archives for Boost.Serialization: encode a value to bytes and decode it.
///
/// Boost's own binary archives depend on the integer sizes of the machine and trust every length in
/// the input; one flipped bit can make them allocate gigabytes. These archives implement the same
/// Archive concept (Boost.Serialization, "Archive Concepts") and work with the existing serialize
/// functions, but encode integers as LEB128 and check each length against the remaining bytes.
#pragma once

#include <bit>
#include <boost/mpl/bool.hpp>
#include <boost/serialization/serialization.hpp>
#include <cstring>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "model/bytes.h"

namespace gorsevalve {

namespace archive_internal {
template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

/// Maps signed to unsigned integers and keeps small magnitudes small.
constexpr std::uint64_t zigzag(std::int64_t value) {
  return (static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63);
}
constexpr std::int64_t unzigzag(std::uint64_t value) {
  return static_cast<std::int64_t>(value >> 1U) ^ -static_cast<std::int64_t>(value & 1U);
}
}  // namespace archive_internal

/// Saving archive that appends to a byte sequence.
class ArchiveWriter {
 public:
  using is_saving = boost::mpl::bool_<true>;    // NOLINT: names fixed by the Archive concept
  using is_loading = boost::mpl::bool_<false>;  // NOLINT

  explicit ArchiveWriter(Bytes& out) : out_(out) {}

  template <typename T>
  ArchiveWriter& operator<<(const T& value) {
    save(value);
    return *this;
  }
  template <typename T>
  ArchiveWriter& operator&(const T& value) {
    return *this << value;
  }

 private:
  template <typename T>
  void save(const T& value) {
    if constexpr (std::is_integral_v<T> && sizeof(T) == 1) {
      out_.push_back(static_cast<std::uint8_t>(value));
    } else if constexpr (std::is_enum_v<T>) {
      save(static_cast<std::underlying_type_t<T>>(value));
    } else if constexpr (std::is_unsigned_v<T>) {
      save_varint(value);
    } else if constexpr (std::is_integral_v<T>) {
      save_varint(archive_internal::zigzag(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      save_varint(std::bit_cast<std::uint64_t>(static_cast<double>(value)));
    } else if constexpr (std::is_same_v<T, std::string> || std::is_same_v<T, Bytes>) {
      save_varint(value.size());
      out_.insert(out_.end(), value.begin(), value.end());
    } else if constexpr (archive_internal::IsVector<T>::value) {
      save_varint(value.size());
      for (const auto& element : value) {
        save(element);
      }
    } else if constexpr (archive_internal::IsOptional<T>::value) {
      save(value.has_value());
      if (value) {
        save(*value);
      }
    } else {
      boost::serialization::serialize_adl(*this, const_cast<T&>(value), 0U);
    }
  }

  void save_varint(std::uint64_t value) {
    while (value >= 0x80U) {
      out_.push_back(static_cast<std::uint8_t>(value | 0x80U));
      value >>= 7U;
    }
    out_.push_back(static_cast<std::uint8_t>(value));
  }

  Bytes& out_;
};

/// Loading archive over a byte sequence. After malformed input, `failed` is true and further loads
/// leave their values unchanged.
class ArchiveReader {
 public:
  using is_saving = boost::mpl::bool_<false>;  // NOLINT: names fixed by the Archive concept
  using is_loading = boost::mpl::bool_<true>;  // NOLINT

  explicit ArchiveReader(ByteView bytes) : remaining_(bytes) {}

  template <typename T>
  ArchiveReader& operator>>(T& value) {
    if (!failed_) {
      load(value);
    }
    return *this;
  }
  template <typename T>
  ArchiveReader& operator&(T& value) {
    return *this >> value;
  }

  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] bool at_end() const { return remaining_.empty(); }

 private:
  template <typename T>
  void load(T& value) {
    if constexpr (std::is_integral_v<T> && sizeof(T) == 1) {
      value = static_cast<T>(load_byte());
    } else if constexpr (std::is_enum_v<T>) {
      std::underlying_type_t<T> raw{};
      load(raw);
      value = static_cast<T>(raw);
    } else if constexpr (std::is_unsigned_v<T>) {
      value = static_cast<T>(load_varint(std::numeric_limits<T>::max()));
    } else if constexpr (std::is_integral_v<T>) {
      value = static_cast<T>(archive_internal::unzigzag(load_varint(~std::uint64_t{0})));
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<T>(std::bit_cast<double>(load_varint(~std::uint64_t{0})));
    } else if constexpr (std::is_same_v<T, std::string> || std::is_same_v<T, Bytes>) {
      const std::size_t size = load_length();
      value.assign(remaining_.begin(), remaining_.begin() + static_cast<std::ptrdiff_t>(size));
      remaining_ = remaining_.subspan(size);
    } else if constexpr (archive_internal::IsVector<T>::value) {
      load_vector(value);
    } else if constexpr (archive_internal::IsOptional<T>::value) {
      bool present = false;
      load(present);
      value.reset();
      if (present && !failed_) {
        *this >> value.emplace();
      }
    } else {
      boost::serialization::serialize_adl(*this, value, 0U);
    }
  }

  template <typename T>
  void load_vector(std::vector<T>& value) {
    // Each element takes at least one byte, which bounds the time and the memory by the input size.
    const std::size_t size = load_length();
    value.clear();
    for (std::size_t i = 0; i < size && !failed_; ++i) {
      *this >> value.emplace_back();
    }
  }

  std::uint8_t load_byte() {
    if (remaining_.empty()) {
      failed_ = true;
      return 0;
    }
    const std::uint8_t byte = remaining_.front();
    remaining_ = remaining_.subspan(1);
    return byte;
  }

  std::uint64_t load_varint(std::uint64_t maximum) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      const std::uint8_t byte = load_byte();
      value |= std::uint64_t{byte & 0x7FU} << shift;
      if ((byte & 0x80U) == 0) {
        failed_ = failed_ || value > maximum;
        return failed_ ? 0 : value;
      }
    }
    failed_ = true;
    return 0;
  }

  /// Reads a length; sets `failed` and returns 0 when it exceeds the remaining bytes.
  std::size_t load_length() {
    const std::uint64_t size = load_varint(~std::uint64_t{0});
    if (size > remaining_.size()) {
      failed_ = true;
      return 0;
    }
    return size;
  }

  ByteView remaining_;
  bool failed_ = false;
};

/// Encodes one value.
template <typename Value>
Bytes encode_archive(const Value& value) {
  Bytes out;
  ArchiveWriter writer(out);
  writer << value;
  return out;
}

/// Decodes one value. Returns nothing when the input is malformed, truncated, or has trailing
/// bytes.
template <typename Value>
std::optional<Value> decode_archive(ByteView bytes) {
  ArchiveReader reader(bytes);
  std::optional<Value> value(std::in_place);
  reader >> *value;
  if (reader.failed() || !reader.at_end()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace gorsevalve
