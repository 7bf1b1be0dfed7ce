// Validates callers' requests and turns them into calls.
#include "node/caller-api.h"

#include <algorithm>
#include <utility>

#include "comfreyflow/resume.h"
#include "http/credentials.h"
#include "node/clock.h"
#include "node/headers.h"
#include "node/log.h"
#include "node/prompt.h"

namespace comfreyflow::node {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPlainServicePrefix = "/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

bool AllowsMethod(Route route, const std::string& method) {
  if (route == Route::kPlain) return true;
  return method == (route == Route::kAddresses ? "GET" : "POST");
}

/// The error for an account none of whose services offers the model: not
/// allowed if other services offer it, otherwise unknown.
Errc ErrorForUnservedModel(const Config& config, const ModelName& model) {
  for (const auto& [name, service] : config.services) {
    for (const auto& offered : service.models) {
      if (offered.model == model) return Errc::kNotAllowed;
    }
  }
  return Errc::kUnknownModel;
}

bool OffersModel(const Service& service, const ModelName& model) {
  return service.kind == TargetKind::kEngine &&
         std::any_of(service.models.begin(), service.models.end(),
                     [&model](const auto& m) { return m.model == model; });
}

/// Finds the account of a request. `config` may be null: no key is known yet.
Errc Identify(const Config* config, const http::Fields& fields,
              const Account*& account) {
  const Credentials credentials = http::ReadCredentials(fields, kBearerScheme);
  const bool is_key = credentials.form == CredentialsForm::kKey;
  if (is_key && config == nullptr) return Errc::kNoConfiguration;
  account = is_key ? FindAccount(*config, credentials.key) : nullptr;
  return CheckCredentials(credentials, account != nullptr, KeyNeed::kRequired);
}

/// Finds the service that the caller names, or otherwise the first service with
/// the model that the account may use.
Errc FindService(const Config& config, const Account& account,
                 const std::string& service_name, const ModelName& model,
                 const Service*& out) {
  if (!service_name.empty()) {
    const auto at = config.services.find(ServiceName{service_name});
    if (at == config.services.end()) return Errc::kUnknownService;
    if (!OffersModel(at->second, model)) return Errc::kUnknownModel;
    if (!MayUse(account, at->first, model)) return Errc::kNotAllowed;
    out = &at->second;
    return Errc::kOk;
  }
  for (const auto& [name, service] : config.services) {
    if (!OffersModel(service, model) || !MayUse(account, name, model)) continue;
    out = &service;
    return Errc::kOk;
  }
  return ErrorForUnservedModel(config, model);
}

Errc Malformed(Failure& failure, const char* field) {
  failure.field = field;
  return Errc::kMalformedRequest;
}

/// Reads whether the request is repeatable, its urgency and its idempotency
/// key.
Errc FillRequestOptions(Call& call, const http::Fields& fields,
                        const Service& service, bool repeatable,
                        Failure& failure) {
  const auto flag = FlagHeader(fields, "x-repeatable");
  if (!flag.ok) return Malformed(failure, "x-repeatable");
  call.info.repeatable = flag.value.value_or(repeatable);
  const auto urgency = UrgencyHeader(fields, "x-urgency");
  if (!urgency.ok) return Malformed(failure, "x-urgency");
  call.info.urgency =
      std::min(service.urgency, urgency.value.value_or(service.urgency));
  call.idempotency_key = http::FieldValue(fields, "idempotency-key");
  if (call.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Malformed(failure, "idempotency-key");
  }
  if (!call.info.repeatable && call.idempotency_key.empty()) {
    return Errc::kIdempotencyKeyMissing;
  }
  return Errc::kOk;
}

}  // namespace

Route RouteOf(std::string_view path) {
  if (path == "/v1/addresses") return Route::kAddresses;
  if (path == "/v1/completions") return Route::kText;
  if (path == "/v1/chat/completions") return Route::kChat;
  if (path == "/v1/resume") return Route::kResume;
  if (path.substr(0, kPlainServicePrefix.size()) == kPlainServicePrefix)
    return Route::kPlain;
  return Route::kNone;
}

Errc CallerApi::AdmitHead(const http::Request& head) const {
  const Route route = RouteOf(head.path);
  if (route == Route::kNone) return Errc::kNotFound;
  if (!AllowsMethod(route, head.method)) return Errc::kMethodNotAllowed;
  if (route == Route::kAddresses) return Errc::kOk;
  const auto config = deps_.config->current();
  const Account* account = nullptr;
  const Errc code =
      Identify(config ? &config->config : nullptr, head.fields, account);
  if (code != Errc::kOk) return code;
  const auto deadline = NumberHeader(head.fields, "x-deadline-ms");
  if (!deadline.ok || deadline.value == 0) return Errc::kDeadlineInvalid;
  return Errc::kOk;
}

http::Response CallerApi::Error(Errc code) const {
  deps_.metrics->Finished(code);
  LogLine(Severity::kWarning, Event::kRequestRefused).With(code);
  return ErrorResponse(FailureOf(code));
}

void CallerApi::Refuse(const http::ExchangePtr& exchange,
                       const Failure& failure) const {
  deps_.metrics->Finished(failure.code);
  LogLine(Severity::kWarning, Event::kRequestRefused)
      .With(failure.code)
      .With("field", failure.field);
  exchange->Respond(ErrorResponse(failure));
}

