#include "model/steering.h"

namespace gorsevalve {

std::string_view to_string(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kIdempotent:
      return "repeatable";
    case RequestClass::kNonIdempotent:
      return "once_only";
    case RequestClass::kDownload:
      return "download";
    case RequestClass::kUpload:
      return "upload";
  }
  return "unknown";
}

}  // namespace gorsevalve
