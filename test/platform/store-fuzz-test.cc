// Seeded mutations of what others write into the store: no reader ends the
// process, loses a sound neighbour or reads the same text in two ways.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "json/bounded-json.h"
#include "platform/documents.h"
#include "platform/settings.h"
#include "platform/stand-ins.h"
#include "platform/store.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr int kRounds = 250;

/// Changes texts at random; the same seed makes the same changes.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t limit) { return random_() % limit; }

  /// A change of any bytes.
  std::string Mutate(std::string text) {
    const auto changes = 1 + Below(4);
    for (std::size_t i = 0; i < changes; ++i) ChangeBytes(text);
    return text;
  }

  /// A change that leaves strings and brackets balanced.
  std::string MutateBalanced(std::string text) {
    const auto changes = 1 + Below(4);
    for (std::size_t i = 0; i < changes; ++i) ChangeValue(text);
    return text;
  }

 private:
  void ChangeBytes(std::string& text) {
    if (text.empty()) return;
    const auto at = Below(text.size());
    switch (Below(5)) {
      case 0:
        text[at] = static_cast<char>(Below(256));
        break;
      case 1:
        text.erase(at, 1 + Below(8));
        break;
      case 2:
        text.insert(at, Value());
        break;
      case 3: {
        const auto length = Below(40);
        text.insert(at, text.substr(Below(text.size()), length));
        break;
      }
      default:
        text.resize(at);
    }
  }

  /// Replaces a number or puts a byte that is neither a quote, a backslash nor
  /// a bracket in place of another one.
  void ChangeValue(std::string& text) {
    static constexpr std::string_view kStructure = "\"\\[]{},:";
    const auto at = Below(text.size());
    const char old = text[at];
    if (kStructure.find(old) != std::string_view::npos) return;
    if (old >= '0' && old <= '9') {
      text.replace(at, 1, Value());
      return;
    }
    const char byte = static_cast<char>(Below(256));
    if (kStructure.find(byte) == std::string_view::npos) text[at] = byte;
  }

  std::string Value() {
    static const std::array<std::string, 14> values = {
        "1e999",       "-1",
        "1e300",       "null",
        "true",        "0.5",
        "70000",       "\"\xff\"",
        "[[]]",        "{}",
        "\"\\u0000\"", "[1,2]",
        "\"x\"",       "99999999999999999999"};
    if (Below(12) > 0) return values.at(Below(values.size()));
    const std::size_t depth = std::size_t{1} << (4 + Below(14));
    return std::string(depth, '[') + std::string(depth, ']');
  }

  std::mt19937_64 random_;
};

std::string Sound(const std::string& name) {
  return nlohmann::json{
      {"Meta", {{"Name", name}, {"Rev", 5}}},
      {"Spec", SampleEntry("app", "10.0.0.1:8080", "z1", "ready")},
      {"Status", nullptr}}
      .dump();
}

std::string ListOf(const std::string& middle) {
  return R"({"Items":[)" + Sound("i1") + "," + middle + "," + Sound("i3") +
         R"(],"MorePages":false,"CurrentRev":9})";
}

std::string BatchOf(const std::string& middle) {
  return R"({"events":[{"Object":)" + Sound("i1") +
         R"(,"Removed":false},{"Object":)" + middle +
         R"(,"Removed":false},{"Object":)" + Sound("i3") +
         R"(,"Removed":false}],"CurrentRev":9})";
}

/// All that readers make of the objects, as a text.
std::string Digest(const std::vector<PlatformObject>& objects) {
  std::string out;
  for (const auto& object : objects) {
    TargetEntry entry;
    out += object.name + '|' + std::to_string(object.version.revision) + '|' +
           object.value + '|' + (object.deleted ? "deleted" : "");
    if (ReadTarget(object.name, object.value, entry)) {
      out += '|' + entry.service.value + '|' + entry.target.address + '|' +
             std::to_string(entry.target.slots);
    }
    out += '\n';
  }
  return out;
}

bool IsSound(const PlatformObject& object, const std::string& name) {
  TargetEntry entry;
  return object.name == name && ReadTarget(name, object.value, entry) &&
         entry.target.slots == 8;
}

std::vector<PlatformObject> ReadList(const std::string& body) {
  ListAnswer out;
  StoreApi().read_list(body, out);
  return out.items;
}

std::vector<PlatformObject> ReadBatch(const std::string& body) {
  WatchAnswer out;
  StoreApi().read_watch(body, out);
  return out.changes;
}

/// Reads the text; "malformed" if it is no answer.
template <class Read>
std::string DigestOf(const Read& read, const std::string& body) {
  try {
    return Digest(read(body));
  } catch (const std::exception&) {
    return "malformed";
  }
}

/// Every reader of texts of others, on any text.
void ReadAsAll(const std::string& text) {
  CHECK(DigestOf(ReadList, text) == DigestOf(ReadList, text));
  CHECK(DigestOf(ReadBatch, text) == DigestOf(ReadBatch, text));
  CHECK(StoreApi().read_version(text) == StoreApi().read_version(text));
  RouteDocument document;
  const auto error = ReadDocument(text, document);
  CHECK(ReadDocument(text, document) == error);
  TargetEntry entry;
  TargetEntry again;
  CHECK(ReadTarget("i1", text, entry) == ReadTarget("i1", text, again));
  CHECK(entry == again);
  HostSettings settings;
  std::string problem;
  ParseSettings(text, settings, problem);
  const auto json = json::Parse(text);
  // Within the bound values can be copied, compared and written out.
  const auto copy = json;
  CHECK(copy.is_discarded() == json.is_discarded());
  if (json.is_discarded()) return;
  CHECK(copy == json);
  CHECK_NOTHROW(static_cast<void>(copy.dump()));
}

}  // namespace

TEST_CASE("an object with odd values costs no sound neighbour") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Mutator mutator(seed);
    for (int i = 0; i < kRounds; ++i) {
      const std::string odd = mutator.MutateBalanced(Sound("i2"));
      for (const auto& objects :
           {ReadList(ListOf(odd)), ReadBatch(BatchOf(odd))}) {
        REQUIRE(objects.size() == 3);
        REQUIRE(IsSound(objects.front(), "i1"));
        REQUIRE(IsSound(objects.back(), "i3"));
      }
      REQUIRE(Digest(ReadList(ListOf(odd))) == Digest(ReadBatch(BatchOf(odd))));
    }
  }
}

TEST_CASE("no bytes in the store end a host, and all are read alike") {
  const std::vector<std::string> texts = {
      ListOf(Sound("i2")),
      BatchOf(Sound("i2")),
      Sound("i2"),
      SampleConfig(7).dump(),
      SampleEntry("app", "10.0.0.1:8080", "z1", "ready").dump(),
      R"({"gossip":"127.0.0.1:7340"})"};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Mutator mutator(seed);
    for (int i = 0; i < kRounds / 10; ++i) {
      for (const auto& text : texts) {
        ReadAsAll(mutator.Mutate(text));
        ReadAsAll(mutator.MutateBalanced(text));
      }
    }
  }
}
