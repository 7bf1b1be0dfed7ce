// Routes and handles operators' requests.
#include "node/admin-api.h"

#include <array>
#include <utility>

#include "comfreyflow/config.h"
#include "http/credentials.h"
#include "http/problems.h"
#include "node/answer.h"
#include "node/headers.h"

namespace comfreyflow::node {
namespace {

using Json = nlohmann::ordered_json;

struct AdminRoute {
  std::string_view method;
  std::string_view path;
  bool is_public;  ///< Requires no key.
};

constexpr std::array kRoutes = {
    AdminRoute{"GET", "/healthz", true},
    AdminRoute{"GET", "/metrics", true},
    AdminRoute{"GET", "/admin/status", false},
    AdminRoute{"GET", "/admin/dump", false},
    AdminRoute{"POST", "/admin/drain", false},
    AdminRoute{"GET", "/admin/config", false},
    AdminRoute{"PUT", "/admin/config", false},
    AdminRoute{"POST", "/admin/config/check", false},
};

http::Response JsonResponse(const Json& json, int status = 200) {
  http::Response response;
  response.status = status;
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

http::Response ConfigInvalid(const std::vector<Problem>& problems) {
  http::Response response = ErrorResponse(FailureOf(Errc::kConfigInvalid));
  Json body = Json::parse(response.body);
  body["error"]["problems"] = http::ProblemsJson(problems);
  response.body = body.dump();
  return response;
}

http::Response CheckDocument(const std::string& text) {
  const ConfigResult result = ParseConfig(text);
  if (!result.ok()) return ConfigInvalid(result.problems);
  return JsonResponse({{"problems", Json::array()}});
}

}  // namespace

Errc AdminApi::AdmitHead(const http::Request& head) const {
  bool path_known = false;
  for (const auto& route : kRoutes) {
    if (route.path != head.path) continue;
    path_known = true;
    if (route.method != head.method) continue;
    if (route.is_public) return Errc::kOk;
    const Credentials credentials =
        http::ReadCredentials(head.fields, kBearerScheme);
    const bool is_known = Sha256(credentials.key).value == deps_.key_sha256;
    return CheckCredentials(credentials, is_known, KeyNeed::kRequired);
  }
  return path_known ? Errc::kMethodNotAllowed : Errc::kNotFound;
}

void AdminApi::Handle(const http::ExchangePtr& exchange) const {
  const auto& request = exchange->request();
  const auto& path = request.path;
  if (path == "/healthz") {
    exchange->Respond(JsonResponse({{"state", deps_.state()}}));
  } else if (path == "/metrics") {
    http::Response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = deps_.metrics();
    exchange->Respond(std::move(response));
  } else if (path == "/admin/status") {
    exchange->Respond(JsonResponse(deps_.status()));
  } else if (path == "/admin/dump") {
    deps_.dump([exchange](const Json& state) {
      exchange->Respond(JsonResponse(state));
    });
  } else if (path == "/admin/drain") {
    deps_.drain();
    exchange->Respond(JsonResponse({{"state", "draining"}}, 202));
  } else if (path == "/admin/config/check") {
    exchange->Respond(CheckDocument(request.body));
  } else if (request.method == "PUT") {
    Apply(exchange);
  } else {
    const Json config = deps_.config();
    exchange->Respond(config.empty()
                          ? ErrorResponse(FailureOf(Errc::kObjectNotFound))
                          : JsonResponse(config));
  }
}

void AdminApi::Apply(const http::ExchangePtr& exchange) const {
  auto& request = exchange->request();
  const auto expected_generation = NumberHeader(request.fields, "if-match");
  if (!expected_generation.ok || !expected_generation.value) {
    Failure failure = FailureOf(Errc::kMalformedRequest);
    failure.field = "if-match";
    return exchange->Respond(ErrorResponse(failure));
  }
  ApplyRequest apply_request{
      std::move(request.body), *expected_generation.value,
      std::string(http::FieldValue(request.fields, "x-proven-hash"))};
  const std::string environment = deps_.environment;
  deps_.apply(std::move(apply_request), [exchange, environment](
                                            const ApplyResult& result) {
    if (result.code == Errc::kConfigInvalid) {
      return exchange->Respond(ConfigInvalid(result.problems));
    }
    if (result.code != Errc::kOk) {
      return exchange->Respond(ErrorResponse(FailureOf(result.code)));
    }
    exchange->Respond(JsonResponse({{"environment", environment},
                                    {"generation", result.generation},
                                    {"hash", result.hash}}));
  });
}

}  // namespace comfreyflow::node
