/// What callers and targets saw during a soak, and what was done to the hosts
/// meanwhile. Plain data, judged by `Check` once the soak is over.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::soak {

enum class Kind : std::uint8_t { kSafe, kUnsafe, kStream };

/// One attempt of a caller.
struct Sent {
  std::string id;
  Kind kind = Kind::kSafe;
  std::size_t host = 0;  ///< That it was sent to.
  std::string key;
  std::string path;
  std::string body;
  bool large = false;  ///< Its prompt is larger than one engine's memory.
  Time at;
  Duration deadline{};
  std::optional<Time> left;   ///< The caller went away.
  std::optional<Time> ended;  ///< Its answer is whole, or the connection over.
  int status = 0;             ///< 0: no head came.
  bool whole = false;
  bool marked = false;  ///< The answer has a target's mark of origin.
  std::string answer;
};

/// One arrival of a request at a target.
struct Run {
  std::string id;
  std::size_t target = 0;
  std::uint64_t born = 1;  ///< Start of the target.
  Time at;
  bool ran = true;      ///< False: the target refused it and said so.
  bool failed = false;  ///< The target answered with a failure of its own.
  std::string path;
  std::string body;
  std::string account;
  bool key_seen = false;      ///< The caller's key reached the target.
  bool resumed = false;       ///< Goes on behind events of another run.
  std::optional<Time> ended;  ///< Answered, or its connection closed.
};

/// A key of an account, from one acknowledged configuration to another.
struct KeyLife {
  std::string key;
  std::string account;
  Time added;
  std::optional<Time> removed;
};

/// A target that is leaving or off the list.
struct Leaving {
  std::size_t target = 0;
  Time from;
  std::optional<Time> until;
};

/// What a start of a target said of itself in its answer to a request.
struct Word {
  std::string id;  ///< Of the request.
  std::size_t target = 0;
  std::uint64_t born = 1;
  Time at;
  /// It wants nothing of the host that asked for so long; absent: it leaves.
  std::optional<Duration> rest;
};

/// A limit that a start of a target names in its answers, for the requests of
/// all hosts together.
struct NamedLimit {
  std::size_t target = 0;
  std::uint64_t born = 1;
  double rate = 0;            ///< Requests a second.
  std::optional<Time> first;  ///< When an answer first named it.
  std::optional<Time> until;
};

/// An answer that named a limit.
struct LimitWord {
  std::string id;         ///< Of the request.
  std::size_t limit = 0;  ///< Of `Records::limits`.
  Time at;
};

enum class Subject : std::uint8_t {
  kHost,        ///< The process was killed, started, stopped or paused.
  kStorePath,   ///< Between a host and the store.
  kCallerPath,  ///< Between callers and a host.
  kTarget,      ///< The target or the way to it.
};

struct Disturbance {
  Subject subject = Subject::kHost;
  std::size_t number = 0;  ///< Of the host or target.
  std::string what;
  Time from;
  std::optional<Time> until;  ///< Absent: to the end.
  bool planned = false;       ///< A stop that has to cut nothing.
  std::optional<Time> gone;   ///< When the host's process ended.
};

/// The store came back from an older copy. What a host knew when it went away
/// still binds that host.
struct Rewind {
  Time from;   ///< The store went away.
  Time until;  ///< It was back.
};

/// Hosts were killed, and the store turned some away when they were back.
struct TurnAway {
  Time from;   ///< They were killed.
  Time since;  ///< They were started again.
  Time until;
};

/// SIGHUP to a host.
struct Reload {
  std::size_t host = 0;
  Time at;
};

/// A host's process ended, and nobody had ended it.
struct HostEnd {
  std::size_t host = 0;
  Time at;
  int status = 0;  ///< As `waitpid` tells it.
};

/// An entry beside those of the targets that no reader expects.
struct OddEntry {
  std::string what;
  Time from;
  Time until;
};

/// Memory that a host had set aside at a target.
struct Held {
  std::string id;
  std::size_t target = 0;
  Time renewed;
  Duration life{};
  bool released = false;
};

/// What copies of refusals were written and what they may have met.
struct CopyCounts {
  std::size_t requests = 0;  ///< With an id, at all targets.
  std::size_t refusals = 0;
  std::size_t written = 0;
  /// To a later arrival of the request that they name.
  std::size_t written_to_same = 0;
  std::size_t again_at_target = 0;      ///< Requests whose id it had had.
  std::size_t again_on_connection = 0;  ///< And on this connection.
  std::size_t carried = 0;              ///< By a host for another one.
};

struct Records {
  std::deque<Sent> sent;
  std::deque<Run> runs;
  std::vector<KeyLife> keys;
  std::vector<Leaving> leaving;
  /// Targets in a failure domain that is out of service, from when the store
  /// acknowledged it.
  std::vector<Leaving> evacuated;
  std::vector<Word> words;
  std::vector<NamedLimit> limits;
  std::deque<LimitWord> limit_words;
  std::vector<Disturbance> disturbances;
  std::vector<Rewind> rewinds;
  std::vector<TurnAway> turned_away;
  std::vector<Reload> reloads;
  std::vector<Time> configs;  ///< When each configuration was written.
  std::vector<HostEnd> ends;
  std::vector<OddEntry> odd_entries;
  std::vector<Held> held;
  std::optional<CopyCounts> copies;  ///< If any are written.
  std::vector<bool>
      before;  ///< By host: it runs the build before; empty: none.
  /// Live hosts that each host knew when all had been quiet, itself included;
  /// empty: not asked.
  std::vector<std::size_t> hosts_known;
  Time quiet_from;  ///< After the last disturbance.
  Time over;
};

/// All events of the answer to a stream, and the answer of a plain target.
std::string EventsOf(const std::string& id);
std::string EventOf(const std::string& id, int number);
int EventCountOf(const std::string& id);
std::string AnswerOf(const std::string& path, const std::string& body);

}  // namespace comfreyflow::soak
