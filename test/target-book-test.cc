// Use of targets while their list is unavailable, outdated or incomplete.
#include "comfreyflow/target-book.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSettlingTime = seconds(2);

TargetEntry Entry(const std::string& name, bool leaving = false) {
  TargetEntry entry;
  entry.service.value = "s";
  entry.target.name.value = name;
  entry.target.address = "10.0.0.1:1";
  entry.target.slots = 4;
  entry.target.leaving = leaving;
  return entry;
}

std::size_t InPool(const TargetBook& book) {
  const auto pool = book.Pool();
  const auto at = pool.find({"s"});
  return at == pool.end() ? 0 : at->second.size();
}

}  // namespace

TEST_CASE("an entry removed while the store is reachable is dropped at once") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a"), Entry("b")}, kStart);
  CHECK(book.TakeChanged());
  book.Removed({"a"}, kStart + seconds(1));
  CHECK(InPool(book) == 1);
  CHECK(book.TakeChanged());
  CHECK_FALSE(book.TakeChanged());
}

TEST_CASE(
    "entries that expired in an outage are used until the settling time is "
    "over") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a"), Entry("b")}, kStart);
  book.StoreLost(kStart + seconds(1));
  book.StoreBack(kStart + seconds(5));
  book.SetList({Entry("b")}, kStart + seconds(5));
  book.Tick(kStart + seconds(5) + kSettlingTime - milliseconds(1));
  CHECK(InPool(book) == 2);
  CHECK(book.missing() == 1);
  SUBCASE("an entry that came back stays") {
    book.Put(Entry("a"));
    book.Tick(kStart + seconds(8));
    CHECK(InPool(book) == 2);
  }
  SUBCASE("an entry that did not come back is dropped") {
    CHECK(book.Tick(kStart + seconds(6)) ==
          kStart + seconds(5) + kSettlingTime);
    CHECK_FALSE(book.Tick(kStart + seconds(5) + kSettlingTime));
    CHECK(InPool(book) == 1);
    CHECK(book.missing() == 0);
  }
}

TEST_CASE("a leaving target does not come back because of an outage") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a", true)}, kStart);
  book.StoreLost(kStart);
  book.StoreBack(kStart + seconds(1));
  book.SetList({}, kStart + seconds(1));
  CHECK(InPool(book) == 0);
}

TEST_CASE("a second outage restarts the settling time") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a")}, kStart);
  book.StoreLost(kStart);
  book.StoreBack(kStart + seconds(1));
  book.SetList({}, kStart + seconds(1));
  book.StoreLost(kStart + seconds(2));
  book.Tick(kStart + seconds(4));
  CHECK(InPool(book) == 1);
  book.StoreBack(kStart + seconds(5));
  book.Tick(kStart + seconds(6));
  CHECK(InPool(book) == 1);
  book.Tick(kStart + seconds(7));
  CHECK(InPool(book) == 0);
}

TEST_CASE("an equal entry is not a change") {
  TargetBook book(kSettlingTime);
  book.Put(Entry("a"));
  CHECK(book.TakeChanged());
  book.Put(Entry("a"));
  CHECK_FALSE(book.TakeChanged());
  book.Put(Entry("a", true));
  CHECK(book.TakeChanged());
  TargetEntry later = Entry("a", true);
  later.target.version.revision = 7;
  book.Put(later);
  CHECK_FALSE(book.TakeChanged());
  CHECK(book.Pool().at({"s"}).front().version.revision == 7);
}

TEST_CASE("a report that arrives late does not reopen a leaving target") {
  TargetBook book(kSettlingTime);
  const auto report = [](std::uint64_t born, std::uint64_t number,
                         bool leaving) {
    TargetEntry entry = Entry("a", leaving);
    entry.target.born = born;
    entry.report = number;
    return entry;
  };
  const auto leaving = [&book] {
    return book.Pool().at({"s"}).front().leaving;
  };
  CHECK(book.Put(report(1, 7, false)));
  CHECK(book.Put(report(1, 9, true)));
  CHECK_FALSE(book.Put(report(1, 8, false)));
  CHECK(leaving());
  CHECK(book.Put(report(1, 10, false)));
  CHECK_FALSE(leaving());
  CHECK(book.Put(report(1, 11, true)));
  SUBCASE("a new start has its own sequence numbers") {
    CHECK(book.Put(report(2, 1, false)));
    CHECK_FALSE(leaving());
  }
  SUBCASE("an outdated report in a complete list is ignored too") {
    book.SetList({report(1, 10, false)}, kStart);
    CHECK(leaving());
  }
  SUBCASE("an entry without a number is accepted") {
    CHECK(book.Put(report(1, 0, false)));
    CHECK_FALSE(leaving());
  }
}

