/// Which hosts are alive: SWIM-style probing over datagrams, with suspicion
/// before death, and small facts carried along in bounded bytes.
///
/// In place of SWIM's refutation counter each claim carries the age of its
/// evidence: a member heard of after a suspicion began is alive. So two halves
/// that meet again agree after one exchange of claims, and no member has to
/// learn what others think of it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

const char* ToString(MemberState state);

/// What a host is, fixed for one incarnation.
struct HostRecord {
  HostName name;
  Incarnation incarnation;
  FailureDomain failure_domain;
  std::string gossip;            ///< `ip:port` for datagrams.
  std::string peers;             ///< `ip:port` for calls of other hosts.
  std::string callers;           ///< `ip:port` for callers.
  std::uint32_t capacity = 100;  ///< Processor share, in hundredths of a core.
  bool operator==(const HostRecord&) const = default;
};

/// Names one incarnation of a host in few bytes.
struct MemberId {
  std::uint32_t value = 0;
  auto operator<=>(const MemberId&) const = default;
};
MemberId IdOf(const HostName& name, Incarnation incarnation);

/// Steps of `HostFacts::load`; the last one stands for a host without room.
inline constexpr std::uint8_t kLoadSteps = 32;

/// What a host says of itself, as of its last evidence.
struct HostFacts {
  std::uint64_t generation = 0;  ///< Configuration in force; 0: none.
  std::uint8_t load = 0;         ///< 0 to `kLoadSteps` - 1.
  bool draining = false;
  bool detached = false;  ///< Does not reach the platform's store.
  /// It was, while others were not; those are asked for duties before it.
  bool returned = false;
  bool operator==(const HostFacts&) const = default;
};

/// Whether the change has to be known soon: it moves what the host does for
/// others.
bool ChangesDuties(const HostFacts& before, const HostFacts& after);

/// The configuration in force on the sender.
struct ConfigMark {
  std::uint64_t generation = 0;
  std::uint64_t hash = 0;  ///< First 8 bytes of the document's digest.
  bool operator==(const ConfigMark&) const = default;
};

/// One host's word on another. `age` is that of the last evidence for a live
/// member and of the beginning of the suspicion for the others.
struct MemberClaim {
  MemberId id;
  MemberState state = MemberState::kAlive;
  Duration age{};
  HostFacts facts;
};

/// Claims count ages in this unit, rounded up.
inline constexpr Duration kAgeUnit = std::chrono::milliseconds(20);

/// A target that takes no new work, or does again at a higher version.
struct TargetMark {
  TargetName target;
  std::uint64_t version = 0;
  bool closed = true;
  /// The start that leaves by the target's own word, at any version of its
  /// entry; 0: the mark stands for entries up to `version`.
  std::uint64_t start = 0;
  bool operator==(const TargetMark&) const = default;
};

/// A request's fingerprint seen in crashes.
struct SuspectMark {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  bool operator==(const SuspectMark&) const = default;
};

enum class DatagramKind : std::uint8_t {
  kPing,         ///< Asks for an answer.
  kAnswer,       ///< Answers a ping or carries records asked for.
  kPingRequest,  ///< Asks the receiver to ping `subject`.
  kLeave,        ///< The sender stops now.
};

struct Datagram {
  DatagramKind kind = DatagramKind::kPing;
  MemberId sender;
  std::uint64_t sequence = 0;  ///< Grows with each datagram of the sender.
  MemberId subject;            ///< Of a ping request.
  HostFacts facts;
  ConfigMark config;
  std::vector<MemberClaim> claims;
  std::vector<HostRecord> records;  ///< The sender's own is first when there.
  std::vector<MemberId> wanted;     ///< Members whose record the sender lacks.
  std::vector<TargetMark> targets;
  std::vector<SuspectMark> suspects;
};

/// Bytes that an encoded and signed datagram stays below.
std::size_t SizeBound(const Datagram& datagram);

struct SendDatagram {
  std::string to;  ///< `ip:port`
  Datagram datagram;
};

struct MemberChanged {
  HostRecord record;
  MemberState state = MemberState::kAlive;
};

/// A peer has a configuration in force that differs from ours.
struct ConfigAnnounced {
  HostName host;
  ConfigMark config;
};

using MembershipEvent =
    std::variant<MemberChanged, ConfigAnnounced, TargetMark, SuspectMark>;

struct MembershipOutput {
  std::vector<SendDatagram> datagrams;
  std::vector<MembershipEvent> events;
};

struct Member {
  HostRecord record;
  MemberState state = MemberState::kAlive;
  Time last_seen;    ///< When the member last was alive for sure.
  Time state_since;  ///< When the present state began.
  HostFacts facts;
  MemberId id;
};

/// A host as the platform's lagging list has it.
struct ListedHost {
  HostName name;
  std::string gossip;
  bool leaving = false;
};

struct MembershipSettings {
  HostRecord self;
  std::vector<std::string> seeds;  ///< `ip:port` for datagrams.
  std::uint64_t seed = 0;          ///< Of the random choices.
};

class Membership {
 public:
  Membership(MembershipSettings settings, Time now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Called every `kMembershipTick`. A late call is taken for a pause of this
  /// host: what looks silent then is given its full time again.
  MembershipOutput Tick(Time now);
  /// `from` is the address the datagram came from, `ip:port`. Datagrams
  /// reach this call only after their signature was checked.
  MembershipOutput Handle(const Datagram& datagram, const std::string& from,
                          Time now);
  /// Tells peers that this host stops; the last call before the exit.
  MembershipOutput Leave(Time now);

  void SetFacts(const HostFacts& facts);
  void SetConfig(const ConfigMark& config);
  void SetPlatformList(std::vector<ListedHost> hosts);
  void ShareTarget(const TargetMark& mark);
  void ShareSuspect(const SuspectMark& mark);

  /// All members known in their last incarnation, this host among them.
  const std::map<HostName, Member>& members() const;
  /// Alive or suspect members, this host among them, in order of name.
  std::vector<HostName> Live() const;
  /// The same without draining ones: who may take on new duties.
  std::vector<HostName> Serving() const;
  std::uint64_t datagrams_sent() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

inline constexpr Duration kMembershipTick = std::chrono::milliseconds(100);

/// Time from a suspicion to death in a view of `hosts`.
Duration SuspicionTime(std::size_t hosts);

}  // namespace comfreyflow
