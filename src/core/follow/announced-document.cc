// Waits for the store, then asks a peer.
#include "comfreyflow/announced-document.h"

namespace comfreyflow {

void AnnouncedDocument::OnAnnouncement(std::uint64_t generation,
                                       const HostName& host,
                                       std::uint64_t in_force, Time now) {
  if (generation <= in_force) return;
  if (awaited_ <= in_force) {
    awaited_ = generation;
    since_ = now;
  }
  if (generation < latest_) return;
  latest_ = generation;
  host_ = host;
}

std::optional<HostName> AnnouncedDocument::PeerToAsk(std::uint64_t in_force,
                                                     bool store_reachable,
                                                     Time now) const {
  if (latest_ <= in_force) return std::nullopt;
  const bool waits = store_reachable && now - since_ < patience_;
  return waits ? std::nullopt : std::optional(host_);
}

}  // namespace comfreyflow
