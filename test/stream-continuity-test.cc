// Which first events of a run continue a stream.
#include "comfreyflow/stream-continuity.h"

#include <doctest/doctest.h>

#include <initializer_list>

using comfreyflow::StreamContinuity;

namespace {

/// A stream of which one run wrote events with these ids.
StreamContinuity After(std::initializer_list<const char*> ids) {
  StreamContinuity stream;
  stream.StartRun("");
  for (const char* id : ids) REQUIRE(stream.Accept(id));
  stream.StartRun();
  return stream;
}

bool Continues(StreamContinuity stream, const char* id) {
  return stream.Accept(id);
}

}  // namespace

TEST_CASE("a run repeats or skips events of a stream that counts by one") {
  CHECK(Continues(After({"1", "2", "3"}), "4"));
  for (const char* id : {"1", "2", "3", "5", "04x", "-4", "4 ", "a"}) {
    CAPTURE(id);
    CHECK_FALSE(Continues(After({"1", "2", "3"}), id));
  }
  CHECK(Continues(After({"0", "1", "2"}), "3"));
  CHECK_FALSE(Continues(After({"0", "1", "2"}), "0"));
}

TEST_CASE("a run repeats events of a stream whose numbers leave gaps") {
  CHECK(Continues(After({"10", "20", "30"}), "31"));
  CHECK(Continues(After({"1", "2", "3", "5"}), "8"));
  CHECK(Continues(After({"7"}), "9"));
  CHECK(Continues(After({"7", "8"}), "10"));
  CHECK_FALSE(Continues(After({"10", "20", "30"}), "10"));
  CHECK_FALSE(Continues(After({"10", "20", "30"}), "30"));
  CHECK_FALSE(Continues(After({"7"}), "7"));
}

TEST_CASE("a run with ids that are no numbers is refused") {
  CHECK(Continues(After({"a", "b"}), "Z"));
  CHECK(Continues(After({"8", "9"}), "a"));
  CHECK(Continues(After({"18446744073709551616"}), "5"));
  CHECK_FALSE(Continues(After({"a", "b"}), "b"));
}

TEST_CASE("a counted stream continues behind the largest number") {
  CHECK_FALSE(Continues(After({"18446744073709551613", "18446744073709551614",
                               "18446744073709551615"}),
                        "0"));
}

TEST_CASE("an event without id begins a resumed run") {
  StreamContinuity stream = After({"1"});
  CHECK_FALSE(stream.Accept(std::nullopt));
  CHECK_FALSE(stream.Accept(""));
  CHECK(stream.last_id() == "1");
  CHECK(stream.Accept("2"));
  CHECK(stream.Accept(std::nullopt));
}

TEST_CASE("a refused event changes where the next run continues") {
  StreamContinuity stream = After({"1", "2", "3"});
  CHECK_FALSE(stream.Accept("1"));
  CHECK_FALSE(stream.Accept("2"));
  CHECK(stream.last_id() == "3");
  stream.StartRun();
  CHECK(stream.Accept("4"));
  CHECK(stream.last_id() == "4");
}

TEST_CASE("a caller that resumes a stream gets an event that it has") {
  StreamContinuity stream;
  stream.StartRun("12");
  CHECK_FALSE(Continues(stream, "12"));
  CHECK_FALSE(Continues(stream, "1"));
  CHECK(Continues(stream, "14"));
  // Events without id are new to the caller: this response has none yet.
  CHECK(stream.Accept(std::nullopt));
  CHECK_FALSE(stream.Accept("1"));
  CHECK(stream.Accept("13"));
  stream.StartRun("12");
  CHECK(stream.last_id() == "13");
  CHECK_FALSE(stream.Accept("13"));
}

TEST_CASE("the order within a run is checked") {
  StreamContinuity stream;
  stream.StartRun("");
  for (const char* id : {"5", "3", "3", "x", "1"}) CHECK(stream.Accept(id));
  CHECK(stream.last_id() == "1");
}

TEST_CASE("a stream is resumed behind an event that has no id") {
  StreamContinuity stream;
  stream.StartRun("");
  CHECK_FALSE(stream.can_resume());
  CHECK(stream.Accept("1"));
  CHECK(stream.can_resume());
  CHECK(stream.Accept(std::nullopt));
  CHECK_FALSE(stream.can_resume());
  CHECK(stream.Accept("2"));
  CHECK(stream.can_resume());
  CHECK(stream.Accept(""));
  CHECK_FALSE(stream.can_resume());
  CHECK(stream.last_id().empty());
}

TEST_CASE("an id that no request can name is asked for") {
  using namespace std::string_view_literals;
  for (const auto id : {"2\rx"sv, "2\0"sv, "\x7f"sv, "2\t"sv}) {
    StreamContinuity stream;
    stream.StartRun("");
    CHECK(stream.Accept("1"));
    CHECK(stream.Accept(id));
    CHECK_FALSE(stream.can_resume());
    CHECK(stream.last_id().empty());
  }
}
