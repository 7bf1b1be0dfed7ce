/// The interface for operators, as docs/ADMIN-API.md describes it.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "comfreyflow/errors.h"
#include "comfreyflow/ini.h"
#include "http/server.h"

namespace comfreyflow::node {

/// How an operator's document was taken.
struct ApplyResult {
  Errc code = Errc::kOk;
  std::uint64_t generation = 0;
  std::string hash;
  std::vector<Problem> problems;
};

struct ApplyRequest {
  std::string document;
  std::uint64_t generation = 0;  ///< The document is made against this one.
  std::string proven_hash;
};

struct AdminDeps {
  std::string key_sha256;
  std::string environment;
  std::function<const char*()> state;
  std::function<std::string()> metrics;
  std::function<nlohmann::ordered_json()> status;
  /// Gathers the state of all parts and calls back.
  std::function<void(std::function<void(nlohmann::ordered_json)>)> dump;
  std::function<void()> drain;
  /// The document in force, or an empty object.
  std::function<nlohmann::ordered_json()> config;
  std::function<void(ApplyRequest, std::function<void(ApplyResult)>)> apply;
};

class AdminApi {
 public:
  explicit AdminApi(AdminDeps deps) : deps_(std::move(deps)) {}

  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange) const;

 private:
  void Apply(const http::ExchangePtr& exchange) const;

  const AdminDeps deps_;
};

}  // namespace comfreyflow::node
