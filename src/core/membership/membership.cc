// Probes other hosts, builds outgoing datagrams and applies received ones.
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

// Each period, this host probes its ring successor once and one other member
// in random order once.
constexpr Duration kProbePeriod = seconds(1);
// Contacts are addresses of hosts that may run but are not live in this view.
constexpr Duration kContactPeriod = seconds(1);
// Applies while no other host is live in this view.
constexpr Duration kAloneContactPeriod = milliseconds(300);
// During this time a host contacts others more often, because it must know them
// before it makes any decision on its own.
constexpr Duration kStartupTime = milliseconds(1500);
constexpr Duration kStartupContactPeriod = milliseconds(100);
constexpr std::size_t kStartupContacts = 8;
constexpr Duration kIndirectProbeDelay = milliseconds(250);
constexpr Duration kProbeTimeout = milliseconds(700);
// A longer time between two ticks means that this host itself was paused.
constexpr Duration kPauseThreshold = seconds(1);
// For this long after its start, a host adds its own record to each datagram
// that carries claims.
constexpr Duration kIntroductionTime = seconds(10);
constexpr Duration kRecordRequestPeriod = milliseconds(150);
constexpr std::size_t kIndirectProbes = 3;
// Sizes include the signature and exclude the IP and UDP headers.
constexpr std::size_t kMaxDatagramBytes = 480;
// For answers that carry requested records.
constexpr std::size_t kMaxRecordAnswerBytes = 1200;
// For datagrams to a host that is unknown or dead in this view: the two hosts
// exchange as much of their views as fits.
constexpr std::size_t kMaxViewExchangeBytes = 1200;
constexpr std::size_t kClaimBytes = 10;  // Estimate for one encoded claim.
// Filler claims are about live members whose state has not changed recently.
constexpr std::size_t kMaxFillerClaims = 24;
constexpr std::size_t kMaxWantedRecords = 14;
constexpr std::size_t kLeaveNotifications = 8;  // Peers notified of a leave.
// Extra pings after a change that peers have to learn soon.
constexpr int kAnnouncementPings = 4;
constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxTrackedSenders = 4096;
// A mark is sent this many times for each doubling of the number of hosts.
constexpr int kMarkSendsPerDoubling = 3;

/// A ping sent on behalf of another host. That host is notified when the
/// subject answers.
struct Relay {
  MemberId subject;
  std::string requester;
  Time expires_at;
};

struct Probe {
  HostName name;
  Time sent_at;
  bool indirect_requested = false;
};

}  // namespace

struct Membership::State {
  State(MembershipSettings initial_settings, Time now)
      : settings(std::move(initial_settings)),
        id(IdOf(settings.self.name, settings.self.incarnation)),
        table(settings.self, now),
        random(settings.seed),
        started_at(now),
        last_tick_at(now),
        next_ring_probe_at(now + Jitter(kProbePeriod)),
        next_random_probe_at(next_ring_probe_at + kProbePeriod / 2),
        next_contact_at(now),
        next_record_request_at(now) {}

