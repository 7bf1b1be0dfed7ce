/// The faults of a document as JSON, the same for hosts and the tool.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "comfreyflow/ini.h"

namespace comfreyflow::http {

/// A list of `{"line","kind","section","key","expected"}` in their order.
nlohmann::ordered_json ProblemsJson(const std::vector<Problem>& problems);

}  // namespace comfreyflow::http
