// Whole events out of a stream that comes in pieces and may break anywhere.
#include "comfreyflow/event-splitter.h"

#include <doctest/doctest.h>

using comfreyflow::EventSplitter;

TEST_CASE("events come out whole, however the stream is cut") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::string out = splitter.Feed(stream.substr(0, cut));
    out += splitter.Feed(stream.substr(cut));
    CHECK(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(splitter.last_id() == "2");
    CHECK(splitter.unfinished() == "id: 3\nda");
    CHECK(splitter.events() == 2);
  }
}

TEST_CASE("one byte at a time, with carriage returns") {
  const std::string stream = "id:7\r\ndata: x\r\n\r\n";
  EventSplitter splitter;
  std::string out;
  for (const char byte : stream) out += splitter.Feed({&byte, 1});
  CHECK(out == stream);
  CHECK(splitter.last_id() == "7");
}

TEST_CASE("a broken event is dropped and the next run goes on") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 4\ndata: a\n\nid: 5\ndata: ha").size() == 15);
  splitter.DropUnfinished();
  CHECK(splitter.Feed("id: 5\ndata: half\n\n") == "id: 5\ndata: half\n\n");
  CHECK(splitter.last_id() == "5");
}

TEST_CASE("an event without id keeps the last one") {
  EventSplitter splitter;
  splitter.Feed("id: 9\n\ndata: no id\n\n");
  CHECK(splitter.last_id() == "9");
  CHECK(splitter.events() == 2);
}

TEST_CASE("what is no event comes out with the event behind it") {
  EventSplitter splitter;
  CHECK(splitter.Feed(": keep\n\n").empty());
  CHECK(splitter.Feed("event: ping\n\nretry: 3\n\n").empty());
  CHECK(splitter.events() == 0);
  CHECK(splitter.at_event_boundary());
  CHECK(splitter.Feed("id: 1\ndata: a\n\n: more\n\n") ==
        ": keep\n\nevent: ping\n\nretry: 3\n\nid: 1\ndata: a\n\n");
  CHECK(splitter.events() == 1);
  CHECK(splitter.at_event_boundary());
  CHECK(splitter.TakeUnfinished() == ": more\n\n");
  CHECK(splitter.Feed("da").empty());
  CHECK_FALSE(splitter.at_event_boundary());
}

TEST_CASE("an event that does not end is told, and costs no more with length") {
  EventSplitter splitter;
  const std::string piece(64, 'x');
  std::size_t fed = 0;
  while (!splitter.too_long()) {
    CHECK(splitter.Feed(piece).empty());
    fed += piece.size();
    REQUIRE(fed < 2 * EventSplitter::kMaxEventBytes);
  }
  CHECK(fed > EventSplitter::kMaxEventBytes);
}
