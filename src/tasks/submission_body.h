/// JSON body of a settings submission to the administration API.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "core/control/control_state.h"

namespace gorsevalve {

struct SubmissionBody {
  SubmissionId id;
  Revision base_revision = 0;
  std::string author;
  /// File name, for error messages.
  std::string file = "settings";
  std::string text;
};

/// Longest submission id in bytes.
constexpr std::size_t kMaxSubmissionIdLength = 128;

/// Parses a JSON body. Errors name the field that is missing or has the wrong type.
tl::expected<SubmissionBody, std::string> parse_submission_body(const std::string& body);

}  // namespace gorsevalve
