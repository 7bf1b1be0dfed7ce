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
    CHECK(splitter.rest() == "id: 3\nda");
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
  splitter.DropRest();
  CHECK(splitter.Feed("id: 5\ndata: half\n\n") == "id: 5\ndata: half\n\n");
  CHECK(splitter.last_id() == "5");
}

TEST_CASE("an event without id keeps the last one") {
  EventSplitter splitter;
  splitter.Feed("id: 9\n\ndata: no id\n\n");
  CHECK(splitter.last_id() == "9");
  CHECK(splitter.events() == 2);
}
