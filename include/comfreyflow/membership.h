/// Failure detection among hosts: SWIM-style probing over datagrams. A member
/// that does not answer is suspected before it is declared dead. The datagrams
/// also carry other small facts, within a bounded number of bytes.
///
/// In place of SWIM's refutation counter, each claim carries the age of its
/// evidence: a member seen after the start of a suspicion is alive. Therefore
/// the two halves of a healed partition agree after one exchange of claims, and
/// no member has to learn which state others consider it to be in.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/store-version.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

const char* ToString(MemberState state);

/// Properties of a host that are fixed for one incarnation, which is one run of
/// its process.
struct HostRecord {
  HostName name;
  Incarnation incarnation;
  FailureDomain failure_domain;
  std::string gossip;            ///< `ip:port` for membership datagrams.
  std::string peers;             ///< `ip:port` for calls from other hosts.
  std::string callers;           ///< `ip:port` for callers.
  std::uint32_t capacity = 100;  ///< Processor share, in hundredths of a core.
  bool operator==(const HostRecord&) const = default;
};

/// Compact identifier of one incarnation of a host: a 32-bit hash.
struct MemberId {
  std::uint32_t value = 0;
  auto operator<=>(const MemberId&) const = default;
};
MemberId IdOf(const HostName& name, Incarnation incarnation);

/// Number of steps of `HostFacts::load`; the last step means that the host has
/// no capacity left.
inline constexpr std::uint8_t kLoadSteps = 32;

/// What a host reports about itself, as of the time it was last seen.
struct HostFacts {
  std::uint64_t generation = 0;  ///< Configuration in force; 0 if none.
  std::uint8_t load = 0;         ///< 0 to `kLoadSteps` - 1.
  bool draining = false;
  bool detached = false;  ///< The platform's store is unreachable for it.
  /// At some time since its start, the host was detached while most others were
  /// not. Hosts for which this is false are preferred when duties are assigned.
  bool returned = false;
  /// The host has no configuration or no targets that it may use, so that it
  /// can't assign targets to requests. Hosts of older builds don't tell.
  bool unready = false;
  bool operator==(const HostFacts&) const = default;
};

/// Whether the change affects which duties the host can take for others, and so
/// has to reach peers soon.
bool ChangesDuties(const HostFacts& before, const HostFacts& after);

/// Identifies the configuration in force on the sender.
struct ConfigMark {
  std::uint64_t generation = 0;
  std::uint64_t hash = 0;  ///< First 8 bytes of the document's digest.
  bool operator==(const ConfigMark&) const = default;
};

/// What one host reports about another. `age` is the time since the member was
/// last seen if it is alive, and else the time since its state began; a dead
/// member's state counts from the start of the suspicion.
struct MemberClaim {
  MemberId id;
  MemberState state = MemberState::kAlive;
  Duration age{};
  HostFacts facts;
};

/// Unit of the ages in encoded claims; ages are rounded up.
inline constexpr Duration kAgeUnit = std::chrono::milliseconds(20);

/// Reports that a target accepts no new work, or that it accepts work again
/// from a higher version on. Hosts pass marks on to each other by gossip.
struct TargetMark {
  TargetName target;
  /// Era 0: the era in which the receiver knows the store.
  StoreVersion version;
  bool closed = true;
  /// The start (run) of the target that has announced that it is leaving; the
  /// mark then applies to any version of the target's entry. If 0, the mark
  /// applies to entries up to `version`.
  std::uint64_t start = 0;
  /// The start that wrote the entry, and the number of its report; 0: unknown.
  /// They order entries of different eras of the store.
  std::uint64_t entry_born = 0;
  std::uint64_t entry_report = 0;
  bool operator==(const TargetMark&) const = default;
};

/// The failure domains that operators have taken out of service, as of one
/// version of the store.
struct EvacuationState {
  StoreVersion version;
  std::set<FailureDomain> domains;
  /// More domains are evacuated than these, as not all fit into a datagram.
  bool is_partial = false;
  bool operator==(const EvacuationState&) const = default;
};

/// The fingerprint of a request suspected of crashing targets.
struct SuspectMark {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  bool operator==(const SuspectMark&) const = default;
};

enum class DatagramKind : std::uint8_t {
  kPing,         ///< Requests an answer.
  kAnswer,       ///< Answers a ping, requests records or carries them.
  kPingRequest,  ///< Requests that the receiver ping `subject`.
  kLeave,        ///< The sender is stopping.
};

