// Waits for the store's watch for a limited time, then selects a peer to ask.
#include "comfreyflow/announced-document.h"

namespace comfreyflow {
namespace {

/// A host hears from its peers within this time of its start.
constexpr Duration kJoinTime = std::chrono::milliseconds(500);

}  // namespace

void AnnouncedDocument::OnAnnouncement(std::uint64_t generation,
                                       const HostName& host,
                                       std::uint64_t in_force, Time now) {
  if (generation <= in_force) return;
  if (awaited_ <= in_force) {
    awaited_ = generation;
    awaited_since_ = now;
  }
  if (generation < latest_) return;
  latest_ = generation;
  host_ = host;
}

bool AnnouncedDocument::MustNotServe(std::uint64_t in_force, Time now) {
  if (is_started_ || in_force == 0) return false;
  if (!started_at_) started_at_ = now;
  const bool is_behind = latest_ > in_force;
  is_started_ = now - *started_at_ >= (is_behind ? kMaxStartWait : kJoinTime);
  return is_behind && !is_started_;
}

std::optional<HostName> AnnouncedDocument::PeerToAsk(std::uint64_t in_force,
                                                     bool store_reachable,
                                                     bool is_passive,
                                                     Time now) const {
  if (latest_ <= in_force) return std::nullopt;
  const bool is_starting = started_at_ && !is_started_;
  const Duration wait = is_passive ? spread_ : store_wait_ + spread_;
  const bool waits_for_store =
      store_reachable && !is_starting && now - awaited_since_ < wait;
  return waits_for_store ? std::nullopt : std::optional(host_);
}

}  // namespace comfreyflow
