// Decides from failed connections which targets a host does not reach.
#include "comfreyflow/target-reach.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// A failed connection is evidence for this long. Probes end a belief sooner.
constexpr Duration kEvidenceLife = std::chrono::seconds(5);
/// Targets to which connections must fail before the path is held for the
/// cause.
constexpr std::size_t kTargetsForPath = 2;
constexpr Duration kProbePeriod = milliseconds(300);

}  // namespace

bool TargetReach::RecordReached(const ServiceName& service,
                                const std::string& address, Time now) {
  Service& known = services_[service];
  // The path failed, not the targets: they need not be probed one by one.
  const bool is_path_back = IsServiceOutOfReach(service, now);
  known.reached_at = now;
  known.failed_at.erase(address);
  if (is_path_back) known.failed_at.clear();
  known.is_out_of_reach = false;
  return is_path_back;
}

bool TargetReach::RecordFailed(const ServiceName& service,
                               const std::string& address, Time now) {
  Service& known = services_[service];
  std::erase_if(known.failed_at, [now](const auto& entry) {
    return now - entry.second > kEvidenceLife;
  });
  known.failed_at[address] = now;
  const bool before =
      known.is_out_of_reach && IsServiceOutOfReach(service, now);
  // Only one target is tried at a time while the service is out of reach.
  if (before) {
    for (auto& [other, failed_at] : known.failed_at) failed_at = now;
  }
  known.is_out_of_reach = IsServiceOutOfReach(service, now);
  return known.is_out_of_reach && !before;
}

bool TargetReach::IsOutOfReach(const ServiceName& service,
                               const std::string& address, Time now) const {
  const auto at = services_.find(service);
  if (at == services_.end()) return false;
  const auto failed = at->second.failed_at.find(address);
  const bool is_failing = failed != at->second.failed_at.end() &&
                          now - failed->second <= kEvidenceLife;
  return is_failing || IsServiceOutOfReach(service, now);
}

bool TargetReach::IsServiceOutOfReach(const ServiceName& service,
                                      Time now) const {
  const auto at = services_.find(service);
  if (at == services_.end()) return false;
  const Service& known = at->second;
  const auto since_reached = std::count_if(
      known.failed_at.begin(), known.failed_at.end(), [&](const auto& entry) {
        return now - entry.second <= kEvidenceLife &&
               entry.second >= known.reached_at;
      });
  return static_cast<std::size_t>(since_reached) >= kTargetsForPath;
}

bool TargetReach::TakeProbe(const ServiceName& service, Time now) {
  Service& known = services_[service];
  if (now - known.probed_at < kProbePeriod) return false;
  known.probed_at = now;
  return true;
}

Time TargetReach::reached_at(const ServiceName& service) const {
  const auto at = services_.find(service);
  return at == services_.end() ? Time() : at->second.reached_at;
}

std::size_t TargetReach::failing(const ServiceName& service, Time now) const {
  const auto at = services_.find(service);
  if (at == services_.end()) return 0;
  const auto& failed_at = at->second.failed_at;
  return static_cast<std::size_t>(std::count_if(
      failed_at.begin(), failed_at.end(),
      [now](const auto& e) { return now - e.second <= kEvidenceLife; }));
}

std::size_t TargetReach::services_out_of_reach(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(services_.begin(), services_.end(), [&](const auto& entry) {
        return IsServiceOutOfReach(entry.first, now);
      }));
}

}  // namespace comfreyflow