TEST_CASE(
    "reports without a start are accepted in the order of their arrival") {
  TargetBook book(kSettlingTime);
  TargetEntry entry = Entry("a", true);
  entry.report = 9;
  CHECK(book.Put(entry));
  entry.target.leaving = false;
  entry.report = 1;
  CHECK(book.Put(entry));
  book.TakeChanged();
  entry.report = 2;
  CHECK(book.Put(entry));
  CHECK_FALSE(book.TakeChanged());
}

TEST_CASE(
    "an entry that describes no target any more is dropped even in an outage") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a"), Entry("b")}, kStart);
  book.StoreLost(kStart);
  book.Removed({"b"}, kStart);
  book.TakeChanged();
  book.Dropped({"a"});
  book.Dropped({"b"});
  CHECK(book.TakeChanged());
  CHECK(InPool(book) == 0);
  CHECK(book.missing() == 0);
  book.Dropped({"a"});
  CHECK_FALSE(book.TakeChanged());
}

TEST_CASE(
    "a mark of a peer closes a target before the list of this host does") {
  const auto entry = [](const std::string& name, std::uint64_t version) {
    TargetEntry out = Entry(name);
    out.target.version.revision = version;
    return out;
  };
  const auto leaving = [](const TargetBook& book) {
    return book.Pool().at({"s"}).front().leaving;
  };
  TargetBook book(kSettlingTime);
  book.SetList({entry("a", 5)}, kStart);
  book.TakeChanged();
  SUBCASE("closes at a later version of its entry") {
    CHECK(book.ApplyMark({{"a"}, {0, 8}, true}, kStart));
    CHECK(book.TakeChanged());
    CHECK(leaving(book));
    CHECK_FALSE(book.ApplyMark({{"a"}, {0, 8}, true}, kStart));
    // An entry from before the mark does not reopen the target, a later one
    // does.
    book.Put(entry("a", 7));
    CHECK(leaving(book));
    book.Put(entry("a", 9));
    CHECK_FALSE(leaving(book));
  }
  SUBCASE("closes at the version known here, as its entry was removed") {
    CHECK(book.ApplyMark({{"a"}, {0, 5}, true}, kStart));
    CHECK(leaving(book));
  }
  SUBCASE("marks expire after some minutes and are bounded in number") {
    book.ApplyMark({{"a"}, {0, 8}, true}, kStart);
    for (int i = 0; i < 5000; ++i) {
      book.ApplyMark({{"gone" + std::to_string(i)}, {0, 3}, true}, kStart);
    }
    const Time later = kStart + std::chrono::minutes(6);
    book.Tick(later);
    book.Put(entry("b", 5));
    CHECK(book.ApplyMark({{"b"}, {0, 6}, true}, later));
  }
  SUBCASE("does not close at an earlier version") {
    CHECK_FALSE(book.ApplyMark({{"a"}, {0, 4}, true}, kStart));
    CHECK_FALSE(leaving(book));
  }
  SUBCASE("does not close if the entry expired in an outage") {
    book.StoreLost(kStart);
    CHECK_FALSE(book.ApplyMark({{"a"}, {0, 5}, true}, kStart));
    CHECK(book.ApplyMark({{"a"}, {0, 6}, true}, kStart));
  }
  SUBCASE("shows that the list is behind") {
    book.ApplyMark({{"a"}, {0, 8}, true}, kStart);
    CHECK_FALSE(book.IsListBehind(kStart + milliseconds(900), {}));
    CHECK(book.IsListBehind(kStart + milliseconds(1100), {}));
    CHECK_FALSE(book.IsListBehind(kStart + milliseconds(1100), seconds(1)));
    book.Put(entry("a", 8));
    CHECK_FALSE(book.IsListBehind(kStart + milliseconds(1100), {}));
  }
}

