// Probing and the building of datagrams.
#include "comfreyflow/membership.h"

#include <algorithm>
#include <bit>
#include <random>
#include <set>

#include "core/membership/rumours.h"
#include "core/membership/table.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kProbePeriod = seconds(1);  // Of each of the two kinds.
constexpr Duration kContactPeriod = seconds(1);
constexpr Duration kAloneContactPeriod = milliseconds(300);
// A host that starts must know the others before it decides anything alone.
constexpr Duration kStartTime = milliseconds(1500);
constexpr Duration kStartContactPeriod = milliseconds(100);
constexpr std::size_t kStartContacts = 8;
constexpr Duration kIndirectAfter = milliseconds(250);
constexpr Duration kProbeLimit = milliseconds(700);
constexpr Duration kPauseAfter = seconds(1);
constexpr Duration kIntroduceFor = seconds(10);
constexpr Duration kWantPeriod = milliseconds(150);
constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kDatagramBytes = 480;  // Signed, without IP and UDP.
constexpr std::size_t kRecordBytes = 1200;   // Of answers that carry records.
constexpr std::size_t kMeetingBytes = 1200;  // To a host thought dead.
constexpr std::size_t kClaimBytes = 10;
constexpr std::size_t kMostFillers = 24;
constexpr std::size_t kMostWanted = 14;
constexpr std::size_t kLeaveTold = 8;
constexpr int kAnnounceTo = 4;
constexpr std::size_t kMostRelays = 64;
constexpr std::size_t kMostSenders = 4096;
constexpr int kRumourFactor = 3;

/// A ping sent for another host, which is told when the subject answers.
struct Relay {
  MemberId subject;
  std::string asker;
  Time until;
};

struct Probe {
  HostName name;
  Time sent;
  bool indirect = false;
};

}  // namespace

struct Membership::State {
  State(MembershipSettings given, Time now)
      : settings(std::move(given)),
        id(IdOf(settings.self.name, settings.self.incarnation)),
        table(settings.self, now),
        random(settings.seed),
        started(now),
        last_tick(now),
        next_ring(now + Jitter(kProbePeriod)),
        next_random(next_ring + kProbePeriod / 2),
        next_contact(now),
        next_want(now) {}

