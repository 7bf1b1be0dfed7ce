// When a host requests a configuration document from the peers that announced
// it.
#include "comfreyflow/announced-document.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const Time kStart{std::chrono::hours(1)};
constexpr milliseconds kStoreWait{700};
}  // namespace

TEST_CASE("an announced document is requested from its peer after the wait") {
  AnnouncedDocument announced(kStoreWait);
  CHECK_FALSE(announced.PeerToAsk(3, true, kStart));
  announced.OnAnnouncement(6, {"a"}, 3, kStart);
  CHECK_FALSE(announced.PeerToAsk(3, true, kStart + milliseconds(600)));
  CHECK(announced.PeerToAsk(3, true, kStart + kStoreWait) == HostName{"a"});
  CHECK_FALSE(announced.PeerToAsk(6, true, kStart + kStoreWait));
}

TEST_CASE(
    "an announced document is requested at once if the store is unreachable") {
  AnnouncedDocument announced(kStoreWait);
  announced.OnAnnouncement(6, {"a"}, 3, kStart);
  CHECK(announced.PeerToAsk(3, false, kStart) == HostName{"a"});
}

TEST_CASE("repeated and older announcements do not extend the wait") {
  AnnouncedDocument announced(kStoreWait);
  announced.OnAnnouncement(9, {"a"}, 3, kStart);
  for (int ms = 100; ms < 700; ms += 100) {
    announced.OnAnnouncement(6, {"b"}, 3, kStart + milliseconds(ms));
    announced.OnAnnouncement(9, {"c"}, 3, kStart + milliseconds(ms + 50));
  }
  CHECK(announced.PeerToAsk(3, true, kStart + kStoreWait) == HostName{"c"});
}

TEST_CASE("newer announcements during the wait do not extend it") {
  AnnouncedDocument announced(kStoreWait);
  for (int i = 0; i < 4; ++i) {
    announced.OnAnnouncement(4 + i, {"a"}, 3, kStart + milliseconds(200 * i));
  }
  CHECK(announced.PeerToAsk(3, true, kStart + kStoreWait) == HostName{"a"});
}

TEST_CASE("a new wait starts once the awaited document is in force") {
  AnnouncedDocument announced(kStoreWait);
  announced.OnAnnouncement(4, {"a"}, 3, kStart);
  announced.OnAnnouncement(7, {"a"}, 4, kStart + milliseconds(600));
  CHECK_FALSE(announced.PeerToAsk(4, true, kStart + kStoreWait));
  CHECK(announced.PeerToAsk(4, true, kStart + milliseconds(1300)));
}

TEST_CASE("a document older than the one in force is not requested") {
  AnnouncedDocument announced(kStoreWait);
  announced.OnAnnouncement(2, {"a"}, 3, kStart);
  CHECK_FALSE(announced.PeerToAsk(3, false, kStart + seconds(9)));
}

TEST_CASE("a host that starts with an earlier document does not serve it") {
  AnnouncedDocument announced(kStoreWait);
  CHECK_FALSE(announced.MustNotServe(0, kStart));
  CHECK_FALSE(announced.MustNotServe(3, kStart));
  announced.OnAnnouncement(6, {"a"}, 3, kStart + milliseconds(100));
  CHECK(announced.MustNotServe(3, kStart + milliseconds(100)));
  CHECK(announced.PeerToAsk(3, true, kStart + milliseconds(100)) ==
        HostName{"a"});
  SUBCASE("until the announced one is in force") {
    CHECK_FALSE(announced.MustNotServe(6, kStart + milliseconds(200)));
  }
  SUBCASE("nor for ever, if no peer has the announced one") {
    CHECK(announced.MustNotServe(3, kStart + milliseconds(2900)));
    CHECK_FALSE(
        announced.MustNotServe(3, kStart + AnnouncedDocument::kMaxStartWait));
  }
}

TEST_CASE(
    "a host that has started serves while a later document is on its way") {
  AnnouncedDocument announced(kStoreWait);
  CHECK_FALSE(announced.MustNotServe(3, kStart));
  CHECK_FALSE(announced.MustNotServe(3, kStart + seconds(1)));
  announced.OnAnnouncement(6, {"a"}, 3, kStart + seconds(1));
  CHECK_FALSE(announced.MustNotServe(3, kStart + seconds(1)));
  CHECK_FALSE(announced.PeerToAsk(3, true, kStart + seconds(1)));
}
