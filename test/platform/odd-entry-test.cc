// Entries of other writers that can't be read, between entries of targets: each
// costs itself alone.
#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "node/log.h"
#include "platform/documents.h"
#include "platform/stand-ins.h"
#include "platform/store.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::uint32_t kSlots = 8;

std::string Repeat(const std::string& text, std::size_t count) {
  std::string out;
  out.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) out += text;
  return out;
}

std::string Arrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Objects(std::size_t depth) {
  return Repeat(R"({"":)", depth) + "1" + std::string(depth, '}');
}

/// An entry in which `field` has the JSON text `value`; none if it is empty.
std::string EntryWith(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields = {
      {"Service", R"("app")"},  {"Addr", R"("10.0.0.1:8080")"},
      {"Zone", R"("z1")"},      {"Slots", std::to_string(kSlots)},
      {"State", R"("ready")"},  {"Seq", "4"},
      {"born", "1700000000000"}};
  fields[field] = value;
  std::string out;
  for (const auto& [name, text] : fields) {
    if (text.empty()) continue;
    out += out.empty() ? "{" : ",";
    out += '"' + name + "\":" + text;
  }
  return out + '}';
}

std::string Object(const std::string& meta, const std::string& spec,
                   const std::string& status = "null") {
  return R"({"Meta":)" + meta + R"(,"Spec":)" + spec + R"(,"Status":)" +
         status + '}';
}

std::string Meta(const std::string& name) {
  return R"({"Name":")" + name + R"(","Rev":5,"CreateRev":2,"Finalizers":[]})";
}

std::string Sound(const std::string& name) {
  return Object(Meta(name), EntryWith("Zone", R"("z2")"));
}

struct Odd {
  std::string what;
  std::string object;
  bool is_usable = false;
};

/// An object whose entry is odd in one field.
Odd Field(const std::string& field, const std::string& value,
          bool is_usable = false) {
  return {field + " " + value.substr(0, 40),
          Object(Meta("i2"), EntryWith(field, value)), is_usable};
}

std::vector<Odd> DeepOnes() {
  std::vector<Odd> out;
  const std::string sound = EntryWith("", "");
  for (const std::size_t depth : {10'000U, 50'000U, 100'000U, 450'000U}) {
    const std::string levels = std::to_string(depth) + " levels in ";
    const auto meta = [](const std::string& deep) {
      return R"({"Name":"i2","Rev":5,"Finalizers":)" + deep + '}';
    };
    const auto name = R"({"Name":)" + Arrays(depth) + R"(,"Rev":5})";
    out.push_back({levels + "Spec", Object(Meta("i2"), Arrays(depth))});
    out.push_back({levels + "a field",
                   Object(Meta("i2"), EntryWith("Zone", Arrays(depth)))});
    out.push_back({levels + "another field",
                   Object(Meta("i2"), EntryWith("More", Arrays(depth)))});
    out.push_back({levels + "Meta", Object(meta(Arrays(depth)), sound), true});
    out.push_back({levels + "Name", Object(name, sound)});
    out.push_back(
        {levels + "Status", Object(Meta("i2"), sound, Arrays(depth)), true});
  }
  const auto depth = kMegabyte / 6;
  out.push_back({"objects in Spec", Object(Meta("i2"), Objects(depth))});
  return out;
}

std::vector<Odd> OddNumbers() {
  std::vector<Odd> out;
  for (const char* field : {"Slots", "Seq", "born"}) {
    for (const char* number : {"1e999", "-1e999", "-1", "1e300", "7.5", "-0.5",
                               "18446744073709551616", "\"8\"", "true", "null",
                               "[8]", "{\"n\":8}"}) {
      out.push_back(Field(field, number));
    }
  }
  out.push_back(Field("Slots", "0"));
  out.push_back(Field("Slots", ""));
  out.push_back(Field("Slots", "4294967296"));
  out.push_back(Field("Slots", "4294967295"));
  out.push_back(Field("born", "", true));
  out.push_back(Field("Seq", "", true));
  return out;
}

