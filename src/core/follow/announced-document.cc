// Waits for the store's watch for a limited time, then selects a peer to ask.
#include "comfreyflow/announced-document.h"

namespace comfreyflow {

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

std::optional<HostName> AnnouncedDocument::PeerToAsk(std::uint64_t in_force,
                                                     bool store_reachable,
                                                     Time now) const {
  if (latest_ <= in_force) return std::nullopt;
  const bool waits_for_store =
      store_reachable && now - awaited_since_ < store_wait_;
  return waits_for_store ? std::nullopt : std::optional(host_);
}

}  // namespace comfreyflow
