// Counts requests and retries in a sliding window.
#include "comfreyflow/retry-window.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Parts into which the window is divided.
constexpr int kParts = 20;

Duration PartOf(Duration window) { return window / kParts; }

bool HasLeft(const GrantCount& count, Duration window, Time now) {
  return now - count.begin > window + PartOf(window);
}

std::uint64_t Retries(const std::vector<GrantCount>& counts) {
  std::uint64_t retries = 0;
  for (const auto& count : counts) retries += count.retries;
  return retries;
}

}  // namespace

void GrantHistory::Record(bool is_retry, Time now) {
  Expire(now);
  if (counts_.empty() || now - counts_.back().begin > PartOf(window_)) {
    counts_.push_back({now, 0, 0});
  }
  ++(is_retry ? counts_.back().retries : counts_.back().requests);
}

void GrantHistory::Expire(Time now) {
  while (!counts_.empty() && HasLeft(counts_.front(), window_, now)) {
    counts_.pop_front();
  }
}

void RetryWindow::RecordRequest(const HostName& host, Incarnation incarnation,
                                Time now) {
  granted_.try_emplace({host, incarnation}, limits_.window)
      .first->second.Record(false, now);
}

bool RetryWindow::TakeRetry(const HostName& host, Incarnation incarnation,
                            Time now) {
  if (Left(now) < 1) return false;
  granted_.try_emplace({host, incarnation}, limits_.window)
      .first->second.Record(true, now);
  return true;
}

double RetryWindow::Left(Time now) {
  Expire(now);
  double requests = 0;
  double retries = 0;
  const auto add = [&](const auto& counts) {
    for (const auto& count : counts) {
      requests += count.requests;
      retries += count.retries;
    }
  };
  for (const auto& [host, history] : granted_) add(history.counts());
  for (const auto& [host, counts] : elsewhere_) add(counts);
  const double slack = slack_share_ * (1 - unknown_share_) * limits_.slack;
  return limits_.ratio * requests + slack - retries;
}

std::uint64_t RetryWindow::RetriesElsewhere(Time now) {
  Expire(now);
  std::uint64_t retries = 0;
  for (const auto& [host, counts] : elsewhere_) retries += Retries(counts);
  return retries;
}

void RetryWindow::SetElsewhere(HostGrants grants) {
  elsewhere_[{grants.host, grants.incarnation}] = std::move(grants.counts);
}

void RetryWindow::AddDeparted(HostGrants grants) {
  std::vector<GrantCount>& known =
      elsewhere_[{grants.host, grants.incarnation}];
  if (Retries(grants.counts) > Retries(known)) known = std::move(grants.counts);
}

std::vector<HostGrants> RetryWindow::Departed(
    const std::function<bool(const HostName&, Incarnation)>& has_ended,
    Time now) {
  Expire(now);
  std::map<HostKey, std::vector<GrantCount>> ended;
  const auto add = [&](const HostKey& host, const auto& counts) {
    if (!has_ended(host.first, host.second)) return;
    auto& all = ended[host];
    all.insert(all.end(), counts.begin(), counts.end());
  };
  for (const auto& [host, history] : granted_) add(host, history.counts());
  for (const auto& [host, counts] : elsewhere_) add(host, counts);
  std::vector<HostGrants> out;
  for (auto& [host, counts] : ended) {
    out.push_back({host.first, host.second, std::move(counts)});
  }
  return out;
}

void RetryWindow::Expire(Time now) {
  for (auto& [host, history] : granted_) history.Expire(now);
  std::erase_if(granted_, [](const auto& entry) {
    return entry.second.counts().empty();
  });
  for (auto& [host, counts] : elsewhere_) {
    std::erase_if(counts, [&](const GrantCount& count) {
      return HasLeft(count, limits_.window, now);
    });
  }
  std::erase_if(elsewhere_,
                [](const auto& entry) { return entry.second.empty(); });
}

void GrantLog::Record(const HostName& holder, Incarnation incarnation,
                      bool is_retry, Time now) {
  by_holder_.try_emplace({holder, incarnation}, window_)
      .first->second.Record(is_retry, now);
}

std::vector<GrantCount> GrantLog::GrantedByOthers(const HostName& holder,
                                                  Incarnation incarnation,
                                                  Time now) {
  Expire(now);
  std::vector<GrantCount> out;
  for (const auto& [by, history] : by_holder_) {
    if (by == std::pair(holder, incarnation)) continue;
    out.insert(out.end(), history.counts().begin(), history.counts().end());
  }
  return out;
}

bool GrantLog::has_retries(Time now) {
  Expire(now);
  return std::any_of(
      by_holder_.begin(), by_holder_.end(), [](const auto& entry) {
        const auto& counts = entry.second.counts();
        return std::any_of(counts.begin(), counts.end(),
                           [](const auto& c) { return c.retries > 0; });
      });
}

void GrantLog::Expire(Time now) {
  for (auto& [holder, history] : by_holder_) history.Expire(now);
  std::erase_if(by_holder_, [](const auto& entry) {
    return entry.second.counts().empty();
  });
}

}  // namespace comfreyflow