  Duration Jitter(Duration max_jitter) {
    std::uniform_int_distribution<Duration::rep> draw(0, max_jitter.count());
    return Duration(draw(random));
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  int MaxMarkSends() const {
    return kMarkSendsPerDoubling * std::bit_width(table.members().size());
  }

  Datagram NewDatagram(DatagramKind kind);
  void Send(Datagram datagram, const std::string& to, MembershipOutput& out);
  void AddGossip(Datagram& datagram, MemberId receiver, std::size_t max_bytes,
                 Time now);
  const Member* LatestSeenReader(MemberId receiver) const;
  void RequestRecords(Time now, MembershipOutput& out);
  void SendTo(const Member& member, DatagramKind kind, Time now,
              MembershipOutput& out);
  void StartProbe(const Member& member, Time now, MembershipOutput& out);
  void CheckProbes(Time now, MembershipOutput& out);
  void RequestIndirectProbes(const Probe& probe, MembershipOutput& out);
  const Member* RingSuccessor() const;
  const Member* NextRandomMember();
  void PingContacts(Time now, MembershipOutput& out);
  std::vector<std::string> ContactAddresses() const;
  void ApplyDatagram(const Datagram& datagram, Time now, MembershipOutput& out);
  TargetMark WithEra(TargetMark mark) const;
  void ApplyMarks(const Datagram& datagram, Time now, MembershipOutput& out);
  void SendAnswer(const Datagram& datagram, const std::string& from,
                  bool exchange_view, Time now, MembershipOutput& out);
  void PingOnBehalf(const Datagram& datagram, const std::string& from, Time now,
                    MembershipOutput& out);
  void NotifyRequesters(const Datagram& datagram, MembershipOutput& out);

  MembershipSettings settings;
  MemberId id;
  detail::MemberTable table;
  detail::MarkDissemination marks;
  std::mt19937_64 random;
  std::vector<ListedHost> listed_hosts;
  std::vector<Probe> probes;
  std::vector<Relay> relays;
  /// Members not yet probed in the present round; the last one is next.
  std::vector<HostName> probe_round;
  /// Highest sequence number received from each sender.
  std::map<MemberId, std::uint64_t> newest_sequence;
  /// Members that peers claim to be live but whose records this host lacks.
  std::set<MemberId> missing_records;
  ConfigMark config;
  std::uint64_t store_era = 0;
  std::optional<EvacuationState> evacuations;
  std::set<HostName> store_readers;
  std::uint64_t sequence = 0;
  /// Extra pings to send at the next tick, because there is something that
  /// peers have to learn soon.
  int announcements_left = 0;
  Time started_at;
  Time last_tick_at;
  Time next_ring_probe_at;
  Time next_random_probe_at;
  Time next_contact_at;
  Time next_record_request_at;
};

Datagram Membership::State::NewDatagram(DatagramKind kind) {
  Datagram datagram;
  datagram.kind = kind;
  datagram.sender = id;
  datagram.sequence = ++sequence;
  datagram.facts = table.self().facts;
  datagram.config = config;
  datagram.store_era = store_era;
  datagram.evacuations = evacuations;
  return datagram;
}

void Membership::State::Send(Datagram datagram, const std::string& to,
                             MembershipOutput& out) {
  out.datagrams.push_back({to, std::move(datagram)});
}

void Membership::State::AddGossip(Datagram& datagram, MemberId receiver,
                                  std::size_t max_bytes, Time now) {
  if (now < started_at + kIntroductionTime && datagram.records.empty()) {
    datagram.records.push_back(settings.self);
  }
  marks.AddTo(datagram);
  const std::size_t used = SizeBound(datagram);
  if (used >= max_bytes) return;
  const std::size_t room = (max_bytes - used) / kClaimBytes;
  const std::size_t max_fillers =
      max_bytes > kMaxDatagramBytes ? room : kMaxFillerClaims;
  const Member* reader = LatestSeenReader(receiver);
  const std::size_t reader_claims = reader != nullptr && room > 0 ? 1 : 0;
  datagram.claims =
      table.Claims(receiver, room - reader_claims, max_fillers, now);
  if (reader_claims > 0) datagram.claims.push_back(table.ClaimOf(*reader, now));
}

/// The reader of the store that was seen alive last. Its claim is in each
/// datagram, so that news of some reader reaches all hosts within a second or
/// two, also where the claims about all members take longer.
const Member* Membership::State::LatestSeenReader(MemberId receiver) const {
  const Member* latest = nullptr;
  for (const auto& name : store_readers) {
    const Member* member = table.Find(name);
    if (member == nullptr || member->id == receiver || member->id == id ||
        member->state != MemberState::kAlive) {
      continue;
    }
    if (latest == nullptr || member->last_seen > latest->last_seen)
      latest = member;
  }
  return latest;
}

/// Asks one live member for the records of members that are known only from
/// claims.
void Membership::State::RequestRecords(Time now, MembershipOutput& out) {
  if (now < next_record_request_at || missing_records.empty()) return;
  next_record_request_at = now + kRecordRequestPeriod;
  const Member* member = NextRandomMember();
  if (member == nullptr) return;
  Datagram datagram = NewDatagram(DatagramKind::kAnswer);
  datagram.records.push_back(settings.self);
  while (!missing_records.empty() &&
         datagram.wanted.size() < kMaxWantedRecords) {
    datagram.wanted.push_back(*missing_records.begin());
    missing_records.erase(missing_records.begin());
  }
  Send(std::move(datagram), member->record.gossip, out);
}

void Membership::State::SendTo(const Member& member, DatagramKind kind,
                               Time now, MembershipOutput& out) {
  Datagram datagram = NewDatagram(kind);
  AddGossip(datagram, member.id, kMaxDatagramBytes, now);
  Send(std::move(datagram), member.record.gossip, out);
}

void Membership::State::StartProbe(const Member& member, Time now,
                                   MembershipOutput& out) {
  probes.push_back({member.record.name, now});
  SendTo(member, DatagramKind::kPing, now, out);
}

void Membership::State::RequestIndirectProbes(const Probe& probe,
                                              MembershipOutput& out) {
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
    Datagram datagram = NewDatagram(DatagramKind::kPingRequest);
    datagram.subject = subject->id;
    Send(std::move(datagram), helper->record.gossip, out);
  }
}

