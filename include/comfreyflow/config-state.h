/// State machines for the distribution and the update of the configuration.
///
/// A few hosts of each failure domain, the watchers, get new documents from the
/// store by long polling. The other hosts fetch them from peers that announce a
/// newer generation, and read the store seldom. A document is "in force" on a
/// host that uses it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/entry.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/membership.h"

namespace comfreyflow {

/// A document and its version in the store, which serves as its generation.
struct StoredConfig {
  std::uint64_t generation = 0;
  std::string text;
};

// ---- Events ---------------------------------------------------------------

/// A read or a watch of the store returned this document.
struct StoreDocumentReceived {
  StoredConfig document;
};
/// The store answered and has no newer document.
struct StoreUnchanged {};
/// A read or a watch of the store failed or timed out.
struct StoreFailed {};
/// The watch ended. Its result is reported by a separate event before this one.
struct WatchEnded {};
/// A peer announced the configuration that it has in force, see
/// `ConfigAnnounced`.
struct PeerConfigAnnounced {
  HostName host;
  ConfigMark config;
};
/// The peer left the fleet or was declared dead by the membership.
struct PeerRemoved {
  HostName host;
};
/// A peer answered a `FetchConfig` with this document.
struct PeerDocumentReceived {
  HostName host;
  StoredConfig document;
};
/// A `FetchConfig` to this peer failed.
struct PeerFetchFailed {
  HostName host;
};
/// The store accepted a document that an operator sent to this host.
struct ConfigUpdateAccepted {
  StoredConfig document;
};
/// The properties of the membership view that matter to the configuration.
struct MembershipViewReceived {
  bool has_quorum = false;      ///< `HasQuorum` of the view.
  std::size_t domain_rank = 0;  ///< `RankInDomain` of this host.
};
/// Sent every `kConfigTick`.
struct ConfigTick {};

using ConfigEvent =
    std::variant<StoreDocumentReceived, StoreUnchanged, StoreFailed, WatchEnded,
                 PeerConfigAnnounced, PeerRemoved, PeerDocumentReceived,
                 PeerFetchFailed, ConfigUpdateAccepted, MembershipViewReceived,
                 ConfigTick>;

// ---- Commands -------------------------------------------------------------

/// Put this document in force and pass its mark to `Membership::SetConfig`.
struct ApplyConfig {
  std::uint64_t generation = 0;
  Digest hash;
  std::shared_ptr<const Config> config;
};
/// Read the document from the store.
struct ReadStoredConfig {};
/// Wait up to `kWatchTime` for a version in the store newer than `since`.
struct WatchStoredConfig {
  std::uint64_t since = 0;
};
/// Request the document from a peer that announced this generation.
struct FetchConfig {
  HostName from;
  std::uint64_t generation = 0;
};
/// A document from the store or a peer is invalid and was not applied.
struct ConfigRejected {
  std::uint64_t generation = 0;
  std::vector<Problem> problems;
};

using ConfigCommand =
    std::variant<ApplyConfig, ReadStoredConfig, WatchStoredConfig, FetchConfig,
                 ConfigRejected, StopAdmitting, ResumeAdmitting>;
using ConfigCommands = std::vector<ConfigCommand>;

/// Keeps the configuration of one host current and stops admission when it may
/// be outdated.
///
/// Invariants: the generation in force never decreases. Requests are admitted
/// only with a configuration in force, and at most `kMaxUnconfirmedTime` after
/// the host last confirmed that the configuration is current. An answer of the
/// store confirms it, and so does a quorum in the membership view.
class ConfigState {
 public:
  ConfigState(std::uint64_t seed, Time now);
  ConfigCommands Handle(const ConfigEvent& event, Time now);

  std::uint64_t generation() const { return generation_; }
  const Digest& hash() const { return hash_; }
  /// The text of the document in force, for peers that fetch it.
  const std::string& text() const { return text_; }
  bool admitting() const { return stop_reason_ == Errc::kOk; }
  /// Why no requests are admitted, or `kOk` if they are.
  Errc reason() const { return stop_reason_; }
  bool watching() const { return watching_; }

 private:
  /// A valid document.
  struct ParsedDocument {
    StoredConfig document;
    std::shared_ptr<const Config> config;
  };

