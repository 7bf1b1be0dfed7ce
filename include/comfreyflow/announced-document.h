/// When a host asks a peer for a later configuration that peers announced.
///
/// Load it answers: hundreds of hosts that all hear of a change at once. Each
/// waits a little for the store's own word, so that the first hosts that have
/// the document are not asked by all others; a host whose watch tells nothing
/// does not wait for more than that.
#pragma once

#include <cstdint>
#include <optional>

#include "comfreyflow/types.h"

namespace comfreyflow {

class AnnouncedDocument {
 public:
  /// `patience`: for the store's own word.
  explicit AnnouncedDocument(Duration patience) : patience_(patience) {}

  /// The peer has that generation in force, and this host `in_force`.
  void OnAnnouncement(std::uint64_t generation, const HostName& host,
                      std::uint64_t in_force, Time now);
  /// The peer to ask now, if any.
  std::optional<HostName> PeerToAsk(std::uint64_t in_force,
                                    bool store_reachable, Time now) const;

 private:
  const Duration patience_;
  std::uint64_t latest_ = 0;  ///< Announced.
  HostName host_;             ///< That announced it.
  /// Generation that the wait is for, and since when: later ones that are
  /// announced meanwhile do not make it longer.
  std::uint64_t awaited_ = 0;
  Time since_;
};

}  // namespace comfreyflow