void Membership::State::CheckProbes(Time now, MembershipOutput& out) {
  std::vector<Probe> pending;
  for (Probe& probe : probes) {
    const Member* member = table.Find(probe.name);
    if (member == nullptr || member->last_seen >= probe.sent_at) continue;
    if (now >= probe.sent_at + kProbeTimeout) {
      table.Suspect(probe.name, now, out.events);
      continue;
    }
    if (!probe.indirect_requested &&
        now >= probe.sent_at + kIndirectProbeDelay) {
      probe.indirect_requested = true;
      RequestIndirectProbes(probe, out);
    }
    pending.push_back(probe);
  }
  probes = std::move(pending);
}

/// The next alive member in the order of identifiers. These are hashes, so that
/// neighbours are in mixed failure domains. The successor is probed each
/// period, which bounds the time until the first host notices a death.
const Member* Membership::State::RingSuccessor() const {
  const Member* lowest = nullptr;
  const Member* next = nullptr;
  const auto has_lower_id = [](MemberId candidate, const Member* best) {
    return best == nullptr || candidate < best->id;
  };
  for (const auto& [name, member] : table.members()) {
    if (name == settings.self.name) continue;
    if (member.state != MemberState::kAlive) continue;
    const MemberId candidate = member.id;
    if (has_lower_id(candidate, lowest)) lowest = &member;
    if (candidate > id && has_lower_id(candidate, next)) next = &member;
  }
  return next != nullptr ? next : lowest;
}

/// Returns each live member once per round, in random order; null if there is
/// none.
const Member* Membership::State::NextRandomMember() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!probe_round.empty()) {
      const Member* member = table.Find(probe_round.back());
      probe_round.pop_back();
      if (member != nullptr && member->state <= MemberState::kSuspect) {
        return member;
      }
    }
    for (const auto& [name, member] : table.members()) {
      if (name == settings.self.name) continue;
      if (member.state <= MemberState::kSuspect) probe_round.push_back(name);
    }
    std::shuffle(probe_round.begin(), probe_round.end(), random);
  }
  return nullptr;
}

/// Addresses of hosts that may run but are not live in this view: seeds, hosts
/// on the platform's list and members considered dead.
std::vector<std::string> Membership::State::ContactAddresses() const {
  std::set<std::string> live;
  std::set<std::string> candidates(settings.seeds.begin(),
                                   settings.seeds.end());
  for (const auto& [name, member] : table.members()) {
    if (member.state <= MemberState::kSuspect)
      live.insert(member.record.gossip);
    if (member.state == MemberState::kDead)
      candidates.insert(member.record.gossip);
  }
  for (const ListedHost& host : listed_hosts) {
    if (!host.leaving) candidates.insert(host.gossip);
  }
  std::vector<std::string> out;
  std::set_difference(candidates.begin(), candidates.end(), live.begin(),
                      live.end(), std::back_inserter(out));
  return out;
}

void Membership::State::PingContacts(Time now, MembershipOutput& out) {
  const bool is_starting = now < started_at + kStartupTime;
  const bool is_alone = table.live_count() == 1;
  next_contact_at = now + (is_starting ? kStartupContactPeriod
                           : is_alone  ? kAloneContactPeriod
                                       : kContactPeriod);
  std::vector<std::string> addresses = ContactAddresses();
  std::shuffle(addresses.begin(), addresses.end(), random);
  const std::size_t max_contacts = is_starting ? kStartupContacts : 1;
  if (addresses.size() > max_contacts) addresses.resize(max_contacts);
  for (const auto& address : addresses) {
    Datagram datagram = NewDatagram(DatagramKind::kPing);
    datagram.records.push_back(settings.self);
    AddGossip(datagram, MemberId{}, kMaxViewExchangeBytes, now);
    Send(std::move(datagram), address, out);
  }
}

TargetMark Membership::State::WithEra(TargetMark mark) const {
  // Hosts of older builds send no era.
  if (mark.version.era == 0) mark.version.era = store_era;
  return mark;
}

