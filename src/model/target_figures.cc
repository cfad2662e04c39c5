#include "model/target_figures.h"

#include <algorithm>

namespace gorsevalve {

std::vector<FlowToken> TargetFigures::troubled() const {
  std::vector<FlowToken> tokens;
  for (const auto& figure : figures) {
    if (figure.is_troubled) {
      tokens.push_back(figure.token);
    }
  }
  std::sort(tokens.begin(), tokens.end());
  return tokens;
}

}  // namespace gorsevalve
