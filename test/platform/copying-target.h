/// A target that writes an answer too many: a copy of each of its refusals, at
/// a moment that the test names.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "platform/stand-ins.h"

namespace comfreyflow::platform {

/// When the copies of a refusal are written. The next request, or answer, is
/// that on the same connection.
enum class CopyTime : std::uint8_t {
  kAtOnce,       ///< In one packet with the refusal.
  kAfterDelay,   ///< `delay` after the refusal.
  kAtNextHead,   ///< When the next request's head is there.
  kInNextBody,   ///< When a part of the next request's body is there.
  kWithAnswer,   ///< In one packet with the next answer, before it.
  kBehind,       ///< In one packet with the next answer, behind it.
  kShortlyAfter  ///< 20 ms after the next answer.
};

/// How often each request ran, at all targets, by id and path.
using RunsOf = std::map<std::string, int>;

class CopyingTarget {
 public:
  struct Behaviour {
    CopyTime time = CopyTime::kWithAnswer;
    int copies = 1;
    /// A refusal names the request.
    bool names_request = true;
    std::chrono::milliseconds delay{20};
    /// Time that a run takes.
    std::chrono::milliseconds run_time{0};
  };
  /// Status and further fields of the refusal of a request, by its head and how
  /// often the target had its id, from 1; empty: it is run.
  using Decision = std::function<std::string(const std::string& head, int)>;

  CopyingTarget(Site& site, const std::string& service, const std::string& name,
                RunsOf& runs, Behaviour behaviour, Decision decision);

  const std::string& name() const { return target_.name(); }
  std::string address() const { return target_.address(); }
  std::size_t connections() const { return target_.connections(); }
  int requests() const { return requests_; }
  int refusals() const { return refusals_; }
  /// Copies that were written.
  int copies() const { return copies_; }
  /// Connections that the other end closed before a copy could be written.
  int closed() const { return closed_; }
  /// Requests that came on a connection behind a refusal.
  int behind_refusal() const { return behind_refusal_; }
  void SetDecision(Decision decision) { decision_ = std::move(decision); }

 private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  void Read(const LinkPtr& link);
  void OnBytes(const LinkPtr& link);
  void OnHead(const LinkPtr& link);
  void Answer(const LinkPtr& link);
  void Refuse(const LinkPtr& link, const std::string& refusal);
  void Run(const LinkPtr& link);
  std::string TakeCopies(const LinkPtr& link);
  void Write(const LinkPtr& link, const std::string& text);
  void After(const LinkPtr& link, std::chrono::milliseconds delay,
             std::function<void()> action);

  RunsOf& runs_;
  const Behaviour behaviour_;
  Decision decision_;
  RawTarget& target_;
  std::map<std::string, int> times_;
  int requests_ = 0;
  int refusals_ = 0;
  int copies_ = 0;
  int closed_ = 0;
  int behind_refusal_ = 0;
};

/// Refuses each id when it comes for the first time.
CopyingTarget::Decision RefusesFirst(
    const std::string& status = "503 Service Unavailable");
CopyingTarget::Decision RefusesNothing();

/// Runs the loop for a time.
void Pause(Site& site, std::chrono::milliseconds time);

}  // namespace comfreyflow::platform