std::vector<Odd> OddTexts() {
  std::vector<Odd> out;
  for (const char* address : {"10.0.0.1:70000",
                              "10.0.0.1:0",
                              "10.0.0.1:99999999999",
                              "10.0.0.1",
                              "10.0.0.1:",
                              "10.0.0.1:-1",
                              "10.0.0.1:+80",
                              "10.0.0.1: 80",
                              "10.0.0.1:80x",
                              "10.0.0.1:8.0",
                              "",
                              ":",
                              ":80",
                              "::1:80",
                              "fe80::1",
                              "[::1]",
                              "[::1:80",
                              "a.example:80",
                              "0.0.0.0:80",
                              "[::]:80",
                              "224.0.0.1:80",
                              "10.0.0.256:80",
                              "10.0.0.1:80\\n"}) {
    out.push_back(Field("Addr", '"' + std::string(address) + '"'));
  }
  for (const char* field : {"Addr", "Zone", "Service", "State"}) {
    out.push_back(Field(field, "7"));
    out.push_back(Field(field, "null"));
    out.push_back(Field(field, "\"\xff\""));
    out.push_back(Field(field, "\"\xc3\""));
    out.push_back(Field(field, "\"\x01\""));
    out.push_back(Field(field, R"("\ud800")"));
    out.push_back(Field(field, R"("\q")"));
  }
  out.push_back(Field("Addr", ""));
  out.push_back(Field("Service", R"("")"));
  out.push_back(Field("State", R"("gone")"));
  out.push_back(Field("Addr", R"("[::1]:80")", true));
  out.push_back(Field("Service", R"("another")", true));
  out.push_back(Field("Zone", "", true));
  out.push_back(Field("More", R"("]}\"[{\\")", true));
  return out;
}

std::vector<Odd> OddShapes() {
  const std::string sound = EntryWith("", "");
  std::vector<Odd> out;
  for (const char* spec : {"null", "\"text\"", "7", "[]", "{}", "1e999", "nul",
                           "{]", "{\"a\"}", "\"\xff\"", "{\"a\":1,}", "\xff"}) {
    out.push_back({std::string("Spec ") + spec, Object(Meta("i2"), spec)});
  }
  for (const char* meta :
       {"null", "{}", "[]", "7", R"({"Name":7})", R"({"Name":null})",
        R"({"Name":""})", R"({"Rev":5})", "{\"Name\":\"i\xff\"}"}) {
    out.push_back({std::string("Meta ") + meta, Object(meta, sound)});
  }
  out.push_back({"a name of a megabyte",
                 Object(Meta(std::string(kMegabyte, 'n')), sound)});
  out.push_back(
      {"a zone of a megabyte",
       Object(Meta("i2"),
              EntryWith("Zone", '"' + std::string(kMegabyte, 'z') + '"'))});
  for (const char* object : {"null", "7", "[]", "\"text\"", "{}"}) {
    out.push_back({std::string("object ") + object, object});
  }
  for (const char* revision : {"-1", "1e300", "1e999", "\"5\"", "7.5"}) {
    out.push_back(
        {std::string("Rev ") + revision,
         Object(R"({"Name":"i2","Rev":)" + std::string(revision) + '}', sound),
         true});
  }
  return out;
}

std::vector<Odd> AllOdd() {
  std::vector<Odd> out = DeepOnes();
  for (auto&& some : {OddNumbers(), OddTexts(), OddShapes()}) {
    out.insert(out.end(), some.begin(), some.end());
  }
  return out;
}

std::string ListOf(const std::vector<std::string>& objects) {
  std::string out = R"({"Items":[)";
  for (const auto& object : objects) {
    if (&object != &objects.front()) out += ',';
    out += object;
  }
  return out + R"(],"MorePages":true,"CurrentRev":9})";
}

std::string BatchOf(const std::vector<std::string>& objects) {
  std::string out = R"({ "CurrentRev" : 9 , "events" : [)";
  for (const auto& object : objects) {
    if (&object != &objects.front()) out += " , ";
    out += R"({"Object":)" + object + R"(,"Removed":false})";
  }
  return out + "] }";
}

/// Names of the objects that describe a target.
std::multiset<std::string> Usable(const std::vector<PlatformObject>& objects) {
  std::multiset<std::string> out;
  for (const auto& object : objects) {
    TargetEntry entry;
    if (!ReadTarget(object.name, object.value, entry)) continue;
    CHECK(entry.target.slots == kSlots);
    out.insert(object.name);
  }
  return out;
}

std::vector<PlatformObject> ReadList(const std::string& body) {
  ListAnswer answer;
  CHECK_NOTHROW(StoreApi().read_list(body, answer));
  CHECK(answer.version.revision == 9);
  CHECK(answer.more);
  return answer.items;
}

