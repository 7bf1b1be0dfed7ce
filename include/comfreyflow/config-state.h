/// How a host comes by the configuration in force and stays current: from the
/// store when it is one of the few watchers of its failure domain, from peers
/// otherwise; and how an operator's update is made and settled.
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

/// A document and the store's version of it, which is its generation.
struct StoredConfig {
  std::uint64_t generation = 0;
  std::string text;
};

// ---- Events ---------------------------------------------------------------

/// A read or a watch gave this document.
struct StoreDocumentReceived {
  StoredConfig document;
};
/// The store answered and has no later document.
struct StoreUnchanged {};
/// A read or a watch failed or was given up.
struct StoreFailed {};
/// The watch ended, whatever its answer, which is told before.
struct WatchEnded {};
/// From `ConfigAnnounced`.
struct PeerConfigAnnounced {
  HostName host;
  ConfigMark config;
};
struct PeerRemoved {
  HostName host;
};
struct PeerDocumentReceived {
  HostName host;
  StoredConfig document;
};
struct PeerFetchFailed {
  HostName host;
};
/// An operator's tool brings a document that the store has accepted.
struct ConfigUpdateAccepted {
  StoredConfig document;
};
/// What the membership's view means for the configuration.
struct MembershipViewReceived {
  bool majority = false;  ///< `HasQuorum` of the view.
  std::size_t rank = 0;   ///< `RankInDomain` of this host.
};
struct ConfigTick {};

using ConfigEvent =
    std::variant<StoreDocumentReceived, StoreUnchanged, StoreFailed, WatchEnded,
                 PeerConfigAnnounced, PeerRemoved, PeerDocumentReceived,
                 PeerFetchFailed, ConfigUpdateAccepted, MembershipViewReceived,
                 ConfigTick>;

// ---- Commands -------------------------------------------------------------

/// Put this document in force; tell `Membership::SetConfig` its mark.
struct ApplyConfig {
  std::uint64_t generation = 0;
  Digest hash;
  std::shared_ptr<const Config> config;
};
struct ReadStoredConfig {};
struct WatchStoredConfig {
  std::uint64_t since = 0;
};
struct FetchConfig {
  HostName from;
  std::uint64_t generation = 0;
};
/// A document in the store or at a peer that is not valid; not applied.
struct ConfigRejected {
  std::uint64_t generation = 0;
  std::vector<Problem> problems;
};

using ConfigCommand =
    std::variant<ApplyConfig, ReadStoredConfig, WatchStoredConfig, FetchConfig,
                 ConfigRejected, StopAdmitting, ResumeAdmitting>;
using ConfigCommands = std::vector<ConfigCommand>;

/// Invariants: the generation in force never falls; nothing is admitted
/// without a configuration, nor for longer than `kCutOffAfter` after this host
/// could last confirm that its configuration is current.
class ConfigState {
 public:
  ConfigState(std::uint64_t seed, Time now);
  ConfigCommands Handle(const ConfigEvent& event, Time now);

  std::uint64_t generation() const { return generation_; }
  const Digest& hash() const { return hash_; }
  /// The text in force, for peers that fetch it.
  const std::string& text() const { return text_; }
  bool admitting() const { return stopped_ == Errc::kOk; }
  /// Why nothing is admitted; `kOk` while it is.
  Errc reason() const { return stopped_; }
  bool watching() const { return watching_; }

 private:
  /// A document that was found valid.
  struct Held {
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
  bool Offer(const StoredConfig& document, bool of_store, Time now,
             ConfigCommands& out);
  void Apply(Held next, ConfigCommands& out);
  void Fetch(Time now, ConfigCommands& out);
  void ReadAndWatch(Time now, ConfigCommands& out);
  void Judge(Time now, ConfigCommands& out);
  Duration ReadPeriod() const;
  std::uint64_t Announced() const;
  bool IsWatcher() const;

  std::mt19937_64 random_;
  std::uint64_t generation_ = 0;
  Digest hash_;
  std::string text_;
  std::optional<Held> held_;  // First document, while others may come.
  std::map<HostName, ConfigMark> ahead_;  // Peers with a later generation.
  std::uint64_t rejected_ = 0;            // Highest generation not valid.
  std::optional<HostName> fetching_;
  Time fetch_until_;
  std::size_t rank_ = 0;
  bool majority_ = false;
  bool watching_ = false;
  bool reading_ = false;
  int failures_ = 0;  // Store calls failed in a row.
  Time read_until_;
  Time watch_until_;
  Time next_read_;
  Time next_watch_;
  std::optional<Time> first_peer_;
  Time confirmed_;
  std::optional<Time> behind_since_;
  Errc stopped_ = Errc::kNoConfiguration;
};

/// Store watchers in each failure domain.
inline constexpr std::size_t kWatchersPerDomain = 2;
inline constexpr Duration kCutOffAfter = std::chrono::seconds(6);
inline constexpr Duration kConfigTick = std::chrono::milliseconds(100);
/// Longest wait that a watch asks of the store.
inline constexpr Duration kWatchTime = std::chrono::seconds(10);

/// Whether the live members are over half of those known, or half with the
/// first in order of name: of two parts of a fleet at most one can say so.
bool HasQuorum(const std::map<HostName, Member>& members);
/// Number of live hosts of `self`'s failure domain before it in order of name.
std::size_t RankInDomain(const std::map<HostName, Member>& members,
                         const HostName& self);
ConfigMark MarkOf(std::uint64_t generation, const Digest& hash);

// ---- An operator's update -------------------------------------------------

/// What the store said of the conditional update.
enum class PutReply : std::uint8_t { kDone, kConflict, kNoAnswer };

struct PutConfig {
  std::uint64_t if_version = 0;  ///< 0: only if there is no document.
  std::string text;
};
struct ReadBack {};
/// The end of an update. With `kConfigConflict`, `current` is the other
/// operator's document; `replaced` says that ours may have been in force
/// between.
struct UpdateEnded {
  Errc code = Errc::kOk;
  StoredConfig current;
  bool replaced = false;
};
using UpdateStep = std::variant<PutConfig, ReadBack, UpdateEnded>;

/// One conditional update against the generation it was made from. A lost
/// answer is settled by reading back.
class ConfigUpdate {
 public:
  ConfigUpdate(std::uint64_t base, std::string text);
  UpdateStep Start() const;
  UpdateStep OnPut(PutReply reply, std::uint64_t version);
  /// `found` has generation 0 when the store has no document.
  UpdateStep OnRead(const StoredConfig& found);
  UpdateStep OnReadFailed();

 private:
  std::uint64_t base_;
  std::string text_;
  bool in_doubt_ = false;
  int tries_ = 0;
};

}  // namespace comfreyflow
