// Datagrams and envelopes: round trips, size bound, forged and broken bytes.
#include <doctest/doctest.h>

#include <random>

#include "comfreyflow/errors.h"
#include "wire/codec.h"
#include "wire/placement.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using comfreyflow::wire::DecodeDatagram;
using comfreyflow::wire::EncodeDatagram;

namespace {

const wire::FleetKey kKey{"fleet-key-of-the-test"};

HostFacts RandomFacts(std::mt19937_64& random, std::uint64_t generation) {
  HostFacts facts;
  facts.generation = generation;
  facts.load = static_cast<std::uint8_t>(random() % kLoadSteps);
  for (bool* flag :
       {&facts.draining, &facts.detached, &facts.returned, &facts.unready}) {
    *flag = random() % 2 == 1;
  }
  return facts;
}

comfreyflow::Datagram RandomDatagram(std::mt19937_64& random) {
  const auto draw = [&](std::uint64_t most) { return random() % (most + 1); };
  const auto number_or_zero = [&] {
    const std::uint64_t factor = draw(1);
    return factor * random();
  };
  comfreyflow::Datagram datagram;
  datagram.kind = static_cast<DatagramKind>(draw(3));
  datagram.sender.value = static_cast<std::uint32_t>(random());
  datagram.sequence = random();
  datagram.facts = RandomFacts(random, draw(1'000'000));
  datagram.config = {datagram.facts.generation, random()};
  for (std::uint64_t i = draw(60); i > 0; --i) {
    MemberClaim claim;
    claim.id.value = static_cast<std::uint32_t>(random());
    claim.state = static_cast<MemberState>(draw(3));
    claim.age = kAgeUnit * draw(100'000);
    const bool same = draw(3) > 0;
    claim.facts =
        RandomFacts(random, same ? datagram.facts.generation : draw(2'000'000));
    datagram.claims.push_back(claim);
  }
  for (std::uint64_t i = draw(4); i > 0; --i) {
    datagram.records.push_back({{"host-" + std::to_string(draw(999))},
                                {random()},
                                {"domain"},
                                "10.0.0.1:7400",
                                "10.0.0.1:7401",
                                "10.0.0.1:80"});
  }
  for (std::uint64_t i = draw(14); i > 0; --i) {
    datagram.wanted.push_back({static_cast<std::uint32_t>(random())});
  }
  for (std::uint64_t i = draw(4); i > 0; --i) {
    const std::uint64_t start = draw(1) == 1 ? random() : 0;
    datagram.targets.push_back({{"engine"},
                                {draw(3), random()},
                                draw(1) == 1,
                                start,
                                number_or_zero(),
                                number_or_zero()});
    datagram.suspects.push_back(
        {random(), static_cast<std::uint32_t>(draw(9))});
  }
  datagram.store_era = number_or_zero() >> 1;
  if (draw(1) == 1) {
    EvacuationState& state = datagram.evacuations.emplace();
    state.version = {draw(3), random()};
    for (std::uint64_t i = draw(8); i > 0; --i) {
      state.domains.insert({std::string(draw(64), 'd') + std::to_string(i)});
    }
    state.is_partial = draw(1) == 1;
  }
  return datagram;
}

void CheckSame(const comfreyflow::Datagram& a, const comfreyflow::Datagram& b) {
  CHECK(a.kind == b.kind);
  CHECK(a.sender == b.sender);
  CHECK(a.sequence == b.sequence);
  CHECK(a.facts == b.facts);
  CHECK(a.config == b.config);
  CHECK(a.records == b.records);
  CHECK(a.wanted == b.wanted);
  CHECK(a.targets == b.targets);
  CHECK(a.suspects == b.suspects);
  CHECK(a.store_era == b.store_era);
  CHECK(a.evacuations == b.evacuations);
  REQUIRE(a.claims.size() == b.claims.size());
  for (std::size_t i = 0; i < a.claims.size(); ++i) {
    CHECK(a.claims[i].id == b.claims[i].id);
    CHECK(a.claims[i].state == b.claims[i].state);
    CHECK(a.claims[i].age == b.claims[i].age);
    CHECK(a.claims[i].facts == b.claims[i].facts);
  }
}

}  // namespace

TEST_CASE("datagrams survive the trip and stay below the bound") {
  std::mt19937_64 random(11);
  for (int i = 0; i < 300; ++i) {
    const comfreyflow::Datagram datagram = RandomDatagram(random);
    const std::string bytes = EncodeDatagram(datagram, kKey);
    CHECK(bytes.size() <= SizeBound(datagram));
    comfreyflow::Datagram read;
    REQUIRE_FALSE(DecodeDatagram(bytes, kKey, read));
    CheckSame(datagram, read);
  }
}

TEST_CASE(
    "a datagram of an older build is taken as one that evacuates nothing") {
  comfreyflow::Datagram datagram;
  datagram.evacuations = EvacuationState{{1, 2}, {}};
  const std::string with = EncodeDatagram(datagram, kKey);
  datagram.evacuations.reset();
  const std::string without = EncodeDatagram(datagram, kKey);
  // Absent, the field takes no byte, so that this is what older builds send.
  CHECK(without.size() < with.size());
  comfreyflow::Datagram older;
  REQUIRE_FALSE(DecodeDatagram(without, kKey, older));
  CHECK_FALSE(older.evacuations);
  comfreyflow::Datagram read;
  REQUIRE_FALSE(DecodeDatagram(with, kKey, read));
  REQUIRE(read.evacuations);
  CHECK(read.evacuations->domains.empty());
}

TEST_CASE("hosts of older builds count as ready") {
  comfreyflow::Datagram datagram;
  datagram.sender.value = 5;
  datagram.claims.push_back({{7}, MemberState::kAlive, {}, {}});
  const std::string without = EncodeDatagram(datagram, kKey);
  datagram.facts.unready = true;
  datagram.claims[0].facts.unready = true;
  const std::string with = EncodeDatagram(datagram, kKey);
  // Absent, the field takes no byte, so that this is what older builds send.
  CHECK(without.size() < with.size());
  comfreyflow::Datagram read;
  REQUIRE_FALSE(DecodeDatagram(without, kKey, read));
  CHECK_FALSE(read.facts.unready);
  CHECK_FALSE(read.claims.at(0).facts.unready);
  REQUIRE_FALSE(DecodeDatagram(with, kKey, read));
  CHECK(read.facts.unready);
  CHECK(read.claims.at(0).facts.unready);
}

TEST_CASE("ages are rounded up, so that relayed evidence never grows younger") {
  comfreyflow::Datagram datagram;
  datagram.claims.push_back({{7}, MemberState::kAlive, Duration(1), {}});
  comfreyflow::Datagram read;
  REQUIRE_FALSE(DecodeDatagram(EncodeDatagram(datagram, kKey), kKey, read));
  CHECK(read.claims.at(0).age == kAgeUnit);
}

TEST_CASE("a changed byte, another key or another kind of message is refused") {
  std::mt19937_64 random(12);
  const std::string bytes = EncodeDatagram(RandomDatagram(random), kKey);
  comfreyflow::Datagram read;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK(DecodeDatagram(bad, kKey, read) == Errc::kBadSignature);
  }
  CHECK(DecodeDatagram(bytes, {"another"}, read) == Errc::kBadSignature);
  CHECK(DecodeDatagram("", kKey, read) == Errc::kBadSignature);
  wire::Envelope envelope;
  CHECK(DecodeEnvelope(bytes, kKey, envelope) == Errc::kBadSignature);
}

