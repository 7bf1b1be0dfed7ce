/// Decides when a host requests a newer configuration document from a peer that
/// announced it.
///
/// Hundreds of hosts may learn of a change at the same moment. Each host first
/// gives its own watch of the store a short time to deliver the document, so
/// that the few hosts that already have it are not flooded with requests. A
/// host whose watch delivers nothing waits no longer than that.
///
/// The store may be an older copy of itself. A host that starts then reads an
/// earlier document than its peers have in force. It does not serve requests by
/// that one for a limited time, within which it gets the document of a peer.
#pragma once

#include <cstdint>
#include <optional>

#include "comfreyflow/types.h"

namespace comfreyflow {

class AnnouncedDocument {
 public:
  /// `store_wait`: how long the store's watch may take to deliver an announced
  /// document before a peer is asked for it. `spread`: added, different between
  /// hosts.
  explicit AnnouncedDocument(Duration store_wait, Duration spread = {})
      : store_wait_(store_wait), spread_(spread) {}

  /// Records that the peer `host` has the document `generation` in force, while
  /// this host has `in_force`.
  void OnAnnouncement(std::uint64_t generation, const HostName& host,
                      std::uint64_t in_force, Time now);
  /// Whether this host, which started with an earlier document than a peer has
  /// in force, must not serve requests by it yet.
  bool MustNotServe(std::uint64_t in_force, Time now);
  /// The peer to request the document from now, if any. A host that is passive,
  /// and so does not watch the store, waits for the spread only.
  std::optional<HostName> PeerToAsk(std::uint64_t in_force,
                                    bool store_reachable, bool is_passive,
                                    Time now) const;
  std::optional<HostName> PeerToAsk(std::uint64_t in_force,
                                    bool store_reachable, Time now) const {
    return PeerToAsk(in_force, store_reachable, false, now);
  }
  /// How long a host that starts waits for a document that a peer announced.
  static constexpr Duration kMaxStartWait = std::chrono::seconds(3);

 private:
  const Duration store_wait_;
  const Duration spread_;
  std::uint64_t latest_ = 0;  ///< Highest announced generation.
  HostName host_;             ///< The peer that last announced `latest_`.
  /// The generation whose announcement started the current wait, and the time
  /// of that announcement. Newer generations that are announced during the wait
  /// do not extend it.
  std::uint64_t awaited_ = 0;
  Time awaited_since_;
  /// When `MustNotServe` was first called with a document in force.
  std::optional<Time> started_at_;
  bool is_started_ = false;  ///< Documents in force are served from now on.
};

}  // namespace comfreyflow
