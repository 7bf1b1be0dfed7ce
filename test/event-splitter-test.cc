// Splitting a stream that arrives in pieces and may break off at any byte.
#include "comfreyflow/event-splitter.h"

#include <doctest/doctest.h>

using comfreyflow::EventSplitter;

TEST_CASE("events are complete wherever the stream is cut") {
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

TEST_CASE("a stream with carriage returns is split when fed byte by byte") {
  const std::string stream = "id:7\r\ndata: x\r\n\r\n";
  EventSplitter splitter;
  std::string out;
  for (const char byte : stream) out += splitter.Feed({&byte, 1});
  CHECK(out == stream);
  CHECK(splitter.last_id() == "7");
}

TEST_CASE("an interrupted event is discarded and resumed by the next target") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 4\ndata: a\n\nid: 5\ndata: ha").size() == 15);
  splitter.DropUnfinished();
  CHECK(splitter.Feed("id: 5\ndata: half\n\n") == "id: 5\ndata: half\n\n");
  CHECK(splitter.last_id() == "5");
}

TEST_CASE("an event without id keeps the id of the previous event") {
  EventSplitter splitter;
  splitter.Feed("id: 9\n\ndata: no id\n\n");
  CHECK(splitter.last_id() == "9");
  CHECK(splitter.events() == 2);
}

TEST_CASE(
    "comments and blocks without data are forwarded with the next event") {
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

TEST_CASE(
    "an event that never ends is reported once it exceeds the size limit") {
  EventSplitter splitter;
  const std::string chunk(64, 'x');
  std::size_t fed = 0;
  while (!splitter.too_long()) {
    CHECK(splitter.Feed(chunk).empty());
    fed += chunk.size();
    REQUIRE(fed < 2 * EventSplitter::kMaxEventBytes);
  }
  CHECK(fed > EventSplitter::kMaxEventBytes);
}

TEST_CASE("a refused event is returned, or what follows it") {
  EventSplitter splitter;
  splitter.StartRun("");
  const std::string first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  CHECK(splitter.Feed(first + "id: 3\nda") == first);
  splitter.StartRun("");
  CHECK(
      splitter.Feed(": keep\n\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n").empty());
  CHECK(splitter.is_refused());
  CHECK(splitter.refused_id() == "1");
  CHECK(splitter.Feed("id: 3\ndata: c\n\n").empty());
  CHECK(splitter.last_id() == "2");
  CHECK(splitter.events() == 2);
  splitter.StartRun("");
  CHECK_FALSE(splitter.is_refused());
  CHECK(splitter.Feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

TEST_CASE("the last of several ids of an event is not its id") {
  EventSplitter splitter;
  splitter.Feed("id: 1\nid: 2\ndata: a\n\n");
  CHECK(splitter.last_id() == "2");
}