  void On(const StoreDocumentReceived& event, Time now, ConfigCommands& out);
  void On(const StoreUnchanged& event, Time now, ConfigCommands& out);
  void On(const StoreFailed& event, Time now, ConfigCommands& out);
  void On(const WatchEnded& event, Time now, ConfigCommands& out);
  void On(const PeerConfigAnnounced& event, Time now, ConfigCommands& out);
  void On(const PeerRemoved& event, Time now, ConfigCommands& out);
  void On(const PeerDocumentReceived& event, Time now, ConfigCommands& out);
  void On(const PeerFetchFailed& event, Time now, ConfigCommands& out);
  void On(const ConfigUpdateAccepted& event, Time now, ConfigCommands& out);
  void On(const MembershipViewReceived& event, Time now, ConfigCommands& out);
  void On(const ConfigTick& event, Time now, ConfigCommands& out);
  bool AcceptDocument(const StoredConfig& document, bool from_store, Time now,
                      ConfigCommands& out);
  void Apply(ParsedDocument next, ConfigCommands& out);
  void FetchFromPeer(Time now, ConfigCommands& out);
  void ReadAndWatch(Time now, ConfigCommands& out);
  void UpdateAdmission(Time now, ConfigCommands& out);
  Duration ReadPeriod() const;
  std::uint64_t NewestAnnounced() const;
  bool IsWatcher() const;

  std::mt19937_64 random_;
  std::uint64_t generation_ = 0;
  Digest hash_;
  std::string text_;
  // First document after the start, while a newer one may arrive.
  std::optional<ParsedDocument> pending_;
  // Peers that announced a newer generation than the one in force.
  std::map<HostName, ConfigMark> newer_peers_;
  std::uint64_t highest_rejected_ = 0;  // Highest invalid generation.
  std::optional<HostName> fetching_from_;
  Time fetch_deadline_;
  std::size_t domain_rank_ = 0;
  bool has_quorum_ = false;
  bool watching_ = false;
  bool reading_ = false;
  int store_failures_ = 0;  // Consecutive failed calls to the store.
  Time read_deadline_;
  Time watch_deadline_;
  Time next_read_at_;
  Time next_watch_at_;
  std::optional<Time> first_peer_at_;  // First announcement of a peer.
  Time confirmed_at_;  // Last time the configuration was known to be current.
  // Since when a peer has announced a newer generation than the one in force.
  std::optional<Time> behind_since_;
  Errc stop_reason_ = Errc::kNoConfiguration;
};

/// Number of hosts that watch the store in each failure domain.
inline constexpr std::size_t kWatchersPerDomain = 2;
/// Longest time without a confirmation, or with a newer generation announced by
/// a peer, before the host stops admitting requests.
inline constexpr Duration kMaxUnconfirmedTime = std::chrono::seconds(6);
/// Period of `ConfigTick`.
inline constexpr Duration kConfigTick = std::chrono::milliseconds(100);
/// Maximum wait of one watch (long poll) of the store.
inline constexpr Duration kWatchTime = std::chrono::seconds(10);

/// Whether the live members are more than half of the members that have not
/// left, or exactly half including the first in the order of names. This holds
/// in at most one of two parts of a partitioned fleet.
bool HasQuorum(const std::map<HostName, Member>& members);
/// Number of alive, non-draining hosts of `self`'s failure domain whose names
/// sort before it. The hosts of the lowest ranks are the watchers.
std::size_t RankInDomain(const std::map<HostName, Member>& members,
                         const HostName& self);
/// The mark by which a host announces its configuration to peers.
ConfigMark MarkOf(std::uint64_t generation, const Digest& hash);

// ---- An operator's update -------------------------------------------------

/// The store's answer to the conditional update; `kNoAnswer` leaves it open
/// whether the update took place.
enum class PutReply : std::uint8_t { kDone, kConflict, kNoAnswer };

/// Write the text if the document in the store still has this version.
struct PutConfig {
  std::uint64_t if_version = 0;  ///< 0: only if there is no document.
  std::string text;
};
/// Read the document to find out whether the update took place.
struct ReadBack {};
/// The end of an update. With `kConfigConflict`, `current` is the document of
/// another operator, and `replaced` means that this update may have been in
/// force before that document replaced it.
struct UpdateEnded {
  Errc code = Errc::kOk;
  StoredConfig current;
  bool replaced = false;
};
using UpdateStep = std::variant<PutConfig, ReadBack, UpdateEnded>;

/// One conditional update of the document, based on generation `base`. If the
/// store's answer is lost, the document is read to find out the result.
class ConfigUpdate {
 public:
  ConfigUpdate(std::uint64_t base, std::string text);
  UpdateStep Start() const;
  UpdateStep OnPut(PutReply reply, std::uint64_t version);
  /// `found` has generation 0 if the store has no document.
  UpdateStep OnRead(const StoredConfig& found);
  UpdateStep OnReadFailed();

 private:
  std::uint64_t base_generation_;
  std::string text_;
  bool outcome_unknown_ = false;
  int attempts_ = 0;
};

}  // namespace comfreyflow