void Membership::State::ApplyMarks(const Datagram& datagram, Time now,
                                   MembershipOutput& out) {
  for (const TargetMark& received : datagram.targets) {
    const TargetMark mark = WithEra(received);
    if (!marks.Merge(mark, MaxMarkSends(), now)) continue;
    out.events.emplace_back(mark);
    announcements_left = kAnnouncementPings;
  }
  for (const SuspectMark& mark : datagram.suspects) {
    if (marks.Merge(mark, MaxMarkSends(), now)) out.events.emplace_back(mark);
  }
  const Member* sender = table.Find(datagram.sender);
  if (sender == nullptr) return;
  if (datagram.store_era > store_era) {
    out.events.emplace_back(
        StoreEraAnnounced{sender->record.name, datagram.store_era});
  }
  if (datagram.evacuations &&
      (!evacuations || datagram.evacuations->version > evacuations->version)) {
    out.events.emplace_back(
        EvacuationsAnnounced{sender->record.name, *datagram.evacuations});
  }
  if (datagram.config == config) return;
  out.events.emplace_back(
      ConfigAnnounced{sender->record.name, datagram.config});
}

void Membership::State::ApplyDatagram(const Datagram& datagram, Time now,
                                      MembershipOutput& out) {
  for (const HostRecord& record : datagram.records) {
    missing_records.erase(IdOf(record.name, record.incarnation));
    table.AddRecord(record, now, out.events);
  }
  if (newest_sequence.size() > kMaxTrackedSenders) newest_sequence.clear();
  std::uint64_t& newest_from_sender = newest_sequence[datagram.sender];
  if (datagram.sequence > newest_from_sender) {
    newest_from_sender = datagram.sequence;
    // A datagram that was queued while this host was paused proves only that
    // the sender was alive before the pause.
    const bool was_paused = now - last_tick_at > kPauseThreshold;
    table.MarkSeen(datagram.sender, was_paused ? last_tick_at : now,
                   datagram.facts, out.events);
  }
  if (!table.HasId(datagram.sender)) missing_records.insert(datagram.sender);
  for (const MemberClaim& claim : datagram.claims) {
    if (claim.state <= MemberState::kSuspect && !table.HasId(claim.id)) {
      missing_records.insert(claim.id);
    }
    table.Apply(claim, now, out.events);
  }
  ApplyMarks(datagram, now, out);
}

void Membership::State::SendAnswer(const Datagram& datagram,
                                   const std::string& from, bool exchange_view,
                                   Time now, MembershipOutput& out) {
  const bool is_ping = datagram.kind == DatagramKind::kPing;
  if (!is_ping && datagram.wanted.empty()) return;
  Datagram answer = NewDatagram(DatagramKind::kAnswer);
  for (const MemberId wanted_id : datagram.wanted) {
    const Member* member = table.Find(wanted_id);
    if (member == nullptr || member->state > MemberState::kSuspect) continue;
    answer.records.push_back(member->record);
    if (SizeBound(answer) < kMaxRecordAnswerBytes) continue;
    answer.records.pop_back();
    break;
  }
  if (!is_ping && answer.records.empty()) return;
  // A sender that sends its own record, or whose record is unknown here, is
  // likely to lack the record of this host too.
  const bool is_known_sender = table.HasId(datagram.sender);
  if (!is_known_sender || (is_ping && !datagram.records.empty())) {
    answer.records.push_back(settings.self);
  }
  // If all other hosts have removed the sender's record, only the sender itself
  // can supply it.
  if (!is_known_sender) answer.wanted.push_back(datagram.sender);
  AddGossip(answer, datagram.sender,
            exchange_view ? kMaxViewExchangeBytes : kMaxDatagramBytes, now);
  Send(std::move(answer), from, out);
}

/// Sends a single ping. A full probe by this host would request further
/// indirect probes in turn.
void Membership::State::PingOnBehalf(const Datagram& datagram,
                                     const std::string& from, Time now,
                                     MembershipOutput& out) {
  const Member* subject = table.Find(datagram.subject);
  if (subject == nullptr || relays.size() >= kMaxRelays) return;
  relays.push_back({datagram.subject, from, now + kProbeTimeout});
  Send(NewDatagram(DatagramKind::kPing), subject->record.gossip, out);
}

