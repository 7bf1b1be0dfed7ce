/// HTTP interface for operators. See docs/ADMIN-API.md.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "comfreyflow/errors.h"
#include "comfreyflow/ini.h"
#include "http/server.h"

namespace comfreyflow::node {

/// Result of applying an operator's configuration document.
struct ApplyResult {
  Errc code = Errc::kOk;
  std::uint64_t generation = 0;
  std::string hash;
  std::vector<Problem> problems;
};

/// An operator's request to replace the configuration.
struct ApplyRequest {
  std::string document;
  std::uint64_t generation = 0;  ///< The generation that the document replaces.
  /// For a promotion, the policy hash of the configuration in the trial
  /// environment. Otherwise empty.
  std::string proven_hash;
};

struct AdminDeps {
  std::string key_sha256;
  std::string environment;
  std::function<const char*()> state;
  std::function<std::string()> metrics;
  std::function<nlohmann::ordered_json()> status;
  /// Collects the state of all components and passes it to the callback.
  std::function<void(std::function<void(nlohmann::ordered_json)>)> dump;
  std::function<void()> drain;
  /// The configuration in force, or an empty object if there is none.
  std::function<nlohmann::ordered_json()> config;
  std::function<void(ApplyRequest, std::function<void(ApplyResult)>)> apply;
};

class AdminApi {
 public:
  explicit AdminApi(AdminDeps deps) : deps_(std::move(deps)) {}

  /// Checks route, method and key before the body is read.
  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange) const;

 private:
  void Apply(const http::ExchangePtr& exchange) const;

  const AdminDeps deps_;
};

}  // namespace comfreyflow::node