void CallerApi::Handle(const http::ExchangePtr& exchange) {
  const auto& request = exchange->request();
  if (RouteOf(request.path) == Route::kAddresses) {
    http::Response response;
    response.body = deps_.addresses(
        FailureDomain{http::QueryValue(request.query, "failure_domain")});
    return exchange->Respond(std::move(response));
  }
  auto call = std::make_shared<Call>();
  call->exchange = exchange;
  call->info.id = {deps_.host, deps_.incarnation, next_sequence_++};
  call->info.arrival = comfreyflow::detail::Now();
  Failure failure;
  const Errc code = Fill(*call, failure);
  if (code != Errc::kOk) {
    Failure response_failure = FailureOf(code);
    response_failure.field = failure.field;
    return Refuse(exchange, response_failure);
  }
  deps_.arrive(std::move(call));
}

Errc CallerApi::Fill(Call& call, Failure& failure) {
  const auto generation = deps_.config->current();
  if (!generation) return Errc::kNoConfiguration;
  const Config& config = generation->config;
  auto& request = call.exchange->request();
  const Account* account = nullptr;
  Errc code = Identify(&config, request.fields, account);
  if (code != Errc::kOk) return code;
  call.info.account = account->name;
  call.info.fingerprint = FingerprintOf(account->name, request.body);
  code = RouteOf(request.path) == Route::kPlain
             ? FillPlain(call, config, *account, failure)
             : FillEngine(call, config, *account, failure);
  call.lease = std::move(request.lease);
  return code;
}

Errc CallerApi::FillEngine(Call& call, const Config& config,
                           const Account& account, Failure& failure) {
  auto& request = call.exchange->request();
  const Route route = RouteOf(request.path);
  auto form =
      route == Route::kChat ? CompletionForm::kChat : CompletionForm::kText;
  if (route == Route::kResume) form = FormOf(request.body);
  auto code =
      ParseCompletion(request.body, form, call.completion, failure.field);
  if (code != Errc::kOk) return code;
  std::string().swap(request.body);
  call.stream = call.completion.stream;
  call.info.model = call.completion.model;
  const Service* service = nullptr;
  const std::string service_name(http::FieldValue(request.fields, "x-service"));
  code = FindService(config, account, service_name, call.info.model, service);
  if (code != Errc::kOk) return code;
  call.info.service = service->name;
  code = FillRequestOptions(call, request.fields, *service, true, failure);
  if (code == Errc::kOk) code = FillDeadline(call, *service);
  if (code == Errc::kOk && route == Route::kResume) code = FillResume(call);
  if (code != Errc::kOk) return code;
  const std::string text = InputText(call.completion);
  call.cache_salt = CacheSalt(account.name, deps_.fleet_key);
  call.info.prompt_tokens = EstimateTokens(call.completion.input_bytes);
  call.info.max_output_tokens = call.completion.max_tokens;
  call.info.prefix = ChainOf(text, call.info.model, call.cache_salt);
  return Errc::kOk;
}

Errc CallerApi::FillPlain(Call& call, const Config& config,
                          const Account& account, Failure& failure) {
  auto& request = call.exchange->request();
  const std::string service_path =
      request.path.substr(kPlainServicePrefix.size());
  const auto slash = service_path.find('/');
  const ServiceName name{service_path.substr(0, slash)};
  const auto at = config.services.find(name);
  if (at == config.services.end()) return Errc::kUnknownService;
  const Service& service = at->second;
  if (service.kind != TargetKind::kPlain) return Errc::kUnknownService;
  if (!MayUse(account, name, {})) return Errc::kNotAllowed;
  call.kind = TargetKind::kPlain;
  call.info.service = name;
  auto code = FillRequestOptions(call, request.fields, service,
                                 service.repeatable, failure);
  if (code == Errc::kOk) code = FillDeadline(call, service);
  if (code != Errc::kOk) return code;
  call.info.prompt_tokens = 1;
  call.plain.method = request.method;
  call.plain.path =
      slash == std::string::npos ? "/" : service_path.substr(slash);
  call.plain.query = request.query;
  call.plain.fields = request.fields;
  call.plain.body = std::move(request.body);
  return Errc::kOk;
}

Errc CallerApi::FillDeadline(Call& call, const Service& service) const {
  const auto& fields = call.exchange->request().fields;
  const auto header = NumberHeader(fields, "x-deadline-ms");
  if (!header.ok) return Errc::kDeadlineInvalid;
  Duration time_limit = service.deadline;
  if (header.value) {
    const auto max_ms =
        std::chrono::duration_cast<milliseconds>(deps_.max_deadline);
    if (*header.value == 0 ||
        *header.value > static_cast<std::uint64_t>(max_ms.count())) {
      return Errc::kDeadlineInvalid;
    }
    time_limit = milliseconds(*header.value);
  }
  call.info.deadline = call.info.arrival + time_limit;
  return Errc::kOk;
}

Errc CallerApi::FillResume(Call& call) const {
  if (!call.info.repeatable) return Errc::kResumeTokenInvalid;
  const auto& fields = call.exchange->request().fields;
  const auto offset = NumberHeader(fields, "x-resume-offset");
  if (!offset.ok || !offset.value) return Errc::kResumeTokenInvalid;
  const auto now = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  ResumeToken token;
  const auto error = VerifyResumeToken(
      std::string(http::FieldValue(fields, "x-resume-token")), deps_.fleet_key,
      call.info.account, call.info.fingerprint, now, token);
  if (error) return ToErrc(error);
  call.resume = ResumePoint{token.attempt, token.target, *offset.value};
  call.stream = true;
  return Errc::kOk;
}

}  // namespace comfreyflow::node
