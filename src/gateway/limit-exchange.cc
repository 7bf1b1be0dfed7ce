// Passes on the limits that targets name.
#include "gateway/limit-exchange.h"

#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

using node::Event;
using node::LogLine;
using node::Severity;

/// A holder sends the limits it knows to all hosts after a change, and at least
/// this often because datagrams may be lost.
constexpr Duration kBroadcastPeriod = std::chrono::seconds(5);
constexpr std::size_t kMaxLimitsPerDatagram = 600;

}  // namespace

void LimitExchange::OnNamed(const ServiceName& service,
                            const PlacedTarget& target, double rate,
                            const std::string& request, Time now) {
  TargetLimits& limits = hooks_.limits(service);
  const auto before = limits.RateOf(target.name, target.born);
  if (limits.RecordLimit(target.name, target.born, rate, now)) {
    OnChanged(service, *limits.ReportOf(target.name, target.born), before, {},
              request);
  }
  ReportToHolder(service, target);
}

void LimitExchange::OnNoneNamed(const ServiceName& service,
                                const PlacedTarget& target, Time sent,
                                const std::string& request, Time now) {
  TargetLimits& limits = hooks_.limits(service);
  const auto before = limits.RateOf(target.name, target.born);
  if (!limits.RecordNoLimit(target.name, target.born, sent, now)) return;
  OnChanged(service, *limits.ReportOf(target.name, target.born), before, {},
            request);
  ReportToHolder(service, target);
}

void LimitExchange::OnReport(const wire::TargetLimitMessage& received,
                             const HostName& host, Time now) {
  const LimitReport& report = received.report;
  TargetLimits& limits = hooks_.limits(received.service);
  const auto before = limits.RateOf(report.target, report.born);
  switch (limits.Merge(report, now)) {
    case TargetLimits::MergeResult::kChanged:
      return OnChanged(received.service, report, before, host, "");
    case TargetLimits::MergeResult::kUnchanged:
      return;
    case TargetLimits::MergeResult::kOutdated:
      hooks_.messages_for(host).limits.push_back(
          {received.service, *limits.ReportOf(report.target, report.born)});
  }
}

void LimitExchange::OnChanged(const ServiceName& service,
                              const LimitReport& report,
                              const std::optional<double>& before,
                              const HostName& host,
                              const std::string& request) {
  services_[service].is_changed = true;
  if (!report.rate && !before) return;
  LogLine line(Severity::kInfo,
               report.rate ? Event::kTargetLimited : Event::kTargetLimitEnded);
  line.With("service", service);
  line.With("target", report.target).With("born", report.born);
  if (!request.empty()) line.With("request", request);
  if (!host.value.empty()) line.With("host", host);
  if (report.rate) line.With("rate", *report.rate);
  if (before) line.With(report.rate ? "before" : "rate", *before);
}

void LimitExchange::ReportToHolder(const ServiceName& service,
                                   const PlacedTarget& target) {
  const HostName holder = hooks_.holder(service);
  if (holder == self_) return;
  const auto report = hooks_.limits(service).ReportOf(target.name, target.born);
  if (report) hooks_.messages_for(holder).limits.push_back({service, *report});
}

std::vector<wire::TargetLimitMessage> LimitExchange::RecentOf(
    const ServiceName& service, Time now) const {
  std::vector<wire::TargetLimitMessage> out;
  const TargetLimits& limits = hooks_.limits(service);
  for (const auto& target : hooks_.listed(service)) {
    const auto report = limits.RecentReportOf(target.name, target.born, now);
    if (report) out.push_back({service, *report});
    if (out.size() >= kMaxLimitsPerDatagram) break;
  }
  return out;
}

void LimitExchange::Send(const std::vector<wire::TargetLimitMessage>& known,
                         const HostName& host) {
  if (host == self_ || known.empty()) return;
  auto& limits = hooks_.messages_for(host).limits;
  limits.insert(limits.end(), known.begin(), known.end());
}

void LimitExchange::SendAll(const ServiceName& service, const HostName& host,
                            Time now) {
  if (sent_.emplace(host, service).second) Send(RecentOf(service, now), host);
}

void LimitExchange::Broadcast(const ServiceName& service, Time now) {
  ServiceState& state = services_[service];
  if (!state.is_changed && now < state.broadcast_at) return;
  state.broadcast_at = now + kBroadcastPeriod;
  state.is_changed = false;
  const auto known = RecentOf(service, now);
  for (const auto& host : hooks_.hosts()) Send(known, host);
}

}  // namespace comfreyflow::gateway