TEST_CASE("leaving and removed targets are reported to peers once") {
  TargetBook book(kSettlingTime);
  TargetEntry a = Entry("a");
  a.target.version.revision = 5;
  TargetEntry b = Entry("b");
  b.target.version.revision = 6;
  book.SetList({a, b}, kStart);
  CHECK(book.TakeMarks().empty());
  a.target.leaving = true;
  a.target.version.revision = 7;
  book.Put(a);
  book.Put(a);
  book.Removed({"b"}, kStart);
  const std::vector<TargetMark> marks = {{{"a"}, {0, 7}, true},
                                         {{"b"}, {0, 6}, true}};
  CHECK(book.TakeMarks() == marks);
  CHECK(book.TakeMarks().empty());
  // An expired entry does not mean that the target has ended.
  TargetEntry c = Entry("c");
  book.Put(c);
  book.StoreLost(kStart);
  book.Removed({"c"}, kStart);
  CHECK(book.TakeMarks().empty());
}

TEST_CASE("a removal returns whether the target stays in use") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a"), Entry("b"), Entry("c", true)}, kStart);
  CHECK_FALSE(book.Removed({"a"}, kStart));
  book.StoreLost(kStart);
  CHECK(book.Removed({"b"}, kStart));
  CHECK_FALSE(book.Removed({"c"}, kStart));
}