TEST_CASE("signed nonsense gives a codec error") {
  wire::Envelope envelope;
  envelope.host = "a";
  wire::ReserveCall call;
  call.target = "t";
  envelope.bodies.emplace_back().__set_reserve(call);
  const std::string bytes = EncodeEnvelope(envelope, kKey);
  wire::Envelope read;
  REQUIRE_FALSE(DecodeEnvelope(bytes, kKey, read));
  CHECK(read == envelope);
  // Values out of range, with a good signature.
  comfreyflow::Datagram datagram;
  datagram.facts.load = 200;
  CHECK(DecodeDatagram(EncodeDatagram(datagram, kKey), kKey, datagram) ==
        Errc::kCodec);
}

TEST_CASE("targets' own words survive the trip between hosts") {
  wire::PlaceMessages messages;
  messages.sender.value = "host1";
  messages.incarnation.value = 3;
  messages.leaving.push_back({{"a"}, {3, 12}, true, 1'764'000'000'000});
  messages.back_offs.push_back(
      {{"service"}, {"b"}, std::chrono::milliseconds(1500)});
  CHECK_FALSE(messages.empty());
  const Time now{std::chrono::hours(1)};
  wire::PlaceMessages out;
  CHECK_FALSE(wire::DecodePlacement(
      wire::EncodePlacement(messages, {"key"}, now), {"key"}, now, out));
  CHECK(out.leaving == messages.leaving);
  REQUIRE(out.back_offs.size() == 1);
  CHECK(out.back_offs[0].service.value == "service");
  CHECK(out.back_offs[0].target.value == "b");
  CHECK(out.back_offs[0].back_off == std::chrono::milliseconds(1500));
}

