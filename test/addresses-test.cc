// Answers to callers that ask for hosts: which hosts they contain, in which
// order, and how evenly callers are spread over the hosts.
#include "comfreyflow/addresses.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

const Time kStart{std::chrono::hours(1)};

std::map<HostName, Member> View(int hosts, int domains = 3) {
  std::map<HostName, Member> view;
  for (int i = 0; i < hosts; ++i) {
    Member member;
    member.record.name = {"h" + std::to_string(i)};
    member.record.failure_domain = {"d" + std::to_string(i % domains)};
    member.record.callers = "10.0.0." + std::to_string(i) + ":80";
    view[member.record.name] = member;
  }
  return view;
}

bool Has(const AddressAnswer& answer, int host) {
  const std::string address = "10.0.0." + std::to_string(host) + ":80";
  return std::count(answer.hosts.begin(), answer.hosts.end(), address) == 1;
}

}  // namespace

TEST_CASE(
    "hosts of the caller's failure domain come first, one of another is always "
    "included, and the time to live varies") {
  Addresses addresses(1);
  addresses.SetView(View(9));
  std::vector<Duration> ttls;
  for (int i = 0; i < 20; ++i) {
    const AddressAnswer answer = addresses.Answer({"d1"}, kStart);
    REQUIRE(answer.hosts.size() == kAddressesPerAnswer);
    for (int position = 0; position < 3; ++position) {
      const bool in_d1 = answer.hosts[position] == "10.0.0.1:80" ||
                         answer.hosts[position] == "10.0.0.4:80" ||
                         answer.hosts[position] == "10.0.0.7:80";
      CHECK(in_d1);
    }
    CHECK(answer.ttl <= kAddressTtl);
    CHECK(answer.ttl >= kAddressTtl / 2);
    ttls.push_back(answer.ttl);
  }
  CHECK(*std::min_element(ttls.begin(), ttls.end()) !=
        *std::max_element(ttls.begin(), ttls.end()));
}

TEST_CASE(
    "draining, unready, suspected, dead and departed hosts are in no answer") {
  Addresses addresses(2);
  auto view = View(7);
  view[{"h1"}].facts.draining = true;
  view[{"h2"}].state = MemberState::kSuspect;
  view[{"h3"}].state = MemberState::kDead;
  view[{"h4"}].state = MemberState::kLeft;
  view[{"h5"}].facts.unready = true;
  addresses.SetView(view);
  for (int i = 0; i < 20; ++i) {
    const AddressAnswer answer = addresses.Answer({}, kStart);
    CHECK(answer.hosts.size() == 2);
    for (int excluded = 1; excluded <= 5; ++excluded)
      CHECK_FALSE(Has(answer, excluded));
  }
}

TEST_CASE("a caller whose failure domain is down gets hosts of other domains") {
  Addresses addresses(3);
  auto view = View(9);
  for (const int i : {1, 4, 7}) {
    view[{"h" + std::to_string(i)}].state = MemberState::kDead;
  }
  addresses.SetView(view);
  const AddressAnswer answer = addresses.Answer({"d1"}, kStart);
  CHECK(answer.hosts.size() == kAddressesPerAnswer);
  addresses.SetView({});
  CHECK(addresses.Answer({"d1"}, kStart).hosts.empty());
}

TEST_CASE(
    "callers are spread over all hosts although a restarted host reports no "
    "load") {
  Addresses addresses(4);
  auto view = View(8, 1);
  for (auto& [name, member] : view) member.facts.load = 16;
  view[{"h5"}].facts.load = 0;
  addresses.SetView(view);
  std::map<std::string, int> first;
  for (int i = 0; i < 80; ++i) {
    ++first[addresses.Answer({"d0"}, kStart).hosts.at(0)];
  }
  for (const auto& [host, count] : first) {
    const std::string& address = host;
    CAPTURE(address);
    CHECK(count >= 5);
    CHECK(count <= 16);
  }
  CHECK(first.size() == 8);
}

TEST_CASE("a fully loaded host comes last") {
  Addresses addresses(5);
  auto view = View(4, 1);
  view[{"h2"}].facts.load = kLoadSteps - 1;
  addresses.SetView(view);
  const AddressAnswer answer = addresses.Answer({"d0"}, kStart);
  CHECK(answer.hosts.back() == "10.0.0.2:80");
}

TEST_CASE(
    "weighted samples follow the hosts' weights and contain no host twice") {
  std::mt19937_64 random(7);
  std::vector<WeightedHost> hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({"small" + std::to_string(i), 12});
  }
  for (int i = 0; i < 4; ++i) {
    hosts.push_back({"large" + std::to_string(i), 50});
  }
  int large = 0;
  for (int round = 0; round < 1000; ++round) {
    const auto sample = SampleHosts(hosts, 4, random);
    REQUIRE(sample.size() == 4);
    const std::set<std::string> distinct(sample.begin(), sample.end());
    CHECK(distinct.size() == 4);
    for (const auto& name : sample) large += name.starts_with("large") ? 1 : 0;
  }
  // The large hosts have 200 of the total weight of 440.
  CHECK(large > 1400);
  CHECK(large < 2200);
  CHECK(SampleHosts(hosts, 50, random).size() == 24);
}

TEST_CASE("hosts of less capacity carry fewer attempts for others") {
  std::mt19937_64 random(7);
  std::vector<std::uint32_t> weights(20, 12);
  weights.insert(weights.end(), 4, 50);
  int large = 0;
  for (int round = 0; round < 4000; ++round) {
    large += PickWeighted(weights, random) >= 20 ? 1 : 0;
  }
  // The large hosts have 200 of the total weight of 440.
  CHECK(large > 1700);
  CHECK(large < 1940);
}

TEST_CASE("hosts of equal capacity carry the same attempts as before") {
  std::mt19937_64 random(7);
  std::mt19937_64 expected(7);
  const std::vector<std::uint32_t> weights(9, 25);
  for (int round = 0; round < 100; ++round) {
    CHECK(PickWeighted(weights, random) == expected() % weights.size());
  }
}
