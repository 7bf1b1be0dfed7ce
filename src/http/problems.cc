// The faults of a document as JSON.
#include "http/problems.h"

namespace comfreyflow::http {

nlohmann::ordered_json ProblemsJson(const std::vector<Problem>& problems) {
  auto out = nlohmann::ordered_json::array();
  for (const Problem& problem : problems) {
    out.push_back({{"line", problem.line},
                   {"kind", ToString(problem.kind)},
                   {"section", problem.section},
                   {"key", problem.key},
                   {"expected", problem.detail}});
  }
  return out;
}

}  // namespace comfreyflow::http
