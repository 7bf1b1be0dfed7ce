// Matches requests to routes and services.
#include "comfreyflow/routes.h"

#include <algorithm>

namespace comfreyflow {
namespace {

std::string LowerCase(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return out;
}

std::string_view WithoutPort(std::string_view host) {
  const auto colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

bool LeadsTo(const Route& route, const ServiceName& service) {
  return std::any_of(
      route.services.begin(), route.services.end(),
      [&service](const auto& part) { return part.service == service; });
}

void TakeSmaller(Duration& smallest, Duration value) {
  if (value <= Duration::zero()) return;
  smallest = smallest == Duration::zero() ? value : std::min(smallest, value);
}

}  // namespace

const char* ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

bool Repeatable(const Route& route) {
  if (route.kind == RouteKind::kStream) return route.resumable;
  return route.kind == RouteKind::kSafe;
}

Duration MinDecodeTime(const EngineModel& engine, std::uint32_t prompt_tokens,
                       std::uint32_t output_tokens) {
  const double context_thousands = static_cast<double>(prompt_tokens) / 1000;
  const auto step =
      engine.step + std::chrono::duration_cast<Duration>(
                        engine.step_per_1k_context * context_thousands);
  return step * output_tokens;
}

StreamTerms TermsOf(const std::vector<Route>& routes,
                    const ServiceName& service) {
  StreamTerms terms;
  for (const auto& route : routes) {
    if (route.kind != RouteKind::kStream || !LeadsTo(route, service)) continue;
    TakeSmaller(terms.shortest_objective, route.latency_objective);
    TakeSmaller(terms.smallest_gap, route.max_gap);
  }
  return terms;
}

RouteTable::RouteTable(RouteDocument document)
    : document_(std::move(document)) {
  for (auto& [name, service] : document_.services) {
    service.streams = TermsOf(document_.routes, name);
  }
  for (const auto& route : document_.routes) {
    by_host_[LowerCase(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto found = by_host_.find(LowerCase(WithoutPort(host)));
  if (found == by_host_.end()) return nullptr;
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const KeyHolder* RouteTable::Holder(const std::string& key) const {
  const auto found = document_.keys.find(key);
  return found == document_.keys.end() ? nullptr : &found->second;
}

Identity RouteTable::Identify(const Route& route,
                              const Credentials& credentials) const {
  const KeyHolder* holder = credentials.form == CredentialsForm::kKey
                                ? Holder(credentials.key)
                                : nullptr;
  const bool is_needed = document_.needs_keys && !route.is_public;
  return {CheckCredentials(credentials, holder != nullptr,
                           is_needed ? KeyNeed::kRequired : KeyNeed::kOptional),
          holder};
}

const RoutedService* RouteTable::Service(const ServiceName& name) const {
  const auto found = document_.services.find(name);
  return found == document_.services.end() ? nullptr : &found->second;
}

ServiceName ChooseService(const Route& route, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const auto& weighted : route.services) total += weighted.weight;
  if (total == 0) {
    return route.services.empty() ? ServiceName{}
                                  : route.services.front().service;
  }
  std::uint64_t point = draw % total;
  for (const auto& weighted : route.services) {
    if (point < weighted.weight) return weighted.service;
    point -= weighted.weight;
  }
  return route.services.back().service;
}

}  // namespace comfreyflow