void Membership::State::NotifyRequesters(const Datagram& datagram,
                                         MembershipOutput& out) {
  std::erase_if(relays, [&](const Relay& relay) {
    if (relay.subject != datagram.sender) return false;
    Datagram answer = NewDatagram(DatagramKind::kAnswer);
    answer.claims.push_back(
        {relay.subject, MemberState::kAlive, {}, datagram.facts});
    Send(std::move(answer), relay.requester, out);
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
  if (now - state.last_tick_at > kPauseThreshold) {
    state.probes.clear();
    state.table.RestartSuspicions(now);
  }
  state.last_tick_at = now;
  state.table.self().last_seen = now;
  state.CheckProbes(now, out);
  state.table.Expire(now, out.events);
  state.marks.Expire(now);
  std::erase_if(state.relays,
                [&](const Relay& relay) { return now >= relay.expires_at; });
  if (now >= state.next_ring_probe_at) {
    state.next_ring_probe_at = now + kProbePeriod;
    const Member* next = state.RingSuccessor();
    if (next != nullptr) state.StartProbe(*next, now, out);
  }
  if (now >= state.next_random_probe_at) {
    state.next_random_probe_at = now + kProbePeriod;
    const Member* next = state.NextRandomMember();
    if (next != nullptr) state.StartProbe(*next, now, out);
  }
  if (now >= state.next_contact_at) state.PingContacts(now, out);
  state.RequestRecords(now, out);
  for (; state.announcements_left > 0; --state.announcements_left) {
    const Member* next = state.NextRandomMember();
    if (next != nullptr) state.SendTo(*next, DatagramKind::kPing, now, out);
  }
  return out;
}

MembershipOutput Membership::Handle(const Datagram& datagram,
                                    const std::string& from, Time now) {
  State& state = *state_;
  MembershipOutput out;
  if (datagram.sender == state.id) return out;
  // Such a sender may come from the other side of a network partition that has
  // healed, so the answer carries as much of this host's view as fits.
  const Member* sender = state.table.Find(datagram.sender);
  const bool exchange_view =
      sender == nullptr || sender->state == MemberState::kDead;
  state.ApplyDatagram(datagram, now, out);
  state.NotifyRequesters(datagram, out);
  if (datagram.kind == DatagramKind::kLeave) {
    const MemberClaim claim{datagram.sender, MemberState::kLeft, {}, {}};
    state.table.Apply(claim, now, out.events);
    return out;
  }
  if (datagram.kind == DatagramKind::kPingRequest) {
    state.PingOnBehalf(datagram, from, now, out);
  }
  state.SendAnswer(datagram, from, exchange_view, now, out);
  return out;
}

MembershipOutput Membership::Leave(Time now) {
  State& state = *state_;
  MembershipOutput out;
  for (std::size_t i = 0; i < kLeaveNotifications; ++i) {
    const Member* member = state.NextRandomMember();
    if (member == nullptr) break;
    state.SendTo(*member, DatagramKind::kLeave, now, out);
  }
  return out;
}

void Membership::SetFacts(const HostFacts& facts) {
  HostFacts& local_facts = state_->table.self().facts;
  if (ChangesDuties(facts, local_facts))
    state_->announcements_left = kAnnouncementPings;
  local_facts = facts;
}

void Membership::SetConfig(const ConfigMark& config) {
  if (config != state_->config) state_->announcements_left = kAnnouncementPings;
  state_->config = config;
  state_->table.self().facts.generation = config.generation;
}

void Membership::SetStoreEra(std::uint64_t era) {
  if (era > state_->store_era) state_->announcements_left = kAnnouncementPings;
  state_->store_era = era;
}

void Membership::SetEvacuations(const std::optional<EvacuationState>& state) {
  if (state == state_->evacuations) return;
  const bool is_changed = !state || !state_->evacuations ||
                          state->domains != state_->evacuations->domains ||
                          state->is_partial != state_->evacuations->is_partial;
  if (is_changed) state_->announcements_left = kAnnouncementPings;
  state_->evacuations = state;
}

void Membership::SetStoreReaders(std::set<HostName> readers) {
  state_->store_readers = std::move(readers);
}

void Membership::SetPlatformList(std::vector<ListedHost> hosts) {
  state_->listed_hosts = std::move(hosts);
}

void Membership::ShareTarget(const TargetMark& mark) {
  State& state = *state_;
  if (state.marks.Merge(state.WithEra(mark), state.MaxMarkSends(),
                        state.last_tick_at)) {
    state.announcements_left = kAnnouncementPings;
  }
}

void Membership::ShareSuspect(const SuspectMark& mark) {
  state_->marks.Merge(mark, state_->MaxMarkSends(), state_->last_tick_at);
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
  std::vector<HostName> unready;
  for (const auto& [name, member] : members()) {
    if (member.state > MemberState::kSuspect || member.facts.draining) continue;
    (member.facts.unready ? unready : names).push_back(name);
  }
  return names.empty() ? unready : names;
}

std::uint64_t Membership::datagrams_sent() const { return state_->sequence; }

}  // namespace comfreyflow