  Duration Jitter(Duration most) {
    std::uniform_int_distribution<Duration::rep> draw(0, most.count());
    return Duration(draw(random));
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  int RumourSends() const {
    return kRumourFactor * std::bit_width(table.members().size());
  }

  Datagram Base(DatagramKind kind);
  void Send(Datagram datagram, const std::string& to, MembershipOutput& out);
  void Fill(Datagram& datagram, MemberId receiver, std::size_t bytes, Time now);
  void AskRecords(Time now, MembershipOutput& out);
  void SendTo(const Member& member, DatagramKind kind, Time now,
              MembershipOutput& out);
  void StartProbe(const Member& member, Time now, MembershipOutput& out);
  void CheckProbes(Time now, MembershipOutput& out);
  void AskOthers(const Probe& probe, MembershipOutput& out);
  const Member* RingSuccessor() const;
  const Member* NextRandom();
  void Contact(Time now, MembershipOutput& out);
  std::vector<std::string> ContactAddresses() const;
  void Learn(const Datagram& datagram, Time now, MembershipOutput& out);
  void LearnMarks(const Datagram& datagram, Time now, MembershipOutput& out);
  void Answer(const Datagram& datagram, const std::string& from, bool meeting,
              Time now, MembershipOutput& out);
  void PingFor(const Datagram& datagram, const std::string& from, Time now,
               MembershipOutput& out);
  void TellAskers(const Datagram& datagram, MembershipOutput& out);

  MembershipSettings settings;
  MemberId id;
  detail::MemberTable table;
  detail::Rumours rumours;
  std::mt19937_64 random;
  std::vector<ListedHost> listed;
  std::vector<Probe> probes;
  std::vector<Relay> relays;
  std::vector<HostName> round;  // Left to probe in this turn, last one next.
  std::map<MemberId, std::uint64_t> newest;  // Sequence seen by sender.
  std::set<MemberId> wanted;                 // Claimed alive, record unknown.
  ConfigMark config;
  std::uint64_t sequence = 0;
  int announce = 0;  // Pings to send soon, as the facts have changed.
  Time started;
  Time last_tick;
  Time next_ring;
  Time next_random;
  Time next_contact;
  Time next_want;
};

Datagram Membership::State::Base(DatagramKind kind) {
  Datagram datagram;
  datagram.kind = kind;
  datagram.sender = id;
  datagram.sequence = ++sequence;
  datagram.facts = table.self().facts;
  datagram.config = config;
  return datagram;
}

void Membership::State::Send(Datagram datagram, const std::string& to,
                             MembershipOutput& out) {
  out.datagrams.push_back({to, std::move(datagram)});
}

void Membership::State::Fill(Datagram& datagram, MemberId receiver,
                             std::size_t bytes, Time now) {
  if (now < started + kIntroduceFor && datagram.records.empty()) {
    datagram.records.push_back(settings.self);
  }
  rumours.Fill(datagram);
  const std::size_t used = SizeBound(datagram);
  if (used >= bytes) return;
  const std::size_t room = (bytes - used) / kClaimBytes;
  const std::size_t fillers = bytes > kDatagramBytes ? room : kMostFillers;
  datagram.claims = table.Claims(receiver, room, fillers, now);
}

/// Asks one live member for the records of claimed but unknown members.
void Membership::State::AskRecords(Time now, MembershipOutput& out) {
  if (now < next_want || wanted.empty()) return;
  next_want = now + kWantPeriod;
  const Member* member = NextRandom();
  if (member == nullptr) return;
  Datagram datagram = Base(DatagramKind::kAnswer);
  datagram.records.push_back(settings.self);
  while (!wanted.empty() && datagram.wanted.size() < kMostWanted) {
    datagram.wanted.push_back(*wanted.begin());
    wanted.erase(wanted.begin());
  }
  Send(std::move(datagram), member->record.gossip, out);
}

void Membership::State::SendTo(const Member& member, DatagramKind kind,
                               Time now, MembershipOutput& out) {
  Datagram datagram = Base(kind);
  Fill(datagram, member.id, kDatagramBytes, now);
  Send(std::move(datagram), member.record.gossip, out);
}

void Membership::State::StartProbe(const Member& member, Time now,
                                   MembershipOutput& out) {
  probes.push_back({member.record.name, now});
  SendTo(member, DatagramKind::kPing, now, out);
}

void Membership::State::AskOthers(const Probe& probe, MembershipOutput& out) {
  const Member* subject = table.Find(probe.name);
  if (subject == nullptr) return;
  std::vector<const Member*> helpers;
  for (const auto& [name, member] : table.members()) {
    if (name == settings.self.name || name == probe.name) continue;
    if (member.state == MemberState::kAlive) helpers.push_back(&member);
  }
  std::shuffle(helpers.begin(), helpers.end(), random);
  if (helpers.size() > kIndirectProbes) helpers.resize(kIndirectProbes);
  for (const Member* helper : helpers) {
    Datagram datagram = Base(DatagramKind::kPingRequest);
    datagram.subject = subject->id;
    Send(std::move(datagram), helper->record.gossip, out);
  }
}

void Membership::State::CheckProbes(Time now, MembershipOutput& out) {
  std::vector<Probe> open;
  for (Probe& probe : probes) {
    const Member* member = table.Find(probe.name);
    if (member == nullptr || member->last_seen >= probe.sent) continue;
    if (now >= probe.sent + kProbeLimit) {
      table.Suspect(probe.name, now, out.events);
      continue;
    }
    if (!probe.indirect && now >= probe.sent + kIndirectAfter) {
      probe.indirect = true;
      AskOthers(probe, out);
    }
    open.push_back(probe);
  }
  probes = std::move(open);
}

/// The next live host in the order of identifiers, which mixes the domains. It
/// is probed each period, so that the first notice of a death has a bound.
const Member* Membership::State::RingSuccessor() const {
  const Member* lowest = nullptr;
  const Member* next = nullptr;
  const auto better = [](MemberId candidate, const Member* best) {
    return best == nullptr || candidate < best->id;
  };
  for (const auto& [name, member] : table.members()) {
    if (name == settings.self.name) continue;
    if (member.state != MemberState::kAlive) continue;
    const MemberId at = member.id;
    if (better(at, lowest)) lowest = &member;
    if (at > id && better(at, next)) next = &member;
  }
  return next != nullptr ? next : lowest;
}

/// Each live member once in a turn, in random order.
const Member* Membership::State::NextRandom() {
  for (int turn = 0; turn < 2; ++turn) {
    while (!round.empty()) {
      const Member* member = table.Find(round.back());
      round.pop_back();
      if (member != nullptr && member->state <= MemberState::kSuspect) {
        return member;
      }
    }
    for (const auto& [name, member] : table.members()) {
      if (name == settings.self.name) continue;
      if (member.state <= MemberState::kSuspect) round.push_back(name);
    }
    std::shuffle(round.begin(), round.end(), random);
  }
  return nullptr;
}

/// Addresses of hosts that may be there but are not live in this view.
std::vector<std::string> Membership::State::ContactAddresses() const {
  std::set<std::string> live;
  std::set<std::string> others(settings.seeds.begin(), settings.seeds.end());
  for (const auto& [name, member] : table.members()) {
    if (member.state <= MemberState::kSuspect)
      live.insert(member.record.gossip);
    if (member.state == MemberState::kDead) others.insert(member.record.gossip);
  }
  for (const ListedHost& host : listed) {
    if (!host.leaving) others.insert(host.gossip);
  }
  std::vector<std::string> out;
  std::set_difference(others.begin(), others.end(), live.begin(), live.end(),
                      std::back_inserter(out));
  return out;
}

void Membership::State::Contact(Time now, MembershipOutput& out) {
  const bool starting = now < started + kStartTime;
  const bool alone = table.live() == 1;
  next_contact = now + (starting ? kStartContactPeriod
                        : alone  ? kAloneContactPeriod
                                 : kContactPeriod);
  std::vector<std::string> addresses = ContactAddresses();
  std::shuffle(addresses.begin(), addresses.end(), random);
  const std::size_t most = starting ? kStartContacts : 1;
  if (addresses.size() > most) addresses.resize(most);
  for (const auto& address : addresses) {
    Datagram datagram = Base(DatagramKind::kPing);
    datagram.records.push_back(settings.self);
    Fill(datagram, MemberId{}, kMeetingBytes, now);
    Send(std::move(datagram), address, out);
  }
}

void Membership::State::LearnMarks(const Datagram& datagram, Time now,
                                   MembershipOutput& out) {
  for (const TargetMark& mark : datagram.targets) {
    if (!rumours.Learn(mark, RumourSends(), now)) continue;
    out.events.emplace_back(mark);
    announce = kAnnounceTo;
  }
  for (const SuspectMark& mark : datagram.suspects) {
    if (rumours.Learn(mark, RumourSends(), now)) out.events.emplace_back(mark);
  }
  const Member* sender = table.Find(datagram.sender);
  if (sender == nullptr || datagram.config == config) return;
  out.events.emplace_back(
      ConfigAnnounced{sender->record.name, datagram.config});
}

void Membership::State::Learn(const Datagram& datagram, Time now,
                              MembershipOutput& out) {
  for (const HostRecord& record : datagram.records) {
    wanted.erase(IdOf(record.name, record.incarnation));
    table.AddRecord(record, now, out.events);
  }
  if (newest.size() > kMostSenders) newest.clear();
  std::uint64_t& newest_seen = newest[datagram.sender];
  if (datagram.sequence > newest_seen) {
    newest_seen = datagram.sequence;
    // What waited while this host was paused proves only the time before.
    const bool paused = now - last_tick > kPauseAfter;
    table.Evidence(datagram.sender, paused ? last_tick : now, datagram.facts,
                   out.events);
  }
  if (!table.Knows(datagram.sender)) wanted.insert(datagram.sender);
  for (const MemberClaim& claim : datagram.claims) {
    if (claim.state <= MemberState::kSuspect && !table.Knows(claim.id)) {
      wanted.insert(claim.id);
    }
    table.Apply(claim, now, out.events);
  }
  LearnMarks(datagram, now, out);
}

void Membership::State::Answer(const Datagram& datagram,
                               const std::string& from, bool meeting, Time now,
                               MembershipOutput& out) {
  const bool ping = datagram.kind == DatagramKind::kPing;
  if (!ping && datagram.wanted.empty()) return;
  Datagram answer = Base(DatagramKind::kAnswer);
  for (const MemberId want : datagram.wanted) {
    const Member* member = table.Find(want);
    if (member == nullptr || member->state > MemberState::kSuspect) continue;
    answer.records.push_back(member->record);
    if (SizeBound(answer) < kRecordBytes) continue;
    answer.records.pop_back();
    break;
  }
  if (!ping && answer.records.empty()) return;
  // A sender that introduces itself, or that this host does not know, does not
  // know this host either.
  const bool known = table.Knows(datagram.sender);
  if (!known || (ping && !datagram.records.empty())) {
    answer.records.push_back(settings.self);
  }
  // Only the sender may have its record, if all others forgot it.
  if (!known) answer.wanted.push_back(datagram.sender);
  Fill(answer, datagram.sender, meeting ? kMeetingBytes : kDatagramBytes, now);
  Send(std::move(answer), from, out);
}

/// Sends one ping and no more: a helper that probed in its own right would ask
/// helpers again.
void Membership::State::PingFor(const Datagram& datagram,
                                const std::string& from, Time now,
                                MembershipOutput& out) {
  const Member* subject = table.Find(datagram.subject);
  if (subject == nullptr || relays.size() >= kMostRelays) return;
  relays.push_back({datagram.subject, from, now + kProbeLimit});
  Send(Base(DatagramKind::kPing), subject->record.gossip, out);
}

void Membership::State::TellAskers(const Datagram& datagram,
                                   MembershipOutput& out) {
  std::erase_if(relays, [&](const Relay& relay) {
    if (relay.subject != datagram.sender) return false;
    Datagram answer = Base(DatagramKind::kAnswer);
    answer.claims.push_back(
        {relay.subject, MemberState::kAlive, {}, datagram.facts});
    Send(std::move(answer), relay.asker, out);
    return true;
  });
}

Membership::Membership(MembershipSettings settings, Time now)
    : state_(std::make_unique<State>(std::move(settings), now)) {}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

MembershipOutput Membership::Tick(Time now) {
  State& state = *state_;
  MembershipOutput out;
  if (now - state.last_tick > kPauseAfter) {
    state.probes.clear();
    state.table.RestartSuspicions(now);
  }
  state.last_tick = now;
  state.table.self().last_seen = now;
  state.CheckProbes(now, out);
  state.table.Expire(now, out.events);
  state.rumours.Expire(now);
  std::erase_if(state.relays,
                [&](const Relay& relay) { return now >= relay.until; });
  if (now >= state.next_ring) {
    state.next_ring = now + kProbePeriod;
    const Member* next = state.RingSuccessor();
    if (next != nullptr) state.StartProbe(*next, now, out);
  }
  if (now >= state.next_random) {
    state.next_random = now + kProbePeriod;
    const Member* next = state.NextRandom();
    if (next != nullptr) state.StartProbe(*next, now, out);
  }
  if (now >= state.next_contact) state.Contact(now, out);
  state.AskRecords(now, out);
  for (; state.announce > 0; --state.announce) {
    const Member* next = state.NextRandom();
    if (next != nullptr) state.SendTo(*next, DatagramKind::kPing, now, out);
  }
  return out;
}

MembershipOutput Membership::Handle(const Datagram& datagram,
                                    const std::string& from, Time now) {
  State& state = *state_;
  MembershipOutput out;
  if (datagram.sender == state.id) return out;
  // From the other side of a split that is over: it gets a whole view.
  const Member* sender = state.table.Find(datagram.sender);
  const bool meeting = sender == nullptr || sender->state == MemberState::kDead;
  state.Learn(datagram, now, out);
  state.TellAskers(datagram, out);
  if (datagram.kind == DatagramKind::kLeave) {
    const MemberClaim claim{datagram.sender, MemberState::kLeft, {}, {}};
    state.table.Apply(claim, now, out.events);
    return out;
  }
  if (datagram.kind == DatagramKind::kPingRequest) {
    state.PingFor(datagram, from, now, out);
  }
  state.Answer(datagram, from, meeting, now, out);
  return out;
}

MembershipOutput Membership::Leave(Time now) {
  State& state = *state_;
  MembershipOutput out;
  for (std::size_t i = 0; i < kLeaveTold; ++i) {
    const Member* member = state.NextRandom();
    if (member == nullptr) break;
    state.SendTo(*member, DatagramKind::kLeave, now, out);
  }
  return out;
}

void Membership::SetFacts(const HostFacts& facts) {
  HostFacts& own = state_->table.self().facts;
  if (ChangesDuties(facts, own)) state_->announce = kAnnounceTo;
  own = facts;
}

void Membership::SetConfig(const ConfigMark& config) {
  if (config != state_->config) state_->announce = kAnnounceTo;
  state_->config = config;
  state_->table.self().facts.generation = config.generation;
}

void Membership::SetPlatformList(std::vector<ListedHost> hosts) {
  state_->listed = std::move(hosts);
}

void Membership::ShareTarget(const TargetMark& mark) {
  State& state = *state_;
  if (state.rumours.Learn(mark, state.RumourSends(), state.last_tick)) {
    state.announce = kAnnounceTo;
  }
}

void Membership::ShareSuspect(const SuspectMark& mark) {
  state_->rumours.Learn(mark, state_->RumourSends(), state_->last_tick);
}

const std::map<HostName, Member>& Membership::members() const {
  return state_->table.members();
}

std::vector<HostName> Membership::Live() const {
  std::vector<HostName> names;
  for (const auto& [name, member] : members()) {
    if (member.state <= MemberState::kSuspect) names.push_back(name);
  }
  return names;
}

std::vector<HostName> Membership::Serving() const {
  std::vector<HostName> names;
  for (const auto& [name, member] : members()) {
    if (member.state > MemberState::kSuspect) continue;
    if (!member.facts.draining) names.push_back(name);
  }
  return names;
}

std::uint64_t Membership::datagrams_sent() const { return state_->sequence; }

}  // namespace comfreyflow