std::vector<PlatformObject> ReadBatch(const std::string& body) {
  WatchAnswer answer;
  CHECK_NOTHROW(StoreApi().read_watch(body, answer));
  CHECK(answer.version.revision == 9);
  return answer.changes;
}

/// One more object is expected than the sound ones, so that it is told of.
void CheckOdd(const Odd& odd) {
  CAPTURE(odd.what);
  const std::vector<std::string> objects = {Sound("i1"), odd.object,
                                            Sound("i3")};
  std::multiset<std::string> expected = {"i1", "i3"};
  if (odd.is_usable) expected.insert("i2");
  const auto listed = ReadList(ListOf(objects));
  CHECK(listed.size() == 3);
  CHECK(Usable(listed) == expected);
  const auto changed = ReadBatch(BatchOf(objects));
  CHECK(changed.size() == 3);
  CHECK(Usable(changed) == expected);
}

/// Targets that `target_unreadable` named, each time.
std::vector<std::string> named_unreadable;

std::uint64_t rejected_documents = 0;
/// Numbers of hosts that `hosts_listed` named.
std::vector<std::uint64_t> listed_hosts;

const bool kTapped = [] {
  node::SetLogTap([](node::Event event, const std::string& line) {
    if (event == node::Event::kDocumentInvalid) ++rejected_documents;
    if (event == node::Event::kHostsListed)
      listed_hosts.push_back(nlohmann::json::parse(line)["hosts"]);
    if (event != node::Event::kTargetUnreadable) return;
    named_unreadable.push_back(nlohmann::json::parse(line)["target"]);
  });
  return true;
}();

}  // namespace

TEST_CASE("an entry nested deeply ends no host and costs no other entry") {
  for (const auto& odd : DeepOnes()) CheckOdd(odd);
}

TEST_CASE("a number out of range costs its own entry alone") {
  for (const auto& odd : OddNumbers()) CheckOdd(odd);
}

TEST_CASE("an address or a text that can't be used costs its entry alone") {
  for (const auto& odd : OddTexts()) CheckOdd(odd);
}

TEST_CASE("an object of another shape costs itself alone") {
  for (const auto& odd : OddShapes()) CheckOdd(odd);
}

TEST_CASE("odd entries beside each other cost no sound one") {
  std::vector<std::string> objects = {Sound("i1")};
  std::multiset<std::string> expected = {"i1", "i3"};
  for (const auto& odd : AllOdd()) {
    if (odd.object.size() > kMegabyte / 8) continue;
    objects.push_back(odd.object);
    if (odd.is_usable) expected.insert("i2");
  }
  objects.push_back(Sound("i3"));
  CHECK(Usable(ReadList(ListOf(objects))) == expected);
  CHECK(Usable(ReadBatch(BatchOf(objects))) == expected);
}

TEST_CASE("a name that is listed twice costs no other entry") {
  const auto listed = ReadList(ListOf(
      {Sound("i1"), Sound("i2"), Sound("i2"), Sound("i3"), Sound("i1")}));
  CHECK(Usable(listed) ==
        std::multiset<std::string>{"i1", "i1", "i2", "i2", "i3"});
}

TEST_CASE("an event without an object costs no other event of its batch") {
  const std::string body = R"({"events":[{"Object":)" + Sound("i1") +
                           R"(,"Removed":false},{"Removed":true},7,null,[],)"
                           R"({"Object":)" +
                           Sound("i3") + R"(,"Removed":true}],"CurrentRev":9})";
  const auto changed = ReadBatch(body);
  REQUIRE(changed.size() == 6);
  CHECK(changed.front().name == "i1");
  CHECK_FALSE(changed.front().deleted);
  CHECK(changed.back().name == "i3");
  CHECK(changed.back().deleted);
  for (std::size_t i = 1; i < 5; ++i) {
    CHECK(changed[i].value.empty());
    CHECK_FALSE(changed[i].deleted);
  }
}

TEST_CASE("a removal is told whatever the removed entry held") {
  for (const auto& odd : DeepOnes()) {
    CAPTURE(odd.what);
    const auto changed = ReadBatch(R"({"events":[{"Removed":true,"Object":)" +
                                   odd.object + R"(}],"CurrentRev":9})");
    REQUIRE(changed.size() == 1);
    if (odd.what.ends_with("Name")) continue;
    CHECK(changed[0].name == "i2");
    CHECK(changed[0].deleted);
  }
}

