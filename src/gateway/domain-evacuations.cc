// Connects the evacuated domains with the store, the peers and the log.
#include "gateway/domain-evacuations.h"

#include <set>
#include <utility>

#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;

}  // namespace

DomainEvacuations::DomainEvacuations(std::string kind,
                                     DomainEvacuationHooks hooks)
    : kind_(std::move(kind)), hooks_(std::move(hooks)) {}

FollowedKind DomainEvacuations::Followed() {
  FollowedKind followed;
  followed.kind = kind_;
  followed.is_told_by_peers = true;
  followed.is_known = [this] { return is_known(); };
  followed.on_listed = [this](const std::vector<PlatformObject>& objects) {
    std::set<FailureDomain> domains;
    for (const auto& object : objects) {
      if (!object.name.empty()) domains.insert({object.name});
    }
    evacuations_.SetList(hooks_.version(), domains, Now());
  };
  // A malformed object without a name evacuates nothing. Targets whose entries
  // name no domain are in the domain of the empty name.
  followed.on_changed = [this](const PlatformObject& object) {
    if (object.name.empty()) return;
    if (object.deleted) {
      evacuations_.Remove({object.name});
    } else {
      evacuations_.Put({object.name});
    }
  };
  followed.on_batch_end = [this] {
    evacuations_.EndBatch(hooks_.version());
    Publish();
  };
  return followed;
}

void DomainEvacuations::OnPeerState(const EvacuationsAnnounced& announced) {
  const bool is_taken = evacuations_.Merge(announced.state, Now());
  Publish(announced.host);
  if (is_taken && announced.state.is_partial) hooks_.is_behind();
}

void DomainEvacuations::Tick(Time now) {
  evacuations_.Tick(now);
  Publish();
}

void DomainEvacuations::Publish(const HostName& host) {
  const auto changes = evacuations_.TakeChanges();
  for (const auto& change : changes) {
    const auto targets = hooks_.targets_in(change.domain);
    const auto version = evacuations_.Shared()->version;
    LogLine line(Severity::kWarning, change.evacuated ? Event::kDomainEvacuated
                                                      : Event::kDomainRestored);
    line.With("failure_domain", change.domain)
        .With("version", version.revision)
        .With("era", version.era);
    if (targets) line.With("targets", std::uint64_t{*targets});
    if (!host.value.empty()) line.With("host", host);
  }
  const bool became_known =
      !std::exchange(was_known_, is_known()) && is_known();
  if (!changes.empty() || became_known) hooks_.changed();
}

node::MetricFamily DomainEvacuations::Metric() const {
  return {"comfreyflow_domains_evacuated",
          "gauge",
          "Failure domains that operators have taken out of service.",
          {{"", static_cast<double>(evacuations_.domains().size())}}};
}

nlohmann::ordered_json DomainEvacuations::Dump() const {
  nlohmann::ordered_json domains = nlohmann::ordered_json::array();
  for (const auto& domain : evacuations_.domains())
    domains.push_back(domain.value);
  return {{"known", is_known()}, {"domains", std::move(domains)}};
}

}  // namespace comfreyflow::gateway