struct Datagram {
  DatagramKind kind = DatagramKind::kPing;
  MemberId sender;
  std::uint64_t sequence = 0;  ///< Increases with each datagram of the sender.
  MemberId subject;            ///< The member to ping; for ping requests only.
  HostFacts facts;
  ConfigMark config;
  std::vector<MemberClaim> claims;
  std::vector<HostRecord> records;  ///< May include the sender's own.
  std::vector<MemberId> wanted;     ///< Members whose record the sender lacks.
  std::vector<TargetMark> targets;
  std::vector<SuspectMark> suspects;
  std::uint64_t store_era = 0;  ///< As the sender knows it; 0: unknown.
  /// As the sender knows them; absent if it does not follow evacuations.
  std::optional<EvacuationState> evacuations = {};
};

/// Upper bound for the size of the datagram once it is encoded and signed.
std::size_t SizeBound(const Datagram& datagram);

struct SendDatagram {
  std::string to;  ///< `ip:port`
  Datagram datagram;
};

struct MemberChanged {
  HostRecord record;
  MemberState state = MemberState::kAlive;
};

/// A peer has a configuration in force that differs from this host's.
struct ConfigAnnounced {
  HostName host;
  ConfigMark config;
};

/// A peer knows a later era of the platform's store than this host.
struct StoreEraAnnounced {
  HostName host;
  std::uint64_t era = 0;
};

/// A peer knows a later state of the evacuations than this host.
struct EvacuationsAnnounced {
  HostName host;
  EvacuationState state;
};

using MembershipEvent =
    std::variant<MemberChanged, ConfigAnnounced, TargetMark, SuspectMark,
                 StoreEraAnnounced, EvacuationsAnnounced>;

struct MembershipOutput {
  std::vector<SendDatagram> datagrams;
  std::vector<MembershipEvent> events;
};

struct Member {
  HostRecord record;
  MemberState state = MemberState::kAlive;
  Time last_seen;  ///< Latest time at which it is known to have been alive.
  /// When it entered its present state; for a dead member, when the suspicion
  /// that led to its death began.
  Time state_since;
  HostFacts facts;
  MemberId id;
};

/// A host on the platform's list, which may be out of date.
struct ListedHost {
  HostName name;
  std::string gossip;
  bool leaving = false;
};

struct MembershipSettings {
  HostRecord self;
  std::vector<std::string> seeds;  ///< `ip:port` for datagrams.
  std::uint64_t seed = 0;          ///< Seed of the random number generator.
};

class Membership {
 public:
  Membership(MembershipSettings settings, Time now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Must be called every `kMembershipTick`. A call more than one second
  /// after the previous one means that this host was paused: open probes are
  /// dropped and suspected members get their full suspicion time again.
  MembershipOutput Tick(Time now);
  /// Processes a received datagram, whose signature the caller has verified.
  /// `from` is the source address, `ip:port`.
  MembershipOutput Handle(const Datagram& datagram, const std::string& from,
                          Time now);
  /// Notifies peers that this host is stopping; the last call before the exit.
  MembershipOutput Leave(Time now);

  void SetFacts(const HostFacts& facts);
  void SetConfig(const ConfigMark& config);
  void SetStoreEra(std::uint64_t era);
  void SetEvacuations(const std::optional<EvacuationState>& state);
  /// Hosts that read the store for all; each datagram tells of one of them.
  void SetStoreReaders(std::set<HostName> readers);
  void SetPlatformList(std::vector<ListedHost> hosts);
  /// These two pass a mark on to the other hosts.
  void ShareTarget(const TargetMark& mark);
  void ShareSuspect(const SuspectMark& mark);

  /// All known members, each in its latest incarnation, including this host.
  const std::map<HostName, Member>& members() const;
  /// Alive and suspect members, including this host, ordered by name.
  std::vector<HostName> Live() const;
  /// Live members that may take on new duties: not draining, and ready unless
  /// none is.
  std::vector<HostName> Serving() const;
  std::uint64_t datagrams_sent() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

inline constexpr Duration kMembershipTick = std::chrono::milliseconds(100);

/// Time from the suspicion of a member until it is declared dead, in a view of
/// `hosts` live hosts.
Duration SuspicionTime(std::size_t hosts);

}  // namespace comfreyflow