TEST_CASE("an answer that is no list or batch is reported as malformed") {
  for (const char* body :
       {"", "x", "[]", "7", "{}", R"({"Items":7,"events":7})",
        R"({"Items":[{}],"events":[{}])", R"({"Items":[},"events":[}})",
        R"({"Items":[1,],"events":[1,]})", R"({"Items":[]"events":[]})",
        R"({"Items":["a],"events":["a]})",
        R"({"Items":[],"events":[],"CurrentRev":1}})"}) {
    CAPTURE(body);
    ListAnswer list;
    CHECK_THROWS_AS(StoreApi().read_list(body, list), std::exception);
    WatchAnswer batch;
    CHECK_THROWS_AS(StoreApi().read_watch(body, batch), std::exception);
  }
}

TEST_CASE("hosts follow a list with an odd entry, and use it once mended") {
  for (const std::string& odd : {Arrays(100'000), EntryWith("Slots", "1e999"),
                                 EntryWith("Zone", "\"\xff\""),
                                 EntryWith("Addr", R"("10.0.0.1:70000")")}) {
    CAPTURE(odd.substr(0, 60));
    named_unreadable.clear();
    Site site;
    site.AddTarget("model", "i1");
    FakeTarget& mended = site.AddTarget("app", "i2");
    site.store().PutText("servers", "i2", odd);
    FakeTarget& listed = site.AddTarget("app", "i3");
    site.PutConfig(1);
    const auto host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    const auto is_reached = [&](const FakeTarget& target) {
      const auto before = target.requests().size();
      return site.Until([&] {
        const int status = site.Call(host, "GET", "/safe/1").response.status;
        return status == 200 && target.requests().size() > before;
      });
    };
    REQUIRE(is_reached(listed));
    FakeTarget& changed = site.AddTarget("app", "i4");
    site.store().PutText("servers", "i2", odd + " ");
    site.List("app", listed, "draining");
    REQUIRE(is_reached(changed));
    const auto lists = site.store().lists("servers");
    site.store().Restore(site.store().TakeCopy());
    REQUIRE(site.Until([&] { return site.store().lists("servers") > lists; }));
    REQUIRE(is_reached(changed));
    CHECK(mended.requests().empty());
    CHECK(named_unreadable == std::vector<std::string>{"i2"});
    site.List("app", mended);
    site.List("app", changed, "draining");
    REQUIRE(is_reached(mended));
    CHECK(named_unreadable.size() == 1);
    site.List("app", changed);
    site.store().PutText("servers", "i2", odd);
    REQUIRE(site.Until([&] { return named_unreadable.size() == 2; }));
    REQUIRE(is_reached(changed));
  }
}

TEST_CASE(
    "an odd configuration is rejected, and a later one comes into force") {
  for (const std::string& odd :
       {Arrays(400'000), std::string(R"({"Version":1e999})"),
        std::string("{\"Version\":2,\"a\":\"\xff\"}"), std::string("7")}) {
    CAPTURE(odd.substr(0, 60));
    rejected_documents = 0;
    Site site;
    site.AddTarget("app", "i1");
    site.PutConfig(1);
    const auto host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    site.store().PutText("config", "main", odd);
    REQUIRE(site.Until([&] { return rejected_documents > 0; }));
    CHECK(site.Call(host, "GET", "/safe/1").response.status == 200);
    site.PutConfig(3, [](nlohmann::json& config) {
      config["Routes"][0]["PathPrefix"] = "/later/";
    });
    CHECK(site.Until([&] {
      return site.Call(host, "GET", "/later/1").response.status == 200;
    }));
    CHECK(rejected_documents == 1);
  }
}

TEST_CASE("odd objects of hosts hide no other host") {
  listed_hosts.clear();
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(1);
  int number = 0;
  for (const std::string& odd :
       {Arrays(100'000), R"({"gossip":)" + Arrays(100'000) + '}',
        std::string(R"({"gossip":"127.0.0.1:7","n":1e999})"),
        std::string("{\"gossip\":\"\xff\"}"), std::string("null"),
        std::string(R"({"gossip":"127.0.0.1:70000"})"),
        std::string(R"({"gossip":7})")}) {
    site.store().PutText("comfreyflow-hosts", "a" + std::to_string(number++),
                         odd);
  }
  const auto one = site.AddHost();
  REQUIRE(site.UntilReady(one));
  const auto two = site.AddHost();
  REQUIRE(site.UntilReady(two));
  REQUIRE(site.Until([] { return listed_hosts.size() == 2; }));
  CHECK(listed_hosts == std::vector<std::uint64_t>{0, 1});
}