TEST_CASE(
    "a start that reported that it is leaving stays closed while it runs") {
  TargetBook book(kSettlingTime);
  const auto entry = [](std::uint64_t born, std::uint64_t version) {
    TargetEntry out = Entry("a");
    out.target.born = born;
    out.target.version.revision = version;
    out.report = version;
    return out;
  };
  book.SetList({entry(100, 5)}, kStart);
  CHECK(book.RecordLeaving({{"a"}, 100, {0, 4}, {}}, kStart));
  CHECK_FALSE(book.RecordLeaving({{"a"}, 100, {0, 4}, {}}, kStart));
  CHECK(book.Leaving({"a"}));
  const std::vector<TargetMark> marks = {{{"a"}, {0, 5}, true, 100}};
  CHECK(book.TakeMarks() == marks);
  SUBCASE("stays closed whatever the list says, for as long as it is listed") {
    Time now = kStart;
    for (std::uint64_t version = 6; version < 200; ++version) {
      now += std::chrono::minutes(1);
      book.Put(entry(100, version));
      book.Tick(now);
      REQUIRE(book.Leaving({"a"}));
    }
  }
  SUBCASE("stays closed over an outage in which its entry expired") {
    book.StoreLost(kStart);
    book.Removed({"a"}, kStart);
    book.StoreBack(kStart + seconds(1));
    book.Put(entry(100, 9));
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("an entry without a start does not reopen it") {
    book.Put(entry(0, 9));
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("an entry of an earlier start does not reopen it") {
    book.Put(entry(90, 4));
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("an entry of a later start reopens it permanently") {
    book.Put(entry(200, 6));
    CHECK_FALSE(book.Leaving({"a"}));
    CHECK(book.self_reported_leaving() == 0);
    // A late report about the earlier start, from this host or from a peer.
    CHECK_FALSE(book.RecordLeaving({{"a"}, 100, {0, 5}, {}}, kStart));
    CHECK_FALSE(book.ApplyMark({{"a"}, {0, 5}, true, 100}, kStart));
    CHECK_FALSE(book.Leaving({"a"}));
  }
  SUBCASE("a later start reopens it on a host whose clock is behind") {
    book.Put(entry(50, 6));
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE(
    "a start that was reported as leaving before it is listed is closed when "
    "listed") {
  TargetBook book(kSettlingTime);
  TargetEntry listed = Entry("a");
  listed.target.born = 100;
  listed.target.version.revision = 5;
  book.SetList({listed}, kStart);
  SUBCASE("reported by a mark") {
    CHECK(book.ApplyMark({{"a"}, {0, 8}, true, 200}, kStart));
  }
  SUBCASE("reported by its own answer") {
    CHECK(book.RecordLeaving({{"a"}, 200, {0, 8}, {}}, kStart));
  }
  // The earlier start has ended as well.
  CHECK(book.Leaving({"a"}));
  listed.target.born = 200;
  listed.target.version.revision = 9;
  book.Put(listed);
  CHECK(book.Leaving({"a"}));
}

TEST_CASE(
    "an answer closes only a target that is listed at the address it came "
    "from") {
  TargetBook book(kSettlingTime);
  book.SetList({Entry("a")}, kStart);
  CHECK_FALSE(book.RecordLeaving({{"a"}, 0, {0, 0}, "10.0.0.9:1"}, kStart));
  CHECK_FALSE(book.RecordLeaving({{"b"}, 0, {0, 0}, "10.0.0.1:1"}, kStart));
  CHECK(book.RecordLeaving({{"a"}, 0, {0, 0}, "10.0.0.1:1"}, kStart));
  CHECK(book.Leaving({"a"}));
}

TEST_CASE("closed starts that are no longer listed are eventually forgotten") {
  TargetBook book(kSettlingTime);
  Time now = kStart;
  for (int i = 0; i < 20'000; ++i) {
    now += seconds(1);
    TargetEntry entry = Entry("t" + std::to_string(i));
    entry.target.born = 1;
    book.Put(entry);
    REQUIRE(book.RecordLeaving({entry.target.name, 1, {0, 0}, {}}, now));
    book.Removed(entry.target.name, now);
    REQUIRE(book.self_reported_leaving() <= 8192);
  }
}

namespace {

/// An entry of a start of the target "a" in an era of the store.
TargetEntry EntryIn(std::uint64_t era, std::uint64_t revision,
                    std::uint64_t born, std::uint64_t report,
                    bool leaving = false) {
  TargetEntry entry = Entry("a", leaving);
  entry.target.version = {era, revision};
  entry.target.born = born;
  entry.report = report;
  return entry;
}

/// A book whose store changed from era 1, with `before` as its list, to era 2.
TargetBook BookAfterDrill(const std::vector<TargetEntry>& before) {
  TargetBook book(kSettlingTime);
  book.SetEra(1);
  book.SetList(before, kStart);
  book.SetEra(2);
  book.SetSettling(kStart);
  book.TakeMarks();
  return book;
}

}  // namespace

TEST_CASE(
    "a target that was leaving stays closed as an older copy lists it ready") {
  TargetBook book = BookAfterDrill({EntryIn(1, 50, 100, 9, true)});
  book.SetList({EntryIn(2, 40, 100, 8)}, kStart);
  CHECK(book.Leaving({"a"}));
  SUBCASE("also after the settling time") {
    book.Tick(kStart + seconds(60));
    book.SetList({EntryIn(2, 40, 100, 8)}, kStart + seconds(60));
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("until a later report of that start") {
    book.Put(EntryIn(2, 41, 100, 10));
    CHECK_FALSE(book.Leaving({"a"}));
  }
  SUBCASE("until a later start") {
    book.Put(EntryIn(2, 41, 200, 1));
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE(
    "a target that was removed stays closed as an older copy lists it ready") {
  TargetBook book(kSettlingTime);
  book.SetEra(1);
  book.SetList({EntryIn(1, 50, 100, 9)}, kStart);
  book.Removed({"a"}, kStart);
  book.SetEra(2);
  book.SetSettling(kStart);
  book.SetList({EntryIn(2, 40, 100, 9)}, kStart);
  CHECK(book.Leaving({"a"}));
  SUBCASE("also in a third era") {
    book.SetEra(3);
    book.SetSettling(kStart);
    book.SetList({EntryIn(3, 30, 100, 7)}, kStart);
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("until its own later word") {
    book.Put(EntryIn(2, 41, 100, 10));
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE(
    "an earlier start that an older copy lists does not replace a later") {
  TargetBook book = BookAfterDrill({EntryIn(1, 50, 200, 3)});
  book.SetList({EntryIn(2, 40, 100, 90)}, kStart);
  CHECK_FALSE(book.Leaving({"a"}));
  CHECK(book.Pool().at({"s"}).front().born == 200);
  SUBCASE("and neither is used if the later one does not write again") {
    book.Tick(kStart + kSettlingTime);
    CHECK(InPool(book) == 0);
    book.SetList({EntryIn(2, 40, 100, 90)}, kStart + seconds(3));
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("and the later one stays once it has written again") {
    book.Put(EntryIn(2, 41, 200, 4));
    book.Tick(kStart + kSettlingTime);
    CHECK(InPool(book) == 1);
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE("a target that an older copy lacks is used for the settling time") {
  TargetBook book = BookAfterDrill({EntryIn(1, 50, 100, 9)});
  book.SetList({}, kStart);
  book.Tick(kStart + kSettlingTime - milliseconds(1));
  CHECK(InPool(book) == 1);
  book.Tick(kStart + kSettlingTime);
  CHECK(InPool(book) == 0);
  REQUIRE(book.TakeExpired().size() == 1);
  CHECK(book.TakeExpired().empty());
  SUBCASE("and again when it writes later") {
    book.Put(EntryIn(2, 41, 100, 10));
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE("a mark of an earlier era does not close a target for ever") {
  TargetBook book = BookAfterDrill({});
  const TargetMark mark{{"a"}, {1, 50}, true, 0, 100, 9};
  book.SetList({EntryIn(2, 40, 100, 8)}, kStart);
  CHECK(book.ApplyMark(mark, kStart));
  CHECK(book.Leaving({"a"}));
  SUBCASE("a later report opens it, at a lower revision too") {
    book.Put(EntryIn(2, 41, 100, 10));
    CHECK_FALSE(book.Leaving({"a"}));
    CHECK_FALSE(book.ApplyMark(mark, kStart));
    CHECK_FALSE(book.Leaving({"a"}));
  }
  SUBCASE("a later start opens it") {
    book.Put(EntryIn(2, 41, 200, 1));
    CHECK_FALSE(book.ApplyMark(mark, kStart));
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE("a mark of a host that knows the new era binds one that does not") {
  TargetBook book(kSettlingTime);
  book.SetEra(1);
  book.SetList({EntryIn(1, 50, 100, 9)}, kStart);
  CHECK(book.ApplyMark({{"a"}, {2, 41}, true, 0, 100, 10}, kStart));
  CHECK(book.Leaving({"a"}));
}

TEST_CASE("a mark without an era counts as of the era that is known here") {
  TargetBook book = BookAfterDrill({});
  book.SetList({EntryIn(2, 40, 100, 8)}, kStart);
  CHECK_FALSE(book.ApplyMark({{"a"}, {0, 39}, true}, kStart));
  CHECK(book.ApplyMark({{"a"}, {0, 41}, true}, kStart));
}

TEST_CASE("an entry without a start is taken for the copy's until it changes") {
  TargetBook book = BookAfterDrill({EntryIn(1, 50, 0, 0, true)});
  book.SetList({EntryIn(2, 40, 0, 0)}, kStart);
  CHECK(book.Leaving({"a"}));
  book.SetList({EntryIn(2, 40, 0, 0)}, kStart + seconds(9));
  CHECK(book.Leaving({"a"}));
  book.Put(EntryIn(2, 41, 0, 0));
  CHECK_FALSE(book.Leaving({"a"}));
}

TEST_CASE("a start that reported its leaving stays closed in a later era") {
  TargetBook book(kSettlingTime);
  book.SetEra(1);
  book.SetList({EntryIn(1, 50, 200, 9)}, kStart);
  REQUIRE(book.RecordLeaving({{"a"}, 200, {1, 50}, {}}, kStart));
  book.SetEra(2);
  book.SetSettling(kStart);
  SUBCASE("as does an earlier start, which the copy lists") {
    book.SetList({EntryIn(2, 60, 100, 20)}, kStart);
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("whatever it writes") {
    book.SetList({EntryIn(2, 60, 200, 20)}, kStart);
    CHECK(book.Leaving({"a"}));
  }
  SUBCASE("while a later start opens it at a lower revision") {
    book.SetList({EntryIn(2, 45, 300, 1)}, kStart);
    CHECK_FALSE(book.Leaving({"a"}));
  }
}

TEST_CASE("absence from a list means removal only within one era or later") {
  TargetBook book = BookAfterDrill({});
  const Time settled = kStart + kSettlingTime;
  CHECK_FALSE(book.AbsenceMeansRemoved({2, 40}, {}, settled));
  CHECK(book.AbsenceMeansRemoved({2, 40}, {2, 40}, kStart));
  CHECK_FALSE(book.AbsenceMeansRemoved({2, 41}, {2, 40}, settled));
  // The entry may be missing in the copy.
  CHECK_FALSE(book.AbsenceMeansRemoved({1, 30}, {2, 40}, kStart));
  CHECK(book.AbsenceMeansRemoved({1, 90}, {2, 40}, settled));
  // The host that granted it knows a later era than this one.
  CHECK_FALSE(book.AbsenceMeansRemoved({3, 10}, {2, 40}, settled));
  // A host of an older build names no era.
  CHECK(book.AbsenceMeansRemoved({0, 40}, {2, 40}, kStart));
}
