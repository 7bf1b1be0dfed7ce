/// Text form of traces: one JSON object a line, the fleet's first.
#pragma once

#include <boost/json.hpp>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <string>

#include "core/replay/trace.h"

namespace comfreyflow::replay {

namespace json = boost::json;

inline std::int64_t Micros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

inline Duration MicrosOf(const json::object& object, const char* name,
                         Duration fallback) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr) return fallback;
  return std::chrono::microseconds(found->to_number<std::int64_t>());
}

template <class Number>
Number NumberOf(const json::object& object, const char* name, Number fallback) {
  const json::value* found = object.if_contains(name);
  return found == nullptr ? fallback : found->to_number<Number>();
}

inline std::string TextOf(const json::object& object, const char* name) {
  return json::value_to<std::string>(object.at(name));
}

inline json::object ToJson(const EngineSettings& engine) {
  return {{"kv_tokens", engine.kv_tokens},
          {"max_running", engine.max_running},
          {"chunk_tokens", engine.chunk_tokens},
          {"iteration_us", Micros(engine.iteration)},
          {"prefill_token_us", Micros(engine.prefill_token)},
          {"decode_request_us", Micros(engine.decode_request)},
          {"honours_priority", engine.honours_priority}};
}

inline EngineSettings EngineFrom(const json::object& object) {
  EngineSettings out;
  out.kv_tokens = NumberOf(object, "kv_tokens", out.kv_tokens);
  out.max_running = NumberOf(object, "max_running", out.max_running);
  out.chunk_tokens = NumberOf(object, "chunk_tokens", out.chunk_tokens);
  out.iteration = MicrosOf(object, "iteration_us", out.iteration);
  out.prefill_token = MicrosOf(object, "prefill_token_us", out.prefill_token);
  out.decode_request =
      MicrosOf(object, "decode_request_us", out.decode_request);
  if (const auto* honours = object.if_contains("honours_priority")) {
    out.honours_priority = honours->as_bool();
  }
  return out;
}

inline json::object ToJson(const FleetSetup& fleet) {
  json::array services;
  for (const ServiceSetup& service : fleet.services) {
    services.push_back(
        {{"service", service.service.value}, {"engines", service.engines}});
  }
  json::array accounts;
  for (const AccountSetup& account : fleet.accounts) {
    accounts.push_back({{"account", account.account.value},
                        {"weight", account.weight},
                        {"tokens_per_second", account.limit.tokens_per_second},
                        {"burst_tokens", account.limit.burst_tokens}});
  }
  json::array losses;
  for (const EngineLoss& loss : fleet.losses) {
    losses.push_back({{"at_us", Micros(loss.at)}, {"engine", loss.engine}});
  }
  return {{"fleet", fleet.name},
          {"seed", fleet.seed},
          {"hosts", fleet.hosts},
          {"failure_domains", fleet.failure_domains},
          {"hop_same_us", Micros(fleet.hop_same)},
          {"hop_other_us", Micros(fleet.hop_other)},
          {"hop_client_us", Micros(fleet.hop_client)},
          {"report_period_us", Micros(fleet.report_period)},
          {"cache_events", fleet.cache_events},
          {"measure_from_us", Micros(fleet.measure_from)},
          {"services", services},
          {"accounts", accounts},
          {"losses", losses},
          {"engine", ToJson(fleet.engine)}};
}

inline FleetSetup FleetFrom(const json::object& object) {
  FleetSetup out;
  out.name = TextOf(object, "fleet");
  out.seed = NumberOf(object, "seed", out.seed);
  out.hosts = NumberOf(object, "hosts", out.hosts);
  out.failure_domains =
      NumberOf(object, "failure_domains", out.failure_domains);
  out.hop_same = MicrosOf(object, "hop_same_us", out.hop_same);
  out.hop_other = MicrosOf(object, "hop_other_us", out.hop_other);
  out.hop_client = MicrosOf(object, "hop_client_us", out.hop_client);
  out.report_period = MicrosOf(object, "report_period_us", out.report_period);
  out.cache_events = object.at("cache_events").as_bool();
  out.measure_from = MicrosOf(object, "measure_from_us", out.measure_from);
  for (const json::value& item : object.at("services").as_array()) {
    const json::object& service = item.as_object();
    out.services.push_back(
        {{TextOf(service, "service")}, NumberOf(service, "engines", 0U)});
  }
  for (const json::value& item : object.at("accounts").as_array()) {
    const json::object& account = item.as_object();
    AccountSetup setup{{TextOf(account, "account")}};
    setup.weight = NumberOf(account, "weight", 1.0);
    setup.limit.tokens_per_second = NumberOf(account, "tokens_per_second", 0.0);
    setup.limit.burst_tokens = NumberOf(account, "burst_tokens", 0.0);
    out.accounts.push_back(setup);
  }
  for (const json::value& item : object.at("losses").as_array()) {
    const json::object& loss = item.as_object();
    out.losses.push_back(
        {MicrosOf(loss, "at_us", {}), NumberOf(loss, "engine", 0U)});
  }
  out.engine = EngineFrom(object.at("engine").as_object());
  return out;
}

inline json::object ToJson(const TraceRequest& request) {
  json::object out{{"at_us", Micros(request.at)},
                   {"account", request.account.value},
                   {"service", request.service.value},
                   {"urgency", static_cast<int>(request.urgency)},
                   {"prompt", request.prompt_tokens},
                   {"output", request.output_tokens},
                   {"max_output", request.max_output_tokens},
                   {"group", request.prefix_group},
                   {"shared", request.shared_tokens},
                   {"deadline_us", Micros(request.deadline)}};
  if (!request.repeatable) out["repeatable"] = false;
  if (request.flood) out["flood"] = true;
  return out;
}

inline TraceRequest RequestFrom(const json::object& object) {
  TraceRequest out;
  out.at = MicrosOf(object, "at_us", {});
  out.account = {TextOf(object, "account")};
  out.service = {TextOf(object, "service")};
  out.urgency = static_cast<Urgency>(NumberOf(object, "urgency", 1));
  out.prompt_tokens = NumberOf(object, "prompt", 0U);
  out.output_tokens = NumberOf(object, "output", 0U);
  out.max_output_tokens = NumberOf(object, "max_output", 0U);
  out.prefix_group = NumberOf(object, "group", 0U);
  out.shared_tokens = NumberOf(object, "shared", 0U);
  out.deadline = MicrosOf(object, "deadline_us", {});
  out.repeatable = !object.contains("repeatable");
  out.flood = object.contains("flood");
  return out;
}

inline void Write(std::ostream& stream, const Trace& trace) {
  stream << json::serialize(ToJson(trace.fleet)) << '\n';
  for (const TraceRequest& request : trace.requests) {
    stream << json::serialize(ToJson(request)) << '\n';
  }
}

/// Reads a whole trace; a line of another shape throws `std::exception`.
inline Trace Read(std::istream& stream) {
  Trace trace;
  std::string line;
  if (!std::getline(stream, line)) throw std::runtime_error("empty trace");
  trace.fleet = FleetFrom(json::parse(line).as_object());
  while (std::getline(stream, line)) {
    trace.requests.push_back(RequestFrom(json::parse(line).as_object()));
  }
  return trace;
}

}  // namespace comfreyflow::replay
