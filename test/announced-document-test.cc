// When a host asks peers for a configuration that they announced.
#include "comfreyflow/announced-document.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const Time kStart{std::chrono::hours(1)};
constexpr milliseconds kPatience{700};
}  // namespace

TEST_CASE("a document that was announced once is asked for after the wait") {
  AnnouncedDocument announced(kPatience);
  CHECK_FALSE(announced.PeerToAsk(3, true, kStart));
  announced.OnAnnouncement(6, {"a"}, 3, kStart);
  CHECK_FALSE(announced.PeerToAsk(3, true, kStart + milliseconds(600)));
  CHECK(announced.PeerToAsk(3, true, kStart + kPatience) == HostName{"a"});
  CHECK_FALSE(announced.PeerToAsk(6, true, kStart + kPatience));
}

TEST_CASE("without the store there is nothing to wait for") {
  AnnouncedDocument announced(kPatience);
  announced.OnAnnouncement(6, {"a"}, 3, kStart);
  CHECK(announced.PeerToAsk(3, false, kStart) == HostName{"a"});
}

TEST_CASE("words of peers that are behind the latest make no wait longer") {
  AnnouncedDocument announced(kPatience);
  announced.OnAnnouncement(9, {"a"}, 3, kStart);
  for (int ms = 100; ms < 700; ms += 100) {
    announced.OnAnnouncement(6, {"b"}, 3, kStart + milliseconds(ms));
    announced.OnAnnouncement(9, {"c"}, 3, kStart + milliseconds(ms + 50));
  }
  CHECK(announced.PeerToAsk(3, true, kStart + kPatience) == HostName{"c"});
}

TEST_CASE("changes in quick succession do not put off the first of them") {
  AnnouncedDocument announced(kPatience);
  for (int i = 0; i < 4; ++i) {
    announced.OnAnnouncement(4 + i, {"a"}, 3, kStart + milliseconds(200 * i));
  }
  CHECK(announced.PeerToAsk(3, true, kStart + kPatience) == HostName{"a"});
}

TEST_CASE("a wait begins anew once the awaited document is in force") {
  AnnouncedDocument announced(kPatience);
  announced.OnAnnouncement(4, {"a"}, 3, kStart);
  announced.OnAnnouncement(7, {"a"}, 4, kStart + milliseconds(600));
  CHECK_FALSE(announced.PeerToAsk(4, true, kStart + kPatience));
  CHECK(announced.PeerToAsk(4, true, kStart + milliseconds(1300)));
}

TEST_CASE("an earlier document is not asked for") {
  AnnouncedDocument announced(kPatience);
  announced.OnAnnouncement(2, {"a"}, 3, kStart);
  CHECK_FALSE(announced.PeerToAsk(3, false, kStart + seconds(9)));
}
