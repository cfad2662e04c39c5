#include "tasks/submission_body.h"

#include <nlohmann/json.hpp>

namespace gorsevalve {
namespace {

/// Reads an optional string field; false if it has another type.
bool read_text(const nlohmann::json& body, const char* field, std::string& text) {
  const auto found = body.find(field);
  if (found == body.end()) {
    return true;
  }
  if (!found->is_string()) {
    return false;
  }
  text = found->get<std::string>();
  return true;
}

}  // namespace

tl::expected<SubmissionBody, std::string> parse_submission_body(const std::string& text) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return tl::unexpected(std::string("the body must be a JSON object"));
  }
  SubmissionBody submission;
  for (const auto& [field, value] : {std::pair<const char*, std::string*>{"id", &submission.id},
                                     {"author", &submission.author},
                                     {"file", &submission.file},
                                     {"text", &submission.text}}) {
    if (!read_text(body, field, *value)) {
      return tl::unexpected(std::string(field) + ": must be a string");
    }
  }
  if (submission.id.empty() || submission.id.size() > kMaxSubmissionIdLength) {
    return tl::unexpected("id: must have 1 to " + std::to_string(kMaxSubmissionIdLength) +
                          " characters");
  }
  const auto base = body.find("base_revision");
  if (base == body.end() || !base->is_number_unsigned()) {
    return tl::unexpected(std::string("base_revision: must be an unsigned integer"));
  }
  submission.base_revision = base->get<Revision>();
  if (!body.contains("text")) {
    return tl::unexpected(std::string("text: missing; must hold the settings file"));
  }
  return submission;
}

}  // namespace gorsevalve