TEST_CASE("an ask tells when its request must have begun, or nothing of it") {
  const Time now{std::chrono::hours(1)};
  const auto trip = [now](Time begin_by) {
    wire::PlaceMessages messages;
    messages.sender.value = "host1";
    wire::PlaceRequestMessage& ask = messages.requests.emplace_back();
    ask.job.deadline = now + std::chrono::seconds(15);
    ask.job.first_event_deadline = begin_by;
    wire::PlaceMessages out;
    CHECK_FALSE(wire::DecodePlacement(
        wire::EncodePlacement(messages, {"key"}, now), {"key"}, now, out));
    REQUIRE(out.requests.size() == 1);
    return out.requests[0].job.first_event_deadline;
  };
  const Time begin_by = now + std::chrono::seconds(12);
  CHECK(trip(begin_by) == begin_by);
  CHECK(trip(now) == now);
  CHECK(trip(Time::max()) == Time::max());
}

TEST_CASE("grants and running work keep the era of a target's entry") {
  const Time now{std::chrono::hours(1)};
  const PlacedTarget target{{"a"}, "10.0.0.1:1", 7, {4, 90}, 100};
  PlaceGrant grant;
  grant.targets = {target};
  wire::PlaceMessages messages;
  messages.sender.value = "host1";
  messages.answers.emplace_back().decision = grant;
  messages.syncs.push_back({{"s"}, {}});
  messages.syncs[0].running.emplace_back().targets = {target};
  wire::PlaceMessages out;
  REQUIRE_FALSE(wire::DecodePlacement(
      wire::EncodePlacement(messages, {"key"}, now), {"key"}, now, out));
  const auto* read = std::get_if<PlaceGrant>(&out.answers.at(0).decision);
  REQUIRE(read != nullptr);
  CHECK(read->targets.at(0) == target);
  CHECK(out.syncs.at(0).running.at(0).targets.at(0) == target);
}

TEST_CASE("a host of an older build, which sends no era, is understood") {
  wire::PlaceDatagram datagram;
  datagram.sender = "host1";
  wire::TargetMark& mark = datagram.leaving.emplace_back();
  mark.target = "a";
  mark.version = 12;
  mark.closed = true;
  wire::PlacedTarget& target =
      datagram.answers.emplace_back().targets.emplace_back();
  target.name = "a";
  target.version = 12;
  const Time now{std::chrono::hours(1)};
  wire::PlaceMessages out;
  REQUIRE_FALSE(wire::DecodePlacement(
      wire::EncodePlaceDatagram(datagram, {"key"}), {"key"}, now, out));
  CHECK(out.leaving.at(0).version == StoreVersion{0, 12});
  CHECK(out.leaving.at(0).entry_born == 0);
  const auto* grant = std::get_if<PlaceGrant>(&out.answers.at(0).decision);
  REQUIRE(grant != nullptr);
  CHECK(grant->targets.at(0).version == StoreVersion{0, 12});
}

TEST_CASE("the answer of an older build counts as one to this process") {
  // Written by the build before the asker's process was named.
  constexpr std::string_view kHex =
      "180e66726f6e742d6b6f6b7572612d321680b4f4fbc868190c192c160e15061500190c15"
      "001500150000161015081500191c1808726f757465732d30180e31302e312e302e34303a"
      "38303830150016d20116d00f0015001500150000190c190c190c190c190c0000ec801456"
      "375a544dedb6af8f2bd517";
  std::string bytes;
  for (std::size_t i = 0; i < kHex.size(); i += 2) {
    bytes += static_cast<char>(
        std::stoi(std::string(kHex.substr(i, 2)), nullptr, 16));
  }
  wire::PlaceMessages out;
  REQUIRE_FALSE(wire::DecodePlacement(bytes, kKey, {}, out));
  REQUIRE(out.answers.size() == 2);
  CHECK(out.answers[0].is_queued);
  CHECK_FALSE(out.answers[0].asker.has_value());
  CHECK(out.answers[1].sequence == 8);
  CHECK_FALSE(out.answers[1].asker.has_value());
  // Without the field the bytes are the same, so that an older build reads
  // all others.
  CHECK(wire::EncodePlacement(out, kKey, {}) == bytes);
  out.answers[0].asker = Incarnation{0};
  out.answers[1].asker = Incarnation{1'796'500'000'000};
  wire::PlaceMessages named;
  REQUIRE_FALSE(wire::DecodePlacement(wire::EncodePlacement(out, kKey, {}),
                                      kKey, {}, named));
  CHECK(named.answers[0].asker == Incarnation{0});
  CHECK(named.answers[1].asker == Incarnation{1'796'500'000'000});
}
