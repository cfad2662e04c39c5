/// Body of a submission to the administration API.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "core/control/control_state.h"

namespace gorsevalve {

struct SubmissionBody {
  SubmissionId id;
  Revision base_revision = 0;
  std::string author;
  /// Name of the file, for error messages.
  std::string file = "settings";
  std::string text;
};

/// Longest submission id, in characters.
constexpr std::size_t kMaxSubmissionIdLength = 128;

/// Reads a JSON body. The error names the field that is missing or of a wrong type.
tl::expected<SubmissionBody, std::string> parse_submission_body(const std::string& body);

}  // namespace gorsevalve
